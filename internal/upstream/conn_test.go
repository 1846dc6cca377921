package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

// fakeConn is a connection that takes so many bytes and then breaks.
type fakeConn struct {
	netpoll.Connection
	accepts     int
	written     []byte
	closed      int
	beforeWrite func(b []byte) // a write
	err         error          // that it fails with
}

func (p *fakeConn) Write(b []byte) (int, error) {
	if p.beforeWrite != nil {
		p.beforeWrite(b)
	}
	if p.accepts < len(b) {
		if p.err != nil {
			return 0, p.err
		}
		return 0, errors.New("broken")
	}
	p.accepts -= len(b)
	p.written = append(p.written, b...)
	return len(b), nil
}

func (p *fakeConn) IsActive() bool                      { return true }
func (p *fakeConn) Reader() netpoll.Reader              { return netpoll.NewLinkBuffer() }
func (p *fakeConn) Close() error                        { p.closed++; return nil }
func (p *fakeConn) SetWriteTimeout(time.Duration) error { return nil }

// harness is a pool with one endpoint, on a loop that is stepped by hand.
type harness struct {
	*pipeline.Loop
	pool     *Pool
	endpoint *endpointConns
}

func newHarness(t *testing.T, change func(*settings.Site)) harness {
	t.Helper()
	site := settings.Site{EndpointIdleTimeout: 10}
	site.Relays = 1
	site.Classes = make([]relay.ClassSettings, 1)
	if change != nil {
		change(&site)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	p := New(l, 4)
	l.Upstream = p
	p.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1")
	return harness{l, p, p.endpoints[1]}
}

// conn puts a connection into the pool as one that has just come up.
func (b harness) idleConn(n *fakeConn) *conn {
	c := &conn{pool: b.pool, endpoint: b.endpoint, address: b.endpoint.address, net: n}
	b.pool.openConns++
	b.endpoint.openConns++
	b.endpoint.pendingConns++
	readyForQuery{c}.Apply(b.Loop)
	return c
}

// drain applies what connections posted to the loop, and gives the ends of attempts that the module would see.
func (b harness) drain() (ended []relay.AttemptEnded) {
	for _, e := range b.TakePosted() {
		e.Apply(b.Loop)
	}
	for _, e := range b.TakeEvents() {
		if end, ok := e.(relay.AttemptEnded); ok {
			ended = append(ended, end)
		}
	}
	return ended
}

func (b harness) attempt() *pipeline.Attempt {
	body := b.Pool.Chain()
	body.Write([]byte("SELECT /* d=500 */\x00"))
	request := &pipeline.Request{Body: body, Deadline: b.Clock.Now() + 60}
	request.DeadlineStart, request.DeadlineEnd = 12, 15
	attempt := &pipeline.Attempt{Request: request, Endpoint: 1, StartedAt: b.Clock.Now(), Deadline: request.Deadline}
	request.Attempts = append(request.Attempts, attempt)
	return attempt
}

// TestBrokenWrites breaks a connection at every byte of a request: it never ran unless the last one was sent.
func TestBrokenWrites(t *testing.T) {
	whole := &fakeConn{accepts: 1 << 20}
	b := newHarness(t, nil)
	b.idleConn(whole)
	b.pool.Send(b.attempt())
	if ended := b.drain(); len(ended) != 0 || whole.written[0] != 'Q' || whole.written[len(whole.written)-1] != 0 {
		t.Fatalf("%q %v", whole.written, ended)
	}
	for accepts := range len(whole.written) {
		b := newHarness(t, nil)
		n := &fakeConn{accepts: accepts}
		c := b.idleConn(n)
		b.pool.Send(b.attempt())
		want := relay.ConnectFailed
		if accepts == len(whole.written)-1 {
			want = relay.ConnectionBroken // the last byte was tried
		}
		if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != want || c.state != stateClosed || n.closed == 0 {
			t.Errorf("broken after %d of %d bytes: %+v", accepts, len(whole.written), ended)
		}
	}
}

func TestResponseAfterCancelDoesNotCount(t *testing.T) {
	b := newHarness(t, nil)
	c := b.idleConn(&fakeConn{accepts: 1 << 20})
	attempt := b.attempt()
	b.pool.Send(attempt)
	if !b.pool.Cancel(attempt) {
		t.Error("sent, and reported as not sent")
	}
	b.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.Cancelled})
	responseReceived{conn: c, outcome: relay.Succeeded, response: b.Pool.Chain()}.Apply(b.Loop) // it was on its way
	readyForQuery{c}.Apply(b.Loop)
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.Cancelled || len(b.endpoint.idle) != 0 {
		t.Errorf("%+v, %d idle", ended, len(b.endpoint.idle))
	}
}

