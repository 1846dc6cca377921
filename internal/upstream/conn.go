package upstream

import (
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

const nanosPerSecond = 1e9

// connState is the state of a connection.
type connState int

const (
	stateStarting connState = iota // until the endpoint is ready for the first request
	stateIdle
	stateBusy      // from the start of a request until ReadyForQuery after its response
	stateSettling  // after ReadyForQuery, while unexpected further input may still follow the response
	stateVerifying // from the start of an empty query until ReadyForQuery after its response
	stateClosed
)

// conn is one connection to an endpoint. Its fields are grouped by the goroutines that use them: the loop goroutine,
// the one that reads (that of a netpoll poller, which makes one call at a time and ends with the close callback) and
// the one that writes a long request (write.go).
type conn struct {
	// Constant.
	pool     *Pool
	endpoint *endpointConns
	address  string // of the endpoint when the connection was dialled
	net      netpoll.Connection
	dialedAt relay.Seconds

	// Used by the loop goroutine only.
	state              connState
	attempt            *pipeline.Attempt // the attempt that waits for a response; nil if there is none
	partialAttempt     *pipeline.Attempt // the last attempt for which responseBegun started a timer
	idleSince          relay.Seconds
	lastResponseAt     relay.Seconds // when the last response was read; 0 before the first
	requestCount       int
	connErr            error           // what was wrong, for the log; nil if nothing was
	writing            bool            // a write on another goroutine has not returned; until then netpoll refuses a second one
	afterWrite         func()          // called when that write returns; may be nil
	verifyTimer        *pipeline.Timer // ends a verification that takes too long; nil before the first
	emptyQueryAnswered bool            // in stateVerifying

	// Used by the reading goroutine only.
	splitter     pgwire.Splitter
	response     *buffer.Chain // the part received so far; nil if no response has begun
	rowCount     int
	rowValue     string // empty if it is too long for a load report
	loadReport   []float32
	inputInvalid bool // input could not be parsed: the rest is discarded

	// Used by the loop goroutine and the writing goroutine.
	sentAt atomic.Int64 // when the last byte was written, in ns of the loop's clock; 0 before that
}

// sentTime returns the time at which the last byte of the request was written, if it was.
func (c *conn) sentTime() (at relay.Seconds, sent bool) {
	nanos := c.sentAt.Load()
	return float64(nanos) / nanosPerSecond, nanos != 0
}

// Cancel implements pipeline.UpstreamConn.
func (c *conn) Cancel() (sent bool) {
	c.close(metrics.ClosedByAttemptEnd)
	_, sent = c.sentTime() // after the close, so that a concurrent write has either set the time or fails
	return sent
}

// close closes the connection and ends the attempt that it carries, unless reason is ClosedByAttemptEnd: then the
// caller ends the attempt. Runs on the loop goroutine.
func (c *conn) close(reason metrics.CloseReason) {
	if c.state == stateClosed {
		return
	}
	previous := c.state
	c.pool.loop.StopTimer(c.verifyTimer)
	c.state = stateClosed
	now := c.pool.loop.Clock.Now()
	_ = c.net.Close() // nothing can be done about an error
	c.pool.connEnded(c.endpoint, metrics.ConnectionEnd{
		Reason:   reason,
		Age:      now - c.dialedAt,
		Requests: c.requestCount,
		Err:      c.connErr,
	})
	switch previous {
	case stateStarting:
		c.endpoint.pendingConns--
		c.pool.connectFailed(c.endpoint)
	case stateSettling, stateVerifying:
		c.endpoint.pendingConns--
		c.pool.serveWaiting(c.endpoint)
	case stateIdle:
		c.endpoint.removeIdle(c)
	case stateBusy:
		if c.attempt != nil && reason != metrics.ClosedByAttemptEnd {
			c.endBrokenAttempt(now)
		}
	}
	c.attempt = nil
}

// endBrokenAttempt ends the attempt of a connection that was lost: as one that may have run if its last byte was
// written, and otherwise as one that never ran.
func (c *conn) endBrokenAttempt(now relay.Seconds) {
	result := pipeline.AttemptResult{Outcome: relay.ConnectFailed, Duration: now - c.attempt.StartedAt}
	if sentAt, sent := c.sentTime(); sent {
		result = pipeline.AttemptResult{Outcome: relay.ConnectionBroken, Duration: now - sentAt}
	}
	c.pool.loop.EndAttempt(c.attempt, result)
}
