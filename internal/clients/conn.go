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
	"golang.org/x/sys/unix"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/sockets"
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
	place    *list.Element // its place among the silent or idle ones, if it has no open query
	among    *list.List
	full     bool // over the bound
	shutting bool

	started atomic.Bool
	greeted atomic.Bool  // the startup is answered
	partial atomic.Int64 // ns of the loop's clock when a message was last seen to be not whole yet; 0: none is
	evicted atomic.Bool  // closed as nothing was open on it
	deaf    atomic.Bool  // nothing more is taken in
	ahead   atomic.Int64 // queries taken in and not yet answered
	queries atomic.Int64

	mu     sync.Mutex
	gone   bool // the descriptor is about to be closed
	reason metrics.CloseReason
	fault  error // what was wrong with what came
}

// item is what has its turn on a connection: the startup, a query, an empty one, or what could not be read.
type item struct {
	c     *conn
	hello bool
	q     *pipeline.Request
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
		c.reason = metrics.ClosedByPeer
	}
	why, fault := c.reason, c.fault
	c.mu.Unlock()
	if c.evicted.Load() {
		c.lastWords()
	}
	c.split.Free()
	s := c.server
	s.open.Add(-1)
	s.loop.Metrics.Add(metrics.ClientConnsOpen, -1)
	end := metrics.ConnectionEnd{Peer: metrics.PeerClient, Name: c.net.RemoteAddr().String(), Reason: why,
		Age: s.loop.Clock.Now() - c.begun, Requests: int(c.queries.Load()), Err: fault}
	end.Log(s.loop.Log)
	s.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
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
func (c *conn) end(why metrics.CloseReason) {
	c.because(why)
	c.deaf.Store(true)
	c.net.Close()
}

func (c *conn) because(why metrics.CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = why
	}
}

// halfClose closes this side, so that the client reads all that was sent and then the end, and the rest when the
// client has closed its side or is slow to. On the loop.
func (c *conn) halfClose(why metrics.CloseReason) {
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
	l.RunAt(l.Clock.Now()+limits.ClientCloseTimeout.Seconds(), func() { c.net.Close() })
}

// rests notes whether the connection is idle. On the loop.
func (c *conn) rests(is bool) {
	if c.place != nil {
		c.among.Remove(c.place)
		c.place = nil
	}
	if is && !c.shutting {
		if c.among = &c.server.silent; c.started.Load() {
			c.among = &c.server.idle
		}
		c.place = c.among.PushBack(c)
	}
}

// quiet says that nothing has come on the connection that is still to be answered: not read and on its way to the
// loop, not half read, and not in the socket's buffer. On the loop.
func (c *conn) quiet() bool {
	if c.current != nil || len(c.waiting) > 0 || c.ahead.Load() > 0 || c.started.Load() != c.greeted.Load() ||
		c.net.Reader().Len() > 0 {
		return false
	}
	if p := c.partial.Load(); p > 0 && c.server.loop.Clock.Now()-float64(p)/1e9 < limits.PartialMessageTimeout.Seconds() {
		return false
	}
	c.mu.Lock() // while it is held the descriptor is this connection's own
	defer c.mu.Unlock()
	n, ok := c.net.(netpoll.Conn)
	return c.gone || !ok || !sockets.Readable(n.Fd())
}

// evict closes the connection if it is quiet, and says whether it was. What comes from now on is not read, so that the
// client knows that it did not count and sends it once more elsewhere; what is read between the look and the close
// gets lastWords. On the loop.
func (c *conn) evict(why metrics.CloseReason) bool {
	if c.shutting || !c.quiet() {
		return false
	}
	c.because(why)
	c.evicted.Store(true)
	c.shutting = true
	c.rests(false)
	c.net.Close()
	return true
}

// lastWords refuses queries that were read as the connection was closed for being idle: a query that was read has to
// get an answer. The library no longer writes, but the descriptor is open until closed returns, and nothing else uses it.
func (c *conn) lastWords() {
	if c.net.Reader().Len() > 0 {
		c.read()
	}
	owed := c.ahead.Load()
	if owed == 0 && c.started.Load() && !c.greeted.Load() {
		owed = 1 // a startup, with a query behind it or about to come
	}
	n, ok := c.net.(netpoll.Conn)
	if !ok || owed == 0 {
		return
	}
	l := c.server.loop
	l.Metrics.Add(metrics.RejectedAfterClose, owed)
	answer := pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeShuttingDown, textEnding, l.RetryAfterDetail()))
	for range owed {
		unix.SendmsgN(n.Fd(), answer, nil, nil, unix.MSG_NOSIGNAL)
	}
}

// rest closes the connection if it is between queries, or else looks again when what has come is read; a new one gets
// a moment for its first query. On the loop.
func (c *conn) rest() {
	if c.current != nil || len(c.waiting) > 0 || c.shutting {
		return // the answer's end comes back here
	}
	l := c.server.loop
	now := l.Clock.Now()
	if first := c.begun + limits.FirstQueryTimeout.Seconds(); c.queries.Load() == 0 && now < first {
		l.RunAt(first, c.rest)
	} else if !c.evict(metrics.ClosedByShutdown) {
		l.RunAt(now+limits.RecheckDelay.Seconds(), c.rest)
	}
}

