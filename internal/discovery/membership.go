package discovery

import (
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// noLease is a lease that no node returns: the decision module has not been notified of any yet.
const noLease relay.Seconds = -1

// membershipHost hosts the relay's node of the membership protocol: it hands over what happens, and carries out what the
// node returns. All of it runs on the loop.
type membershipHost struct {
	client  *Client
	loop    *pipeline.Loop
	node    *membership.Node
	timerAt relay.Seconds // of the timer that is set; membership.Never: none
	lease   relay.Seconds // of which the decision module was notified last
}

func newMembershipHost(c *Client, seed int64) *membershipHost {
	site := c.loop.Site
	node := membership.New(membership.Settings{
		Self:         site.Self,
		Relays:       site.Relays,
		PeerMessages: site.Limits.PeerMessages,
		PollInterval: site.Rules.PollInterval,
		Epoch:        -c.loop.Clock.Unix(0),
	}, seed)
	return &membershipHost{client: c, loop: c.loop, node: node, timerAt: membership.Never, lease: noLease}
}

// listReceived tells the node of a list, received or cached before the start.
func (m *membershipHost) listReceived(update listUpdate) {
	list := membership.List{Generation: update.list.Generation, Full: update.kind != relay.ListDelta}
	for _, endpoint := range update.list.Endpoints {
		list.Endpoints = append(list.Endpoints, endpoint.Endpoint)
	}
	if update.kind == relay.ListCached {
		m.step(membership.CachedList{List: list})
		return
	}
	m.step(membership.PollAnswered{List: list})
}

// step hands an event to the node, and carries out what it returns.
func (m *membershipHost) step(event membership.Event) {
	now := m.loop.Clock.Now()
	output := m.node.Step(now, event)
	for _, body := range output.Messages {
		m.loop.Peers.SendMessage(relay.SendMessage{To: relay.Broadcast, Body: body})
	}
	m.endpointsLeaving(output.Removed)
	m.setLease(now, output.LeaseExpiresAt)
	if output.DiscoveryRecovered {
		m.loop.AddEvent(relay.DiscoveryRecovered{})
	}
	m.setTimer(output.TimerAt)
}

// endpointsLeaving tells the listener and the decision module of endpoints that peers know to be leaving.
func (m *membershipHost) endpointsLeaving(leaving []relay.EndpointID) {
	if len(leaving) == 0 {
		return
	}
	update := relay.ListUpdate{Kind: relay.ListDelta, FromPeers: true}
	for _, id := range leaving {
		m.client.listener.EndpointLeaving(id, false)
		update.Endpoints = append(update.Endpoints, relay.Endpoint{ID: id, State: relay.Draining, Partial: true})
	}
	m.loop.Metrics.Add(metrics.EndpointsRemovedByPeers, int64(len(leaving)))
	m.loop.AddEvent(update)
}

// setLease tells the decision module until when its list may be used. The first lease that has not expired opens service.
func (m *membershipHost) setLease(now, lease relay.Seconds) {
	if lease != m.lease {
		m.lease = lease
		m.loop.AddEvent(relay.ListLease{ExpiresAt: lease})
	}
	if now < lease {
		m.loop.OpenService()
	}
}

// setTimer sets a timer for the node, unless one that is set fires early enough.
func (m *membershipHost) setTimer(at relay.Seconds) {
	if at >= m.timerAt {
		return
	}
	m.timerAt = at
	m.loop.RunAt(at, func() {
		if m.timerAt == at {
			m.timerAt = membership.Never
		}
		m.step(membership.TimerFired{})
	})
}

// MembershipMessage takes a datagram of another relay, on the loop.
func (c *Client) MembershipMessage(from relay.ID, body []byte) {
	node := c.membership.node
	unreadable := node.Counters().Unreadable
	c.membership.step(membership.MessageReceived{From: from, Body: body})
	if node.Counters().Unreadable > unreadable {
		c.loop.Metrics.Add(metrics.BadInput, 1)
	}
}
