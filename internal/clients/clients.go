// Package clients takes connections and queries in from clients, and answers them in order. A connection
// holds one open query at a time; more that come on it wait their turn, within a bound.
package clients

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
)

// Server accepts clients.
type Server struct {
	loop *stage.Loop
	most int64 // descriptors for clients
	tidy int64 // connections from which on the idle ones make room
	over int64 // and for those that are told it is full
	open atomic.Int64
	last atomic.Uint32
	ln   net.Listener
	deaf atomic.Bool

	// Of the loop.
	conns    map[*conn]struct{}
	idle     list.List // of *conn with no open query, the one idle for longest first
	stopping bool
	stopped  func()
}

// New returns a server for at most so many connections, and so many over that which are told that it is full.
func New(l *stage.Loop, most, over int) *Server {
	return &Server{loop: l, most: int64(most), tidy: int64(limits.TidyPart * float64(most)), over: int64(over),
		conns: map[*conn]struct{}{}}
}

// Listen binds the address and serves it until Stop. Should the listener fail before that, failed is called.
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

type connKey struct{}

// accept makes the record of a new connection.
func (s *Server) accept(n netpoll.Connection) context.Context {
	now := s.loop.Clock.Now()
	c := &conn{server: s, net: n, begun: now, idleAt: now,
		split: pgwire.Splitter{Pool: s.loop.Pool, Startup: true, Shed: true}}
	open := s.open.Add(1)
	s.loop.Stats.Add(stats.ClientConns, 1)
	s.loop.Stats.Add(stats.ClientConnsOpen, 1)
	n.SetWriteTimeout(limits.AnswerWait)
	n.AddCloseCallback(c.closed)
	if open > s.most+s.over {
		s.loop.Stats.Add(stats.BoundConns, 1)
		c.end(stats.ByBound)
		return context.Background()
	}
	s.loop.Post(stage.Call(func(l *stage.Loop) {
		s.conns[c] = struct{}{}
		c.rests(true)
		if room := s.open.Load() <= s.tidy || s.makeRoom(); !room && s.open.Load() > s.most {
			s.loop.Stats.Add(stats.BoundConns, 1)
			c.full = true
		}
		if s.stopping {
			c.rest() // it came in just before the listener went
		}
		l.At(now+limits.StartupWait.Seconds(), func() {
			if !c.started.Load() {
				c.shut(stats.ByLateConnect)
			}
		})
	}))
	return context.WithValue(context.Background(), connKey{}, c)
}

// makeRoom closes the connection that has been idle for longest, if that was long enough. Clients keep
// connections that they may never use again. On the loop.
func (s *Server) makeRoom() bool {
	front := s.idle.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*conn)
	if s.loop.Clock.Now()-c.idleAt < limits.IdleLeast.Seconds() {
		return false
	}
	c.shut(stats.ByIdle)
	return true
}

// Stop ends service: for a little while new connections still come and are served, then the listener goes,
// and each connection is closed between its queries. Call it on the loop; then runs when all are closed.
func (s *Server) Stop(then func()) {
	s.loop.At(s.loop.Clock.Now()+limits.StillComing.Seconds(), func() {
		s.stopping, s.stopped = true, then
		s.deafen()
		for c := range s.conns {
			c.rest()
		}
		s.check()
	})
}

// deafen takes the listening socket out of service without closing it: its number can't be taken by another
// socket while the poller still knows it.
func (s *Server) deafen() {
	s.deaf.Store(true)
	if t, ok := s.ln.(*net.TCPListener); ok {
		if raw, err := t.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		}
	}
}

func (s *Server) check() {
	if s.stopping && len(s.conns) == 0 && s.stopped != nil {
		s.stopped()
		s.stopped = nil
	}
}