// TestUnsolicitedInputBehindAResponse has a second response, or part of one, right behind the first while another
// attempt waits: the first counts, and the second is not taken for the other attempt's.
func TestUnsolicitedInputBehindAResponse(t *testing.T) {
	for name, unsolicited := range map[string]func(b harness, c *conn) pipeline.Event{
		"a second response": func(b harness, c *conn) pipeline.Event {
			return responseReceived{conn: c, receivedAt: b.Clock.Now(), outcome: relay.Succeeded, response: b.Pool.Chain()}
		},
		"part of a response":     func(_ harness, c *conn) pipeline.Event { return responseBegun{c} },
		"a second ReadyForQuery": func(_ harness, c *conn) pipeline.Event { return readyForQuery{c} },
		"noise":                  func(_ harness, c *conn) pipeline.Event { return protocolError{c, errOutOfPlace} },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			n := &fakeConn{accepts: 1 << 20}
			c := b.idleConn(n)
			first, second := b.attempt(), b.attempt()
			first.Request.Client, second.Request.ID = discardingClient{}, 1
			b.pool.Send(first)
			b.endpoint.pendingConns++ // one is coming up for the second, and never does
			b.pool.Send(second)
			b.Post(responseReceived{conn: c, receivedAt: b.Clock.Now(), outcome: relay.Succeeded, response: b.Pool.Chain()})
			b.Post(readyForQuery{c})
			b.Post(unsolicited(b, c))
			if ended := b.drain(); len(ended) != 1 || ended[0].Request != 0 || ended[0].Outcome != relay.Succeeded || second.Ended {
				t.Errorf("%+v", ended)
			}
			if n.closed == 0 || len(b.endpoint.idle) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// TestResponseReadBeforeItsRequestWasSent has a response that was read before the last byte of its request was sent.
func TestResponseReadBeforeItsRequestWasSent(t *testing.T) {
	b := newHarness(t, nil)
	c := b.idleConn(&fakeConn{accepts: 1 << 20})
	at := b.Clock.Now()
	b.pool.Send(b.attempt())
	responseReceived{conn: c, receivedAt: at, outcome: relay.Succeeded, response: b.Pool.Chain()}.Apply(b.Loop)
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.ConnectionBroken || c.state != stateClosed {
		t.Errorf("%+v", ended)
	}
}

// TestUnusableIdleConnection has bytes, or the end, come on an idle connection that nobody has read yet.
func TestUnusableIdleConnection(t *testing.T) {
	for _, end := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		n, err := netpoll.DialConnection("tcp", ln.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := &conn{net: n}
		if reason := c.unusable(); reason != "" {
			t.Error("nothing has come:", reason)
		}
		want := metrics.ClosedByBadInput
		if peer.Write([]byte("x")); end {
			want = metrics.ClosedByPeer
			peer.Close()
		}
		for until := time.Now().Add(10 * time.Second); c.unusable() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("taken for fit")
			}
		}
	}
}

// discardingClient frees the responses that it gets.
type discardingClient struct{}

func (discardingClient) Respond(a *buffer.Chain) { a.Free() }

