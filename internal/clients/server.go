// Package clients accepts the clients' connections, reads requests from them and writes the responses in the order of
// the requests. A connection has one open request at a time; more that come on it wait their turn, within a bound.
//
// What is read is posted to the pipeline's loop, which owns the order of requests and the lists of idle connections.
// Netpoll's pollers run the reading of a connection, one call at a time, and its close callback behind the last; a
// goroutine per connection writes while there is something to write (outbox.go). The package imports the codec
// (internal/pgwire), the bounds (internal/limits), the socket calls that Go lacks (internal/sockets) and the counters.
package clients

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/sockets"
	"lichenroad/relay"
)

// Server accepts clients. Its listener's goroutine ends with Close or Shutdown.
type Server struct {
	// Constant from Listen on.
	loop         *pipeline.Loop
	maxConns     int64
	evictAbove   int64 // connections from which on a new one has an idle one closed
	maxOverLimit int64 // connections beyond maxConns that are told of the limit; more are closed at once
	listener     net.Listener

	// Of any goroutine.
	openConns      atomic.Int64
	lastSession    atomic.Uint32
	listenerClosed atomic.Bool
	beforeRead     atomic.Pointer[func()] // for tests: called before what has come is looked at

	// Of the loop.
	conns           map[*conn]struct{}
	awaitingStartup list.List     // of *conn that have sent no startup yet, the oldest first
	idle            list.List     // of *conn that have and have no open request, the one idle for longest first
	respondBy       relay.Seconds // by which requests read after SIGTERM have their response; 0: no SIGTERM yet
	shuttingDown    bool
	onShutdown      func() // called once when all is closed
}

// New returns a server for at most maxConns connections, and maxOverLimit beyond those that are told of the limit.
func New(l *pipeline.Loop, maxConns, maxOverLimit int) *Server {
	return &Server{
		loop:         l,
		maxConns:     int64(maxConns),
		evictAbove:   int64(limits.ReclaimFraction * float64(maxConns)),
		maxOverLimit: int64(maxOverLimit),
		conns:        map[*conn]struct{}{},
	}
}

// Listen binds the address and serves it until Shutdown. Should the listener fail before that, failed is called, on a
// goroutine of its own. An error wraps that of the socket or the event loop.
func (s *Server) Listen(address string, failed func(error)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener = listener
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error { return ctx.Value(connKey{}).(*conn).read() },
		netpoll.WithOnPrepare(s.accept))
	if err != nil {
		_ = listener.Close() // the error before it is the one to report
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := events.Serve(listener); !s.listenerClosed.Load() {
			failed(fmt.Errorf("the listener failed: %w", err))
		}
	}()
	return nil
}

// Addr is the address that the server listens at.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener at once; connections stay as they are.
func (s *Server) Close() error {
	s.listenerClosed.Store(true)
	sockets.StopAccepting(s.listener)
	return s.listener.Close()
}

// connKey is the context key of a connection's *conn.
type connKey struct{}

// accept makes the record of a new connection. Netpoll calls it before the first read.
func (s *Server) accept(n netpoll.Connection) context.Context {
	now := s.loop.Clock.Now()
	c := &conn{
		server:     s,
		net:        n,
		acceptedAt: now,
		idleSince:  now,
		splitter:   pgwire.Splitter{Pool: s.loop.Pool, Startup: true, Discard: true},
	}
	openConns := s.openConns.Add(1)
	s.loop.Metrics.Add(metrics.ClientConns, 1)
	s.loop.Metrics.Add(metrics.ClientConnsOpen, 1)
	_ = n.SetWriteTimeout(limits.ClientWriteTimeout) // never fails
	_ = n.AddCloseCallback(c.handleClosed)           // the same
	if openConns > s.maxConns+s.maxOverLimit {
		s.rejectConn(c)
		return context.Background()
	}
	s.loop.Post(pipeline.Func(func(*pipeline.Loop) { s.addConn(c) }))
	return context.WithValue(context.Background(), connKey{}, c)
}

// rejectConn closes a connection beyond all bounds. The first request may have come already, so the client is told that
// nothing was done with it: a close alone says that, too, but not that a retry at once is of no use.
func (s *Server) rejectConn(c *conn) {
	s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
	message := pgwire.ErrorResponse(pgwire.Fatal, pgwire.CodeTooManyConnections, errTooManyConns.Error(), s.loop.RetryAfterDetail())
	_, _ = c.net.Write(message) // the connection ends whether or not the client takes it
	c.closeNow(metrics.ClosedByLimit)
}

// addConn takes a new connection in. On the loop.
func (s *Server) addConn(c *conn) {
	s.conns[c] = struct{}{}
	c.setIdle(true)
	hasCapacity := s.openConns.Load() <= s.evictAbove || s.evictIdle()
	if !hasCapacity && s.openConns.Load() > s.maxConns {
		s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
		c.overLimit = true
	}
	if s.shuttingDown {
		c.closeWhenQuiescent() // it was accepted just before the listener closed
	}
	s.loop.RunAt(c.acceptedAt+limits.StartupTimeout.Seconds(), c.enforceStartupTimeout)
}

// evictIdle closes the connection that has been without a startup, or else idle, for longest, if that was long enough.
// Clients keep connections that they may never use again, and some connect by the hundred and send nothing. It says
// whether one was closed. On the loop.
func (s *Server) evictIdle() bool {
	return s.evictFrom(&s.awaitingStartup, limits.MinIdleBeforeStartup) || s.evictFrom(&s.idle, limits.MinClientIdleTime)
}

// evictFrom closes the first connection of a list that nothing has come on, if it has been idle for at least minIdle.
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
