package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/sockets"
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
	settling // answered and ready, but more may be right behind
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
	leg     *pipeline.Attempt
	partly  *pipeline.Attempt // whose answer has begun
	since   relay.Seconds     // idle since
	last    relay.Seconds     // when the last answer was read
	up      relay.Seconds
	queries int
	fault   error // what was wrong with what came
	writing bool  // a write off the loop has not returned: up to then the library refuses another one
	held    bool  // it would be idle but for that

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
		p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
			u.coming--
			p.ended(u, metrics.ClosedByConnectError, l.Clock.Now()-begun, 0, err)
			p.missed(u)
		}))
		return
	}
	c := &conn{pool: p, unit: u, address: address, net: n, up: begun, writing: true,
		split: pgwire.Splitter{Pool: p.loop.Pool, Types: pgwire.FromUnits, MaxLength: pgwire.MaxResponse}}
	n.SetWriteTimeout(span(p.connect))
	n.AddCloseCallback(func(netpoll.Connection) error {
		// No read is under way here, and none follows.
		c.split.Free()
		c.answer.Free()
		p.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.close(metrics.ClosedByPeer) }))
		return nil
	})
	n.SetOnRequest(func(_ context.Context, n netpoll.Connection) error { return c.read(n) })
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		l.RunAt(begun+p.connect, func() {
			if c.state == starting {
				c.close(metrics.ClosedByConnectTimeout)
			}
		})
	}))
	_, err = n.Write(p.hello)
	p.loop.Post(pipeline.Func(func(*pipeline.Loop) {
		if err != nil || !n.IsActive() {
			c.close(metrics.ClosedByPeer)
		}
		c.wrote()
	}))
}

// wrote tells that a write off the loop has returned. The unit's answer to it may have been read before that, and the
// library refuses a write while another one has not returned: the next query would seem to have had no connection.
func (c *conn) wrote() {
	if c.writing = false; c.held && c.state != dead {
		c.held = false
		c.rest()
	}
}

// missed ends the oldest leg that waits for a connection which did not come up, when no other is coming.
func (p *Pool) missed(u *unit) {
	for len(u.waiting) > u.coming {
		leg := u.waiting[0]
		u.waiting = u.waiting[1:]
		p.loop.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.ConnectFailed, Duration: p.loop.Clock.Now() - leg.StartedAt})
	}
}

// close ends the connection, on the loop; whatever leg it carried ends by what is known of it.
func (c *conn) close(why metrics.CloseReason) {
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
	case settling:
		c.unit.coming--
		p.serve(c.unit)
	case idle:
		for i, d := range c.unit.idle {
			if d == c {
				c.unit.idle = append(c.unit.idle[:i], c.unit.idle[i+1:]...)
				break
			}
		}
	case busy:
		if c.leg == nil || why == metrics.ClosedByAttemptEnd {
			break // it has ended, or whoever gave it up books it
		}
		if sent := c.sentAt.Load(); sent == 0 {
			p.loop.EndAttempt(c.leg, pipeline.AttemptResult{Outcome: relay.ConnectFailed, Duration: now - c.leg.StartedAt})
		} else {
			p.loop.EndAttempt(c.leg, pipeline.AttemptResult{Outcome: relay.ConnectionBroken, Duration: now - float64(sent)/1e9})
		}
	}
	c.leg = nil
}

// begin sends a leg on an idle connection.
func (c *conn) begin(leg *pipeline.Attempt) {
	c.state, c.leg = busy, leg
	leg.Conn = c
	c.queries++
	c.sentAt.Store(0)
	var out *buffer.Chain
	if leg.Request != nil {
		out = leg.Message(c.pool.loop.Pool, c.pool.loop.Clock.Now())
	} else {
		out = c.pool.loop.Pool.Filled(c.pool.probe)
	}
	if out.Len() <= inlineSize {
		c.net.SetWriteTimeout(limits.InlineWriteTimeout)
		c.write(leg, out)
		return
	}
	c.net.SetWriteTimeout(0) // the leg's own time-out closes the connection
	c.writing = true
	go func() {
		c.write(leg, out)
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.wrote() }))
	}()
}

