package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/lab/fakes"
	"lichenroad/relay"
	"lichenroad/settings"
)

const (
	unlimited   = 1 << 20 // bytes, for fakeConn.accepts: more than any test writes
	testTimeout = 10 * time.Second
)

// fakeConn is a connection that accepts a number of bytes. A write beyond that fails.
type fakeConn struct {
	netpoll.Connection
	accepts     int // bytes that it still accepts
	written     []byte
	closed      int            // number of calls of Close
	beforeWrite func(b []byte) // called at the start of each write; may be nil
	err         error          // the error of a failed write; nil for a default
}

func (f *fakeConn) Write(b []byte) (int, error) {
	if f.beforeWrite != nil {
		f.beforeWrite(b)
	}
	if f.accepts < len(b) {
		if f.err != nil {
			return 0, f.err
		}
		return 0, errors.New("broken")
	}
	f.accepts -= len(b)
	f.written = append(f.written, b...)
	return len(b), nil
}

func (f *fakeConn) IsActive() bool                      { return true }
func (f *fakeConn) Reader() netpoll.Reader              { return netpoll.NewLinkBuffer() }
func (f *fakeConn) Close() error                        { f.closed++; return nil }
func (f *fakeConn) SetWriteTimeout(time.Duration) error { return nil }

// harness is a pool with one endpoint, on a loop that does not run by itself: the test decides when it applies events.
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

// idleConn adds an idle connection to the pool, as if it had just been opened.
func (h harness) idleConn(n *fakeConn) *conn {
	c := &conn{pool: h.pool, endpoint: h.endpoint, address: h.endpoint.address, net: n}
	h.pool.openConns++
	h.endpoint.openConns++
	h.endpoint.pendingConns++
	readyForQuery{c}.Apply(h.Loop)
	return c
}

// drain applies the posted events, and returns the AttemptEnded events for the module.
func (h harness) drain() (ended []relay.AttemptEnded) {
	for _, e := range h.TakePosted() {
		e.Apply(h.Loop)
	}
	for _, e := range h.TakeEvents() {
		if end, ok := e.(relay.AttemptEnded); ok {
			ended = append(ended, end)
		}
	}
	return ended
}

// attempt returns a new attempt at the harness's endpoint.
func (h harness) attempt() *pipeline.Attempt {
	body := h.Pool.Chain()
	body.Write([]byte("SELECT /* d=500 */\x00"))
	request := &pipeline.Request{Client: discardingClient{}, Body: body, Deadline: h.Clock.Now() + 60}
	request.DeadlineStart, request.DeadlineEnd = 12, 15
	attempt := &pipeline.Attempt{Request: request, Endpoint: 1, StartedAt: h.Clock.Now(), Deadline: request.Deadline}
	request.Attempts = append(request.Attempts, attempt)
	return attempt
}

// TestBrokenWrites breaks a connection after each possible number of bytes of a request. The request counts as never
// run unless the write of its last byte was tried.
func TestBrokenWrites(t *testing.T) {
	whole := &fakeConn{accepts: unlimited}
	h := newHarness(t, nil)
	h.idleConn(whole)
	h.pool.Send(h.attempt())
	if ended := h.drain(); len(ended) != 0 || whole.written[0] != 'Q' || whole.written[len(whole.written)-1] != 0 {
		t.Fatalf("written %q, attempts ended %v", whole.written, ended)
	}
	for accepts := range len(whole.written) {
		h := newHarness(t, nil)
		n := &fakeConn{accepts: accepts}
		c := h.idleConn(n)
		h.pool.Send(h.attempt())
		want := relay.ConnectFailed
		if accepts == len(whole.written)-1 {
			want = relay.ConnectionBroken // the write of the last byte was tried
		}
		if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != want || c.state != stateClosed || n.closed == 0 {
			t.Errorf("broken after %d of %d bytes: attempts ended %+v", accepts, len(whole.written), ended)
		}
	}
}

func TestResponseAfterCancelDoesNotCount(t *testing.T) {
	h := newHarness(t, nil)
	c := h.idleConn(&fakeConn{accepts: unlimited})
	attempt := h.attempt()
	h.pool.Send(attempt)
	if !h.pool.Cancel(attempt) {
		t.Error("a sent attempt was reported as not sent")
	}
	h.EndAttempt(attempt, pipeline.AttemptResult{Outcome: relay.Cancelled})
	responseReceived{conn: c, outcome: relay.Succeeded, response: h.Pool.Chain()}.Apply(h.Loop) // it was already received
	readyForQuery{c}.Apply(h.Loop)
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.Cancelled || len(h.endpoint.idle) != 0 {
		t.Errorf("attempts ended %+v, %d idle connections", ended, len(h.endpoint.idle))
	}
}

