package upstream

import (
	"errors"
	"testing"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lichenroad/internal/limits"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// TestAttemptThatExpiresBeforeItIsSent has an attempt expire, or be cancelled, while it waits for a connection or just
// before its last byte is written. The endpoint must not get a complete request, and the attempt must count as never
// run. An attempt that is cancelled after its last byte was written must continue.
func TestAttemptThatExpiresBeforeItIsSent(t *testing.T) {
	for name, expire := range map[string]func(h harness, attempt *pipeline.Attempt){
		"its send-by time is over": func(h harness, attempt *pipeline.Attempt) { attempt.SetSendBy(h.Clock.Now()) },
		"it is cancelled":          func(h harness, attempt *pipeline.Attempt) { h.cancelUnsent(attempt) },
	} {
		t.Run(name+" while it waits", func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			c, attempt := h.pendingConn(n), h.attempt()
			h.pool.Send(attempt)
			expire(h, attempt)
			readyForQuery{c}.Apply(h.Loop)
			if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != 0 {
				t.Errorf("attempts ended %+v, written %q", ended, n.written)
			}
		})
		t.Run(name+" before its last byte", func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			attempt := h.attempt()
			n.beforeWrite = func(p []byte) {
				if len(n.written) == 0 && len(p) > 1 { // all but the last byte
					expire(h, attempt)
				}
			}
			h.idleConn(n)
			h.pool.Send(attempt)
			if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || n.written[len(n.written)-1] == 0 || n.closed == 0 {
				t.Errorf("attempts ended %+v, written %q", ended, n.written)
			}
		})
	}
	h := newHarness(t, nil)
	n := &fakeConn{accepts: unlimited}
	attempt := h.attempt()
	h.idleConn(n)
	h.pool.Send(attempt)
	h.cancelUnsent(attempt)
	if ended := h.drain(); len(ended) != 0 || n.closed != 0 {
		t.Errorf("the attempt ended though its last byte was sent: %+v", ended)
	}
}

// cancelUnsent does the same as the loop for a CancelUnsent command.
func (h harness) cancelUnsent(attempt *pipeline.Attempt) {
	attempt.SetSendBy(h.Clock.Now())
	h.pool.CancelUnsent(attempt)
}

// TestAttemptForAnEarlierIncarnation lists an endpoint as restarted or with another build, under the same ID and
// address, while an attempt waits for a connection. The attempt was meant for the previous incarnation and must not be
// sent.
func TestAttemptForAnEarlierIncarnation(t *testing.T) {
	for name, e := range map[string]relay.Endpoint{
		"another build": {ID: 1, Build: 2},
		"a restart":     {ID: 1, StartKnown: true, StartedAt: 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			c := h.pendingConn(n)
			h.pool.Send(h.attempt())
			h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1")
			if ended := h.drain(); len(ended) != 0 {
				t.Errorf("attempts ended when the unchanged endpoint was listed again: %+v", ended)
			}
			h.pool.EndpointListed(e, "s-1", "127.0.0.1:1")
			ended := h.drain()
			readyForQuery{c}.Apply(h.Loop)
			if len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != 0 {
				t.Errorf("attempts ended %+v, written %q", ended, n.written)
			}
		})
	}
}

// TestLastByteRefusedByTheKernel checks which errors of the last byte's write prove that it was not sent, so that the
// attempt counts as never run.
func TestLastByteRefusedByTheKernel(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want relay.Outcome
	}{
		{"broken pipe", unix.EPIPE, relay.ConnectFailed},
		{"reset", unix.ECONNRESET, relay.ConnectFailed},
		{"another error", errors.New("timed out"), relay.ConnectionBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			n.beforeWrite = func(p []byte) {
				if len(p) == 1 {
					n.accepts, n.err = 0, c.err
				}
			}
			h.idleConn(n)
			h.pool.Send(h.attempt())
			if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != c.want {
				t.Errorf("attempts ended %+v", ended)
			}
		})
	}
}

