// Package discovery asks discovery for the list of units, when the module orders it, and by itself where lists are pushed.
package discovery

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/httpwire"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// Units are told of a list before the module is, on the loop: where each unit is, and which want nothing new.
type EndpointListener interface {
	EndpointsListed(e relay.Endpoint, name, address string)
	EndpointLeaving(id relay.EndpointID, gone bool)
	FullListReceived(listed func(relay.EndpointID) bool) // a whole list stands: units that it leaves out are gone
}

// Asker talks to discovery. Its fields belong to the loop.
type Client struct {
	loop            *pipeline.Loop
	reader          *Reader
	listener        EndpointListener
	seed            int64
	current         *server
	previous        *server // the address before a move, up to a moment behind the first list of the new one; nil: none
	previousClosing bool    // the new one has told a list
	watchWanted     bool    // the watch is wanted
	membership      *membershipHost
	// Where lists are pushed the module is promised changes that come by themselves, and orders no watch. On sockets
	// a list comes to a watch alone, so the watch is this package's to keep.
	settings pollSettings
}

// New returns an asker; units are told of each list. The seed spreads the calls of relays that run alike.
func New(l *pipeline.Loop, address string, r *Reader, units EndpointListener, seed int64) *Client {
	a := &Client{loop: l, reader: r, listener: units, seed: seed, settings: newPollSettings(!l.Site.ListOnRequest, l.Site.Rules.DrainGrace)}
	a.membership = newMembershipHost(a, seed)
	a.current = a.newServer(address)
	return a
}

// Known hands over the list that the relay had last.
func (a *Client) UseKnownList(list List) {
	a.current.schedule.generation = list.Generation
	a.loop.Post(told{from: a.current, list: list, form: relay.ListCached, news: true})
}

// Start serves the module's orders until the program ends. What an agent that pushes has counts as told from the
// first moment, so clients wait a moment for it rather than be served by the list as last held. Where there is no
// list at all they are let in after a while, too: a denial with a time to come back is more than no answer.
func (a *Client) Start() {
	a.current.start()
	first := a.settings.firstList
	if a.settings.pushed {
		a.Watch(true, false) // before the loop runs
		first = a.settings.firstPushedList
	}
	a.loop.Post(pipeline.Func(func(l *pipeline.Loop) { l.RunAt(l.Clock.Now()+first.Seconds(), l.OpenService) }))
}

// Move goes over to another address, on the loop. The list is asked for whole there, as the generations need not be
// those known here. Up to its first answer the watch at the old address goes on: what is written there is told. It
// ends unsaid.
func (a *Client) Move(address string) {
	if a.current.address == address {
		return
	}
	a.closePrevious()
	a.previous, a.previousClosing, a.current = a.current, false, a.newServer(address)
	a.current.start()
	if a.watchWanted {
		a.Watch(true, false)
	} else {
		a.FetchList()
	}
}

// moved ends what is left at the address before a move.
func (a *Client) closePrevious() {
	if a.previous != nil {
		a.previous.close()
		a.previous = nil
	}
}

// part lets the address before a move go. A drain that it wrote may still be on its way, and counts as told though the
// new address' list, written before that, does not have it.
func (a *Client) closePreviousSoon() {
	if a.previous == nil || a.previousClosing {
		return
	}
	a.previousClosing = true
	old := a.previous
	a.loop.RunAt(a.loop.Clock.Now()+limits.PartFor.Seconds(), func() {
		if a.previous == old {
			a.closePrevious()
		}
	})
}

// leaving are the entries of a list that tell of units that leave.
func (l List) leavingEndpoints() (out List) {
	for _, line := range l.Endpoints {
		if line.State != relay.Ready {
			out.Endpoints = append(out.Endpoints, line)
		}
	}
	return out
}

// Watch orders the watch on or off; the last order holds. Anew, a call that waits is given up for a new one, as it may
// have fallen silent; where none waits the next one is new anyway.
func (a *Client) Watch(on, anew bool) {
	if a.watchWanted = on; anew && on {
		a.current.restartWatch()
		return
	}
	select {
	case <-a.current.watchOrders:
	default:
	}
	a.current.watchOrders <- on
}

