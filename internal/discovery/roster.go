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
	loop   *pipeline.Loop
	reader *Reader
	units  EndpointListener
	seed   int64
	at     *endpoint
	before *endpoint // the address before a move, up to a moment behind the first list of the new one; nil: none
	parts  bool      // the new one has told a list
	on     bool      // the watch is wanted
	member *member
	// Where lists are pushed the module is promised changes that come by themselves, and orders no watch. On sockets
	// a list comes to a watch alone, so the watch is this package's to keep.
	waits waits
}

// New returns an asker; units are told of each list. The seed spreads the calls of relays that run alike.
func New(l *pipeline.Loop, address string, r *Reader, units EndpointListener, seed int64) *Client {
	a := &Client{loop: l, reader: r, units: units, seed: seed, waits: usual(!l.Site.ListOnRequest, l.Site.Rules.DrainGrace)}
	a.member = newMember(a, seed)
	a.at = a.endpoint(address)
	return a
}

// Known hands over the list that the relay had last.
func (a *Client) UseKnownList(list List) {
	a.at.keeper.version = list.Generation
	a.loop.Post(told{from: a.at, list: list, form: relay.ListCached, news: true})
}

// Start serves the module's orders until the program ends. What an agent that pushes has counts as told from the
// first moment, so clients wait a moment for it rather than be served by the list as last held. Where there is no
// list at all they are let in after a while, too: a denial with a time to come back is more than no answer.
func (a *Client) Start() {
	a.at.start()
	first := a.waits.none
	if a.waits.pushed {
		a.Watch(true, false) // before the loop runs
		first = a.waits.first
	}
	a.loop.Post(pipeline.Func(func(l *pipeline.Loop) { l.RunAt(l.Clock.Now()+first.Seconds(), l.OpenService) }))
}

// Move goes over to another address, on the loop. The list is asked for whole there, as the generations need not be
// those known here. Up to its first answer the watch at the old address goes on: what is written there is told. It
// ends unsaid.
func (a *Client) Move(address string) {
	if a.at.address == address {
		return
	}
	a.moved()
	a.before, a.parts, a.at = a.at, false, a.endpoint(address)
	a.at.start()
	if a.on {
		a.Watch(true, false)
	} else {
		a.FetchList()
	}
}

// moved ends what is left at the address before a move.
func (a *Client) moved() {
	if a.before != nil {
		a.before.leave()
		a.before = nil
	}
}

// part lets the address before a move go. A drain that it wrote may still be on its way, and counts as told though the
// new address' list, written before that, does not have it.
func (a *Client) part() {
	if a.before == nil || a.parts {
		return
	}
	a.parts = true
	old := a.before
	a.loop.RunAt(a.loop.Clock.Now()+limits.AddressChangeOverlap.Seconds(), func() {
		if a.before == old {
			a.moved()
		}
	})
}

// leaving are the entries of a list that tell of units that leave.
func (l List) leaving() (out List) {
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
	if a.on = on; anew && on {
		a.at.renew()
		return
	}
	select {
	case <-a.at.watch:
	default:
	}
	a.at.watch <- on
}

// Fetch orders the whole list once.
func (a *Client) FetchList() {
	select {
	case a.at.fetch <- struct{}{}:
	default: // one is waiting; its answer will do for both
	}
}

// endpoint is discovery at one address, up to a move. The orders reach its goroutines through channels that never
// block the loop.
type endpoint struct {
	a       *Client
	address string
	watch   chan bool
	fetch   chan struct{}
	left    chan struct{}

	mu      sync.Mutex
	waiting netpoll.Connection // of the watch, while its call waits
	anew    bool               // that call is given up by order
	keeper  *keeper
	open    map[netpoll.Connection]struct{}
}

func (a *Client) endpoint(address string) *endpoint {
	return &endpoint{a: a, address: address, watch: make(chan bool, 1), fetch: make(chan struct{}, 1),
		left: make(chan struct{}), open: map[netpoll.Connection]struct{}{},
		keeper: newKeeper(a.seed, a.waits)}
}

func (p *endpoint) start() {
	go p.watching()
	go p.fetching()
}

// leave wakes whatever waits here. The connections are shut, not closed: their readers close them.
func (p *endpoint) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.left)
	for n := range p.open {
		shut(n)
	}
}

func (p *endpoint) isLeft() bool {
	select {
	case <-p.left:
		return true
	default:
		return false
	}
}

// holds notes a connection that stands, or no longer does.
func (p *endpoint) holds(n netpoll.Connection, stands bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stands {
		delete(p.open, n)
		return
	}
	p.open[n] = struct{}{}
	if p.isLeft() {
		shut(n)
	}
}

func shut(n netpoll.Connection) {
	if c, ok := n.(netpoll.Conn); ok {
		syscall.Shutdown(c.Fd(), syscall.SHUT_RDWR)
	}
}

