package clients

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/readahead"
	"lichenroad/relay"
)

// conn is the connection of one client. Three goroutines use it: the loop goroutine, that of a netpoll poller, which
// reads, and the one that writes its outbox.
type conn struct {
	// Constant.
	server     *Server
	net        netpoll.Connection
	acceptedAt relay.Seconds

	outbox outbox

	// Used by the reading goroutine only.
	splitter       pgwire.Splitter
	startupPackets int

	// Used by the loop goroutine only.
	current     *inputMessage   // the message being processed; nil if none is
	queued      []*inputMessage // messages to be processed after current
	idleSince   relay.Seconds   // when the last response was written, or the connection was accepted
	listElement *list.Element   // the element in list; nil while a message is processed or the connection is closing
	list        *list.List      // Server.awaitingStartup or Server.idle
	overLimit   bool            // accepted beyond Server.maxConns
	closing     bool
	closeBy     relay.Seconds   // when the socket is closed after its sending half; 0 if that is open
	resumeTimer *pipeline.Timer // calls resumeBegin when the current request has waited for input for long; nil: none
	begun       bool            // the request of current was passed to the pipeline

	// Used by any goroutine.
	startupReceived atomic.Bool
	startupAnswered atomic.Bool
	partialSince    atomic.Int64 // when a message was last seen incomplete, in ns of the loop's clock; 0 if none is
	partialBegan    atomic.Int64 // when the first byte of that message was read, likewise
	closedAsIdle    atomic.Bool
	inputIgnored    atomic.Bool
	awaitingInput   atomic.Bool  // the current request begins when the input that has arrived is read
	unanswered      atomic.Int64 // requests that were read and have no response yet
	requestCount    atomic.Int64

	mu          sync.Mutex // guards the fields below, and keeps the descriptor open unless closed is set
	closed      bool       // the descriptor is about to be closed
	closeReason metrics.CloseReason
	connErr     error // what was wrong, for the log; nil if nothing was
}

// handleClosed runs once after the connection has ended. No read is in progress then.
func (c *conn) handleClosed(connection netpoll.Connection) error {
	readahead.Closing(connection)
	c.mu.Lock()
	c.closed = true
	if c.closeReason == "" {
		c.closeReason = metrics.ClosedByPeer
	}
	reason, connErr := c.closeReason, c.connErr
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
		Err:      connErr,
	}
	end.Log(s.loop.Log)
	s.loop.Post(pipeline.Func(func(*pipeline.Loop) { s.removeConn(c) }))
	return nil
}

// removeConn removes a connection that has ended, and ends its requests. Runs on the loop goroutine.
func (s *Server) removeConn(c *conn) {
	delete(s.conns, c)
	c.setIdle(false)
	s.loop.StopTimer(c.resumeTimer)
	switch {
	case c.current == nil || c.current.request == nil:
	case c.begun:
		s.loop.ClientLeft(c.current.request)
	default:
		c.current.discard()
	}
	for _, message := range c.queued {
		message.discard()
	}
	c.current, c.queued = nil, nil
	s.finishShutdown()
}

// setIdle adds the connection to the server's list of connections without a startup or of idle ones, or removes it from
// its list. A connection that is being closed is not added. Runs on the loop goroutine.
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

// setCloseReason records why the connection is closed; the first reason is kept. Safe for concurrent use.
func (c *conn) setCloseReason(reason metrics.CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// setConnErr records the error for which the connection is closed. Safe for concurrent use.
func (c *conn) setConnErr(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connErr = err
}
