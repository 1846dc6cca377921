package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/buffer"
	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// TestRequestSucceeds sends a read, an empty query and a write of the largest value on one connection: each is answered,
// only the deadline in a statement changes on the way, and one connection to the endpoint carries both.
func TestRequestSucceeds(t *testing.T) {
	endpoint := newFakeEndpoint(t, always(succeed))
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	statement := selectStatement("look", 1500)
	c := dialClient(t, p, pgwire.QueryMessage(statement)...) // the request is in the same write as the startup
	c.readUntil('Z')
	if v, code := c.readResponse(); v != "value of SELECT" || code != "" {
		t.Errorf("response %q, code %q", v, code)
	}
	got := <-endpoint.received
	var d int
	at := strings.Index(got, ",d=")
	fmt.Sscanf(got[at:], ",d=%d */", &d)
	if d <= 0 || d > 1500 || strings.Replace(got, fmt.Sprint("d=", d), "d=1500", 1) != statement {
		t.Errorf("the endpoint got another statement: %s", got)
	}
	c.send(" ; ")
	if c.readUntil('I'); len(c.readUntil('Z')) != 1 {
		t.Error("malformed response to an empty query")
	}
	write := `INSERT INTO objects (oid, body) VALUES ('7f3a', '\x` + strings.Repeat("9f", pgwire.MaxValue) +
		`') RETURNING body /* id=1,c=order,t=acme,d=1500,k=5c */`
	c.send(write)
	if v, _ := c.readResponse(); v != "value of INSERT" {
		t.Errorf("response %q to a write", v)
	}
	if _, usedConns := endpoint.counts(); usedConns != 1 {
		t.Errorf("%d connections to the endpoint for requests one after the other, want 1", usedConns)
	}
	c.Write([]byte{'X', 0, 0, 0, 4})
	if !c.closedByRelay() {
		t.Error("the connection is not closed after Terminate")
	}
	checkCounters(t, p)
}

// TestRequestInTwoWrites splits a startup and a request at many positions into two writes.
func TestRequestInTwoWrites(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	newStream := func() []byte {
		return append(pgwire.Startup("worker", "catalog"), pgwire.QueryMessage(selectStatement("look", 1500))...)
	}
	for split := 1; split < len(newStream()); split += 7 {
		stream := newStream()
		n, err := net.Dial("tcp", p.clients.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		n.SetDeadline(time.Now().Add(testTimeout))
		n.Write(stream[:split])
		n.Write(stream[split:])
		c := &client{t, n, bufio.NewReader(n)}
		c.readUntil('Z')
		if v, code := c.readResponse(); v == "" {
			t.Fatalf("split at byte %d: code %q", split, code)
		}
		n.Close()
	}
	checkCounters(t, p)
}

// TestPipelinedRequests sends several requests at once: they are answered in order. A connection with more open
// requests than the limit gets an error and is closed.
func TestPipelinedRequests(t *testing.T) {
	endpoint := newFakeEndpoint(t, always(succeed))
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	var pipelined []byte
	for range 5 {
		pipelined = append(pipelined, pgwire.QueryMessage(selectStatement("look", 1500))...)
		pipelined = append(pipelined, pgwire.QueryMessage("")...)
	}
	c := dialClient(t, p, pipelined...)
	c.readUntil('Z')
	for range 5 {
		c.readUntil('D')
		c.readUntil('Z')
		c.readUntil('I')
		c.readUntil('Z')
	}
	for range 40 {
		c.send(selectStatement("look", 1500))
	}
	for code := ""; code != pgwire.CodeTooLong; {
		if _, code = c.readResponse(); code == "closed" {
			t.Fatal("the connection was closed without an error response")
		}
	}
	if !c.closedByRelay() {
		t.Error("the connection is not closed after the error")
	}
	c.Close()
	checkCounters(t, p)
}

// TestOutcomes sends a request to endpoints that all behave in one way, and checks the client's error code and how many
// attempts were sent.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name          string
		behaviour     behaviour // both endpoints behave this way
		class         string
		code          string
		minStatements int // received by both endpoints together
		maxStatements int
		inTime        bool // whether the response comes before the deadline
	}{
		{"error of a retryable request", failing, "look", pgwire.CodeTooManyConnections, 2, 3, true},
		{"error of an at-most-once request", failing, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"rejected", rejectFull, "pay", pgwire.CodeTooManyConnections, 1, 3, true},
		{"reset after the request", reset, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"reset after an idempotency-keyed request", reset, "order", pgwire.CodeTooManyConnections, 2, 3, true},
		{"no response", noResponse, "pay", pgwire.CodeSystemError, 1, 1, false},
		{"garbage", garbage, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"two rows", twoRows, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"half a response", halfResponse, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"message of an unknown type", unknownMessage, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"malformed command tag", badTag, "pay", pgwire.CodeSystemError, 1, 1, true},
		{"malformed load report", badLoad, "pay", "", 1, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeEndpoint(t, always(c.behaviour)), newFakeEndpoint(t, always(c.behaviour))
			p := startRelay(t, newFakeDiscovery(t, a, b), nil)
			cl := dialClient(t, p)
			cl.readUntil('Z')
			begin := time.Now()
			cl.send(selectStatement(c.class, 1500))
			_, code := cl.readResponse()
			n, _ := a.counts()
			m, _ := b.counts()
			if code != c.code || n+m < c.minStatements || n+m > c.maxStatements {
				t.Errorf("code %q after %d attempts", code, n+m)
			}
			if in := time.Since(begin) < 1490*time.Millisecond; in != c.inTime {
				t.Errorf("answered after %v", time.Since(begin))
			}
			checkCounters(t, p)
		})
	}
}

