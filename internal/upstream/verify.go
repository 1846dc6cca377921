package upstream

import (
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
)

// Nothing in the protocol ties a response to its request, and endpoints may send more than one response. So a connection is
// verified between two requests: it settles for limits.ResponseSettleTime, and then carries an empty query. An endpoint answers
// queries in their order, so the response to the empty query comes behind all that was sent for the request before, however
// long that was held up, by the endpoint, by Nagle's algorithm on its side or by delayed acknowledgements on this one. What
// comes ahead of it is unsolicited, and ends the connection.

// settle begins the wait for unsolicited input behind a response. Runs on the loop goroutine.
func (c *conn) settle() {
	l := c.pool.loop
	c.state = stateSettling
	c.endpoint.pendingConns++
	l.RunAt(l.Clock.Now()+limits.ResponseSettleTime.Seconds(), func() {
		if c.state == stateSettling {
			c.verify()
		}
	})
}

// verify sends the empty query. While a write has not returned, it leaves that to writeReturned. Runs on the loop goroutine.
func (c *conn) verify() {
	if c.writing {
		c.afterWrite = c.verify
		return
	}
	if reason := c.outdatedReason(); reason != "" {
		c.close(reason)
		return
	}
	c.state, c.emptyQueryAnswered = stateVerifying, false
	l := c.pool.loop
	c.verifyTimer = l.RunAt(l.Clock.Now()+c.pool.connectTimeout, func() { c.close(metrics.ClosedByResponseTimeout) })
	_ = c.net.SetWriteTimeout(limits.InlineWriteTimeout) // never fails
	if _, err := c.net.Write(c.pool.emptyQueryMessage); err != nil {
		c.close(metrics.ClosedByWriteError)
	}
}

// outdatedReason returns the reason why the connection must not be used any more, or an empty string if it may: the endpoint has
// moved, or drains since the connection was dialled or used.
func (c *conn) outdatedReason() metrics.CloseReason {
	switch {
	case c.address != c.endpoint.address:
		return metrics.ClosedByAddressChange
	case c.endpoint.unavailable:
		return metrics.ClosedByDrain
	default:
		return ""
	}
}

// emptyQueryResponse is posted when the response to an empty query has come, before its ReadyForQuery.
type emptyQueryResponse struct{ conn *conn }

// Apply notes the response, or closes the connection if it is not expected.
func (e emptyQueryResponse) Apply(l *pipeline.Loop) {
	c := e.conn
	if c.state == stateVerifying && !c.emptyQueryAnswered {
		c.emptyQueryAnswered = true
	} else if c.state != stateClosed {
		protocolError{c, errUnsolicited}.Apply(l)
	}
}
