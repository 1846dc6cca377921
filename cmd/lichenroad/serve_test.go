package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

func TestRequestSucceeds(t *testing.T) {
	u := newFakeEndpoint(t, always(succeed))
	p := startRelay(t, newFakeDiscovery(t, u), nil)
	c := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...) // the first query right behind the startup
	c.readUntil('Z')
	if v, code := c.readResponse(); v != "value of SELECT" || code != "" {
		t.Errorf("%q %q", v, code)
	}
	got := <-u.received
	var d int
	at := strings.Index(got, ",d=")
	fmt.Sscanf(got[at:], ",d=%d */", &d)
	if d <= 0 || d > 1500 || strings.Replace(got, fmt.Sprint("d=", d), "d=1500", 1) != selectStatement("look", 1500) {
		t.Errorf("changed on the way: %s", got)
	}
	c.send(" ; ")
	if c.readUntil('I'); len(c.readUntil('Z')) != 1 {
		t.Error("no answer to an empty query")
	}
	write := `INSERT INTO objects (oid, body) VALUES ('7f3a', '\x` + strings.Repeat("9f", pgwire.MaxValue) +
		`') RETURNING body /* id=1,c=order,t=acme,d=1500,k=5c */`
	c.send(write)
	if v, _ := c.readResponse(); v != "value of INSERT" {
		t.Errorf("%q", v)
	}
	if _, opened := u.counts(); opened != 1 {
		t.Errorf("%d connections for queries one after the other", opened)
	}
	c.Write([]byte{'X', 0, 0, 0, 4})
	if !c.closedByRelay() {
		t.Error("not closed after Terminate")
	}
	checkCounters(t, p)
}

func TestQueriesSplitAnywhere(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	stream := append(pgwire.Startup("worker", "catalog"), pgwire.QueryMessage(selectStatement("look", 1500))...)
	for cut := 1; cut < len(stream); cut += 7 {
		n, err := net.Dial("tcp", p.clients.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		n.SetDeadline(time.Now().Add(testTimeout))
		n.Write(stream[:cut])
		n.Write(stream[cut:])
		c := &client{t, n, bufio.NewReader(n)}
		c.readUntil('Z')
		if v, code := c.readResponse(); v == "" {
			t.Fatalf("cut at %d: %q", cut, code)
		}
		n.Close()
	}
	checkCounters(t, p)
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	u := newFakeEndpoint(t, always(succeed))
	p := startRelay(t, newFakeDiscovery(t, u), nil)
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
			t.Fatal("closed without a word")
		}
	}
	if !c.closedByRelay() {
		t.Error("queries without bound are taken in")
	}
	c.Close()
	checkCounters(t, p)
}

// TestOutcomes sends a request of each class to endpoints with one behaviour: what the client receives, and how often
// the request may have run.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name          string
		does          behaviour
		class         string
		code          string
		minStatements int // at endpoints
		maxStatements int
		inTime        bool // answered before the deadline
	}{
		{"an error of a query that may run again", failing, "look", pgwire.CodeFull, 2, 3, true},
		{"an error of one that may not", failing, "pay", pgwire.CodeFailed, 1, 1, true},
		{"turned away", rejectFull, "pay", pgwire.CodeFull, 1, 3, true},
		{"reset behind the last byte", reset, "pay", pgwire.CodeFailed, 1, 1, true},
		{"reset of a numbered one", reset, "order", pgwire.CodeFull, 2, 3, true},
		{"silence", noResponse, "pay", pgwire.CodeFailed, 1, 1, false},
		{"garbage", garbage, "pay", pgwire.CodeFailed, 1, 1, true},
		{"two rows", twoRows, "pay", pgwire.CodeFailed, 1, 1, true},
		{"half an answer", halfResponse, "pay", pgwire.CodeFailed, 1, 1, true},
		{"noise of no known type", unknownMessage, "pay", pgwire.CodeFailed, 1, 1, true},
		{"a tag that can't be read", badTag, "pay", pgwire.CodeFailed, 1, 1, true},
		{"a load report that can't be read", badLoad, "pay", "", 1, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeEndpoint(t, always(c.does)), newFakeEndpoint(t, always(c.does))
			p := startRelay(t, newFakeDiscovery(t, a, b), nil)
			cl := dialClient(t, p)
			cl.readUntil('Z')
			begun := time.Now()
			cl.send(selectStatement(c.class, 1500))
			_, code := cl.readResponse()
			n, _ := a.counts()
			m, _ := b.counts()
			if code != c.code || n+m < c.minStatements || n+m > c.maxStatements {
				t.Errorf("%q after %d statements", code, n+m)
			}
			if in := time.Since(begun) < 1490*time.Millisecond; in != c.inTime {
				t.Errorf("after %v", time.Since(begun))
			}
			checkCounters(t, p)
		})
	}
}

