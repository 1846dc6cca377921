package clients

import (
	"container/list"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
	"lichenroad/relay"
)

// conn is one client's connection.
type conn struct {
	server *Server
	net    netpoll.Connection
	begun  relay.Seconds
	out    outbox

	// Of the goroutine that reads.
	split   pgwire.Splitter
	packets int // startup packets

	// Of the loop.
	current  *item
	waiting  []*item
	idleAt   relay.Seconds // when the last answer was written
	idle     *list.Element // its place among the idle ones, if it has no open query
	full     bool          // over the bound
	shutting bool

	started atomic.Bool
	deaf    atomic.Bool  // nothing more is taken in
	ahead   atomic.Int64 // queries taken in and not yet answered
	queries atomic.Int64

	mu     sync.Mutex
	gone   bool // the descriptor is about to be closed
	reason stats.Reason
	fault  error // what was wrong with what came
}

// item is what has its turn on a connection: the startup, a query, an empty one, or what could not be read.
type item struct {
	c     *conn
	hello bool
	q     *stage.Query
	bad   error
}

// drop gives up an item that never had its turn.
func (it *item) drop() {
	if it.q != nil {
		it.q.Text.Free()
	}
}

// closed runs once when the connection has ended, with no read under way.
func (c *conn) closed(netpoll.Connection) error {
	c.mu.Lock()
	c.gone = true
	if c.reason == "" {
		c.reason = stats.ByPeer
	}
	why, fault := c.reason, c.fault
	c.mu.Unlock()
	c.split.Free()
	s := c.server
	s.open.Add(-1)
	s.loop.Stats.Add(stats.ClientConnsOpen, -1)
	stats.LogEnd(s.loop.Log, "client", c.net.RemoteAddr().String(), why, s.loop.Clock.Now()-c.begun,
		int(c.queries.Load()), fault)
	s.loop.Post(stage.Call(func(l *stage.Loop) {
		delete(s.conns, c)
		c.rests(false)
		if c.current != nil && c.current.q != nil {
			l.ClientLeft(c.current.q)
		}
		for _, it := range c.waiting {
			it.drop()
		}
		c.current, c.waiting = nil, nil
		s.check()
	}))
	return nil
}

// end closes the connection at once.
func (c *conn) end(why stats.Reason) {
	c.because(why)
	c.deaf.Store(true)
	c.net.Close()
}

func (c *conn) because(why stats.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = why
	}
}

// shut closes this side, so that the client reads all that was sent and then the end, and the rest when the
// client has closed its side or is slow to. On the loop.
func (c *conn) shut(why stats.Reason) {
	c.because(why)
	c.deaf.Store(true)
	c.shutting = true
	c.rests(false)
	c.mu.Lock()
	if n, ok := c.net.(netpoll.Conn); ok && !c.gone {
		syscall.Shutdown(n.Fd(), syscall.SHUT_WR)
	}
	c.mu.Unlock()
	l := c.server.loop
	l.At(l.Clock.Now()+limits.CloseWait.Seconds(), func() { c.net.Close() })
}

// rests notes whether the connection is idle. On the loop.
func (c *conn) rests(is bool) {
	if c.idle != nil {
		c.server.idle.Remove(c.idle)
		c.idle = nil
	}
	if is && !c.shutting {
		c.idle = c.server.idle.PushBack(c)
	}
}

// rest closes the connection if it is between queries. On the loop.
func (c *conn) rest() {
	if c.current == nil && len(c.waiting) == 0 {
		c.shut(stats.ByShutdown)
	}
}

// read takes in what has come, on the goroutine of the connection.
func (c *conn) read() error {
	at := c.server.loop.Clock.Now()
	r := c.net.Reader()
	for r.Len() > 0 {
		b, err := r.Next(min(r.Len(), buffer.Size))
		if err != nil {
			break
		}
		if c.deaf.Load() {
			continue
		}
		if err := c.split.Feed(b, func(m pgwire.Message) error { return c.take(m, at) }); err != nil {
			c.reject(err)
		}
	}
	return r.Release()
}

// Complaints that are answered with a code of their own.
var (
	errNotOffered = errors.New("only simple queries are offered")
	errAhead      = fmt.Errorf("more than %d queries ahead of their answers", limits.Ahead)
	errFull       = errors.New("too many connections")
)

// reject takes nothing more in; the complaint has its turn behind the queries that came before it.
func (c *conn) reject(err error) {
	c.deaf.Store(true)
	c.server.loop.Post(&item{c: c, bad: err})
}