// begun is a call of the watch that is about to be made.
type begun struct {
	from *endpoint
	call request
}

// Take tells it to the membership, which counts the calls at the address that holds.
func (b begun) Apply(*pipeline.Loop) {
	if a := b.from.a; b.from == a.at {
		a.member.step(membership.PollStarted{Wait: b.call.wait.Seconds(), ContinuesWatch: b.call.continues})
	}
}

// told is a list, or the end of a call without one.
type told struct {
	from   *endpoint
	list   List
	form   relay.ListUpdateKind
	news   bool // the module is to hear of it
	unread bool // what came could not be read
}

// Take tells the connections to units, then the module.
func (t told) Apply(l *pipeline.Loop) {
	a, list, form := t.from.a, t.list, t.form
	failed := form == relay.ListFetchFailed || form == relay.ListWatchStalled
	switch {
	case t.from == a.at:
		if !failed {
			a.part()
		}
	case t.from == a.before && !failed && !a.parts: // the new address has told nothing yet, so this still holds
	case t.from == a.before && !failed:
		if list, form = list.leaving(), relay.ListDelta; len(list.Endpoints) == 0 {
			return
		}
	case t.from == a.before:
		a.moved()
		return
	default:
		return // it crossed a move, and the new address has told more
	}
	if failed {
		a.member.step(membership.PollFailed{Stalled: t.form == relay.ListWatchStalled, Unreadable: t.unread})
		if !a.waits.pushed {
			l.AddEvent(relay.ListUpdate{Kind: t.form})
		}
		return
	}
	taken := told{from: t.from, list: list, form: form, news: t.news}
	if t.news {
		taken.tell(l)
	}
	a.member.list(taken)
}

// tell hands a list to the connections to units and to the module.
func (t told) tell(l *pipeline.Loop) {
	a, r := t.from.a, relay.ListUpdate{Kind: t.form}
	listed := map[relay.EndpointID]bool{}
	for _, line := range t.list.Endpoints {
		listed[line.ID] = true
		if line.State != relay.Removed && line.Address != "" {
			a.units.EndpointsListed(line.Endpoint, line.Name, line.Address)
		}
		if line.State != relay.Ready {
			a.units.EndpointLeaving(line.ID, line.State == relay.Removed)
		}
		r.Endpoints = append(r.Endpoints, line.Endpoint)
	}
	if t.form != relay.ListDelta {
		a.units.FullListReceived(func(id relay.EndpointID) bool { return listed[id] })
	}
	if t.list.Unreadable > 0 {
		l.Metrics.Add(metrics.BadInput, int64(t.list.Unreadable))
		l.Log.WithFields(logrus.Fields{"peer": "discovery", "entries": t.list.Unreadable}).Warn("unreadable endpoint list entries")
	}
	l.AddEvent(r)
}

func (p *endpoint) failed(why metrics.CloseReason, err error) {
	if p.isLeft() {
		return
	}
	l, form := p.a.loop, relay.ListFetchFailed
	l.Metrics.Add(metrics.DiscoveryFailed, 1)
	if why == metrics.ClosedByResponseTimeout {
		form = relay.ListWatchStalled
		l.Metrics.Add(metrics.DiscoveryStalled, 1)
	}
	l.Log.WithFields(logrus.Fields{"peer": "discovery", "reason": string(why)}).WithError(err).Warn("call failed")
	l.Post(told{from: p, form: form, unread: why == metrics.ClosedByBadInput})
}

// got passes an answer on. Lists are handed over in the order of their versions, under one lock: a whole list that
// crosses a watch's answer would else undo what that told.
func (p *endpoint) got(list List, ordered, fetched bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, form, news := p.keeper.took(list, ordered, fetched)
	p.a.loop.Post(told{from: p, list: list, form: form, news: news})
}

// renew gives up the call of the watch that waits.
func (p *endpoint) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, stands := p.open[p.waiting]; stands && !p.anew {
		p.anew = true
		shut(p.waiting)
	}
}

// calls notes the connection on which the watch's call waits, or that it does no longer; it says whether the call was
// given up by order.
func (p *endpoint) calls(n netpoll.Connection) (anew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anew, p.waiting, p.anew = p.anew, n, false
	return anew
}

// ask draws up the watch's next call.
func (p *endpoint) ask() request {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.keeper.next()
	p.a.loop.Post(begun{p, next})
	return next
}

// watching makes one call after the other while the watch is on.
func (p *endpoint) watching() {
	for {
		var on bool
		select {
		case on = <-p.watch:
		case <-p.left:
			return
		}
		c := &call{p: p, watch: true}
		for first := true; on; first = false {
			list, why, err := c.get(p.ask())
			if p.calls(nil) && err != nil {
				c.end(metrics.ClosedByReplacement)
				p.broken()
				continue
			}
			if err != nil {
				c.end(why)
				p.failed(why, err)
				on = p.again(why)
				continue
			}
			p.got(list, first, false)
			select {
			case on = <-p.watch:
				first = on
			default:
			}
		}
		c.end(metrics.ClosedByPolicy)
	}
}