func TestRefusedConnectsNeverRan(t *testing.T) {
	gone, well := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	gone.ln.Close()
	f := newFakeDiscovery(t, gone, well)
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	for range 20 { // at least one of them is sent first to the endpoint that is not there
		c.send(selectStatement("pay", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
	}
	if p.loop.Metrics.Get(metrics.AttemptConnectFailed) == 0 {
		t.Error("no leg went to the unit that is not there")
	}
	checkCounters(t, p)
}

func TestUnitThatNeverComesUp(t *testing.T) {
	// It accepts, and says nothing to the startup.
	f := newFakeDiscovery(t, &fakeEndpoint{ln: newListener(t)})
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", 700))
	if _, code := c.readResponse(); code != pgwire.CodeFull {
		t.Errorf("%q: a leg without a connection never ran", code)
	}
	if p.loop.Metrics.Get(metrics.AttemptConnectFailed) == 0 {
		t.Error(p.loop.Metrics.Fields())
	}
	checkCounters(t, p)
}

func TestClientLeaves(t *testing.T) {
	u := newFakeEndpoint(t, always(noResponse))
	p := startRelay(t, newFakeDiscovery(t, u), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("look", 1900))
	<-u.received
	c.Close()
	waitForCounter(t, p, metrics.ClientLeft, 1)
	<-u.connEnded // the attempt's connection is closed, not pooled; the attempt is counted behind that
	waitForCounter(t, p, metrics.AttemptCancelled, 1)
	checkCounters(t, p)
}

func TestConnectionIsNotKeptAfterATimeout(t *testing.T) {
	u := newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			return noResponse
		}
		return succeed
	})
	p := startRelay(t, newFakeDiscovery(t, u), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.send(selectStatement("pay", 200))
	if _, code := c.readResponse(); code != pgwire.CodeFailed {
		t.Error(code)
	}
	<-u.connEnded
	c.send(selectStatement("look", 1500))
	if v, code := c.readResponse(); v == "" {
		t.Error(code)
	}
	if _, opened := u.counts(); opened != 2 {
		t.Errorf("%d connections", opened)
	}
	checkCounters(t, p)
}

func TestUnitThatClosesBetweenQueries(t *testing.T) {
	u := newFakeEndpoint(t, always(succeedThenClose))
	p := startRelay(t, newFakeDiscovery(t, u), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	for range 5 {
		c.send(selectStatement("pay", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
		<-u.connEnded
		waitForCounter(t, p, metrics.EndpointConnsOpen, 0)
	}
	checkCounters(t, p)
}

func TestBadInputFromClients(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	for name, c := range map[string]struct {
		bytes []byte
		code  string
	}{
		"another statement": {pgwire.QueryMessage("DROP TABLE objects"), pgwire.CodeSyntax},
		"unknown class":     {pgwire.QueryMessage(selectStatement("none", 100)), pgwire.CodeSyntax},
		"unknown tenant":    {pgwire.QueryMessage(strings.Replace(selectStatement("look", 1), "acme", "x", 1)), pgwire.CodeSyntax},
		"without an id":     {pgwire.QueryMessage(strings.Replace(selectStatement("look", 1), "id=9b1f,", "", 1)), pgwire.CodeSyntax},
		"extended protocol": {[]byte{'P', 0, 0, 0, 4}, pgwire.CodeUnsupported},
		"oversized":         {[]byte{'Q', 0x7f, 0, 0, 0}, pgwire.CodeTooLong},
		"short length":      {[]byte{'Q', 0, 0, 0, 1}, pgwire.CodeSyntax},
	} {
		before := p.loop.Metrics.Get(metrics.BadInput)
		cl := dialClient(t, p)
		cl.readUntil('Z')
		cl.Write(c.bytes)
		if _, code := cl.readResponse(); code != c.code {
			t.Errorf("%s: %q", name, code)
		}
		if !cl.closedByRelay() || p.loop.Metrics.Get(metrics.BadInput) != before+1 {
			t.Errorf("%s: not closed or not counted", name)
		}
		cl.Close()
	}
	cl := dialClient(t, p, bytes.Repeat([]byte{0}, 8)...)
	if cl.readUntil('Z'); !cl.closedByRelay() {
		t.Error("garbage behind the startup")
	}
	cl.Close()
	waitForCounter(t, p, metrics.ClientConnsOpen, 0)
	checkCounters(t, p)
}

func TestComplaintWaitsForTheAnswersBeforeIt(t *testing.T) {
	release := make(chan struct{})
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, func(string) behaviour { <-release; return succeed })), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	c.Write(append(pgwire.QueryMessage(selectStatement("pay", 1900)), 'P', 0, 0, 0, 4))
	waitForCounter(t, p, metrics.AttemptsOpen, 1)
	close(release)
	if v, code := c.readResponse(); v == "" {
		t.Error("the open query was lost over what came behind it:", code)
	}
	if _, code := c.readResponse(); code != pgwire.CodeUnsupported || !c.closedByRelay() {
		t.Errorf("%q", code)
	}
	c.Close()
	checkCounters(t, p)
}

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
		if _, code, _, _ := pgwire.ParseError(body); code != pgwire.CodeFull || !c.closedByRelay() || i != 48 {
			t.Errorf("connection %d: %q", i, code)
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

// TestIdleClientsMakeRoom has as many clients as the limit allows send one request and keep their connections open: one
// with a request in flight is kept, an idle one is closed in time for others to be served.
func TestIdleClientsMakeRoom(t *testing.T) {
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
			t.Fatal("nobody new is served")
		}
	}
	if !first.closedByRelay() {
		t.Error("the connection idle for longest is not the one closed")
	}
	close(release)
	if v, code := busy.readResponse(); v == "" {
		t.Error("an open query was closed over:", code)
	}
}

