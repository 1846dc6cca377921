// Package roster asks discovery for the list of units, when the module orders it.
package roster

import (
	"fmt"
	"sync/atomic"
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

// Asker talks to discovery. The module's orders reach it through channels that never block the loop.
type Asker struct {
	loop    *stage.Loop
	address string
	reader  *Reader
	name    func(id relay.UnitID, name, address string)

	watch   chan bool
	fetch   chan struct{}
	version atomic.Int64 // of the list that stands; -1: none
}

// New returns an asker; name is told of each unit's address, on the loop.
func New(l *stage.Loop, address string, r *Reader, name func(relay.UnitID, string, string)) *Asker {
	a := &Asker{loop: l, address: address, reader: r, name: name, watch: make(chan bool, 1),
		fetch: make(chan struct{}, 1)}
	a.version.Store(-1)
	return a
}

// Known hands over the list that the relay had last.
func (a *Asker) Known(list List) {
	a.version.Store(list.Generation)
	a.loop.Post(told{a, list, relay.RosterCached})
}

// Start serves the module's orders until the program ends.
func (a *Asker) Start() {
	go a.watching()
	go a.fetching()
}

// Watch orders the watch on or off; the last order holds.
func (a *Asker) Watch(on bool) {
	select {
	case <-a.watch:
	default:
	}
	a.watch <- on
}

// Fetch orders the whole list once.
func (a *Asker) Fetch() {
	select {
	case a.fetch <- struct{}{}:
	default: // one is waiting; its answer will do for both
	}
}

// told is news of the list.
type told struct {
	a    *Asker
	list List
	form relay.RosterForm
}

// Take names the units' addresses, then tells the module.
func (t told) Take(l *stage.Loop) {
	r := relay.Roster{Form: t.form}
	for _, line := range t.list.Lines {
		if line.State != relay.Gone {
			t.a.name(line.Unit, line.Name, line.Address)
		}
		r.Units = append(r.Units, line.UnitEntry)
	}
	if t.list.Bad > 0 {
		l.Stats.Add(stats.BadInput, int64(t.list.Bad))
		l.Log.WithFields(logrus.Fields{"peer": "roster", "entries": t.list.Bad}).Warn("entries left out")
	}
	l.Listed(r)
}

func (a *Asker) failed(why stats.Reason, err error) {
	a.loop.Stats.Add(stats.RosterFailed, 1)
	a.loop.Log.WithFields(logrus.Fields{"peer": "roster", "reason": string(why)}).WithError(err).Warn("call failed")
	a.loop.Post(told{a: a, form: relay.RosterFailed})
}

// got passes a list on; a watch that brought nothing is not worth an event unless it answers an order.
func (a *Asker) got(list List, answers bool) {
	a.version.Store(list.Generation)
	form := relay.RosterDelta
	if list.Whole {
		form = relay.RosterFull
	}
	if answers || list.Whole || len(list.Lines) > 0 || list.Bad > 0 {
		a.loop.Post(told{a, list, form})
	}
}

// watching makes one call after the other while the watch is on. The first does not wait: its answer is
// the one that the module's order gets.
func (a *Asker) watching() {
	for on := range a.watch {
		c := &call{a: a}
		for first := true; on; first = false {
			wait := limits.WatchFor
			if first {
				wait = 0
			}
			path := target
			if v := a.version.Load(); v >= 0 {
				path = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, v, wait.Milliseconds())
			}
			list, why, err := c.get(path, wait)
			if err != nil {
				c.end(why)
				a.failed(why, err)
				break
			}
			a.got(list, first)
			select {
			case on = <-a.watch:
				first = on
			default:
			}
		}
		c.end(stats.ByOrder)
	}
}

func (a *Asker) fetching() {
	for range a.fetch {
		c := &call{a: a}
		list, why, err := c.get(target, 0)
		if err != nil {
			c.end(why)
			a.failed(why, err)
			continue
		}
		if list.Generation < a.version.Load() {
			list = List{Generation: a.version.Load()} // the watch has told more meanwhile; this brings nothing new
		}
		a.got(list, true)
		c.end(stats.ByOrder)
	}
}

// call is a connection to discovery, good for one call after the other.
type call struct {
	a     *Asker
	net   netpoll.Connection
	begun time.Time
	calls int
}

func (c *call) end(why stats.Reason) {
	if c.net == nil {
		return
	}
	c.net.Close()
	c.net = nil
	stats.LogEnd(c.a.loop.Log, "roster", c.a.address, why, time.Since(c.begun).Seconds(), c.calls, nil)
}

// get makes one call, on the connection that stands or on a new one. It is made once, whatever comes of it.
func (c *call) get(path string, wait time.Duration) (List, stats.Reason, error) {
	c.a.loop.Stats.Add(stats.RosterCalls, 1)
	if c.net != nil && !c.net.IsActive() {
		c.end(stats.ByPeer)
	}
	if c.net == nil {
		n, err := netpoll.DialConnection("tcp", c.a.address, limits.DialFor)
		if err != nil {
			return List{}, stats.ByRefusal, err
		}
		c.net, c.begun, c.calls = n, time.Now(), 0
		n.SetWriteTimeout(limits.DialFor)
	}
	c.calls++
	if _, err := c.net.Write([]byte(httpwire.Get(c.a.address, path))); err != nil {
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
	list, err := c.a.reader.Parse(resp.Body)
	if err != nil {
		c.a.loop.Stats.Add(stats.BadInput, 1)
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
			c.a.loop.Stats.Add(stats.BadInput, 1)
			return resp, stats.ByBadInput, err
		}
	}
	return resp, "", nil
}
