// Package discovery is the client of the discovery service, which lists the endpoints of a site. It maintains a watch (a
// sequence of long polls, each of which continues the previous one), fetches full lists on command, retries a watch for
// pushed lists with backoff, follows changes of the service's address, and hosts the membership node that derives a lease
// from the answers.
//
// Client and the membership host run on the loop of package pipeline. For each address there are two goroutines, one for
// the watch and one for fetches, which post their results to the loop as events. The package depends on pipeline for the
// loop, on httpwire and netpoll for requests, and on membership and relay for the types of its results.
package discovery

import (
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// EndpointListener is notified of each list before the decision module is. It learns the addresses of the endpoints and
// which endpoints get no new requests. Its methods are called on the loop.
type EndpointListener interface {
	// EndpointListed reports that an endpoint is listed with a name and an address.
	EndpointListed(e relay.Endpoint, name, address string)
	// EndpointLeaving reports that an endpoint is draining or has been removed.
	EndpointLeaving(id relay.EndpointID, removed bool)
	// FullListReceived reports that a full list was received: all endpoints that it does not list have been removed.
	FullListReceived(listed func(relay.EndpointID) bool)
}

// Client communicates with the discovery service. Its fields and methods may be used only on the loop.
//
// At sites where lists are pushed, the decision module expects changes without a command and never requests a watch. The
// service, however, sends changes only in answers to polls, so at these sites the client maintains the watch by itself.
type Client struct {
	loop     *pipeline.Loop
	reader   *Reader
	listener EndpointListener
	seed     int64
	settings pollSettings

	current         *server
	previous        *server // at the previous address, until shortly after the first list from the new one; nil: none
	previousClosing bool    // the new address has sent a list, and previous will be closed soon

	watchWanted bool // as last commanded
	membership  *membershipHost
}

// New returns a client of the discovery service at the given address. The listener is notified of each list. The seed
// determines random delays; different seeds keep relays from polling at the same time.
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

// UseCachedList sets the list that the relay cached during an earlier run. It must be called before Start.
func (c *Client) UseCachedList(list List) {
	c.current.schedule.generation = list.Generation
	c.loop.Post(listEvent{c.current, listUpdate{list: list, kind: relay.ListCached, notify: true}})
}

// Start begins to carry out commands, until the program ends. It must be called before the loop runs.
//
// Where a discovery agent pushes lists, the relay counts as notified of the agent's changes from the start. Service
// therefore opens only when the agent's list has arrived, or after a short timeout. Service also opens, after a longer
// timeout, if there is no list at all, because a rejection with a Retry-After is better than no answer.
func (c *Client) Start() {
	c.current.start()
	openAfter := c.settings.firstListTimeout
	if c.settings.pushed {
		c.Watch(true, false)
		openAfter = c.settings.firstPushedListTimeout
	}
	c.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		l.RunAt(l.Clock.Now()+openAfter.Seconds(), l.OpenService)
	}))
}

// Watch turns the watch on or off. A new command replaces an earlier one. With restart, a poll that is waiting is abandoned
// and a new one is sent, because the old one may have stalled. If no poll is waiting, the next one is new in any case.
func (c *Client) Watch(on, restart bool) {
	c.watchWanted = on
	if on && restart {
		c.current.restartWatch()
		return
	}
	c.current.commandWatch(on)
}

// FetchList fetches the full list once.
func (c *Client) FetchList() { c.current.commandFetch() }