// TestRefusedConnectionIsRetried lists an endpoint that refuses connections: a refused attempt never ran, so even
// at-most-once requests are retried at the other endpoint.
func TestRefusedConnectionIsRetried(t *testing.T) {
	closed, working := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	closed.ln.Close()
	f := newFakeDiscovery(t, closed, working)
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	for range 20 { // enough for at least one to be sent to the closed endpoint first
		c.send(selectStatement("pay", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
	}
	if p.loop.Metrics.Get(metrics.AttemptConnectFailed) == 0 {
		t.Error("no attempt was sent to the closed endpoint")
	}
	checkCounters(t, p)
}

// TestEndpointWithoutStartupResponse has an endpoint that accepts connections and never answers a startup: the request
// never ran, and is rejected.
func TestEndpointWithoutStartupResponse(t *testing.T) {
	f := newFakeDiscovery(t, &fakeEndpoint{ln: newListener(t)})
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", 700))
	if _, code := c.readResponse(); code != pgwire.CodeTooManyConnections {
		t.Errorf("code %q for a request that never ran, want %q", code, pgwire.CodeTooManyConnections)
	}
	if p.loop.Metrics.Get(metrics.AttemptConnectFailed) == 0 {
		t.Error("no failed connection was counted:", p.loop.Metrics.Fields())
	}
	checkCounters(t, p)
}

// TestClientDisconnects closes a client's connection while its request is open: the attempt is cancelled, and its
// connection to the endpoint closed.
func TestClientDisconnects(t *testing.T) {
	endpoint := newFakeEndpoint(t, always(noResponse))
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("look", 1900))
	<-endpoint.received
	c.Close()
	waitForCounter(t, p, metrics.ClientLeft, 1)
	<-endpoint.connEnded // the connection to the endpoint is closed, not reused; only then is the attempt counted
	waitForCounter(t, p, metrics.AttemptCancelled, 1)
	checkCounters(t, p)
}

// TestConnectionIsClosedAfterTimeout checks that a connection whose request timed out is not reused: a late response
// would answer the next request.
func TestConnectionIsClosedAfterTimeout(t *testing.T) {
	endpoint := newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			return noResponse
		}
		return succeed
	})
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", 200))
	if _, code := c.readResponse(); code != pgwire.CodeSystemError {
		t.Error(code)
	}
	<-endpoint.connEnded
	c.send(selectStatement("look", 1500))
	if v, code := c.readResponse(); v == "" {
		t.Error(code)
	}
	if _, usedConns := endpoint.counts(); usedConns != 2 {
		t.Errorf("%d connections to the endpoint, want 2", usedConns)
	}
	checkCounters(t, p)
}