func TestFullBuffersReject(t *testing.T) {
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	hog := p.loop.Pool.Chain()
	for !p.loop.Pool.Full() {
		hog.Write(make([]byte, 1<<20))
	}
	c.send(selectStatement("pay", 1500))
	if _, code := c.readResponse(); code != pgwire.CodeFull {
		t.Error(code)
	}
	hog.Free()
	c.send(selectStatement("pay", 1500))
	if v, code := c.readResponse(); v == "" {
		t.Error(code)
	}
	checkCounters(t, p)
}

func TestDrainedUnitGetsNothingNew(t *testing.T) {
	a, b := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	f := newFakeDiscovery(t, a, b)
	p := startRelay(t, f, nil)
	c := dialClient(t, p)
	c.readUntil('Z')
	waitForCounter(t, p, metrics.DiscoveryCalls, 2) // the first call has confirmed the list, and the watch waits
	f.set(0, "DRAINING")
	waitForCounter(t, p, metrics.DiscoveryCalls, 3) // the answer has been read
	c.send(selectStatement("look", 1500))           // and is applied before this
	c.readResponse()
	before, _ := a.counts()
	for range 20 {
		c.send(selectStatement("look", 1500))
		if v, code := c.readResponse(); v == "" {
			t.Fatal(code)
		}
	}
	if after, _ := a.counts(); after != before {
		t.Errorf("%d queries to a draining unit", after-before)
	}
	checkCounters(t, p)
}

func TestDiscoveryDown(t *testing.T) {
	f := newFakeDiscovery(t, newFakeEndpoint(t, always(succeed)))
	f.down = true
	p := startRelay(t, f, nil)
	waitForCounter(t, p, metrics.DiscoveryFailed, 1)
	c := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
	c.readUntil('Z')
	if v, code := c.readResponse(); v == "" {
		t.Error("the list as last held does not serve:", code)
	}
	f.mu.Lock()
	f.down = false
	f.mu.Unlock()
	waitForCounter(t, p, metrics.DiscoveryCalls, 3) // polled again when the module commanded it: one call at once, then the watch
}

func TestGentleEnd(t *testing.T) {
	release := make(chan struct{})
	u := newFakeEndpoint(t, func(s string) behaviour {
		if strings.Contains(s, "c=pay") {
			<-release
		}
		return succeed
	})
	p := startRelay(t, newFakeDiscovery(t, u), nil)
	busy, idle := dialClient(t, p), dialClient(t, p)
	busy.readUntil('Z')
	idle.readUntil('Z')
	busy.send(selectStatement("pay", 1900))
	<-u.received
	p.shutdownGracefully()
	idle.send(selectStatement("look", 1500)) // goes on being served for a while
	if v, code := idle.readResponse(); v == "" {
		t.Error(code)
	}
	late := dialClient(t, p, pgwire.QueryMessage(selectStatement("look", 1500))...)
	late.readUntil('Z')
	if v, code := late.readResponse(); v == "" {
		t.Error("a new connection just after the signal:", code)
	}
	if !idle.closedByRelay() {
		t.Error("the idle connection should be closed cleanly")
	}
	idle.Close()
	close(release)
	if v, code := busy.readResponse(); v == "" || !busy.closedByRelay() {
		t.Error("the open query should be answered, then the connection closed:", code)
	}
	busy.Close()
	late.Close()
	select {
	case <-p.stop:
	case <-time.After(testTimeout):
		t.Error("the program does not end")
	}
	if _, err := net.Dial("tcp", p.clients.Addr().String()); err == nil {
		t.Error("the listener still takes connections")
	}
}