// late ends a connection that has said no startup in time.
func (c *conn) late() {
	if !c.started.Load() && !c.shutting && !c.evict(metrics.ClosedByConnectTimeout) {
		c.halfClose(metrics.ClosedByConnectTimeout) // half of a startup has come
	}
}

// read takes in what has come, on the goroutine of the connection.
func (c *conn) read() error {
	if hold := c.server.reading.Load(); hold != nil {
		(*hold)()
	}
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
		if c.partial.Store(0); c.split.Partial() && !c.deaf.Load() {
			c.partial.Store(max(1, int64(at*1e9)))
		}
	}
	return r.Release()
}

const textEnding = "this relay is ending, nothing was done"

// Complaints that are answered with a code of their own.
var (
	errNotOffered = errors.New("only simple queries are offered")
	errAhead      = fmt.Errorf("more than %d queries ahead of their answers", limits.MaxPipelinedQueries)
	errFull       = errors.New("too many connections")
)

// reject takes nothing more in; the complaint has its turn behind the queries that came before it.
func (c *conn) reject(err error) {
	c.deaf.Store(true)
	c.server.loop.Post(&item{c: c, bad: err})
}

// complain ends the connection over what came on it, with an ErrorResponse.
func (c *conn) complain(err error) {
	code, why := pgwire.CodeProtocol, metrics.ClosedByBadInput
	switch {
	case errors.Is(err, errFull):
		code, why = pgwire.CodeFull, metrics.ClosedByLimit
	case errors.Is(err, errAhead):
		code, why = pgwire.CodeTooLong, metrics.ClosedByLimit
	case errors.Is(err, errNotOffered):
		code = pgwire.CodeUnsupported
	case errors.Is(err, pgwire.ErrTooLong):
		code = pgwire.CodeTooLong
	case c.started.Load():
		code = pgwire.CodeSyntax
	}
	if why == metrics.ClosedByBadInput {
		c.server.loop.Metrics.Add(metrics.BadInput, 1)
	}
	c.because(why)
	c.mu.Lock()
	c.fault = err
	c.mu.Unlock()
	later := ""
	if code == pgwire.CodeFull {
		later = c.server.loop.RetryAfterDetail()
	}
	c.send(c.server.loop.Pool.Filled(pgwire.ErrorResponse(pgwire.Fatal, code, err.Error(), later)), func() {
		c.server.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.halfClose(why) }))
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
		c.end(metrics.ClosedByTerminate)
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
	if c.ahead.Add(1) > limits.MaxPipelinedQueries {
		it.drop()
		return errAhead
	}
	c.server.loop.Post(it)
	return nil
}

// query makes the record of a query; there is none of an empty one.
func (c *conn) query(m pgwire.Message, at relay.Seconds) (*pipeline.Request, error) {
	if m.Discarded {
		c.server.loop.Metrics.Add(metrics.BufferLimitReached, 1)
		return pipeline.NewRejected("no room for the query", at), nil
	}
	text, err := pgwire.Statement(m.Body.Bytes())
	if err != nil {
		return nil, err
	}
	if pgwire.IsEmpty(text) {
		m.Body.Free()
		return nil, nil
	}
	return pipeline.Accept(&c.server.loop.Site, text, m.Body, at)
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
		c.end(metrics.ClosedByCancelRequest)
	case pgwire.OpenSession:
		c.split.Startup = false
		c.started.Store(true)
		c.server.loop.Post(&item{c: c, hello: true})
	}
	return nil
}

// Take starts an item, or lets it wait for its turn.
func (it *item) Apply(l *pipeline.Loop) {
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
			c.greeted.Store(true)
			it.Respond(l.Pool.Filled(pgwire.StartupResponse(c.server.last.Add(1))))
		}
		return
	}
	if it.bad != nil {
		c.complain(it.bad)
		return
	}
	if it.q != nil {
		from := math.Max(it.q.Arrived, c.idleAt)
		if left := c.server.lastWord - from; c.server.lastWord > 0 { // the program may be killed behind that
			it.q.DeadlineMillis = min(it.q.DeadlineMillis, int64(math.Max(left, 0)*1000))
		}
		l.BeginRequest(it.q, from)
		return
	}
	l.OnServiceOpen(func() {
		it.Respond(l.Pool.Filled(pgwire.EmptyQueryResponse()))
	})
}

// Answer sends the answer to an item, and lets the next one have its turn when it is written.
func (it *item) Respond(answer *buffer.Chain) {
	c := it.c
	if c.current != it {
		answer.Free() // the client is gone
		return
	}
	c.send(answer, func() {
		if !it.hello {
			c.ahead.Add(-1)
		}
		c.server.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
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
