package clients

import (
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/sockets"
)

const (
	nanosPerSecond = 1e9

	// messageShuttingDown is the text of the error to a request that was read while its connection was being closed.
	messageShuttingDown = "this relay is ending, nothing was done"
)

// closeNow closes the connection at once. On any goroutine.
func (c *conn) closeNow(reason metrics.CloseReason) {
	c.setCloseReason(reason)
	c.inputIgnored.Store(true)
	c.closeSocket()
}

// closeSocket closes the connection; netpoll calls handleClosed for the first call.
func (c *conn) closeSocket() {
	_ = c.net.Close() // there is nothing left to do about a failure
}

// halfClose closes the sending half, so that the client reads all that was sent and then the end, and the rest when the
// client has closed its half or is slow to. On the loop.
func (c *conn) halfClose(reason metrics.CloseReason) {
	c.setCloseReason(reason)
	c.inputIgnored.Store(true)
	c.closing = true
	c.setIdle(false)
	c.shutdownWrite()
	l := c.server.loop
	l.RunAt(l.Clock.Now()+limits.ClientCloseTimeout.Seconds(), c.closeSocket)
}

// shutdownWrite closes the sending half of the socket.
func (c *conn) shutdownWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.net.(netpoll.Conn); ok && !c.closed {
		_ = syscall.Shutdown(n.Fd(), syscall.SHUT_WR) // if it fails, the connection has ended or is closed a little later
	}
}

// quiescent says that nothing has come on the connection that is still to be responded to: not read and on its way to
// the loop, not half read, and not in the socket's buffer. On the loop.
func (c *conn) quiescent() bool {
	hasRequests := c.current != nil || len(c.queued) > 0 || c.unanswered.Load() > 0
	startupOpen := c.startupReceived.Load() != c.startupAnswered.Load()
	if hasRequests || startupOpen || c.net.Reader().Len() > 0 {
		return false
	}
	if since := c.partialSince.Load(); since > 0 {
		age := c.server.loop.Clock.Now() - float64(since)/nanosPerSecond
		if age < limits.PartialMessageTimeout.Seconds() {
			return false
		}
	}
	c.mu.Lock() // while it is held the descriptor is this connection's own
	defer c.mu.Unlock()
	n, ok := c.net.(netpoll.Conn)
	return c.closed || !ok || !sockets.Readable(n.Fd())
}

// closeIfQuiescent closes the connection if it is quiescent, and says whether it was. What comes from now on is not read,
// so that the client knows that it was not accepted and retries it elsewhere; what is read between the look and the close
// is answered by rejectUnanswered. On the loop.
func (c *conn) closeIfQuiescent(reason metrics.CloseReason) bool {
	if c.closing || !c.quiescent() {
		return false
	}
	c.setCloseReason(reason)
	c.closedAsIdle.Store(true)
	c.closing = true
	c.setIdle(false)
	c.closeSocket()
	return true
}

// rejectUnanswered rejects requests that were read as the connection was closed for being idle: a request that was read
// has to get a response. The library no longer writes, but the descriptor is open until handleClosed returns, and nothing
// else uses it.
func (c *conn) rejectUnanswered() {
	if c.net.Reader().Len() > 0 {
		_ = c.read() // an error means that no more can be read
	}
	owed := c.unanswered.Load()
	if owed == 0 && c.startupReceived.Load() && !c.startupAnswered.Load() {
		owed = 1 // a startup, with a request behind it or about to come
	}
	n, ok := c.net.(netpoll.Conn)
	if !ok || owed == 0 {
		return
	}
	l := c.server.loop
	l.Metrics.Add(metrics.RejectedAfterClose, owed)
	response := pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeShuttingDown, messageShuttingDown, l.RetryAfterDetail()))
	for range owed {
		_, _ = unix.SendmsgN(n.Fd(), response, nil, nil, unix.MSG_NOSIGNAL) // the connection ends in any case
	}
}

// enforceStartupTimeout ends a connection that has sent no startup in time. On the loop.
func (c *conn) enforceStartupTimeout() {
	if c.startupReceived.Load() || c.closing || c.closeIfQuiescent(metrics.ClosedByConnectTimeout) {
		return
	}
	c.halfClose(metrics.ClosedByConnectTimeout) // half of a startup has come
}
