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

// TestAttemptThatExpiresBeforeItIsSent has the connection come up, or the last byte about to be written, when the send-by
// time is over or the attempt was cancelled: the endpoint gets no complete request, and the attempt never ran.
func TestAttemptThatExpiresBeforeItIsSent(t *testing.T) {
	for name, expire := range map[string]func(b harness, attempt *pipeline.Attempt){
		"its send-by time is over": func(b harness, attempt *pipeline.Attempt) { attempt.SetSendBy(b.Clock.Now()) },
		"it is cancelled":          func(b harness, attempt *pipeline.Attempt) { b.cancelUnsent(attempt) },
	} {
		t.Run(name+" while it waits", func(t *testing.T) {
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			c, attempt := b.pendingConn(n), b.attempt()
			b.pool.Send(attempt)
			expire(b, attempt)
			readyForQuery{c}.Apply(b.Loop)
			if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != 0 {
				t.Errorf("%+v, %q", ended, n.written)
			}
		})
		t.Run(name+" before its last byte", func(t *testing.T) {
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			attempt := b.attempt()
			n.beforeWrite = func(p []byte) {
				if len(n.written) == 0 && len(p) > 1 { // all but the last byte
					expire(b, attempt)
				}
			}
			b.idleConn(n)
			b.pool.Send(attempt)
			if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || n.written[len(n.written)-1] == 0 || n.closed == 0 {
				t.Errorf("%+v, %q", ended, n.written)
			}
		})
	}
	b := newHarness(t, nil)
	n := &fakeConn{accepts: 1 << 20}
	attempt := b.attempt()
	b.idleConn(n)
	b.pool.Send(attempt)
	b.cancelUnsent(attempt)
	if ended := b.drain(); len(ended) != 0 || n.closed != 0 {
		t.Errorf("cancelled though its last byte was sent: %+v", ended)
	}
}

// cancelUnsent does what the loop does with that command.
func (b harness) cancelUnsent(attempt *pipeline.Attempt) {
	attempt.SetSendBy(b.Clock.Now())
	b.pool.CancelUnsent(attempt)
}

// TestAttemptForAnEarlierIncarnation lists the endpoint with another build, or a restart, under the same id and
// address while an attempt waits for its connection: it was commanded for what no longer runs there.
func TestAttemptForAnEarlierIncarnation(t *testing.T) {
	for name, e := range map[string]relay.Endpoint{
		"another build": {ID: 1, Build: 2},
		"a restart":     {ID: 1, StartKnown: true, StartedAt: 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			c := b.pendingConn(n)
			b.pool.Send(b.attempt())
			b.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1")
			if ended := b.drain(); len(ended) != 0 {
				t.Errorf("the same listed again: %+v", ended)
			}
			b.pool.EndpointListed(e, "s-1", "127.0.0.1:1")
			ended := b.drain()
			readyForQuery{c}.Apply(b.Loop)
			if len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != 0 {
				t.Errorf("%+v, %q", ended, n.written)
			}
		})
	}
}

// TestLastByteRefusedByTheKernel tells a last byte that surely was not sent from one that may have been.
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
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			n.beforeWrite = func(p []byte) {
				if len(p) == 1 {
					n.accepts, n.err = 0, c.err
				}
			}
			b.idleConn(n)
			b.pool.Send(b.attempt())
			if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != c.want {
				t.Errorf("%+v", ended)
			}
		})
	}
}

// TestReadyForQueryBeforeAWriteReturned has the endpoint's response to the startup, or to a long request, read while the
// write of that has not returned: the library refuses another write, so the next request waits, and does not end as one
// without a connection.
func TestReadyForQueryBeforeAWriteReturned(t *testing.T) {
	for name, was := range map[string]connState{"the startup": stateStarting, "a long request": stateSettling} {
		b := newHarness(t, nil)
		n := &fakeConn{accepts: 1 << 20}
		c := b.pendingConn(n)
		c.writing = true
		n.beforeWrite = func([]byte) {
			if c.writing {
				n.accepts, n.err = 0, netpoll.ErrConcurrentAccess
			}
		}
		b.pool.Send(b.attempt())
		if c.state = was; was == stateStarting {
			readyForQuery{c}.Apply(b.Loop)
		} else {
			c.becomeIdle() // it has settled
		}
		if ended := b.drain(); len(ended) != 0 || len(n.written) != 0 {
			t.Fatalf("%s: %+v, %q", name, ended, n.written)
		}
		c.writeReturned()
		if ended := b.drain(); len(ended) != 0 || len(n.written) == 0 {
			t.Errorf("%s: %+v, %q", name, ended, n.written)
		}
	}
}

// feed has bytes received on a connection.
func (b harness) feed(c *conn, p []byte) {
	if err := c.splitter.Feed(p, func(m pgwire.Message) error { return c.handleMessage(m, b.Clock.Now()) }); err != nil {
		b.Post(protocolError{c, err})
	}
}

// TestErrorBehindARow has a row, then an error in place of its end, and later the end alone as the response to the next
// request: the row is not served to that.
func TestErrorBehindARow(t *testing.T) {
	b := newHarness(t, nil)
	n := &fakeConn{accepts: 1 << 20}
	c := b.pendingConn(n)
	c.splitter = pgwire.Splitter{Pool: b.Pool, Types: pgwire.BackendTypes, MaxLength: pgwire.MaxResponse}
	readyForQuery{c}.Apply(b.Loop)
	b.pool.Send(b.attempt())
	whole := append(pgwire.AppendHeader(nil, 'T', 25), "\x00\x01body\x00"...)
	whole = append(whole, make([]byte, 18)...)
	whole = append(pgwire.AppendHeader(whole, 'D', 9), "\x00\x01\x00\x00\x00\x03old"...)
	end := len(whole)
	whole = append(pgwire.AppendHeader(whole, 'C', 9), "SELECT 1\x00"...)
	b.feed(c, whole[:end])
	b.feed(c, pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "XX000", "late", "")))
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.Errored {
		t.Fatalf("%+v", ended)
	}
	c.becomeIdle() // settled
	b.pool.Send(b.attempt())
	b.feed(c, whole[end:])
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.ConnectionBroken || n.closed == 0 {
		t.Errorf("served from a row that was not its own: %+v", ended)
	}
}

// TestResponseWithoutReadyForQuery has a complete response without ReadyForQuery behind it: the response counts, and the
// connection does not stay for good.
func TestResponseWithoutReadyForQuery(t *testing.T) {
	b := newHarness(t, nil)
	n := &fakeConn{accepts: 1 << 20}
	c := b.idleConn(n)
	attempt := b.attempt()
	attempt.Request.Client = discardingClient{}
	b.pool.Send(attempt)
	responseReceived{conn: c, receivedAt: b.Clock.Now(), outcome: relay.Succeeded, response: b.Pool.Chain()}.Apply(b.Loop)
	stop := make(chan struct{})
	b.RunAt(b.Clock.Now()+limits.ResponseRestTimeout.Seconds()+0.01, func() { close(stop) })
	b.drain()
	b.Run(stop)
	if n.closed == 0 || b.pool.openConns != 0 {
		t.Errorf("closed %d times, %d open", n.closed, b.pool.openConns)
	}
}
