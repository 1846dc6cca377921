// Package discovery is the client of the discovery service, which lists the endpoints of a site. It keeps a watch (a chain
// of long polls, each of which continues the one before), fetches full lists by command, retries a pushed watch with
// backoff, follows a change of the service's address, and hosts the membership node that turns answers into a lease.
//
// Client and the membership host belong to the loop of package pipeline. Each address has two goroutines, one for the
// watch and one for fetches, which post what they learn to the loop as events. The package builds on httpwire and netpoll
// for the requests and on membership and relay for the types that it hands on; package pipeline is the only one above it.
package discovery

import (
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// EndpointListener learns of a list before the decision module does, on the loop: where each endpoint is, and which
// endpoints get no new requests.
type EndpointListener interface {
	// EndpointListed says that an endpoint is listed under a name and at an address.
	EndpointListed(e relay.Endpoint, name, address string)
	// EndpointLeaving says that an endpoint is draining or, if gone, removed.
	EndpointLeaving(id relay.EndpointID, gone bool)
	// FullListReceived says that a full list holds: endpoints that it does not list are gone.
	FullListReceived(listed func(relay.EndpointID) bool)
}

// Client talks to the discovery service. Its fields and methods belong to the loop.
//
// Where lists are pushed, the decision module expects changes without commands and orders no watch. Over sockets a list
// comes to a watch alone, so the client keeps one by itself then.
type Client struct {
	loop     *pipeline.Loop
	reader   *Reader
	listener EndpointListener
	seed     int64
	settings pollSettings

	current         *server
	previous        *server // the address before a change, until shortly after the first list of the new one; nil: none
	previousClosing bool    // the new address has sent a list, and previous is about to be closed

	watchWanted bool
	membership  *membershipHost
}

// New returns a client of the discovery service at an address. The listener learns of each list. The seed spreads the
// polls of relays that run alike.
func New(loop *pipeline.Loop, address string, reader *Reader, listener EndpointListener, seed int64) *Client {
	c := &Client{
		loop:     loop,
		reader:   reader,
		listener: listener,
		seed:     seed,
		settings: newPollSettings(!loop.Site.ListOnRequest, loop.Site.Rules.DrainGrace),
	}
	c.membership = newMembershipHost(c, seed)
	c.current = c.newServer(address)
	return c
}

// UseCachedList hands over the list that the relay had cached before its start. It is called before Start.
func (c *Client) UseCachedList(list List) {
	c.current.schedule.generation = list.Generation
	c.loop.Post(listEvent{c.current, listUpdate{list: list, kind: relay.ListCached, notify: true}})
}

// Start begins to serve commands, until the program ends. It is called before the loop runs.
//
// The changes that a pushing agent has bind the relay from the first moment, so service opens only when they are known or
// a short time has passed. Without any list service opens after a while too: a rejection with a Retry-After is better
// than no answer.
func (c *Client) Start() {
	c.current.start()
	openAfter := c.settings.firstList
	if c.settings.pushed {
		c.Watch(true, false)
		openAfter = c.settings.firstPushedList
	}
	c.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		l.RunAt(l.Clock.Now()+openAfter.Seconds(), l.OpenService)
	}))
}

// Watch turns the watch on or off; the last command holds. With restart, a poll that waits is given up for a new one, as
// it may be stalled; where none waits the next one is new anyway.
func (c *Client) Watch(on, restart bool) {
	c.watchWanted = on
	if on && restart {
		c.current.restartWatch()
		return
	}
	c.current.commandWatch(on)
}

// FetchList requests the full list once.
func (c *Client) FetchList() { c.current.commandFetch() }
