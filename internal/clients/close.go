package clients

import (
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/sockets"
	"lichenroad/relay"
)

const nanosPerSecond = 1e9

// closeNow closes the connection immediately. Safe for concurrent use.
func (c *conn) closeNow(reason metrics.CloseReason) {
	c.setCloseReason(reason)
	c.inputIgnored.Store(true)
	c.closeSocket()
}

// closeSocket closes the connection. The first call makes netpoll call handleClosed.
func (c *conn) closeSocket() {
	_ = c.net.Close() // nothing can be done about an error
}

// halfClose closes the sending half of the connection, so that the client reads everything that was sent and then end
// of stream. The other half is closed when the client closes its side, or after limits.ClientCloseTimeout. Runs on the
// loop goroutine.
func (c *conn) halfClose(reason metrics.CloseReason) {
	c.setCloseReason(reason)
	c.inputIgnored.Store(true)
	c.closing = true
	c.setIdle(false)
	c.shutdownWrite()
	c.closeBy = c.server.loop.Clock.Now() + limits.ClientCloseTimeout.Seconds()
}

// poll reports whether the socket has unread input, and whether the client has closed it or it has an error. Input may be
// unread though the client has closed. Both are false once this side has closed.
func (c *conn) poll() (readable, ended bool) {
	c.mu.Lock() // keeps the descriptor from being closed and reused meanwhile
	defer c.mu.Unlock()
	if n, ok := c.net.(netpoll.Conn); ok && !c.closed {
		return sockets.Poll(n.Fd())
	}
	return false, false
}

// isClosed reports whether this side has closed the connection. Safe for concurrent use.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// shutdownWrite closes the sending half of the socket.
func (c *conn) shutdownWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.net.(netpoll.Conn); ok && !c.closed {
		_ = syscall.Shutdown(n.Fd(), syscall.SHUT_WR) // on failure the connection has ended or is closed soon anyway
	}
}

// quiescent reports whether no input on the connection still needs a response: no open request, none on its way to the
// loop, no partial message, and nothing in the buffers of the library and the socket. A partial message counts only
// until limits.PartialMessageTimeout, and not when requests are rejected anyway. Runs on the loop goroutine.
func (c *conn) quiescent() bool {
	hasRequests := c.current != nil || len(c.queued) > 0 || c.unanswered.Load() > 0
	startupOpen := c.startupReceived.Load() != c.startupAnswered.Load()
	if hasRequests || startupOpen || c.net.Reader().Len() > 0 {
		return false
	}
	if since := c.partialSince.Load(); since > 0 && !c.server.refusing {
		age := c.server.loop.Clock.Now() - float64(since)/nanosPerSecond
		if age < limits.PartialMessageTimeout.Seconds() {
			return false
		}
	}
	readable, ended := c.poll()
	return !readable && !ended
}

// closeIfQuiescent closes the connection if it is quiescent, and reports whether it did. Input that arrives after the
// close is not read, so the client can tell that it was not accepted and retries it elsewhere. Requests that are read
// between the check and the close are answered by rejectUnanswered. Runs on the loop goroutine.
func (c *conn) closeIfQuiescent(reason metrics.CloseReason) bool {
	if c.closing || !c.quiescent() {
		return false
	}
	c.closeAsIdle(reason)
	return true
}

// closeAsIdle closes the connection; rejectUnanswered answers what was read on it. Runs on the loop goroutine.
func (c *conn) closeAsIdle(reason metrics.CloseReason) {
	c.setCloseReason(reason)
	c.closedAsIdle.Store(true)
	c.closing = true
	c.setIdle(false)
	c.closeSocket()
}

// rejectUnanswered rejects requests that were read while the connection was being closed as idle: every request that
// was read must get a response. At this point netpoll no longer writes, but the descriptor is open until handleClosed
// returns, and nothing else uses it.
func (c *conn) rejectUnanswered() {
	if c.net.Reader().Len() > 0 {
		_ = c.read() // an error means that no more can be read
	}
	rejected := c.unanswered.Load()
	if rejected == 0 && c.startupReceived.Load() && !c.startupAnswered.Load() {
		rejected = 1 // the client sends its first request right behind the startup, or is about to
	}
	n, ok := c.net.(netpoll.Conn)
	if !ok || rejected == 0 {
		return
	}
	l := c.server.loop
	l.Metrics.Add(metrics.RejectedAfterClose, rejected)
	response := pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeShuttingDown, pipeline.MessageShuttingDown, l.RetryAfterDetail()))
	for range rejected {
		_, _ = unix.SendmsgN(n.Fd(), response, nil, nil, unix.MSG_NOSIGNAL) // the connection ends in any case
	}
}

// sweep enforces the timeouts of all connections. There is no timer for each connection, as timers would keep those of clients
// that come and go at full speed in memory. Runs on the loop goroutine, again and again.
func (s *Server) sweep() {
	now := s.loop.Clock.Now()
	for c := range s.conns {
		c.enforceTimeouts(now)
	}
	s.loop.RunAt(now+limits.TimeoutSweepInterval.Seconds(), s.sweep)
}

// enforceTimeouts closes the socket if the client has not closed its half in time, ends a connection without a startup, and fails
// one on which a message is incomplete for too long. Runs on the loop goroutine.
func (c *conn) enforceTimeouts(now relay.Seconds) {
	switch {
	case c.closeBy > 0:
		if now >= c.closeBy {
			c.closeSocket()
		}
	case c.inputIgnored.Load():
	case !c.startupReceived.Load():
		if now-c.acceptedAt >= limits.StartupTimeout.Seconds() {
			c.enforceStartupTimeout()
		}
	case c.messageLate(now):
		c.failInput(errMessageLate)
	}
}

// messageLate reports whether a message has been incomplete for too long. Input that was not read yet may complete it for a
// little longer.
func (c *conn) messageLate(now relay.Seconds) bool {
	began := float64(c.partialBegan.Load()) / nanosPerSecond
	late := now - began - limits.MessageTimeout.Seconds()
	if began == 0 || late < 0 {
		return false
	}
	readable, _ := c.poll()
	return late >= limits.MessageTimeoutGrace.Seconds() || !readable && c.net.Reader().Len() == 0
}

// enforceStartupTimeout closes a connection whose client has not sent a startup in time. Runs on the loop goroutine.
func (c *conn) enforceStartupTimeout() {
	if c.startupReceived.Load() || c.closing || c.closeIfQuiescent(metrics.ClosedByConnectTimeout) {
		return
	}
	c.halfClose(metrics.ClosedByConnectTimeout) // part of a startup packet has arrived
}
