package scale

import (
	"lichenroad/internal/discovery"
	"lichenroad/membership"
	"lichenroad/relay"
)

// clockGrain, in seconds, is more than what a time loses when it is counted from a relay's start: a wake-up that came a
// rounding error early would be asked for again at the same moment, for ever.
const clockGrain = 1e-6

// member hosts the membership protocol's state machine beside the decision code, as the relay does.
type member struct {
	relay  *hollow
	node   *membership.Node
	wakeAt relay.Seconds // of the wake-up that is under way; membership.Never: none
	lease  relay.Seconds // that the decision code was last told
}

// newMember returns the node of a relay. Stand-ins send no heartbeats, so the protocol is told of the hosted relays alone:
// they send as many as the whole service would.
func newMember(h *hollow) *member {
	set := &h.service.settings
	node := membership.New(membership.Settings{Self: h.number, Relays: len(h.service.hollows), PeerMessages: set.Limits.PeerMessages,
		PollInterval: set.Rules.PollInterval, Epoch: epoch + h.started}, h.random.Int63())
	return &member{relay: h, node: node, wakeAt: membership.Never, lease: -1}
}

// list tells the node of a list, of before the start or from discovery.
func (m *member) list(now float64, list discovery.List, held bool) {
	given := membership.List{Generation: list.Generation, Full: list.Full}
	for _, line := range list.Endpoints {
		given.Endpoints = append(given.Endpoints, line.Endpoint)
	}
	if held {
		m.step(now, membership.CachedList{List: given})
		return
	}
	m.step(now, membership.PollAnswered{List: given})
}

// step has the node see an event, and carries out what it returns.
func (m *member) step(now float64, event membership.Event) {
	h := m.relay
	before := threadTime()
	out := m.node.Step(now-h.started+clockGrain, event)
	h.meter.processor += threadTime() - before
	for _, body := range out.Messages {
		h.tell(membershipClass, relay.Broadcast, body)
	}
	m.leave(now, out.Removed)
	if out.LeaseExpiresAt != m.lease {
		m.lease = out.LeaseExpiresAt
		h.step(now, relay.ListLease{ExpiresAt: out.LeaseExpiresAt})
	}
	if out.DiscoveryRecovered {
		h.step(now, relay.DiscoveryRecovered{})
	}
	if out.TimerAt < m.wakeAt {
		m.wakeAt = out.TimerAt
		h.timers.set(timer{at: h.started + out.TimerAt, kind: membershipTimer})
	}
}

// leave tells the decision code of units that peers know to have left.
func (m *member) leave(now float64, left []relay.EndpointID) {
	if len(left) == 0 || m.relay.world.options.lacks(DrainNotices) {
		return
	}
	h, event := m.relay, relay.ListUpdate{Kind: relay.ListDelta}
	for _, id := range left {
		if u := h.service.byID[id]; u != nil {
			h.checker.listed(now, u, relay.Draining)
		}
		event.Endpoints = append(event.Endpoints, relay.Endpoint{ID: id, State: relay.Draining, Partial: true})
	}
	h.meter.toldByPeers += len(left)
	h.step(now, event)
}

// woken hands over a wake-up. Earlier ones that were asked for meanwhile come by themselves.
func (m *member) woken(now float64) {
	if now-m.relay.started+clockGrain >= m.wakeAt {
		m.wakeAt = membership.Never
	}
	m.step(now, membership.TimerFired{})
}