// TestEndpointClosesIdleConnections has an endpoint that closes each connection after one response: the next request
// goes over a new connection and succeeds.
func TestEndpointClosesIdleConnections(t *testing.T) {
	endpoint := newFakeEndpoint(t, always(succeedThenClose))
	p := startRelay(t, newFakeDiscovery(t, endpoint), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	for range 5 {
		c.send(selectStatement("pay", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
		<-endpoint.connEnded
		waitForCounter(t, p, metrics.EndpointConnsOpen, 0)
	}
	checkCounters(t, p)
}

// TestBadInputFromClients checks that each malformed message gets its error, is counted, and has its connection closed.
func TestBadInputFromClients(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	for name, c := range map[string]struct {
		bytes []byte
		code  string
	}{
		"another statement": {pgwire.QueryMessage("DROP TABLE objects"), pgwire.CodeSyntax},
		"unknown class":     {pgwire.QueryMessage(selectStatement("none", 100)), pgwire.CodeSyntax},
		"unknown tenant":    {pgwire.QueryMessage(strings.Replace(selectStatement("look", 1), "acme", "x", 1)), pgwire.CodeSyntax},
		"without an id":     {pgwire.QueryMessage(regexp.MustCompile("id=[0-9a-f]*,").ReplaceAllString(selectStatement("look", 1), "")), pgwire.CodeSyntax},
		"two ids":           {pgwire.QueryMessage(strings.Replace(selectStatement("look", 1), "id=", "id=1,id=", 1)), pgwire.CodeSyntax},
		"signed deadline":   {pgwire.QueryMessage(strings.Replace(selectStatement("look", 1), "d=1 ", "d=+1 ", 1)), pgwire.CodeSyntax},
		"keyed, no key":     {pgwire.QueryMessage(strings.Replace(selectStatement("order", 1), ",k=5c", "", 1)), pgwire.CodeSyntax},
		"extended protocol": {[]byte{'P', 0, 0, 0, 4}, pgwire.CodeUnsupported},
		"oversized":         {[]byte{'Q', 0x7f, 0, 0, 0}, pgwire.CodeTooLong},
		"short length":      {[]byte{'Q', 0, 0, 0, 1}, pgwire.CodeSyntax},
	} {
		before := p.loop.Metrics.Get(metrics.BadInput)
		cl := dialClient(t, p)
		cl.readUntil('Z')
		cl.Write(c.bytes)
		if _, code := cl.readResponse(); code != c.code {
			t.Errorf("%s: code %q, want %q", name, code, c.code)
		}
		if !cl.closedByRelay() || p.loop.Metrics.Get(metrics.BadInput) != before+1 {
			t.Errorf("%s: the connection is not closed, or the message not counted", name)
		}
		cl.Close()
	}
	cl := dialClient(t, p, bytes.Repeat([]byte{0}, 8)...)
	if cl.readUntil('Z'); !cl.closedByRelay() {
		t.Error("the connection is not closed after garbage that follows the startup")
	}
	cl.Close()
	waitForCounter(t, p, metrics.ClientConnsOpen, 0)
	checkCounters(t, p)
}

// TestErrorFollowsOpenResponses sends a malformed message while a request is open: the request's response comes first,
// then the error, and then the connection is closed.
func TestErrorFollowsOpenResponses(t *testing.T) {
	release := make(chan struct{})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, func(string) behaviour { <-release; return succeed })), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.Write(append(pgwire.QueryMessage(selectStatement("pay", 1900)), 'P', 0, 0, 0, 4))
	waitForCounter(t, p, metrics.AttemptsOpen, 1)
	close(release)
	if v, code := c.readResponse(); v == "" {
		t.Error("the open request got no response because of the message after it:", code)
	}
	if _, code := c.readResponse(); code != pgwire.CodeUnsupported || !c.closedByRelay() {
		t.Errorf("code %q, want %q and a closed connection", code, pgwire.CodeUnsupported)
	}
	c.Close()
	checkCounters(t, p)
}

// TestTooManyClientsAreRejected opens connections that send no request, up to the limit: the next one is rejected,
// until one of them is closed.
func TestTooManyClientsAreRejected(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) { c.Sockets = 128 })
	var kept []*client
	for i := 0; ; i++ {
		c := dialClient(t, p)
		kind, body, err := fakes.ReadMessage(c.r, false)
		if err != nil {
			t.Fatal(err)
		}
		if kind != 'E' {
			kept = append(kept, c)
			continue
		}
		if _, code, _, _ := pgwire.ParseError(body); code != pgwire.CodeTooManyConnections || !c.closedByRelay() || i != 48 {
			t.Errorf("connection %d got code %q, want number 48 to get %q and be closed", i, code, pgwire.CodeTooManyConnections)
		}
		c.Close()
		break
	}
	kept[0].Close()
	waitForCounter(t, p, metrics.ClientConnsOpen, 47)
	again := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
	again.readUntil('Z')
	if v, code := again.readResponse(); v == "" {
		t.Error(code)
	}
}

