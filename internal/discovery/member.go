package discovery

import (
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// member hosts the relay's part in the membership protocol: it hands over what happens, and carries out what comes of it.
// All of it runs on the loop.
type member struct {
	asker  *Client
	loop   *pipeline.Loop
	node   *membership.Node
	wakeAt relay.Seconds // of the wake-up that is under way; membership.Never: none
	lease  relay.Seconds // that the module was last told
}

func newMember(a *Client, seed int64) *member {
	site := a.loop.Site
	node := membership.New(membership.Settings{Self: site.Self, Relays: site.Relays, PeerMessages: site.Limits.PeerMessages,
		PollInterval: site.Rules.PollInterval, Epoch: -a.loop.Clock.Unix(0)}, seed)
	return &member{asker: a, loop: a.loop, node: node, wakeAt: membership.Never, lease: -1}
}

// list tells the node of a list, of before the start or from discovery.
func (m *member) list(t told) {
	given := membership.List{Generation: t.list.Generation, Full: t.form != relay.ListDelta}
	for _, line := range t.list.Endpoints {
		given.Endpoints = append(given.Endpoints, line.Endpoint)
	}
	if t.form == relay.ListCached {
		m.step(membership.CachedList{List: given})
		return
	}
	m.step(membership.PollAnswered{List: given})
}

// step lets the node see an event, and carries out what it returns.
func (m *member) step(event membership.Event) {
	now := m.loop.Clock.Now()
	out := m.node.Step(now, event)
	for _, body := range out.Messages {
		m.loop.Peers.SendMessage(relay.SendMessage{To: relay.Broadcast, Body: body})
	}
	m.leave(out.Removed)
	m.grant(now, out.LeaseExpiresAt)
	if out.DiscoveryRecovered {
		m.loop.AddEvent(relay.DiscoveryRecovered{})
	}
	m.wake(out.TimerAt)
}

// leave tells connections and module of units that peers know to have left.
func (m *member) leave(left []relay.EndpointID) {
	if len(left) == 0 {
		return
	}
	r := relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true}
	for _, unit := range left {
		m.asker.units.EndpointLeaving(unit, false)
		r.Endpoints = append(r.Endpoints, relay.Endpoint{ID: unit, State: relay.Draining, Partial: true})
	}
	m.loop.Metrics.Add(metrics.EndpointsRemovedByPeers, int64(len(left)))
	m.loop.AddEvent(r)
}

// grant tells the module until when its list holds. The first lease that is not over lets clients in.
func (m *member) grant(now, lease relay.Seconds) {
	if lease != m.lease {
		m.lease = lease
		m.loop.AddEvent(relay.ListLease{ExpiresAt: lease})
	}
	if now < lease {
		m.loop.OpenService()
	}
}

// wake asks for a wake-up, unless one comes early enough.
func (m *member) wake(at relay.Seconds) {
	if at >= m.wakeAt {
		return
	}
	m.wakeAt = at
	m.loop.RunAt(at, func() {
		if m.wakeAt == at {
			m.wakeAt = membership.Never
		}
		m.step(membership.TimerFired{})
	})
}

// Heard takes a datagram of another relay, on the loop.
func (a *Client) MembershipMessage(from relay.RelayID, body []byte) {
	unreadable := a.member.node.Counters().Unreadable
	a.member.step(membership.MessageReceived{From: from, Body: body})
	if a.member.node.Counters().Unreadable > unreadable {
		a.loop.Metrics.Add(metrics.BadInput, 1)
	}
}
