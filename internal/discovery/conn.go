package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/httpwire"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/readahead"
)

// maxChunk is how many bytes of a response are handled at once, so that no long one is copied as a whole.
const maxChunk = 64 << 10

// statusOK is the HTTP status code of an answer that contains a list.
const statusOK = 200

var (
	// errServerClosedIdle is the error if the server closed an idle connection just as a request was being written.
	errServerClosedIdle = errors.New("server closed the idle connection")
	// errResponseTimeout is the error if a response was not received completely in time.
	errResponseTimeout = errors.New("timed out waiting for the response")
)

// pollError is the error of a poll that ended without a list. It wraps the cause.
type pollError struct {
	reason metrics.CloseReason // for closing the connection
	err    error
}

// Error implements the error interface with the text of the cause.
func (e *pollError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *pollError) Unwrap() error { return e.err }

// stalled reports whether the service sent nothing in time, not even the end of the connection.
func (e *pollError) stalled() bool { return e.reason == metrics.ClosedByResponseTimeout }

// unreachable reports whether a poll that failed some time after its start shows that the service is down or cut off: there was
// no connection, or its end came too soon for a poll that had waited in the queue of a busy service.
func (e *pollError) unreachable(after time.Duration) bool {
	switch e.reason {
	case metrics.ClosedByConnectError:
		return true
	case metrics.ClosedByPeer, metrics.ClosedByStatusCode:
		return after < limits.PromptFailureTime
	default:
		return false
	}
}

// conn is a connection to the discovery service. It is dialed when needed and carries one request at a time. It is used by
// one goroutine of the server only.
type conn struct {
	server   *server
	forWatch bool               // the connection carries the polls of the watch
	net      netpoll.Connection // nil: not open
	openedAt time.Time
	requests int // number of requests since the connection was opened
}

// close closes and logs the connection, if it is open.
func (c *conn) close(reason metrics.CloseReason) {
	if c.net == nil {
		return
	}
	if c.server.isClosed() {
		reason = metrics.ClosedByAddressChange
	}
	c.server.removeConn(c.net)
	_ = c.net.Close() // no data is left to write
	c.net = nil
	end := metrics.ConnectionEnd{
		Peer:     metrics.PeerDiscovery,
		Name:     c.server.address,
		Reason:   reason,
		Age:      time.Since(c.openedAt).Seconds(),
		Requests: c.requests,
	}
	end.Log(c.server.client.loop.Log)
}

// get sends a poll and returns the list in the answer. If the service closed the idle connection at the same moment, the
// poll has not reached it and is retried once on a new connection. After any other error the poll is not retried.
func (c *conn) get(p poll) (List, *pollError) {
	c.server.client.loop.Metrics.Add(metrics.DiscoveryCalls, 1)
	list, failure := c.roundTrip(p)
	if failure != nil && errors.Is(failure, errServerClosedIdle) {
		c.close(metrics.ClosedByPeer)
		list, failure = c.roundTrip(p)
	}
	return list, failure
}

func (c *conn) roundTrip(p poll) (List, *pollError) {
	if failure := c.ensureOpen(); failure != nil {
		return List{}, failure
	}
	response, failure := c.exchange(p)
	if failure != nil {
		return List{}, failure
	}
	if response.Close {
		defer c.close(metrics.ClosedByPeer)
	}
	if response.Status != statusOK {
		return List{}, &pollError{metrics.ClosedByStatusCode, fmt.Errorf("status %d", response.Status)}
	}
	list, err := c.server.client.reader.Parse(response.Body)
	if err != nil {
		return List{}, c.badInputError(err)
	}
	return list, nil
}

// ensureOpen dials the service unless the connection is already open.
func (c *conn) ensureOpen() *pollError {
	if c.net != nil && !c.net.IsActive() {
		c.close(metrics.ClosedByPeer)
	}
	if c.net != nil {
		return nil
	}
	connection, err := readahead.Dial(c.server.address, limits.DiscoveryDialTimeout)
	if err != nil {
		return &pollError{metrics.ClosedByConnectError, err}
	}
	c.net, c.openedAt, c.requests = connection, time.Now(), 0
	_ = connection.SetWriteTimeout(limits.DiscoveryDialTimeout) // it only stores the value and cannot fail
	c.server.addConn(connection)
	return nil
}

// exchange sends the request of a poll and reads the response.
func (c *conn) exchange(p poll) (httpwire.Response, *pollError) {
	c.requests++
	if c.forWatch {
		c.server.beginWatchPoll(c.net)
	}
	writtenAt := time.Now()
	var response httpwire.Response
	var failure *pollError
	if _, err := c.net.Write([]byte(httpwire.Get(c.server.address, p.path))); err != nil {
		failure = &pollError{metrics.ClosedByPeer, err}
	} else {
		response, failure = c.readResponse(writtenAt.Add(p.timeout))
	}
	if failure == nil || failure.reason != metrics.ClosedByPeer {
		return response, failure
	}
	wasIdle := c.requests > 1
	if wasIdle && !response.Started() && time.Since(writtenAt) < limits.KeepAliveRaceWindow {
		failure.err = fmt.Errorf("%w: %w", errServerClosedIdle, failure.err)
	}
	return response, failure
}

// readResponse reads a response to its end. A response that pauses for too long counts as stalled, like one that never
// begins.
func (c *conn) readResponse(deadline time.Time) (httpwire.Response, *pollError) {
	var response httpwire.Response
	reader := c.net.Reader()
	for !response.Done() {
		timeout := time.Until(deadline)
		if timeout <= 0 {
			return response, &pollError{metrics.ClosedByResponseTimeout, errResponseTimeout}
		}
		if response.Started() {
			timeout = min(timeout, c.server.client.settings.chunkTimeout)
		}
		_ = c.net.SetReadTimeout(timeout) // it only stores the value and cannot fail
		if _, err := reader.Peek(1); err != nil {
			return response, endOfInput(&response, err)
		}
		chunk, _ := reader.Next(min(reader.Len(), maxChunk)) // cannot fail: all of these bytes are buffered
		_, err := response.Feed(chunk)
		_ = reader.Release() // the next Peek reports any error of the connection
		if err != nil {
			return response, c.badInputError(err)
		}
	}
	return response, nil
}

// endOfInput returns the error of a response after a failed read, or nil if the response is complete with the end of the
// connection.
func endOfInput(response *httpwire.Response, err error) *pollError {
	if errors.Is(err, netpoll.ErrReadTimeout) {
		return &pollError{metrics.ClosedByResponseTimeout, err}
	}
	if response.End() != nil {
		return &pollError{metrics.ClosedByPeer, err}
	}
	return nil
}

// badInputError counts an answer that cannot be parsed and returns its error.
func (c *conn) badInputError(err error) *pollError {
	c.server.client.loop.Metrics.Add(metrics.BadInput, 1)
	return &pollError{metrics.ClosedByBadInput, err}
}
