package clients

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// conn is one client's connection. It is of three goroutines: the loop, a poller's that reads, and the one that writes
// its outbox.
type conn struct {
	// Constant.
	server     *Server
	net        netpoll.Connection
	acceptedAt relay.Seconds

	outbox outbox

	// Of the goroutine that reads.
	splitter       pgwire.Splitter
	startupPackets int

	// Of the loop.
	current     *inputMessage   // whose turn it is; nil: idle
	queued      []*inputMessage // that wait for their turn
	idleSince   relay.Seconds   // when the last response was written
	listElement *list.Element   // in list, while it has no open request
	list        *list.List      // Server.awaitingStartup or Server.idle
	overLimit   bool            // accepted beyond Server.maxConns
	closing     bool

	// Of any goroutine.
	startupReceived atomic.Bool
	startupAnswered atomic.Bool
	partialSince    atomic.Int64 // ns of the loop's clock when a message was last seen to be incomplete; 0: none is
	closedAsIdle    atomic.Bool
	inputIgnored    atomic.Bool
	unanswered      atomic.Int64 // requests read and not yet responded to
	requestCount    atomic.Int64

	mu          sync.Mutex // guards what follows, and that the descriptor is this connection's own
	closed      bool       // the descriptor is about to be closed
	closeReason metrics.CloseReason
	fault       error // what was wrong with what came
}

// handleClosed runs once when the connection has ended, with no read under way.
func (c *conn) handleClosed(netpoll.Connection) error {
	c.mu.Lock()
	c.closed = true
	if c.closeReason == "" {
		c.closeReason = metrics.ClosedByPeer
	}
	reason, fault := c.closeReason, c.fault
	c.mu.Unlock()
	if c.closedAsIdle.Load() {
		c.rejectUnanswered()
	}
	c.splitter.Free()
	s := c.server
	s.openConns.Add(-1)
	s.loop.Metrics.Add(metrics.ClientConnsOpen, -1)
	end := metrics.ConnectionEnd{
		Peer:     metrics.PeerClient,
		Name:     c.net.RemoteAddr().String(),
		Reason:   reason,
		Age:      s.loop.Clock.Now() - c.acceptedAt,
		Requests: int(c.requestCount.Load()),
		Err:      fault,
	}
	end.Log(s.loop.Log)
	s.loop.Post(pipeline.Func(func(*pipeline.Loop) { s.removeConn(c) }))
	return nil
}

// removeConn forgets a connection that has ended, and ends its requests. On the loop.
func (s *Server) removeConn(c *conn) {
	delete(s.conns, c)
	c.setIdle(false)
	if c.current != nil && c.current.request != nil {
		s.loop.ClientLeft(c.current.request)
	}
	for _, message := range c.queued {
		message.discard()
	}
	c.current, c.queued = nil, nil
	s.finishShutdown()
}

// setIdle notes whether the connection is idle. On the loop.
func (c *conn) setIdle(idle bool) {
	if c.listElement != nil {
		c.list.Remove(c.listElement)
		c.listElement = nil
	}
	if !idle || c.closing {
		return
	}
	c.list = &c.server.awaitingStartup
	if c.startupReceived.Load() {
		c.list = &c.server.idle
	}
	c.listElement = c.list.PushBack(c)
}

// setCloseReason notes why the connection is closed; the first reason holds. On any goroutine.
func (c *conn) setCloseReason(reason metrics.CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// setFault notes what was wrong with what came. On any goroutine.
func (c *conn) setFault(fault error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}