// TestIdleClientIsClosedForNewOne opens as many client connections as the limit allows: to serve a new client, the
// relay closes the connection that has been idle for longest, but none with an open request.
func TestIdleClientIsClosedForNewOne(t *testing.T) {
	release := make(chan struct{})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			<-release
		}
		return succeed
	})), func(c *config.Config) { c.Sockets = 128 })
	busy := dialClient(t, p)
	busy.readUntil('Z')
	busy.send(selectStatement("pay", 60000))
	var first *client
	for range 47 {
		c := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
		c.readUntil('Z')
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
		if first == nil {
			first = c
		}
	}
	for until := time.Now().Add(testTimeout); ; {
		c := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
		if kind, _, err := fakes.ReadMessage(c.r, false); err == nil && kind == 'R' {
			c.readUntil('Z')
			if v, code := c.readResponse(); v == "" {
				t.Error(code)
			}
			break
		}
		c.Close()
		if time.Now().After(until) {
			t.Fatal("no new client is served")
		}
	}
	if !first.closedByRelay() {
		t.Error("the connection that was idle for longest is not closed")
	}
	close(release)
	if v, code := busy.readResponse(); v == "" {
		t.Error("a connection with an open request was closed:", code)
	}
}

// TestFullBuffersReject checks that requests are rejected while all buffer memory is in use, and admitted again after.
func TestFullBuffersReject(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	var fillers []*buffer.Incoming
	for filler := p.loop.Pool.Receive(1, 0); filler != nil; filler = p.loop.Pool.Receive(1, 0) {
		fillers = append(fillers, filler)
	}
	c.send(selectStatement("pay", 1500))
	if _, code := c.readResponse(); code != pgwire.CodeTooManyConnections {
		t.Error(code)
	}
	for _, filler := range fillers {
		filler.Free()
	}
	c.send(selectStatement("pay", 1500))
	if v, code := c.readResponse(); v == "" {
		t.Error(code)
	}
	checkCounters(t, p)
}

// TestDrainingEndpointGetsNoRequests checks that no request is sent to an endpoint once the list has marked it as
// draining.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	a, b := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	f := newFakeDiscovery(t, a, b)
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	waitForCounter(t, p, metrics.DiscoveryCalls, 2) // the first call has confirmed the list, and the watch is open
	f.set(0, "DRAINING")
	waitForCounter(t, p, metrics.DiscoveryCalls, 3) // the relay has read the update
	c.send(selectStatement("look", 1500))           // and applies it before this request
	c.readResponse()
	before, _ := a.counts()
	for range 20 {
		c.send(selectStatement("look", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
	}
	if after, _ := a.counts(); after != before {
		t.Errorf("%d requests sent to a draining endpoint", after-before)
	}
	checkCounters(t, p)
}

// TestDiscoveryDown starts a relay while discovery fails: it serves from the cached list, and calls discovery again
// later.
func TestDiscoveryDown(t *testing.T) {
	f := newFakeDiscovery(t, newFakeEndpoint(t, always(succeed)))
	f.down = true
	p := startRelay(t, f, nil)
	waitForCounter(t, p, metrics.DiscoveryFailed, 1)
	c := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
	c.readUntil('Z')
	if v, code := c.readResponse(); v == "" {
		t.Error("no request is served from the cached list:", code)
	}
	f.mu.Lock()
	f.down = false
	f.mu.Unlock()
	waitForCounter(t, p, metrics.DiscoveryCalls, 3) // the decision module commands another call; after it comes the watch
}