// broken notes that the next call begins a new watch.
func (p *endpoint) broken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.stands = false
}

// again says whether the watch goes on after a failure, when it is time to.
func (p *endpoint) again(why metrics.CloseReason) bool {
	p.mu.Lock()
	again, after := p.keeper.failed(why == metrics.ClosedByResponseTimeout)
	p.mu.Unlock()
	if !again {
		return false
	}
	select {
	case <-time.After(after):
		return true
	case <-p.left:
		return false
	}
}

func (p *endpoint) fetching() {
	for {
		select {
		case <-p.fetch:
		case <-p.left:
			return
		}
		c := &call{p: p}
		list, why, err := c.get(p.keeper.whole())
		if err != nil {
			c.end(why)
			p.failed(why, err)
			continue
		}
		p.got(list, true, true)
		c.end(metrics.ClosedByPolicy)
	}
}

// call is a connection to discovery, good for one call after the other.
type call struct {
	p     *endpoint
	net   netpoll.Connection
	begun time.Time
	calls int
	watch bool // its calls are the watch's
}

func (c *call) end(why metrics.CloseReason) {
	if c.net == nil {
		return
	}
	if c.p.isLeft() {
		why = metrics.ClosedByAddressChange
	}
	c.p.holds(c.net, false)
	c.net.Close()
	c.net = nil
	end := metrics.ConnectionEnd{Peer: metrics.PeerDiscovery, Name: c.p.address, Reason: why, Age: time.Since(c.begun).Seconds(), Requests: c.calls}
	end.Log(c.p.a.loop.Log)
}

// get makes one call, on the connection that stands or on a new one. One that crosses the end of a connection which
// discovery had kept from an earlier call has not reached it, and is made on a new one; any other is made once,
// whatever comes of it.
func (c *call) get(r request) (List, metrics.CloseReason, error) {
	c.p.a.loop.Metrics.Add(metrics.DiscoveryCalls, 1)
	list, why, err := c.make(r)
	if errors.Is(err, errCrossed) {
		c.end(metrics.ClosedByPeer)
		list, why, err = c.make(r)
	}
	return list, why, err
}

// errCrossed is of a call that was written as the connection kept from the one before ended.
var errCrossed = errors.New("the connection had ended")

func (c *call) make(r request) (List, metrics.CloseReason, error) {
	if c.net != nil && !c.net.IsActive() {
		c.end(metrics.ClosedByPeer)
	}
	if c.net == nil {
		n, err := netpoll.DialConnection("tcp", c.p.address, limits.DiscoveryDialTimeout)
		if err != nil {
			return List{}, metrics.ClosedByConnectError, err
		}
		c.net, c.begun, c.calls = n, time.Now(), 0
		n.SetWriteTimeout(limits.DiscoveryDialTimeout)
		c.p.holds(n, true)
	}
	c.calls++
	if c.watch {
		c.p.calls(c.net)
	}
	written := time.Now()
	_, err := c.net.Write([]byte(httpwire.Get(c.p.address, r.path)))
	var resp httpwire.Response
	why := metrics.ClosedByPeer
	if err == nil {
		resp, why, err = c.answer(written.Add(r.limit))
	}
	if err != nil && why == metrics.ClosedByPeer && c.calls > 1 && !resp.Begun() && time.Since(written) < limits.KeepAliveRaceWindow {
		err = fmt.Errorf("%w: %w", errCrossed, err)
	}
	if err != nil {
		return List{}, why, err
	}
	if resp.Close {
		defer c.end(metrics.ClosedByPeer)
	}
	if resp.Status != 200 {
		return List{}, metrics.ClosedByStatusCode, fmt.Errorf("status %d", resp.Status)
	}
	list, err := c.p.a.reader.Parse(resp.Body)
	if err != nil {
		c.p.a.loop.Metrics.Add(metrics.BadInput, 1)
		return List{}, metrics.ClosedByBadInput, err
	}
	return list, "", nil
}

func (c *call) answer(until time.Time) (httpwire.Response, metrics.CloseReason, error) {
	var resp httpwire.Response
	r := c.net.Reader()
	for !resp.Done() {
		left := time.Until(until)
		if left <= 0 {
			return resp, metrics.ClosedByResponseTimeout, fmt.Errorf("no answer in time")
		}
		if resp.Begun() {
			left = min(left, c.p.a.waits.rest) // one that stalls is as silent as one that never begins
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
			c.p.a.loop.Metrics.Add(metrics.BadInput, 1)
			return resp, metrics.ClosedByBadInput, err
		}
	}
	return resp, "", nil
}
