package discovery

import (
	"slices"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// noLease is a value that no node returns as a lease. It means that the decision module has not been notified of a lease
// yet.
const noLease relay.Seconds = -1

// membershipHost hosts the relay's node of the membership protocol: it passes events to the node and carries out the node's
// output. It may be used only on the loop.
type membershipHost struct {
	client  *Client
	loop    *pipeline.Loop
	node    *membership.Node
	timerAt relay.Seconds // time of the earliest timer that is set; membership.Never: none
	lease   relay.Seconds // lease of which the decision module was last notified

	unconfirmedAfter []relay.Seconds // times after which the list has to be confirmed, after a change of the address
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

// listReceived passes a list to the node, whether received from one of the addresses or cached during an earlier run.
func (m *membershipHost) listReceived(update listUpdate, fromPrevious bool) {
	list := membership.List{Generation: update.list.Generation, Full: update.kind != relay.ListDelta}
	for _, endpoint := range update.list.Endpoints {
		list.Endpoints = append(list.Endpoints, endpoint.Endpoint)
	}
	switch {
	case update.kind == relay.ListCached:
		m.step(membership.CachedList{List: list})
	case fromPrevious:
		m.step(membership.PreviousAddressAnswered{List: list})
	default:
		m.step(membership.PollAnswered{List: list})
	}
}

// step passes an event to the node and carries out the output.
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
	m.setUnconfirmed(now, output)
}

// setUnconfirmed keeps the times after which the list has to be confirmed after a change of the address. It logs when there are
// any, and when there are none any more.
func (m *membershipHost) setUnconfirmed(now relay.Seconds, output membership.Output) {
	wasUnconfirmed := len(m.unconfirmedAfter) > 0
	m.unconfirmedAfter = slices.Clone(output.UnconfirmedAfter)
	unconfirmed := len(m.unconfirmedAfter) > 0
	if unconfirmed == wasUnconfirmed {
		return
	}
	entry := m.loop.Log.WithFields(logrus.Fields{"peer": string(metrics.PeerDiscovery), "lease": output.LeaseExpiresAt - now})
	if unconfirmed {
		entry.Info("address of discovery changed, the list has to be confirmed")
	} else {
		entry.Info("list confirmed after the change of the address")
	}
}

// endpointsLeaving notifies the listener and the decision module of endpoints that peers have reported as leaving.
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

// setLease notifies the decision module until when its list may be used. The first lease that has not expired opens
// service.
func (m *membershipHost) setLease(now, lease relay.Seconds) {
	if lease != m.lease {
		m.lease = lease
		m.loop.AddEvent(relay.ListLease{ExpiresAt: lease})
	}
	if now < lease {
		m.loop.OpenService()
	}
}

// setTimer sets a timer for the node, unless an existing timer fires early enough.
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

// MembershipMessage handles a membership message from another relay. It is called on the loop.
func (c *Client) MembershipMessage(from relay.ID, body []byte) {
	node := c.membership.node
	before := node.Counters()
	c.membership.step(membership.MessageReceived{From: from, Body: body})
	after := node.Counters()
	c.loop.Metrics.Add(metrics.BadInput, int64(after.Unreadable-before.Unreadable))
	c.loop.Metrics.Add(metrics.PeerClocksAhead, int64(after.ClockAhead-before.ClockAhead))
}