// TestReadyForQueryBeforeAWriteReturned has the response to the startup, or to a long request, read before the write on
// the other goroutine has returned. As netpoll refuses a second write until then, the next request must wait instead of
// failing as if it had no connection.
func TestReadyForQueryBeforeAWriteReturned(t *testing.T) {
	for name, was := range map[string]connState{"the startup": stateStarting, "a long request": stateSettling} {
		h := newHarness(t, nil)
		n := &fakeConn{accepts: unlimited}
		c := h.pendingConn(n)
		c.writing = true
		n.beforeWrite = func([]byte) {
			if c.writing {
				n.accepts, n.err = 0, netpoll.ErrConcurrentAccess
			}
		}
		h.pool.Send(h.attempt())
		if c.state = was; was == stateStarting {
			readyForQuery{c}.Apply(h.Loop)
		} else {
			c.becomeIdle() // as after limits.ResponseSettleTime
		}
		if ended := h.drain(); len(ended) != 0 || len(n.written) != 0 {
			t.Fatalf("%s: before the write returned, attempts ended %+v, written %q", name, ended, n.written)
		}
		c.writeReturned()
		if ended := h.drain(); len(ended) != 0 || len(n.written) == 0 {
			t.Errorf("%s: after the write returned, attempts ended %+v, written %q", name, ended, n.written)
		}
	}
}

// feed handles bytes as if they had been received on a connection.
func (h harness) feed(c *conn, p []byte) {
	if err := c.splitter.Feed(p, func(m pgwire.Message) error { return c.handleMessage(m, h.Clock.Now()) }); err != nil {
		h.Post(protocolError{c, err})
	}
}

// TestErrorBehindARow has an endpoint send a row followed by an error, and then only CommandComplete as the response to
// the next request. That request must not be answered with the row of the first one.
func TestErrorBehindARow(t *testing.T) {
	h := newHarness(t, nil)
	n := &fakeConn{accepts: unlimited}
	c := h.pendingConn(n)
	c.splitter = pgwire.Splitter{Pool: h.Pool, Types: pgwire.BackendTypes, MaxLength: pgwire.MaxResponse}
	readyForQuery{c}.Apply(h.Loop)
	h.pool.Send(h.attempt())
	whole := append(pgwire.AppendHeader(nil, 'T', 25), "\x00\x01body\x00"...)
	whole = append(whole, make([]byte, 18)...)
	whole = append(pgwire.AppendHeader(whole, 'D', 9), "\x00\x01\x00\x00\x00\x03old"...)
	end := len(whole)
	whole = append(pgwire.AppendHeader(whole, 'C', 9), "SELECT 1\x00"...)
	h.feed(c, whole[:end])
	h.feed(c, pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "XX000", "late", "")))
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.Errored {
		t.Fatalf("attempts ended %+v, want one by an error", ended)
	}
	c.becomeIdle() // as after limits.ResponseSettleTime
	h.pool.Send(h.attempt())
	h.feed(c, whole[end:])
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.ConnectionBroken || n.closed == 0 {
		t.Errorf("the second attempt ended with a row of the first: %+v", ended)
	}
}

// TestResponseWithoutReadyForQuery has a complete response without ReadyForQuery after it. The response counts, and the
// connection must be closed, not stay busy forever.
func TestResponseWithoutReadyForQuery(t *testing.T) {
	h := newHarness(t, nil)
	n := &fakeConn{accepts: unlimited}
	c := h.idleConn(n)
	attempt := h.attempt()
	attempt.Request.Client = discardingClient{}
	h.pool.Send(attempt)
	responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, response: h.Pool.Chain()}.Apply(h.Loop)
	stop := make(chan struct{})
	h.RunAt(h.Clock.Now()+limits.ResponseRestTimeout.Seconds()+0.01, func() { close(stop) })
	h.drain()
	h.Run(stop)
	if n.closed == 0 || h.pool.openConns != 0 {
		t.Errorf("connection closed %d times, %d counted as open", n.closed, h.pool.openConns)
	}
}