// write sends a message in two steps, all but the last byte and then that: as long as the first has not
// succeeded, the unit has surely not begun. It uses the connection's own Write alone, which holds it against
// being closed meanwhile; netpoll's Writer does not. A leg that has become late by then stops short of its last byte.
func (c *conn) write(leg *pipeline.Attempt, out *buffer.Chain) {
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
		now := c.pool.loop.Clock.Now()
		if leg.SendExpired(now) {
			return errLate
		}
		c.sentAt.Store(int64(now * 1e9))
		_, err := c.net.Write(last)
		if errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET) {
			c.sentAt.Store(0) // the kernel took nothing of it; after any other error it may have gone, or may yet
		}
		return err
	})
	switch {
	case errors.Is(err, errLate):
		c.pool.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
			if c.leg == leg {
				c.close(metrics.ClosedByAttemptEnd)
				l.Metrics.Add(metrics.AttemptsReleased, 1)
				l.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.NotSent})
			}
		}))
	case err != nil:
		c.pool.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.close(metrics.ClosedByWriteError) }))
	}
}

// read takes what has come, on the goroutine of the connection.
func (c *conn) read(n netpoll.Connection) error {
	r := n.Reader()
	for r.Len() > 0 {
		at := c.pool.loop.Clock.Now()
		b, err := r.Next(min(r.Len(), buffer.Size))
		if err == nil {
			err = c.split.Feed(b, func(m pgwire.Message) error { return c.take(m, at) })
		}
		if err != nil {
			c.pool.loop.Metrics.Add(metrics.BadInput, 1)
			c.pool.loop.Post(protocolError{c, err})
			r.Skip(r.Len())
			break
		}
	}
	if c.answer != nil || c.split.Partial() {
		c.pool.loop.Post(begun{c})
	}
	return r.Release()
}

// begun tells that an answer has begun and is not whole.
type begun struct{ c *conn }

// Take gives the rest a little time: units send an answer in one go.
func (e begun) Apply(l *pipeline.Loop) {
	c, leg := e.c, e.c.leg
	if c.state == idle || c.state == settling {
		protocolError{c, errUnasked}.Apply(l) // it came behind the last answer
	}
	if leg == nil || leg == c.partly {
		return
	}
	c.partly = leg
	l.RunAt(l.Clock.Now()+limits.ResponseRestTimeout.Seconds(), func() {
		if c.leg == leg {
			protocolError{c, errCut}.Apply(l)
		}
	})
}

var (
	errState   = errors.New("message out of place")
	errUnasked = errors.New("more than was asked for")
	errCut     = errors.New("an answer without its end")
	errLate    = errors.New("too late to be sent")
)

// take reads one message of the unit.
func (c *conn) take(m pgwire.Message, at relay.Seconds) error {
	defer m.Body.Free()
	switch m.Type {
	case 'R', 'K', 'N': // no password is asked for; notices are passed over
		return nil
	case 'S': // one that can't be read is passed over: the answer beside it may be good
		if name, value, err := pgwire.ParseStatus(m.Body.Bytes()); err == nil && name == reportName {
			c.report = pgwire.ParseLoadReport(value, c.pool.loop.Site.LoadReportFields)
		}
		return nil
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
		if c.row = ""; len(value) <= limits.MaxLoadReportBytes {
			c.row = string(value)
		}
	case 'C':
		if c.answer == nil || c.rows != 1 {
			return errState
		}
		if err := pgwire.CheckComplete(m.Body.Bytes()); err != nil {
			return err
		}
	case 'E':
		c.answer.Free() // of a row before it: nothing that comes later may complete that
		c.answer = nil
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
		c.pool.loop.Post(answered{c: c, at: at, how: relay.Succeeded, answer: c.answer, row: c.row, report: c.report})
		c.answer = nil
	}
	return nil
}