// complain ends the connection over what came on it, with an ErrorResponse.
func (c *conn) complain(err error) {
	code, why := pgwire.CodeProtocol, stats.ByBadInput
	switch {
	case errors.Is(err, errFull):
		code, why = pgwire.CodeFull, stats.ByBound
	case errors.Is(err, errAhead):
		code, why = pgwire.CodeTooLong, stats.ByBound
	case errors.Is(err, errNotOffered):
		code = pgwire.CodeNotKnown
	case errors.Is(err, pgwire.ErrTooLong):
		code = pgwire.CodeTooLong
	case c.started.Load():
		code = pgwire.CodeSyntax
	}
	if why == stats.ByBadInput {
		c.server.loop.Stats.Add(stats.BadInput, 1)
	}
	c.because(why)
	c.mu.Lock()
	c.fault = err
	c.mu.Unlock()
	c.send(c.server.loop.Pool.Filled(pgwire.ErrorAnswer(pgwire.Fatal, code, err.Error(), "")), func() {
		c.server.loop.Post(stage.Call(func(*stage.Loop) { c.shut(why) }))
	})
}

// take reads one message of the client.
func (c *conn) take(m pgwire.Message, at relay.Seconds) error {
	if c.deaf.Load() {
		m.Body.Free()
		return nil
	}
	if m.Type != 'Q' {
		defer m.Body.Free()
	}
	switch {
	case m.Type == 0:
		return c.startup(m.Body.Bytes())
	case m.Type == 'X':
		c.end(stats.ByTerminate)
		return nil
	case m.Type != 'Q':
		return errNotOffered
	}
	q, err := c.query(m, at)
	if err != nil {
		m.Body.Free()
		return err
	}
	it := &item{c: c, q: q}
	if q != nil {
		q.Client = it
		c.queries.Add(1)
	}
	if c.ahead.Add(1) > limits.Ahead {
		it.drop()
		return errAhead
	}
	c.server.loop.Post(it)
	return nil
}

// query makes the record of a query; there is none of an empty one.
func (c *conn) query(m pgwire.Message, at relay.Seconds) (*stage.Query, error) {
	if m.Lost {
		c.server.loop.Stats.Add(stats.BoundBuffers, 1)
		return stage.NoRoom("no room for the query", at), nil
	}
	text, err := pgwire.Statement(m.Body.Bytes())
	if err != nil {
		return nil, err
	}
	if pgwire.IsEmpty(text) {
		m.Body.Free()
		return nil, nil
	}
	return stage.TakeIn(&c.server.loop.Site, text, m.Body, at)
}

// startup answers a startup packet.
func (c *conn) startup(body []byte) error {
	const most = 3 // two requests for encryption and the startup
	if c.packets++; c.packets > most {
		return fmt.Errorf("%w: %d startup packets", pgwire.ErrMalformed, c.packets)
	}
	what, err := pgwire.ParseStartup(body)
	if err != nil {
		return err
	}
	switch what {
	case pgwire.OpenEncryption:
		c.send(c.server.loop.Pool.Filled([]byte{pgwire.NoEncryption}), nil)
	case pgwire.OpenCancel:
		c.end(stats.ByCancel)
	case pgwire.OpenSession:
		c.split.Startup = false
		c.started.Store(true)
		c.server.loop.Post(&item{c: c, hello: true})
	}
	return nil
}

// Take starts an item, or lets it wait for its turn.
func (it *item) Take(l *stage.Loop) {
	c := it.c
	if c.shutting {
		it.drop() // it crossed the end of the connection
		return
	}
	if c.current != nil {
		c.waiting = append(c.waiting, it)
		return
	}
	c.start(it)
}

func (c *conn) start(it *item) {
	l := c.server.loop
	c.current = it
	c.rests(false)
	if it.hello {
		if c.full {
			c.complain(errFull)
		} else {
			it.Answer(l.Pool.Filled(pgwire.Welcome(c.server.last.Add(1))))
		}
		return
	}
	if it.bad != nil {
		c.complain(it.bad)
		return
	}
	if it.q != nil {
		l.Begin(it.q, math.Max(it.q.Arrived, c.idleAt))
		return
	}
	l.WhenListed(func() {
		it.Answer(l.Pool.Filled(pgwire.EmptyAnswer()))
	})
}

// Answer sends the answer to an item, and lets the next one have its turn when it is written.
func (it *item) Answer(answer *buffer.Chain) {
	c := it.c
	if c.current != it {
		answer.Free() // the client is gone
		return
	}
	c.send(answer, func() {
		if !it.hello {
			c.ahead.Add(-1)
		}
		c.server.loop.Post(stage.Call(func(l *stage.Loop) {
			if c.current != it {
				return
			}
			c.current, c.idleAt = nil, l.Clock.Now()
			if len(c.waiting) > 0 {
				next := c.waiting[0]
				c.waiting = c.waiting[1:]
				c.start(next)
				return
			}
			c.rests(true)
			if c.server.stopping {
				c.rest()
			}
		}))
	})
}
