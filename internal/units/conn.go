package units

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
	"lichenroad/relay"
)

// reportName is the parameter that holds a unit's load report.
const reportName = "vitals"

// inlineSize is what the loop may write itself: an empty send buffer takes it at once, so it never waits.
const inlineSize = buffer.Size

type state int

const (
	starting state = iota
	idle
	busy
	dead
)

// conn is one connection. The fields of the first group belong to the loop, those of the second to the
// goroutine that reads; what both use is atomic.
type conn struct {
	pool    *Pool
	unit    *unit
	address string
	net     netpoll.Connection
	state   state
	leg     *stage.Leg
	since   relay.Seconds // idle since
	up      relay.Seconds
	queries int
	fault   error // what was wrong with what came

	split  pgwire.Splitter
	answer *buffer.Chain
	rows   int
	row    string // the value, where it is short enough for a load report
	report []float32

	sentAt atomic.Int64 // ns of the loop's clock when the last byte went; 0: not yet
}

// dial brings a connection up, off the loop.
func dial(p *Pool, u *unit, address string) {
	begun := p.loop.Clock.Now()
	n, err := netpoll.DialConnection("tcp", address, span(p.connect))
	if err != nil {
		p.loop.Post(stage.Call(func(l *stage.Loop) {
			u.coming--
			p.ended(u, stats.ByRefusal, l.Clock.Now()-begun, 0, err)
			p.missed(u)
		}))
		return
	}
	c := &conn{pool: p, unit: u, address: address, net: n, up: begun, split: pgwire.Splitter{Pool: p.loop.Pool}}
	n.SetWriteTimeout(span(p.connect))
	n.AddCloseCallback(func(netpoll.Connection) error {
		// No read is under way here, and none follows.
		c.split.Free()
		c.answer.Free()
		p.loop.Post(stage.Call(func(*stage.Loop) { c.close(stats.ByPeer) }))
		return nil
	})
	n.SetOnRequest(func(_ context.Context, n netpoll.Connection) error { return c.read(n) })
	p.loop.Post(stage.Call(func(l *stage.Loop) {
		l.At(begun+p.connect, func() {
			if c.state == starting {
				c.close(stats.ByLateConnect)
			}
		})
	}))
	_, err = n.Write(p.hello)
	if err != nil || !n.IsActive() {
		p.loop.Post(stage.Call(func(*stage.Loop) { c.close(stats.ByPeer) }))
	}
}

// missed ends the oldest leg that waits for a connection which did not come up, when no other is coming.
func (p *Pool) missed(u *unit) {
	for len(u.waiting) > u.coming {
		leg := u.waiting[0]
		u.waiting = u.waiting[1:]
		p.loop.End(leg, stage.Ending{How: relay.NoConnect, Took: p.loop.Clock.Now() - leg.Asked})
	}
}

// close ends the connection, on the loop; whatever leg it carried ends by what is known of it.
func (c *conn) close(why stats.Reason) {
	if c.state == dead {
		return
	}
	was := c.state
	c.state = dead
	p, now := c.pool, c.pool.loop.Clock.Now()
	c.net.Close()
	p.ended(c.unit, why, now-c.up, c.queries, c.fault)
	switch was {
	case starting:
		c.unit.coming--
		p.missed(c.unit)
	case idle:
		for i, d := range c.unit.idle {
			if d == c {
				c.unit.idle = append(c.unit.idle[:i], c.unit.idle[i+1:]...)
				break
			}
		}
	case busy:
		if c.leg == nil || why == stats.ByGivenUp {
			break // it has ended, or whoever gave it up books it
		}
		if sent := c.sentAt.Load(); sent == 0 {
			p.loop.End(c.leg, stage.Ending{How: relay.NoConnect, Took: now - c.leg.Asked})
		} else {
			p.loop.End(c.leg, stage.Ending{How: relay.Broken, Took: now - float64(sent)/1e9})
		}
	}
	c.leg = nil
}

// begin sends a leg on an idle connection.
func (c *conn) begin(leg *stage.Leg) {
	c.state, c.leg = busy, leg
	leg.Conn = c
	c.queries++
	c.sentAt.Store(0)
	var out *buffer.Chain
	if leg.Query != nil {
		out = leg.Message(c.pool.loop.Pool, c.pool.loop.Clock.Now())
	} else {
		out = c.pool.loop.Pool.Filled(c.pool.probe)
	}
	if out.Len() <= inlineSize {
		c.net.SetWriteTimeout(limits.InlineWait)
		c.write(out)
		return
	}
	c.net.SetWriteTimeout(0) // the leg's own time-out closes the connection
	go c.write(out)
}

// write sends a message in two steps, all but the last byte and then that: as long as the first has not
// succeeded, the unit has surely not begun. It uses the connection's own Write alone, which holds it against
// being closed meanwhile; netpoll's Writer does not.
func (c *conn) write(out *buffer.Chain) {
	defer out.Free()
	left := out.Len()
	err := out.Each(func(b []byte) error {
		if left -= len(b); left > 0 {
			_, err := c.net.Write(b)
			return err
		}
		all, last := b[:len(b)-1], b[len(b)-1:]
		if len(all) > 0 {
			if _, err := c.net.Write(all); err != nil {
				return err
			}
		}
		c.sentAt.Store(int64(c.pool.loop.Clock.Now() * 1e9))
		_, err := c.net.Write(last)
		return err
	})
	if err != nil {
		c.pool.loop.Post(stage.Call(func(*stage.Loop) { c.close(stats.ByWrite) }))
	}
}

