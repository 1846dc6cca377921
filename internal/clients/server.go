// Package clients accepts connections from clients, reads requests from them and writes the responses in the order of
// the requests. A connection has one open request at a time; a limited number of further requests are queued behind it.
//
// Input is posted to the pipeline's loop, which keeps the order of requests and the lists of idle connections. A
// netpoll poller runs the read callback of a connection, one call at a time, and its close callback after the last one.
// Each connection has a goroutine that writes while there is something to write (outbox.go). The package imports the
// codec (internal/pgwire), the limits (internal/limits), socket calls that Go lacks (internal/sockets), the bound on
// unread input (internal/readahead) and the counters.
package clients

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/readahead"
	"lichenroad/internal/sockets"
	"lichenroad/relay"
)

// Server accepts connections from clients. The goroutine of its listener ends with Close or Shutdown.
type Server struct {
	// Constant after Listen.
	loop         *pipeline.Loop
	maxConns     int64
	evictAbove   int64 // number of connections above which a new one causes an idle one to be closed
	maxOverLimit int64 // connections beyond maxConns that get an error after their startup; more are closed immediately
	listener     net.Listener

	// Used by any goroutine.
	parseSpace     sync.Pool // of *[]byte: where statements that are longer than a buffer are copied to be parsed
	openConns      atomic.Int64
	lastSession    atomic.Uint32
	listenerClosed atomic.Bool
	beforeRead     atomic.Pointer[func(*conn)] // for tests: called at the start of each read

	// Used by the loop goroutine only.
	conns           map[*conn]struct{}
	awaitingStartup list.List     // *conn whose client has not sent a startup yet, the oldest first
	idle            list.List     // *conn after startup without an open request, the longest idle first
	shutdownAt      relay.Seconds // when Shutdown was called
	respondBy       relay.Seconds // deadline after SIGTERM for the responses to all requests; 0 before SIGTERM
	shuttingDown    bool
	refusing        bool   // requests that have not begun are rejected, as the program ends
	onShutdown      func() // called once at the end of a shutdown
}

// New returns a server for at most maxConns connections. It keeps up to maxOverLimit more until their startup, to
// answer it with an error.
func New(l *pipeline.Loop, maxConns, maxOverLimit int) *Server {
	return &Server{
		loop:         l,
		maxConns:     int64(maxConns),
		evictAbove:   int64(limits.ReclaimFraction * float64(maxConns)),
		maxOverLimit: int64(maxOverLimit),
		conns:        map[*conn]struct{}{},
		parseSpace:   sync.Pool{New: func() any { return new([]byte) }},
	}
}

// Listen listens on a TCP address and serves connections until Close or Shutdown. If the listener fails before that,
// onFailure is called on another goroutine. The returned error wraps that of the socket or of netpoll's event loop.
func (s *Server) Listen(address string, onFailure func(error)) error {
	readahead.Install()
	listener, err := readahead.Listen(address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	sockets.SetSendBuffer(listener, limits.ClientSendBuffer)
	s.listener = listener
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error { return ctx.Value(connKey{}).(*conn).read() },
		netpoll.WithOnPrepare(s.accept))
	if err != nil {
		_ = listener.Close() // the error of the event loop is the one to report
		return fmt.Errorf("create event loop: %w", err)
	}
	s.loop.Post(pipeline.Func(func(*pipeline.Loop) { s.sweep() }))
	go func() {
		if err := events.Serve(listener); !s.listenerClosed.Load() {
			onFailure(fmt.Errorf("accept client connections: %w", err))
		}
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener immediately. It does not close connections.
func (s *Server) Close() error {
	s.listenerClosed.Store(true)
	sockets.StopAccepting(s.listener)
	return s.listener.Close()
}

// connKey is the context key for the *conn of a connection.
type connKey struct{}

// accept creates the conn of a new connection. netpoll calls it before the first read.
func (s *Server) accept(n netpoll.Connection) context.Context {
	now := s.loop.Clock.Now()
	c := &conn{
		server:     s,
		net:        n,
		acceptedAt: now,
		idleSince:  now,
	}
	held := func() int { return int(c.unanswered.Load()) }
	c.splitter = pgwire.Splitter{Pool: s.loop.Pool, Startup: true, Discard: true, Held: held}
	openConns := s.openConns.Add(1)
	s.loop.Metrics.Add(metrics.ClientConns, 1)
	s.loop.Metrics.Add(metrics.ClientConnsOpen, 1)
	_ = n.SetWriteTimeout(limits.ClientWriteTimeout) // never fails
	_ = n.AddCloseCallback(c.handleClosed)           // never fails
	if openConns > s.maxConns+s.maxOverLimit {
		s.rejectConn(c)
		return context.Background()
	}
	s.loop.Post(pipeline.Func(func(*pipeline.Loop) { s.addConn(c) }))
	return context.WithValue(readahead.Context(n), connKey{}, c)
}

// rejectConn sends an error on a connection beyond all limits and closes it. The client may have sent its first request
// already. A bare close would also tell it that the request had no effect, but not that an immediate retry is useless.
func (s *Server) rejectConn(c *conn) {
	s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
	message := pgwire.ErrorResponse(pgwire.Fatal, pgwire.CodeTooManyConnections, errTooManyConns.Error(), s.loop.RetryAfterDetail())
	_, _ = c.net.Write(message) // the connection is closed whether or not this succeeds
	c.closeNow(metrics.ClosedByLimit)
}

// addConn registers a new connection. Runs on the loop goroutine.
func (s *Server) addConn(c *conn) {
	s.conns[c] = struct{}{}
	c.setIdle(true)
	hasCapacity := s.openConns.Load() <= s.evictAbove || s.evictIdle()
	if !hasCapacity && s.openConns.Load() > s.maxConns {
		s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
		c.overLimit = true
	}
	if s.shuttingDown {
		c.closeWhenQuiescent() // the connection was accepted just before the listener closed
	}
}

// evictIdle closes the connection that has waited longest for its startup, or else the one that has been idle longest,
// if that time is long enough. It reports whether it closed one. Clients keep connections open that they may never use
// again, and some open hundreds of connections and send nothing. Runs on the loop goroutine.
func (s *Server) evictIdle() bool {
	return s.evictFrom(&s.awaitingStartup, limits.MinIdleBeforeStartup) || s.evictFrom(&s.idle, limits.MinClientIdleTime)
}

// evictFrom closes the first quiescent connection of a list that has been idle for at least minIdle, and reports
// whether there was one.
func (s *Server) evictFrom(conns *list.List, minIdle time.Duration) bool {
	for element := conns.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if s.loop.Clock.Now()-c.idleSince < minIdle.Seconds() {
			return false
		}
		if c.closeIfQuiescent(metrics.ClosedByIdleTimeout) {
			return true
		}
	}
	return false
}