// Fetch orders the whole list once.
func (a *Client) FetchList() {
	select {
	case a.current.fetchOrders <- struct{}{}:
	default: // one is waiting; its answer will do for both
	}
}

// endpoint is discovery at one address, up to a move. The orders reach its goroutines through channels that never
// block the loop.
type server struct {
	client      *Client
	address     string
	watchOrders chan bool
	fetchOrders chan struct{}
	closed      chan struct{}

	mu             sync.Mutex
	watchConn      netpoll.Connection // of the watch, while its call waits
	restartOrdered bool               // that call is given up by order
	schedule       *pollSchedule
	conns          map[netpoll.Connection]struct{}
}

func (a *Client) newServer(address string) *server {
	return &server{client: a, address: address, watchOrders: make(chan bool, 1), fetchOrders: make(chan struct{}, 1),
		closed: make(chan struct{}), conns: map[netpoll.Connection]struct{}{},
		schedule: newPollSchedule(a.seed, a.settings)}
}

func (p *server) start() {
	go p.runWatch()
	go p.runFetches()
}

// leave wakes whatever waits here. The connections are shut, not closed: their readers close them.
func (p *server) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.closed)
	for n := range p.conns {
		shutdown(n)
	}
}

func (p *server) isClosed() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// holds notes a connection that stands, or no longer does.
func (p *server) trackConn(n netpoll.Connection, stands bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stands {
		delete(p.conns, n)
		return
	}
	p.conns[n] = struct{}{}
	if p.isClosed() {
		shutdown(n)
	}
}

func shutdown(n netpoll.Connection) {
	if c, ok := n.(netpoll.Conn); ok {
		syscall.Shutdown(c.Fd(), syscall.SHUT_RDWR)
	}
}

// begun is a call of the watch that is about to be made.
type begun struct {
	from *server
	call poll
}

// Take tells it to the membership, which counts the calls at the address that holds.
func (b begun) Apply(*pipeline.Loop) {
	if a := b.from.client; b.from == a.current {
		a.membership.step(membership.PollStarted{Wait: b.call.wait.Seconds(), Continues: b.call.continues})
	}
}

// told is a list, or the end of a call without one.
type told struct {
	from   *server
	list   List
	form   relay.ListUpdateKind
	news   bool // the module is to hear of it
	unread bool // what came could not be read
}

// Take tells the connections to units, then the module.
func (t told) Apply(l *pipeline.Loop) {
	a, list, form := t.from.client, t.list, t.form
	failed := form == relay.ListFetchFailed || form == relay.ListWatchStalled
	switch {
	case t.from == a.current:
		if !failed {
			a.closePreviousSoon()
		}
	case t.from == a.previous && !failed && !a.previousClosing: // the new address has told nothing yet, so this still holds
	case t.from == a.previous && !failed:
		if list, form = list.leavingEndpoints(), relay.ListDelta; len(list.Endpoints) == 0 {
			return
		}
	case t.from == a.previous:
		a.closePrevious()
		return
	default:
		return // it crossed a move, and the new address has told more
	}
	if failed {
		a.membership.step(membership.PollFailed{Stalled: t.form == relay.ListWatchStalled, Unreadable: t.unread})
		if !a.settings.pushed {
			l.AddEvent(relay.ListUpdate{Kind: t.form})
		}
		return
	}
	taken := told{from: t.from, list: list, form: form, news: t.news}
	if t.news {
		taken.tell(l)
	}
	a.membership.listReceived(taken)
}

