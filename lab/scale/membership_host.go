package scale

import (
	"lichenroad/internal/discovery"
	"lichenroad/membership"
	"lichenroad/relay"
)

// clockResolution, in seconds, exceeds the rounding error of a time relative to a relay's start. It is added to the time of
// each step, because a timer that fires too early by the rounding error would be set for the same time again and again.
const clockResolution = 1e-6

// membershipHost hosts the state machine of the membership protocol and connects it to the decision code, as a relay does.
type membershipHost struct {
	relay          *hollowRelay
	node           *membership.Node
	timerAt        relay.Seconds // time of the next timer, or membership.Never
	leaseExpiresAt relay.Seconds // end of the lease as last passed to the decision code
}

// newMembershipHost returns the host of a relay's membership node. Synthetic relays send no heartbeats, so the node is set up
// for the hollow relays only, which then send as many heartbeats as all relays of the service would.
func newMembershipHost(h *hollowRelay) *membershipHost {
	settings := &h.service.settings
	node := membership.New(membership.Settings{
		Self:         h.number,
		Relays:       len(h.service.hollowRelays),
		PeerMessages: settings.Limits.PeerMessages,
		PollInterval: settings.Rules.PollInterval,
		Epoch:        epoch + h.startedAt,
	}, h.random.Int63())
	return &membershipHost{relay: h, node: node, timerAt: membership.Never, leaseExpiresAt: -1}
}

// receiveList passes a list to the node: the stored list if cached is set, otherwise an answer of discovery.
func (m *membershipHost) receiveList(now float64, list discovery.List, cached bool) {
	update := membership.List{Generation: list.Generation, Full: list.Full}
	for _, entry := range list.Endpoints {
		update.Endpoints = append(update.Endpoints, entry.Endpoint)
	}
	if cached {
		m.step(now, membership.CachedList{List: update})
		return
	}
	m.step(now, membership.PollAnswered{List: update})
}

// step passes an event to the node and applies the node's output.
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

// removeEndpoints passes endpoints that peers reported as removed to the decision code as draining. Without DrainNotices it
// does nothing.
func (m *membershipHost) removeEndpoints(now float64, removed []relay.EndpointID) {
	if len(removed) == 0 || m.relay.simulation.options.disables(DrainNotices) {
		return
	}
	h := m.relay
	event := relay.ListUpdate{Kind: relay.ListDelta}
	for _, id := range removed {
		if e := h.service.byID[id]; e != nil {
			h.checker.receiveEntry(now, e, relay.Draining)
		}
		event.Endpoints = append(event.Endpoints, relay.Endpoint{ID: id, State: relay.Draining, Partial: true})
	}
	h.meter.removedByPeers += len(removed)
	h.step(now, event)
}

// fireTimer passes a timer to the node. Timers that were replaced by earlier ones also fire.
func (m *membershipHost) fireTimer(now float64) {
	if now-m.relay.startedAt+clockResolution >= m.timerAt {
		m.timerAt = membership.Never
	}
	m.step(now, membership.TimerFired{})
}