// read takes what has come, on the goroutine of the connection.
func (c *conn) read(n netpoll.Connection) error {
	at := c.pool.loop.Clock.Now()
	r := n.Reader()
	for r.Len() > 0 {
		b, err := r.Next(min(r.Len(), buffer.Size))
		if err == nil {
			err = c.split.Feed(b, func(m pgwire.Message) error { return c.take(m, at) })
		}
		if err != nil {
			c.pool.loop.Stats.Add(stats.BadInput, 1)
			c.pool.loop.Post(stage.Call(func(*stage.Loop) {
				c.fault = err
				c.close(stats.ByBadInput)
			}))
			r.Skip(r.Len())
			break
		}
	}
	return r.Release()
}

var errState = errors.New("message out of place")

// take reads one message of the unit.
func (c *conn) take(m pgwire.Message, at relay.Seconds) error {
	defer m.Body.Free()
	switch m.Type {
	case 'R', 'K', 'N': // no password is asked for; notices are passed over
		return nil
	case 'S':
		name, value, err := pgwire.ParseStatus(m.Body.Bytes())
		if err == nil && name == reportName {
			c.report = pgwire.ParseReport(value, c.pool.loop.Site.Reports)
		}
		return err
	case 'T':
		if err := pgwire.CheckRowDescription(m.Body.Bytes()); err != nil {
			return err
		}
		c.answer.Free()
		c.answer, c.rows = c.pool.loop.Pool.Chain(), 0
	case 'D':
		value, err := pgwire.ParseRow(m.Body.Bytes())
		if err != nil {
			return err
		}
		if c.rows++; c.answer == nil || c.rows > 1 {
			return errState
		}
		if c.row = ""; len(value) <= limits.ReportSize {
			c.row = string(value)
		}
	case 'C':
		if c.answer == nil || c.rows != 1 {
			return errState
		}
	case 'E':
		_, code, text, err := pgwire.ParseError(m.Body.Bytes())
		if err == nil {
			c.pool.loop.Post(answered{c: c, at: at, how: outcome(code), code: code, text: text, report: c.report})
		}
		return err
	case 'Z':
		c.pool.loop.Post(ready{c})
		return nil
	default:
		return errState
	}
	c.answer.Write(pgwire.Header(nil, m.Type, m.Body.Len()))
	c.answer.Append(m.Body, 0, m.Body.Len())
	if m.Type == 'C' {
		c.pool.loop.Post(answered{c: c, at: at, how: relay.Honoured, answer: c.answer, row: c.row, report: c.report})
		c.answer = nil
	}
	return nil
}

// outcome is what an error code says of the query.
func outcome(code string) relay.Outcome {
	if code == pgwire.CodeFull {
		return relay.TurnedAway
	}
	return relay.Errored
}

// answered is an answer or an error that came whole.
type answered struct {
	c      *conn
	at     relay.Seconds
	how    relay.Outcome
	answer *buffer.Chain
	row    string
	report []float32
	code   string
	text   string
}

// Take ends the leg that it answers.
func (e answered) Take(l *stage.Loop) {
	c, leg := e.c, e.c.leg
	if c.state != busy || leg == nil {
		e.answer.Free()
		if c.state == starting {
			c.fault = fmt.Errorf("%s %s", e.code, e.text)
			c.close(stats.ByStartupError)
		} else {
			c.close(stats.ByPeer) // unasked: it is about to close
		}
		return
	}
	sent := c.sentAt.Load()
	end := stage.Ending{How: e.how, Answer: e.answer, Report: e.report}
	if sent != 0 {
		end.Took = max(0, e.at-float64(sent)/1e9)
	}
	if leg.Query == nil && len(l.Site.Reports) > 0 {
		end.Report = pgwire.ParseReport(e.row, l.Site.Reports)
	} else if !l.Site.ReportInLegs {
		end.Report = nil
	}
	if e.code == pgwire.CodeProtocol {
		l.Log.WithField("unit", c.unit.name).Error("a unit did not understand a query: " + e.text)
	}
	c.leg = nil
	l.End(leg, end)
	if sent == 0 {
		c.close(stats.ByBadInput) // answered before it was asked in full
	}
}

// ready tells that a connection can take a query.
type ready struct{ c *conn }

// Take gives the connection to whoever waits for one.
func (e ready) Take(l *stage.Loop) {
	c := e.c
	switch {
	case c.state == starting:
		c.unit.coming--
	case c.state == busy && c.leg == nil:
	case c.state == busy:
		c.close(stats.ByBadInput) // no answer, no error
		return
	default:
		return
	}
	c.state, c.since = idle, l.Clock.Now()
	c.unit.idle = append(c.unit.idle, c)
	if c.address != c.unit.address {
		c.close(stats.ByMove)
	}
	c.pool.serve(c.unit)
}
