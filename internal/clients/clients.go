// Package clients takes connections and queries in from clients, and answers them in order. A connection
// holds one open query at a time; more that come on it wait their turn, within a bound.
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

// Server accepts clients.
type Server struct {
	loop *pipeline.Loop
	most int64 // descriptors for clients
	tidy int64 // connections from which on the idle ones make room
	over int64 // and for those that are told it is full
	open atomic.Int64
	last atomic.Uint32
	ln   net.Listener
	deaf atomic.Bool

	// Of the loop.
	conns    map[*conn]struct{}
	silent   list.List     // of *conn that have said no startup yet, the eldest first
	idle     list.List     // of the others with no open query, the one idle for longest first
	lastWord relay.Seconds // by which queries that come after SIGTERM have their final answer; 0: no SIGTERM yet
	stopping bool
	stopped  func()

	reading atomic.Pointer[func()] // a test's: called before what has come is looked at
}

// New returns a server for at most so many connections, and so many over that which are told that it is full.
func New(l *pipeline.Loop, most, over int) *Server {
	return &Server{loop: l, most: int64(most), tidy: int64(limits.ReclaimFraction * float64(most)), over: int64(over),
		conns: map[*conn]struct{}{}}
}

// Listen binds the address and serves it until Shutdown. Should the listener fail before that, failed is called.
func (s *Server) Listen(address string, failed func(error)) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.ln = ln
	ev, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error { return ctx.Value(connKey{}).(*conn).read() },
		netpoll.WithOnPrepare(s.accept))
	if err != nil {
		ln.Close()
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		if err := ev.Serve(ln); !s.deaf.Load() {
			failed(fmt.Errorf("the listener failed: %w", err))
		}
	}()
	return nil
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close ends the listener at once; connections stay as they are.
func (s *Server) Close() error {
	s.deaf.Store(true)
	sockets.StopAccepting(s.ln)
	return s.ln.Close()
}

type connKey struct{}

// accept makes the record of a new connection.
func (s *Server) accept(n netpoll.Connection) context.Context {
	now := s.loop.Clock.Now()
	c := &conn{server: s, net: n, begun: now, idleAt: now,
		split: pgwire.Splitter{Pool: s.loop.Pool, Startup: true, Discard: true}}
	open := s.open.Add(1)
	s.loop.Metrics.Add(metrics.ClientConns, 1)
	s.loop.Metrics.Add(metrics.ClientConnsOpen, 1)
	n.SetWriteTimeout(limits.ClientWriteTimeout)
	n.AddCloseCallback(c.closed)
	if open > s.most+s.over {
		// The first query may have come already, so the client is told that nothing was done with it: a close alone
		// says that, too, but not that trying again at once is no use.
		s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
		n.Write(pgwire.ErrorResponse(pgwire.Fatal, pgwire.CodeFull, errFull.Error(), s.loop.RetryAfterDetail()))
		c.end(metrics.ClosedByLimit)
		return context.Background()
	}
	s.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		s.conns[c] = struct{}{}
		c.rests(true)
		if room := s.open.Load() <= s.tidy || s.evictIdle(); !room && s.open.Load() > s.most {
			s.loop.Metrics.Add(metrics.ConnLimitReached, 1)
			c.full = true
		}
		if s.stopping {
			c.rest() // it came in just before the listener went
		}
		l.RunAt(now+limits.StartupTimeout.Seconds(), c.late)
	}))
	return context.WithValue(context.Background(), connKey{}, c)
}

// evictIdle closes the connection that has been silent or idle for longest, if that was long enough. Clients keep
// connections that they may never use again, and some connect by the hundred and say nothing. On the loop.
func (s *Server) evictIdle() bool {
	for _, of := range [...]struct {
		list  *list.List
		least time.Duration
	}{{&s.silent, limits.MinIdleBeforeStartup}, {&s.idle, limits.MinClientIdleTime}} {
		for at := of.list.Front(); at != nil; at = at.Next() {
			c := at.Value.(*conn)
			if s.loop.Clock.Now()-c.idleAt < of.least.Seconds() {
				break
			}
			if c.evict(metrics.ClosedByIdleTimeout) {
				return true
			}
		}
	}
	return false
}

// Shutdown ends service gracefully: for a little while new connections still come and are served, then the listener goes,
// and each connection is closed between its queries. Call it on the loop; then runs when all are closed.
func (s *Server) Shutdown(then func()) {
	now := s.loop.Clock.Now()
	s.loop.OpenService() // whoever waits for a list hears that there is none
	s.lastWord = now + min(s.loop.Site.MaxDeadline(), limits.PlatformMaxDeadline) + limits.KillDelay - limits.FinalAnswerMargin
	s.loop.RunAt(now+limits.ShutdownAcceptTime.Seconds(), func() {
		s.stopping, s.stopped = true, then
		s.stopAccepting()
		for c := range s.conns {
			c.rest()
		}
		s.check()
	})
}

// stopAccepting takes the listening socket out of service. What the kernel has accepted is taken out of its backlog first, as
// it would be reset there, with a first query that may have come.
func (s *Server) stopAccepting() {
	if sockets.Backlog(s.ln) && s.loop.Clock.Now() < s.lastWord {
		s.loop.RunAt(s.loop.Clock.Now()+limits.RecheckDelay.Seconds(), s.stopAccepting)
		return
	}
	s.deaf.Store(true)
	sockets.StopAccepting(s.ln)
	s.check()
}

func (s *Server) check() {
	if s.stopping && s.deaf.Load() && len(s.conns) == 0 && s.open.Load() == 0 && s.stopped != nil {
		s.stopped()
		s.stopped = nil
	}
}