// TestUnsolicitedInputBehindAResponse receives unsolicited input right after a response while another attempt waits.
// The response counts, and the input must not be taken for the response to the other attempt.
func TestUnsolicitedInputBehindAResponse(t *testing.T) {
	for name, unsolicited := range map[string]func(h harness, c *conn) pipeline.Event{
		"a second response": func(h harness, c *conn) pipeline.Event {
			return responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, response: h.Pool.Chain()}
		},
		"part of a response":     func(_ harness, c *conn) pipeline.Event { return responseBegun{c} },
		"a second ReadyForQuery": func(_ harness, c *conn) pipeline.Event { return readyForQuery{c} },
		"invalid input":          func(_ harness, c *conn) pipeline.Event { return protocolError{c, errUnexpectedMessage} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			n := &fakeConn{accepts: unlimited}
			c := h.idleConn(n)
			first, second := h.attempt(), h.attempt()
			first.Request.Client, second.Request.ID = discardingClient{}, 1
			h.pool.Send(first)
			h.endpoint.pendingConns++ // stands for a connection that is being opened for the second attempt
			h.pool.Send(second)
			h.Post(responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, response: h.Pool.Chain()})
			h.Post(readyForQuery{c})
			h.Post(unsolicited(h, c))
			if ended := h.drain(); len(ended) != 1 || ended[0].Request != 0 || ended[0].Outcome != relay.Succeeded || second.Ended {
				t.Errorf("attempts ended %+v, want only the first", ended)
			}
			if n.closed == 0 || len(h.endpoint.idle) != 0 {
				t.Error("the connection was not closed")
			}
		})
	}
}

// TestResponseReadBeforeItsRequestWasSent applies a response that was read before the last byte of the request was
// sent. It cannot be the response to that request, so the connection counts as broken.
func TestResponseReadBeforeItsRequestWasSent(t *testing.T) {
	h := newHarness(t, nil)
	c := h.idleConn(&fakeConn{accepts: unlimited})
	at := h.Clock.Now()
	h.pool.Send(h.attempt())
	responseReceived{conn: c, receivedAt: at, outcome: relay.Succeeded, response: h.Pool.Chain()}.Apply(h.Loop)
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.ConnectionBroken || c.state != stateClosed {
		t.Errorf("attempts ended %+v, want one by a broken connection", ended)
	}
}

// TestUnusableIdleConnection checks that an idle connection is not used if the endpoint has closed it or has sent
// something, even if netpoll has not read that yet.
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
		if reason := c.unusableReason(); reason != "" {
			t.Error("unusable though the endpoint has sent nothing:", reason)
		}
		want := metrics.ClosedByBadInput
		if peer.Write([]byte("x")); end {
			want = metrics.ClosedByPeer
			peer.Close()
		}
		for until := time.Now().Add(testTimeout); c.unusableReason() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the connection still counts as usable, or as unusable for another reason")
			}
		}
	}
}

// discardingClient implements pipeline.Client and frees the responses.
type discardingClient struct{}

func (discardingClient) State() pipeline.ClientState    { return pipeline.ClientOpen }
func (discardingClient) Respond(response *buffer.Chain) { response.Free() }

func TestAttemptWithoutAConnectionIsUnsent(t *testing.T) {
	h := newHarness(t, nil)
	h.endpoint.pendingConns = 1 // stands for a connection that is being opened
	attempt := h.attempt()
	h.pool.Send(attempt)
	if h.pool.Cancel(attempt) || len(h.endpoint.waiting) != 0 {
		t.Error("the cancelled attempt was reported as sent, or still waits")
	}
}

func TestIdleConnections(t *testing.T) {
	h := newHarness(t, nil)
	first, last := &fakeConn{accepts: unlimited}, &fakeConn{accepts: unlimited}
	h.idleConn(first)
	h.idleConn(last)
	h.pool.Send(h.attempt())
	if len(first.written) != 0 || len(last.written) == 0 {
		t.Error("the most recently used connection was not used first")
	}
	h.endpoint.idle[0].idleSince = h.Clock.Now() - 9
	h.pool.closeExpired()
	if first.closed == 0 || len(h.endpoint.idle) != 0 {
		t.Error("a connection idle for 9 s of a timeout of 10 s was kept")
	}
	third, fourth := &fakeConn{}, &fakeConn{}
	h.idleConn(third)
	h.pool.CloseIdle(1)
	h.idleConn(fourth)
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	if third.closed == 0 || fourth.closed == 0 {
		t.Error("an idle connection was kept after CloseIdle or after the endpoint's address changed")
	}
}

