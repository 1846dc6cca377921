package discovery

import (
	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// The goroutines of a server post these events; their Apply methods run on the loop.
type (
	// pollStartEvent is a poll of the watch that is about to be sent.
	pollStartEvent struct {
		server *server
		poll   poll
	}
	// listEvent is a list, received from the service or cached before the start.
	listEvent struct {
		server *server
		listUpdate
	}
	// pollFailureEvent is the end of a poll without a list.
	pollFailureEvent struct {
		server     *server
		stalled    bool // no answer came in time
		unreadable bool // an answer came that is no list
	}
)

// listUpdate is a list and what it means to the decision module.
type listUpdate struct {
	list   List
	kind   relay.ListUpdateKind
	notify bool // the decision module is to learn of it
}

// Apply tells the membership node, which counts the polls at the current address.
func (e pollStartEvent) Apply(*pipeline.Loop) {
	c := e.server.client
	if e.server != c.current {
		return
	}
	c.membership.step(membership.PollStarted{Wait: e.poll.wait.Seconds(), ContinuesWatch: e.poll.continues})
}

// Apply hands the list to the listener, the decision module and the membership node. Once the new address has sent a list,
// the previous one is believed about endpoints that leave alone.
func (e listEvent) Apply(*pipeline.Loop) {
	c, update := e.server.client, e.listUpdate
	switch {
	case e.server == c.current:
		c.closePreviousSoon()
	case e.server != c.previous:
		return // sent before an address change that has been completed since
	case c.previousClosing:
		update.list, update.kind = update.list.leavingEndpoints(), relay.ListDelta
		if len(update.list.Endpoints) == 0 {
			return
		}
	}
	if update.notify {
		c.publish(update)
	}
	c.membership.listReceived(update)
}

// Apply tells the membership node and, where it orders the polls, the decision module.
func (e pollFailureEvent) Apply(l *pipeline.Loop) {
	c := e.server.client
	switch e.server {
	case c.current:
	case c.previous:
		c.closePrevious()
		return
	default:
		return // sent before an address change that has been completed since
	}
	c.membership.step(membership.PollFailed{Stalled: e.stalled, Unreadable: e.unreadable})
	if c.settings.pushed {
		return // the client retries by itself
	}
	kind := relay.ListFetchFailed
	if e.stalled {
		kind = relay.ListWatchStalled
	}
	l.AddEvent(relay.ListUpdate{Kind: kind})
}

// publish hands a list to the listener, then to the decision module.
func (c *Client) publish(update listUpdate) {
	event := relay.ListUpdate{Kind: update.kind}
	listed := map[relay.EndpointID]bool{}
	for _, endpoint := range update.list.Endpoints {
		listed[endpoint.ID] = true
		c.notifyListener(endpoint)
		event.Endpoints = append(event.Endpoints, endpoint.Endpoint)
	}
	if update.kind != relay.ListDelta {
		c.listener.FullListReceived(func(id relay.EndpointID) bool { return listed[id] })
	}
	if unreadable := update.list.Unreadable; unreadable > 0 {
		c.loop.Metrics.Add(metrics.BadInput, int64(unreadable))
		fields := logrus.Fields{"peer": string(metrics.PeerDiscovery), "entries": unreadable}
		c.loop.Log.WithFields(fields).Warn("unreadable endpoint list entries")
	}
	c.loop.AddEvent(event)
}

func (c *Client) notifyListener(endpoint ListedEndpoint) {
	if endpoint.State != relay.Removed && endpoint.Address != "" {
		c.listener.EndpointListed(endpoint.Endpoint, endpoint.Name, endpoint.Address)
	}
	if endpoint.State != relay.Ready {
		c.listener.EndpointLeaving(endpoint.ID, endpoint.State == relay.Removed)
	}
}
