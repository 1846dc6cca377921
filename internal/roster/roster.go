// Package roster asks discovery for the list of units, when the module orders it.
package roster

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/httpwire"
	"lichenroad/internal/limits"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
	"lichenroad/relay"
)

// target is the path of the list.
const target = "/api/targets"

// Units are told of a list before the module is, on the loop: where each unit is, and which want nothing new.
type Units interface {
	Listed(id relay.UnitID, name, address string)
	Leaving(id relay.UnitID, gone bool)
	Whole(listed func(relay.UnitID) bool) // a whole list stands: units that it leaves out are gone
}

// Asker talks to discovery. Its fields belong to the loop.
type Asker struct {
	loop   *stage.Loop
	reader *Reader
	units  Units
	at     *place
	on     bool // the module wants the watch
}

// New returns an asker; units are told of each list.
func New(l *stage.Loop, address string, r *Reader, units Units) *Asker {
	a := &Asker{loop: l, reader: r, units: units}
	a.at = a.place(address)
	return a
}

// Known hands over the list that the relay had last.
func (a *Asker) Known(list List) {
	a.at.version.Store(list.Generation)
	a.loop.Post(told{a.at, list, relay.RosterCached})
}

// Start serves the module's orders until the program ends.
func (a *Asker) Start() { a.at.start() }

// Move goes over to another address, on the loop. What waits at the old one ends unsaid, and the list is asked
// for whole: the generations there need not be those known here.
func (a *Asker) Move(address string) {
	if a.at.address == address {
		return
	}
	a.at.leave()
	a.at = a.place(address)
	a.at.start()
	if a.on {
		a.Watch(true)
	} else {
		a.Fetch()
	}
}

// Watch orders the watch on or off; the last order holds.
func (a *Asker) Watch(on bool) {
	a.on = on
	select {
	case <-a.at.watch:
	default:
	}
	a.at.watch <- on
}

// Fetch orders the whole list once.
func (a *Asker) Fetch() {
	select {
	case a.at.fetch <- struct{}{}:
	default: // one is waiting; its answer will do for both
	}
}

// place is discovery at one address, up to a move. The orders reach its goroutines through channels that never
// block the loop.
type place struct {
	a       *Asker
	address string
	watch   chan bool
	fetch   chan struct{}
	version atomic.Int64 // of the list that stands; -1: none
	left    chan struct{}

	mu   sync.Mutex
	open map[netpoll.Connection]struct{}
}

func (a *Asker) place(address string) *place {
	p := &place{a: a, address: address, watch: make(chan bool, 1), fetch: make(chan struct{}, 1),
		left: make(chan struct{}), open: map[netpoll.Connection]struct{}{}}
	p.version.Store(-1)
	return p
}

func (p *place) start() {
	go p.watching()
	go p.fetching()
}

// leave wakes whatever waits here. The connections are shut, not closed: their readers close them.
func (p *place) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.left)
	for n := range p.open {
		shut(n)
	}
}

func (p *place) isLeft() bool {
	select {
	case <-p.left:
		return true
	default:
		return false
	}
}

// holds notes a connection that stands, or no longer does.
func (p *place) holds(n netpoll.Connection, stands bool) {
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

// told is news of the list.
type told struct {
	from *place
	list List
	form relay.RosterForm
}

// Take tells the connections to units, then the module.
func (t told) Take(l *stage.Loop) {
	if t.from != t.from.a.at {
		return // it crossed a move
	}
	r := relay.Roster{Form: t.form}
	listed, units := map[relay.UnitID]bool{}, t.from.a.units
	for _, line := range t.list.Lines {
		listed[line.Unit] = true
		if line.State != relay.Gone {
			units.Listed(line.Unit, line.Name, line.Address)
		}
		if line.State != relay.Ready {
			units.Leaving(line.Unit, line.State == relay.Gone)
		}
		r.Units = append(r.Units, line.UnitEntry)
	}
	if t.form == relay.RosterCached || t.form == relay.RosterFull {
		units.Whole(func(id relay.UnitID) bool { return listed[id] })
	}
	if t.list.Bad > 0 {
		l.Stats.Add(stats.BadInput, int64(t.list.Bad))
		l.Log.WithFields(logrus.Fields{"peer": "roster", "entries": t.list.Bad}).Warn("entries left out")
	}
	l.Listed(r)
}

func (p *place) failed(why stats.Reason, err error) {
	if p.isLeft() {
		return
	}
	l := p.a.loop
	l.Stats.Add(stats.RosterFailed, 1)
	l.Log.WithFields(logrus.Fields{"peer": "roster", "reason": string(why)}).WithError(err).Warn("call failed")
	l.Post(told{from: p, form: relay.RosterFailed})
}

// got passes a list on; a watch that brought nothing is not worth an event unless it answers an order.
func (p *place) got(list List, answers bool) {
	p.version.Store(list.Generation)
	form := relay.RosterDelta
	if list.Whole {
		form = relay.RosterFull
	}
	if answers || list.Whole || len(list.Lines) > 0 || list.Bad > 0 {
		p.a.loop.Post(told{p, list, form})
	}
}

// watching makes one call after the other while the watch is on. Where a list is known the first waits too, as it
// is answered at once if there is anything newer: a call before it that only asks for that would be one more for each
// relay at a discovery which works through calls in turn and fails those that wait too long.
func (p *place) watching() {
	for {
		var on bool
		select {
		case on = <-p.watch:
		case <-p.left:
			return
		}
		c := &call{p: p}
		for first := true; on; first = false {
			wait, path := time.Duration(0), target
			if v := p.version.Load(); v >= 0 {
				wait = limits.WatchFor
				path = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, v, wait.Milliseconds())
			}
			list, why, err := c.get(path, wait)
			if err != nil {
				c.end(why)
				p.failed(why, err)
				break
			}
			p.got(list, first)
			select {
			case on = <-p.watch:
				first = on
			default:
			}
		}
		c.end(stats.ByOrder)
	}
}

