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

// connState is where a connection stands between dialling and its end.
type connState int

const (
	stateStarting connState = iota // until the endpoint is ready for the first request
	stateIdle
	stateBusy     // from the start of a request to ReadyForQuery behind its response
	stateSettling // ready again, but more of the response may be right behind
	stateClosed
)

// conn is one connection to an endpoint. Each of its fields says which goroutines use it: the loop, the one that reads
// (a poller's, one call at a time, up to the close callback) or the one that writes a long request (write.go).
type conn struct {
	// Constant.
	pool     *Pool
	endpoint *endpointConns
	address  string // which the endpoint had when it was dialled
	net      netpoll.Connection
	dialedAt relay.Seconds

	// Of the loop.
	state          connState
	attempt        *pipeline.Attempt // that waits for a response; nil: none
	partialAttempt *pipeline.Attempt // whose response has begun
	idleSince      relay.Seconds
	lastResponseAt relay.Seconds // when the last response was read; 0: none yet
	requestCount   int
	fault          error // what was wrong with what came
	writing        bool  // a write off the loop has not returned: until then the library refuses another one
	idleDeferred   bool  // it would be idle but for that

	// Of the goroutine that reads.
	splitter   pgwire.Splitter
	response   *buffer.Chain // as far as it has come; nil: none has begun
	rowCount   int
	rowValue   string // where it is short enough for a load report
	loadReport []float32

	// Of the loop and the goroutine that writes.
	sentAt atomic.Int64 // ns of the loop's clock when the last byte went; 0: not yet
}

// sentTime gives the time at which the last byte of the request went, if it has.
func (c *conn) sentTime() (at relay.Seconds, sent bool) {
	nanos := c.sentAt.Load()
	return float64(nanos) / nanosPerSecond, nanos != 0
}

// Cancel implements pipeline.UpstreamConn.
func (c *conn) Cancel() (sent bool) {
	c.close(metrics.ClosedByAttemptEnd)
	_, sent = c.sentTime() // after the close, so that a write under way either shows or fails
	return sent
}

// close ends the connection; the attempt that it carries ends by what is known of it. On the loop.
func (c *conn) close(reason metrics.CloseReason) {
	if c.state == stateClosed {
		return
	}
	previous := c.state
	c.state = stateClosed
	now := c.pool.loop.Clock.Now()
	_ = c.net.Close() // there is nothing left to do about a failure
	c.pool.connEnded(c.endpoint, metrics.ConnectionEnd{
		Reason:   reason,
		Age:      now - c.dialedAt,
		Requests: c.requestCount,
		Err:      c.fault,
	})
	switch previous {
	case stateStarting:
		c.endpoint.pendingConns--
		c.pool.connectFailed(c.endpoint)
	case stateSettling:
		c.endpoint.pendingConns--
		c.pool.serveWaiting(c.endpoint)
	case stateIdle:
		c.endpoint.removeIdle(c)
	case stateBusy:
		if c.attempt != nil && reason != metrics.ClosedByAttemptEnd { // else whoever gives the attempt up ends it
			c.breakAttempt(now)
		}
	}
	c.attempt = nil
}

// breakAttempt ends the attempt of a connection that has broken.
func (c *conn) breakAttempt(now relay.Seconds) {
	result := pipeline.AttemptResult{Outcome: relay.ConnectFailed, Duration: now - c.attempt.StartedAt}
	if sentAt, sent := c.sentTime(); sent {
		result = pipeline.AttemptResult{Outcome: relay.ConnectionBroken, Duration: now - sentAt}
	}
	c.pool.loop.EndAttempt(c.attempt, result)
}
