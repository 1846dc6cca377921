package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/httpwire"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// statusOK is the status code of an answer that has a list.
const statusOK = 200

var (
	// errServerClosedIdle is of a request that was written just as the server ended the idle connection.
	errServerClosedIdle = errors.New("the connection had ended")
	// errResponseTimeout is of a response that did not come, or not to its end, in time.
	errResponseTimeout = errors.New("no answer in time")
)

// pollError is why a poll ended without a list. Its text is that of the error that it wraps.
type pollError struct {
	reason metrics.CloseReason // of the connection
	err    error
}

// Error returns the text of the wrapped error.
func (e *pollError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *pollError) Unwrap() error { return e.err }

// stalled says that the service sent nothing in time, not even the end of the connection.
func (e *pollError) stalled() bool { return e.reason == metrics.ClosedByResponseTimeout }

// conn is a connection to the discovery service, which is dialed when needed and carries one request after the other. It
// belongs to one goroutine of the server.
type conn struct {
	server   *server
	forWatch bool               // it carries the polls of the watch
	net      netpoll.Connection // nil: not open
	openedAt time.Time
	requests int // since it was opened
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
	_ = c.net.Close() // nothing is left to be written
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

// get sends a poll and returns its list. A request that crossed the end of an idle connection has not reached the service
// and is retried once, on a new connection; any other is sent once.
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
		return List{}, c.badInput(err)
	}
	return list, nil
}

// ensureOpen dials unless the connection is open.
func (c *conn) ensureOpen() *pollError {
	if c.net != nil && !c.net.IsActive() {
		c.close(metrics.ClosedByPeer)
	}
	if c.net != nil {
		return nil
	}
	connection, err := netpoll.DialConnection("tcp", c.server.address, limits.DiscoveryDialTimeout)
	if err != nil {
		return &pollError{metrics.ClosedByConnectError, err}
	}
	c.net, c.openedAt, c.requests = connection, time.Now(), 0
	_ = connection.SetWriteTimeout(limits.DiscoveryDialTimeout) // it stores the value and has no error to report
	c.server.addConn(connection)
	return nil
}

// exchange writes the request of a poll and reads the response to it.
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

// readResponse reads up to the end of a response. One that pauses for too long is as stalled as one that never begins.
func (c *conn) readResponse(deadline time.Time) (httpwire.Response, *pollError) {
	var response httpwire.Response
	reader := c.net.Reader()
	for !response.Done() {
		timeout := time.Until(deadline)
		if timeout <= 0 {
			return response, &pollError{metrics.ClosedByResponseTimeout, errResponseTimeout}
		}
		if response.Started() {
			timeout = min(timeout, c.server.client.settings.nextChunk)
		}
		_ = c.net.SetReadTimeout(timeout) // it stores the value and has no error to report
		if _, err := reader.Peek(1); err != nil {
			return response, endOfInput(&response, err)
		}
		chunk, _ := reader.Next(reader.Len()) // that many bytes are there
		_, err := response.Feed(chunk)
		_ = reader.Release() // gives the buffer back; the next Peek reports what is wrong with the connection
		if err != nil {
			return response, c.badInput(err)
		}
	}
	return response, nil
}

// endOfInput says what the failure to read on means to a response: nothing if the connection may end there.
func endOfInput(response *httpwire.Response, err error) *pollError {
	if errors.Is(err, netpoll.ErrReadTimeout) {
		return &pollError{metrics.ClosedByResponseTimeout, err}
	}
	if response.End() != nil {
		return &pollError{metrics.ClosedByPeer, err}
	}
	return nil
}

// badInput counts an answer that can't be read.
func (c *conn) badInput(err error) *pollError {
	c.server.client.loop.Metrics.Add(metrics.BadInput, 1)
	return &pollError{metrics.ClosedByBadInput, err}
}