// tell hands a list to the connections to units and to the module.
func (t told) tell(l *pipeline.Loop) {
	a, r := t.from.client, relay.ListUpdate{Kind: t.form}
	listed := map[relay.EndpointID]bool{}
	for _, line := range t.list.Endpoints {
		listed[line.ID] = true
		if line.State != relay.Removed && line.Address != "" {
			a.listener.EndpointsListed(line.Endpoint, line.Name, line.Address)
		}
		if line.State != relay.Ready {
			a.listener.EndpointLeaving(line.ID, line.State == relay.Removed)
		}
		r.Endpoints = append(r.Endpoints, line.Endpoint)
	}
	if t.form != relay.ListDelta {
		a.listener.FullListReceived(func(id relay.EndpointID) bool { return listed[id] })
	}
	if t.list.Unreadable > 0 {
		l.Metrics.Add(metrics.BadInput, int64(t.list.Unreadable))
		l.Log.WithFields(logrus.Fields{"peer": "roster", "entries": t.list.Unreadable}).Warn("entries that can't be read")
	}
	l.AddEvent(r)
}

func (p *server) pollFailed(why metrics.CloseReason, err error) {
	if p.isClosed() {
		return
	}
	l, form := p.client.loop, relay.ListFetchFailed
	l.Metrics.Add(metrics.DiscoveryFailed, 1)
	if why == metrics.ClosedByResponseTimeout {
		form = relay.ListWatchStalled
		l.Metrics.Add(metrics.DiscoveryStalled, 1)
	}
	l.Log.WithFields(logrus.Fields{"peer": "roster", "reason": string(why)}).WithError(err).Warn("call failed")
	l.Post(told{from: p, form: form, unread: why == metrics.ClosedByBadInput})
}

// got passes an answer on. Lists are handed over in the order of their versions, under one lock: a whole list that
// crosses a watch's answer would else undo what that told.
func (p *server) listReceived(list List, ordered, fetched bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, form, news := p.schedule.accept(list, ordered, fetched)
	p.client.loop.Post(told{from: p, list: list, form: form, news: news})
}

// renew gives up the call of the watch that waits.
func (p *server) restartWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, stands := p.conns[p.watchConn]; stands && !p.restartOrdered {
		p.restartOrdered = true
		shutdown(p.watchConn)
	}
}

// calls notes the connection on which the watch's call waits, or that it does no longer; it says whether the call was
// given up by order.
func (p *server) setWatchConn(n netpoll.Connection) (anew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anew, p.watchConn, p.restartOrdered = p.restartOrdered, n, false
	return anew
}

// ask draws up the watch's next call.
func (p *server) startPoll() poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.schedule.nextPoll()
	p.client.loop.Post(begun{p, next})
	return next
}

// watching makes one call after the other while the watch is on.
func (p *server) runWatch() {
	for {
		var on bool
		select {
		case on = <-p.watchOrders:
		case <-p.closed:
			return
		}
		c := &conn{server: p, forWatch: true}
		for first := true; on; first = false {
			list, why, err := c.get(p.startPoll())
			if p.setWatchConn(nil) && err != nil {
				c.close(metrics.ClosedByReplacement)
				p.watchInterrupted()
				continue
			}
			if err != nil {
				c.close(why)
				p.pollFailed(why, err)
				on = p.retryAfterFailure(why)
				continue
			}
			p.listReceived(list, first, false)
			select {
			case on = <-p.watchOrders:
				first = on
			default:
			}
		}
		c.close(metrics.ClosedByCommand)
	}
}

// broken notes that the next call begins a new watch.
func (p *server) watchInterrupted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule.established = false
}

// again says whether the watch goes on after a failure, when it is time to.
func (p *server) retryAfterFailure(why metrics.CloseReason) bool {
	p.mu.Lock()
	again, after := p.schedule.pollFailed(why == metrics.ClosedByResponseTimeout)
	p.mu.Unlock()
	if !again {
		return false
	}
	select {
	case <-time.After(after):
		return true
	case <-p.closed:
		return false
	}
}

func (p *server) runFetches() {
	for {
		select {
		case <-p.fetchOrders:
		case <-p.closed:
			return
		}
		c := &conn{server: p}
		list, why, err := c.get(p.schedule.fullListPoll())
		if err != nil {
			c.close(why)
			p.pollFailed(why, err)
			continue
		}
		p.listReceived(list, true, true)
		c.close(metrics.ClosedByCommand)
	}
}

