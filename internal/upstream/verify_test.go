package upstream

import (
	"bytes"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// answered returns a connection on which a request has just been answered, and its other side.
func (h harness) answered() (*conn, *fakeConn) {
	n := &fakeConn{accepts: unlimited}
	c := h.idleConn(n)
	h.pool.Send(h.attempt())
	responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, response: h.Pool.Chain()}.Apply(h.Loop)
	readyForQuery{c}.Apply(h.Loop)
	n.written = nil
	return c, n
}

// TestConnectionIsVerifiedBeforeItsNextRequest guards against a request on a connection from which an earlier response may still
// come: it waits for the response to an empty query, and anything else in its place ends the connection.
func TestConnectionIsVerifiedBeforeItsNextRequest(t *testing.T) {
	for name, e := range map[string]struct {
		events func(h harness, c *conn) []pipeline.Event
		idle   bool
	}{
		"the response to the empty query": {func(_ harness, c *conn) []pipeline.Event {
			return []pipeline.Event{responseBegun{c}, emptyQueryResponse{c}, readyForQuery{c}}
		}, true},
		"a second response": {func(h harness, c *conn) []pipeline.Event {
			return []pipeline.Event{responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, response: h.Pool.Chain()}, readyForQuery{c},
				emptyQueryResponse{c}, readyForQuery{c}}
		}, false},
		"a second error": {func(h harness, c *conn) []pipeline.Event {
			return []pipeline.Event{responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Errored, errorCode: "XX000"}, readyForQuery{c}}
		}, false},
		"a second ReadyForQuery": {func(_ harness, c *conn) []pipeline.Event {
			return []pipeline.Event{readyForQuery{c}, emptyQueryResponse{c}, readyForQuery{c}}
		}, false},
		"two responses to it": {func(_ harness, c *conn) []pipeline.Event {
			return []pipeline.Event{emptyQueryResponse{c}, emptyQueryResponse{c}, readyForQuery{c}}
		}, false},
		"noise": {func(_ harness, c *conn) []pipeline.Event {
			return []pipeline.Event{protocolError{c, errUnexpectedMessage}}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			c, n := h.answered()
			if len(n.written) != 0 || c.state != stateSettling {
				t.Fatalf("written %q right behind the response, state %v", n.written, c.state)
			}
			c.verify()
			next := h.attempt()
			h.pool.Send(next)
			if !bytes.Equal(n.written, pgwire.QueryMessage("")) {
				t.Fatalf("written %q, want an empty query and no request", n.written)
			}
			for _, event := range e.events(h, c) {
				h.Post(event)
			}
			h.drain()
			if e.idle != (next.Conn == c) || e.idle == (n.closed > 0) {
				t.Errorf("the next attempt was sent on the connection: %v; it was closed %d times", next.Conn == c, n.closed)
			}
		})
	}
}

// TestVerificationThatDoesNotEnd guards against a connection that is kept though its endpoint does not answer, and against a timer
// of an earlier verification that closes it later.
func TestVerificationThatDoesNotEnd(t *testing.T) {
	for _, answers := range []bool{false, true} {
		h := newHarness(t, nil)
		h.pool.connectTimeout = 0.02
		c, n := h.answered()
		c.verify()
		if answers {
			emptyQueryResponse{c}.Apply(h.Loop)
			readyForQuery{c}.Apply(h.Loop)
		}
		stop := make(chan struct{})
		h.RunAt(h.Clock.Now()+0.05, func() { close(stop) })
		done := make(chan struct{})
		go func() { h.Run(stop); close(done) }()
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Fatal("the loop does not reach its timers")
		}
		if closed := n.closed > 0; closed == answers {
			t.Errorf("answered: %v, closed: %v", answers, closed)
		}
	}
}

// TestNothingIsSentToVerifyAConnectionOfNoUse checks that a connection to an endpoint that drains or has moved gets no empty query,
// and that one whose request is still being written gets it later.
func TestNothingIsSentToVerifyAConnectionOfNoUse(t *testing.T) {
	h := newHarness(t, nil)
	c, n := h.answered()
	h.pool.EndpointLeaving(1, false)
	if c.verify(); len(n.written) != 0 || n.closed == 0 {
		t.Errorf("draining: written %q, closed %d times", n.written, n.closed)
	}
	h = newHarness(t, nil)
	c, n = h.answered()
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	if c.verify(); len(n.written) != 0 || n.closed == 0 {
		t.Errorf("moved: written %q, closed %d times", n.written, n.closed)
	}
	h = newHarness(t, nil)
	c, n = h.answered()
	c.writing = true
	if c.verify(); len(n.written) != 0 {
		t.Errorf("written %q while another write has not returned", n.written)
	}
	if c.writeReturned(); !bytes.Equal(n.written, pgwire.QueryMessage("")) {
		t.Errorf("written %q after that, want an empty query", n.written)
	}
	if c.close(metrics.ClosedByLimit); h.endpoint.pendingConns != 0 {
		t.Errorf("%d pending connections after the close, want none", h.endpoint.pendingConns)
	}
}