func TestAttemptWithoutAConnectionIsUnsent(t *testing.T) {
	b := newHarness(t, nil)
	b.endpoint.pendingConns = 1 // one is coming up
	attempt := b.attempt()
	b.pool.Send(attempt)
	if b.pool.Cancel(attempt) || len(b.endpoint.waiting) != 0 {
		t.Error("said to have been sent, or still waiting")
	}
}

func TestIdleConnections(t *testing.T) {
	b := newHarness(t, nil)
	first, last := &fakeConn{accepts: 1 << 20}, &fakeConn{accepts: 1 << 20}
	b.idleConn(first)
	b.idleConn(last)
	b.pool.Send(b.attempt())
	if len(first.written) != 0 || len(last.written) == 0 {
		t.Error("the one last used should be used first")
	}
	b.endpoint.idle[0].idleSince = b.Clock.Now() - 9
	b.pool.closeExpired()
	if first.closed == 0 || len(b.endpoint.idle) != 0 {
		t.Error("idle for nine of ten seconds, and kept")
	}
	third, fourth := &fakeConn{}, &fakeConn{}
	b.idleConn(third)
	b.pool.CloseIdle(1)
	b.idleConn(fourth)
	b.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	if third.closed == 0 || fourth.closed == 0 {
		t.Error("a command to close it, or another address, and kept")
	}
}

func TestConnectionToAnOldAddressIsNotKept(t *testing.T) {
	b := newHarness(t, nil)
	n := &fakeConn{accepts: 1 << 20}
	c := b.idleConn(n)
	attempt := b.attempt()
	b.pool.Send(attempt)
	b.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	responseReceived{conn: c, outcome: relay.Errored, errorCode: "XX000"}.Apply(b.Loop)
	readyForQuery{c}.Apply(b.Loop)
	if n.closed == 0 || len(b.endpoint.idle) != 0 {
		t.Error("kept")
	}
}

func TestConnectionLimit(t *testing.T) {
	b := newHarness(t, nil)
	b.pool.maxConns = 1
	idle := &fakeConn{accepts: 1 << 20}
	b.idleConn(idle)
	b.pool.EndpointListed(relay.Endpoint{ID: 2}, "s-2", "127.0.0.1:1")
	attempt := b.attempt()
	attempt.Endpoint = 2
	b.pool.Send(attempt)
	if idle.closed == 0 || b.pool.openConns != 1 {
		t.Error("no room made by closing an idle connection:", b.pool.openConns)
	}
	another := b.attempt()
	b.pool.Send(another)
	if ended := b.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent {
		t.Errorf("%+v", ended)
	}
}

func TestHealthCheck(t *testing.T) {
	b := newHarness(t, func(s *settings.Site) { s.LoadReportFields = []string{"recent_ms", "outstanding"} })
	n := &fakeConn{accepts: 1 << 20}
	c := b.idleConn(n)
	b.pool.HealthCheck(1)
	responseReceived{conn: c, receivedAt: b.Clock.Now(), outcome: relay.Succeeded, rowValue: "outstanding=3,recent_ms=2.5"}.Apply(b.Loop)
	got, ok := b.TakeEvents()[0].(relay.HealthCheckEnded)
	if !ok || string(n.written[5:len(n.written)-1]) != "SHOW vitals" || got.Endpoint != 1 || len(got.LoadReport) != 2 || got.LoadReport[0] != 2.5 {
		t.Errorf("%q %+v", n.written, got)
	}
}

// TestRefusedConnection has the kernel refuse a connection: the attempt that waits for it never ran.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	b := newHarness(t, nil)
	b.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", address)
	b.pool.Send(b.attempt())
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if ended := b.drain(); len(ended) == 1 {
			if ended[0].Outcome != relay.ConnectFailed || b.pool.openConns != 0 {
				t.Errorf("%+v, %d open", ended, b.pool.openConns)
			}
			return
		}
		if time.Now().After(until) {
			t.Fatal("the attempt does not end")
		}
	}
}