// outcome is what an error code says of the query.
func outcome(code string) relay.Outcome {
	if code == pgwire.CodeFull {
		return relay.RejectedByEndpoint
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
func (e answered) Apply(l *pipeline.Loop) {
	c, leg, sent := e.c, e.c.leg, float64(e.c.sentAt.Load())/1e9
	switch {
	case c.state == starting:
		c.fault = fmt.Errorf("%s %s", e.code, e.text)
		c.close(metrics.ClosedByStartupError)
	case leg == nil && e.code != "":
		c.close(metrics.ClosedByPeer) // unasked: it is about to close
	case leg == nil || sent == 0 || e.at < sent:
		protocolError{c, errUnasked}.Apply(l)
	}
	if c.state == dead {
		e.answer.Free()
		return
	}
	end := pipeline.AttemptResult{Outcome: e.how, Response: e.answer, LoadReport: e.report, Duration: e.at - sent}
	if leg.Request == nil && len(l.Site.LoadReportFields) > 0 {
		end.LoadReport = pgwire.ParseLoadReport(e.row, l.Site.LoadReportFields)
	} else if !l.Site.LoadReportInAttempts {
		end.LoadReport = nil
	}
	if e.code == pgwire.CodeProtocol {
		l.Log.WithField("endpoint", c.unit.name).Error("endpoint reported a protocol error: " + e.text)
	}
	c.leg, c.last = nil, e.at
	l.RunAt(l.Clock.Now()+limits.ResponseRestTimeout.Seconds(), func() {
		if c.state == busy && c.leg == nil && c.last == e.at {
			protocolError{c, errCut}.Apply(l) // it never said that it is ready, and would stay for good
		}
	})
	l.EndAttempt(leg, end)
}

// protocolError is what could not be read, or came unasked. The connection is of no further use.
type protocolError struct {
	c   *conn
	why error
}

// Take ends the connection, and the leg on it as one that may have run if it was written whole.
func (e protocolError) Apply(l *pipeline.Loop) {
	e.c.fault = e.why
	if e.c.last > 0 && e.c.leg == nil {
		e.c.fault = fmt.Errorf("%w, %.1f ms behind the last answer", e.why, (l.Clock.Now()-e.c.last)*1000)
	}
	e.c.close(metrics.ClosedByBadInput)
}

// ready tells that a connection can take a query.
type ready struct{ c *conn }

// Take gives the connection to whoever waits for one.
func (e ready) Apply(l *pipeline.Loop) {
	c := e.c
	switch {
	case c.state == starting:
		c.rest()
	case c.state == busy && c.leg == nil:
		c.state = settling
		c.unit.coming++
		l.RunAt(l.Clock.Now()+limits.ResponseSettleTime.Seconds(), func() {
			if c.state == settling {
				c.rest()
			}
		})
	case c.state == busy || c.state == idle || c.state == settling:
		protocolError{c, errUnasked}.Apply(l) // no answer, no error, or no query
	}
}

// rest makes the connection an idle one, and gives it to whoever waits for one.
func (c *conn) rest() {
	if c.writing {
		c.held = true
		return
	}
	c.unit.coming--
	c.state, c.since = idle, c.pool.loop.Clock.Now()
	c.unit.idle = append(c.unit.idle, c)
	if c.address != c.unit.address {
		c.close(metrics.ClosedByAddressChange)
	} else if c.unit.leaving {
		c.close(metrics.ClosedByDrain) // dialled before the news, or answered after it
	}
	c.pool.serve(c.unit)
}

// unfit says why an idle connection can't take a query: it has ended, and the query might seem to have run, or
// something has come on it that would be taken for the answer.
func (c *conn) unfit() metrics.CloseReason {
	if !c.net.IsActive() {
		return metrics.ClosedByPeer
	}
	if c.net.Reader().Len() > 0 {
		return metrics.ClosedByBadInput
	}
	if n, ok := c.net.(netpoll.Conn); ok {
		switch came, ended := sockets.Look(n.Fd()); {
		case ended:
			return metrics.ClosedByPeer
		case came:
			return metrics.ClosedByBadInput
		}
	}
	return ""
}
