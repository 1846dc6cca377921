package scale

import (
	"lichenroad/internal/discovery"
	"lichenroad/membership"
	"lichenroad/relay"
)

// clockResolution, in seconds, is more than what a time loses when it is counted from a relay's start: a wake-up that came a
// rounding error early would be asked for again at the same moment, for ever.
const clockResolution = 1e-6

// member hosts the membership protocol's state machine beside the decision code, as the relay does.
type membershipHost struct {
	relay          *hollowRelay
	node           *membership.Node
	timerAt        relay.Seconds // of the wake-up that is under way; membership.Never: none
	leaseExpiresAt relay.Seconds // that the decision code was last told
}

// newMembershipHost returns the node of a relay. Stand-ins send no heartbeats, so the protocol is told of the hosted relays alone:
// they send as many as the whole service would.
func newMembershipHost(h *hollowRelay) *membershipHost {
	set := &h.service.settings
	node := membership.New(membership.Settings{Self: h.number, Relays: len(h.service.hollowRelays), PeerMessages: set.Limits.PeerMessages,
		PollInterval: set.Rules.PollInterval, Epoch: epoch + h.startedAt}, h.random.Int63())
	return &membershipHost{relay: h, node: node, timerAt: membership.Never, leaseExpiresAt: -1}
}

// list tells the node of a list, of before the start or from discovery.
func (m *membershipHost) receiveList(now float64, list discovery.List, held bool) {
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
func (m *membershipHost) step(now float64, event membership.Event) {
	h := m.relay
	before := threadTime()
	out := m.node.Step(now-h.startedAt+clockResolution, event)
	h.meter.processorTime += threadTime() - before
	for _, body := range out.Messages {
		h.sendDatagram(membershipClass, relay.Broadcast, body)
	}
	m.removeEndpoints(now, out.Removed)
	if out.LeaseExpiresAt != m.leaseExpiresAt {
		m.leaseExpiresAt = out.LeaseExpiresAt
		h.step(now, relay.ListLease{ExpiresAt: out.LeaseExpiresAt})
	}
	if out.DiscoveryRecovered {
		h.step(now, relay.DiscoveryRecovered{})
	}
	if out.TimerAt < m.timerAt {
		m.timerAt = out.TimerAt
		h.timers.set(timer{at: h.startedAt + out.TimerAt, kind: membershipTimer})
	}
}

// leave tells the decision code of units that peers know to have left.
func (m *membershipHost) removeEndpoints(now float64, left []relay.EndpointID) {
	if len(left) == 0 || m.relay.simulation.options.lacks(DrainNotices) {
		return
	}
	h, event := m.relay, relay.ListUpdate{Kind: relay.ListDelta}
	for _, id := range left {
		if e := h.service.byID[id]; e != nil {
			h.checker.receiveEntry(now, e, relay.Draining)
		}
		event.Endpoints = append(event.Endpoints, relay.Endpoint{ID: id, State: relay.Draining, Partial: true})
	}
	h.meter.removedByPeers += len(left)
	h.step(now, event)
}

// woken hands over a wake-up. Earlier ones that were asked for meanwhile come by themselves.
func (m *membershipHost) fireTimer(now float64) {
	if now-m.relay.startedAt+clockResolution >= m.timerAt {
		m.timerAt = membership.Never
	}
	m.step(now, membership.TimerFired{})
}