func TestConnectionToAnOldAddressIsNotKept(t *testing.T) {
	h := newHarness(t, nil)
	n := &fakeConn{accepts: unlimited}
	c := h.idleConn(n)
	attempt := h.attempt()
	h.pool.Send(attempt)
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	responseReceived{conn: c, outcome: relay.Errored, errorCode: "XX000"}.Apply(h.Loop)
	readyForQuery{c}.Apply(h.Loop)
	if n.closed == 0 || len(h.endpoint.idle) != 0 {
		t.Error("the connection to the old address was kept")
	}
}

func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.pool.maxConns = 1
	idle := &fakeConn{accepts: unlimited}
	h.idleConn(idle)
	h.pool.EndpointListed(relay.Endpoint{ID: 2}, "s-2", "127.0.0.1:1")
	attempt := h.attempt()
	attempt.Endpoint = 2
	h.pool.Send(attempt)
	if idle.closed == 0 || h.pool.openConns != 1 {
		t.Error("the idle connection was not closed to make room; open connections:", h.pool.openConns)
	}
	another := h.attempt()
	h.pool.Send(another)
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent {
		t.Errorf("attempts ended %+v, want one, not sent", ended)
	}
}

func TestHealthCheck(t *testing.T) {
	h := newHarness(t, func(s *settings.Site) { s.LoadReportFields = []string{"recent_ms", "outstanding"} })
	n := &fakeConn{accepts: unlimited}
	c := h.idleConn(n)
	h.pool.HealthCheck(1)
	responseReceived{conn: c, receivedAt: h.Clock.Now(), outcome: relay.Succeeded, rowValue: "outstanding=3,recent_ms=2.5"}.Apply(h.Loop)
	got, ok := h.TakeEvents()[0].(relay.HealthCheckEnded)
	if !ok || string(n.written[5:len(n.written)-1]) != "SHOW vitals" || got.Endpoint != 1 || len(got.LoadReport) != 2 || got.LoadReport[0] != 2.5 {
		t.Errorf("written %q, health check ended %+v", n.written, got)
	}
}

// TestRefusedConnection dials an address where nothing listens. The attempt that waits for the connection must count as
// never run.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	h := newHarness(t, nil)
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", address)
	h.pool.Send(h.attempt())
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if ended := h.drain(); len(ended) == 1 {
			if ended[0].Outcome != relay.ConnectFailed || h.pool.openConns != 0 {
				t.Errorf("attempts ended %+v, %d open connections", ended, h.pool.openConns)
			}
			return
		}
		if time.Now().After(until) {
			t.Fatal("the attempt did not end")
		}
	}
}

// TestInputOfAFastEndpointIsNotReadAhead guards against a relay that is killed for its memory: an endpoint sends load reports
// without end, faster than they are parsed. At most what a socket's receive buffer holds may be read of the connection
// before its callback has handled it.
func TestInputOfAFastEndpointIsNotReadAhead(t *testing.T) {
	const (
		floodBytes = 16 << 20
		maxUnread  = 2 * limits.SocketReceiveBuffer // the kernel doubles the buffer
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in a relay with one core: poller and callbacks take turns
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	h := newHarness(t, func(s *settings.Site) { s.LoadReportFields = []string{"inflight"} })
	h.pool.EndpointListed(relay.Endpoint{ID: 1}, "s-1", ln.Addr().String())
	h.endpoint.pendingConns++
	go dial(h.pool, h.endpoint, ln.Addr().String())
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	peer.Write(pgwire.StartupResponse(1))
	for until := time.Now().Add(testTimeout); len(h.endpoint.idle) == 0; time.Sleep(time.Millisecond) {
		if h.drain(); time.Now().After(until) {
			t.Fatal("no connection")
		}
	}
	c := h.endpoint.idle[0]
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		report := append(pgwire.AppendHeader(nil, pgwire.TypeParameterStatus, len("vitals\x00inflight=7\x00")), "vitals\x00inflight=7\x00"...)
		part := bytes.Repeat(report, 1<<15)
		for n := 0; n < floodBytes; n += len(part) {
			if _, err := peer.Write(part); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	if longest := fakes.LargestUntil(sent, func() int { return c.net.Reader().Len() }); longest > maxUnread {
		t.Errorf("%d bytes of a connection were read ahead, want at most %d", longest, maxUnread)
	}
}
