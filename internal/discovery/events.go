package discovery

import (
	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// Events that the goroutines of a server post to the loop, which calls their Apply methods.
type (
	// pollStartEvent announces that a poll of the watch is about to be sent.
	pollStartEvent struct {
		server *server
		poll   poll
	}
	// listEvent carries a list that was received from the service or cached during an earlier run.
	listEvent struct {
		server *server
		listUpdate
	}
	// pollFailureEvent reports that a poll ended without a list.
	pollFailureEvent struct {
		server      *server
		stalled     bool // no answer was received in time
		unreadable  bool // an answer was received that could not be parsed as a list
		unreachable bool // the poll did not reach the service, or ended too soon to have waited in its queue
	}
)

// listUpdate is a list, with its meaning for the decision module.
type listUpdate struct {
	list   List
	kind   relay.ListUpdateKind
	notify bool // the decision module must be notified of it
}

// Apply notifies the membership node of a poll at the current address. Polls at the previous address are ignored.
func (e pollStartEvent) Apply(*pipeline.Loop) {
	c := e.server.client
	if e.server != c.current {
		return
	}
	c.membership.step(membership.PollStarted{Wait: e.poll.wait.Seconds(), ContinuesWatch: e.poll.continues})
}

// Apply passes the list to the listener, the decision module and the membership node. Once the new address has sent a list,
// only the leaving endpoints are used of lists from the previous address.
func (e listEvent) Apply(*pipeline.Loop) {
	c, update := e.server.client, e.listUpdate
	switch {
	case e.server == c.current:
		c.schedulePreviousClose()
	case e.server != c.previous:
		return // from an address that is no longer in use
	case c.previousClosing:
		update.list, update.kind = update.list.leavingEndpoints(), relay.ListDelta
		if len(update.list.Endpoints) == 0 {
			return
		}
	}
	if update.notify {
		c.publish(update)
	}
	c.membership.listReceived(update, e.server == c.previous)
}

// Apply notifies the membership node and, if the decision module commands the polls, the decision module as well.
func (e pollFailureEvent) Apply(l *pipeline.Loop) {
	c := e.server.client
	switch e.server {
	case c.current:
	case c.previous:
		c.closePrevious()
		return
	default:
		return // from an address that is no longer in use
	}
	c.membership.step(membership.PollFailed{Stalled: e.stalled, Unreadable: e.unreadable, Unreachable: e.unreachable})
	if c.settings.pushed {
		return // the client itself retries the watch
	}
	kind := relay.ListFetchFailed
	if e.stalled {
		kind = relay.ListWatchStalled
	}
	l.AddEvent(relay.ListUpdate{Kind: kind})
}

// publish passes a list to the listener and then to the decision module.
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