func (p *place) fetching() {
	for {
		select {
		case <-p.fetch:
		case <-p.left:
			return
		}
		c := &call{p: p}
		list, why, err := c.get(target, 0)
		if err != nil {
			c.end(why)
			p.failed(why, err)
			continue
		}
		if list.Generation < p.version.Load() {
			list = List{Generation: p.version.Load()} // the watch has told more meanwhile; this brings nothing new
		}
		p.got(list, true)
		c.end(stats.ByOrder)
	}
}

// call is a connection to discovery, good for one call after the other.
type call struct {
	p     *place
	net   netpoll.Connection
	begun time.Time
	calls int
}

func (c *call) end(why stats.Reason) {
	if c.net == nil {
		return
	}
	if c.p.isLeft() {
		why = stats.ByMove
	}
	c.p.holds(c.net, false)
	c.net.Close()
	c.net = nil
	stats.LogEnd(c.p.a.loop.Log, "roster", c.p.address, why, time.Since(c.begun).Seconds(), c.calls, nil)
}

// get makes one call, on the connection that stands or on a new one. It is made once, whatever comes of it.
func (c *call) get(path string, wait time.Duration) (List, stats.Reason, error) {
	c.p.a.loop.Stats.Add(stats.RosterCalls, 1)
	if c.net != nil && !c.net.IsActive() {
		c.end(stats.ByPeer)
	}
	if c.net == nil {
		n, err := netpoll.DialConnection("tcp", c.p.address, limits.DialFor)
		if err != nil {
			return List{}, stats.ByRefusal, err
		}
		c.net, c.begun, c.calls = n, time.Now(), 0
		n.SetWriteTimeout(limits.DialFor)
		c.p.holds(n, true)
	}
	c.calls++
	if _, err := c.net.Write([]byte(httpwire.Get(c.p.address, path))); err != nil {
		return List{}, stats.ByPeer, err
	}
	limit := limits.PlainFor
	if wait > 0 {
		limit = wait + limits.AnswerFor
	}
	resp, why, err := c.answer(time.Now().Add(limit))
	if err != nil {
		return List{}, why, err
	}
	if resp.Close {
		defer c.end(stats.ByPeer)
	}
	if resp.Status != 200 {
		return List{}, stats.ByStatus, fmt.Errorf("status %d", resp.Status)
	}
	list, err := c.p.a.reader.Parse(resp.Body)
	if err != nil {
		c.p.a.loop.Stats.Add(stats.BadInput, 1)
		return List{}, stats.ByBadInput, err
	}
	return list, "", nil
}

func (c *call) answer(until time.Time) (httpwire.Response, stats.Reason, error) {
	var resp httpwire.Response
	r := c.net.Reader()
	for !resp.Done() {
		left := time.Until(until)
		if left <= 0 {
			return resp, stats.ByLateAnswer, fmt.Errorf("no answer in time")
		}
		c.net.SetReadTimeout(left)
		if _, err := r.Peek(1); err != nil {
			if time.Until(until) <= 0 {
				return resp, stats.ByLateAnswer, err
			}
			if e := resp.End(); e != nil {
				return resp, stats.ByPeer, err
			}
			break
		}
		b, _ := r.Next(r.Len())
		_, err := resp.Feed(b)
		r.Release()
		if err != nil {
			c.p.a.loop.Stats.Add(stats.BadInput, 1)
			return resp, stats.ByBadInput, err
		}
	}
	return resp, "", nil
}