// call is a connection to discovery, good for one call after the other.
type conn struct {
	server   *server
	net      netpoll.Connection
	openedAt time.Time
	requests int
	forWatch bool // its calls are the watch's
}

func (c *conn) close(why metrics.CloseReason) {
	if c.net == nil {
		return
	}
	if c.server.isClosed() {
		why = metrics.ClosedByAddressChange
	}
	c.server.trackConn(c.net, false)
	c.net.Close()
	c.net = nil
	metrics.LogConnectionEnd(c.server.client.loop.Log, "roster", c.server.address, why, time.Since(c.openedAt).Seconds(), c.requests, nil)
}

// get makes one call, on the connection that stands or on a new one. One that crosses the end of a connection which
// discovery had kept from an earlier call has not reached it, and is made on a new one; any other is made once,
// whatever comes of it.
func (c *conn) get(r poll) (List, metrics.CloseReason, error) {
	c.server.client.loop.Metrics.Add(metrics.DiscoveryCalls, 1)
	list, why, err := c.roundTrip(r)
	if errors.Is(err, errServerClosedIdle) {
		c.close(metrics.ClosedByPeer)
		list, why, err = c.roundTrip(r)
	}
	return list, why, err
}

// errServerClosedIdle is of a call that was written as the connection kept from the one before ended.
var errServerClosedIdle = errors.New("the connection had ended")

func (c *conn) roundTrip(r poll) (List, metrics.CloseReason, error) {
	if c.net != nil && !c.net.IsActive() {
		c.close(metrics.ClosedByPeer)
	}
	if c.net == nil {
		n, err := netpoll.DialConnection("tcp", c.server.address, limits.DialFor)
		if err != nil {
			return List{}, metrics.ClosedByConnectError, err
		}
		c.net, c.openedAt, c.requests = n, time.Now(), 0
		n.SetWriteTimeout(limits.DialFor)
		c.server.trackConn(n, true)
	}
	c.requests++
	if c.forWatch {
		c.server.setWatchConn(c.net)
	}
	written := time.Now()
	_, err := c.net.Write([]byte(httpwire.Get(c.server.address, r.path)))
	var resp httpwire.Response
	why := metrics.ClosedByPeer
	if err == nil {
		resp, why, err = c.readResponse(written.Add(r.timeout))
	}
	if err != nil && why == metrics.ClosedByPeer && c.requests > 1 && !resp.Begun() && time.Since(written) < limits.CrossFor {
		err = fmt.Errorf("%w: %w", errServerClosedIdle, err)
	}
	if err != nil {
		return List{}, why, err
	}
	if resp.Close {
		defer c.close(metrics.ClosedByPeer)
	}
	if resp.Status != 200 {
		return List{}, metrics.ClosedByStatusCode, fmt.Errorf("status %d", resp.Status)
	}
	list, err := c.server.client.reader.Parse(resp.Body)
	if err != nil {
		c.server.client.loop.Metrics.Add(metrics.BadInput, 1)
		return List{}, metrics.ClosedByBadInput, err
	}
	return list, "", nil
}

func (c *conn) readResponse(until time.Time) (httpwire.Response, metrics.CloseReason, error) {
	var resp httpwire.Response
	r := c.net.Reader()
	for !resp.Done() {
		left := time.Until(until)
		if left <= 0 {
			return resp, metrics.ClosedByResponseTimeout, fmt.Errorf("no answer in time")
		}
		if resp.Begun() {
			left = min(left, c.server.client.settings.nextChunk) // one that stalls is as silent as one that never begins
		}
		c.net.SetReadTimeout(left)
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, netpoll.ErrReadTimeout) {
				return resp, metrics.ClosedByResponseTimeout, err
			}
			if e := resp.End(); e != nil {
				return resp, metrics.ClosedByPeer, err
			}
			break
		}
		b, _ := r.Next(r.Len())
		_, err := resp.Feed(b)
		r.Release()
		if err != nil {
			c.server.client.loop.Metrics.Add(metrics.BadInput, 1)
			return resp, metrics.ClosedByBadInput, err
		}
	}
	return resp, "", nil
}
