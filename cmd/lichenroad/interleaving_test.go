package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// steppedEndpoint is an endpoint that takes each step only when the test closes the channel of that step.
type steppedEndpoint struct {
	ln         net.Listener
	mayAccept  chan struct{} // closed: connections are accepted
	mayBegin   chan struct{} // closed: the first half of a response is sent
	mayFinish  chan struct{} // closed: the second half is sent
	rejections *atomic.Int32 // statements that this endpoint, or the other one, still rejects

	mu    sync.Mutex
	conns []net.Conn
	ran   int // statements
}

func newSteppedEndpoint(t *testing.T, turns *atomic.Int32) *steppedEndpoint {
	g := &steppedEndpoint{ln: newListener(t), rejections: turns, mayAccept: make(chan struct{}), mayBegin: make(chan struct{}), mayFinish: make(chan struct{})}
	t.Cleanup(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, c := range g.conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := g.ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns = append(g.conns, c)
			g.mu.Unlock()
			go g.serve(c)
		}
	}()
	return g
}

func (g *steppedEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if _, _, err := fakes.ReadMessage(r, true); err != nil {
		return
	}
	<-g.mayAccept
	c.Write(pgwire.StartupResponse(1))
	for {
		if kind, _, err := fakes.ReadMessage(r, false); err != nil || kind != 'Q' {
			return
		}
		g.mu.Lock()
		away := g.rejections.Add(-1) >= 0
		if !away {
			g.ran++
		}
		g.mu.Unlock()
		if away {
			c.Write(pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeFull, "full", "")))
			continue
		}
		row := pgwire.Ready(fakes.Row("value"))
		<-g.mayBegin
		c.Write(row[:len(row)/2])
		<-g.mayFinish
		c.Write(row[len(row)/2:])
	}
}

// statements is how many statements have run here.
func (g *steppedEndpoint) statements() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ran
}

// connections is how many connections were accepted.
func (g *steppedEndpoint) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func allow(steps ...chan struct{}) {
	for _, c := range steps {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

// interleaving is one request, held in one state while something else happens.
type interleaving struct {
	*testing.T
	p                *relayProcess
	f                *fakeDiscovery
	next             *fakeDiscovery // discovery at another address
	a, b             *steppedEndpoint
	c                *client
	request          []byte
	unsent           []byte // part of the request
	clientLeft       bool   // the client has gone
	notifiedDraining bool   // the list has named the endpoint as draining
}

func (x *interleaving) waitFor(what string, is func() bool) {
	x.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			x.Fatal("not in time: " + what)
		}
	}
}

func (x *interleaving) ran() int {
	return x.a.statements() + x.b.statements()
}

// requestStates are the states in which a request is held.
var requestStates = []struct {
	name string
	hold func(x *interleaving)
}{
	{"half read", func(x *interleaving) {
		x.c.Write(x.request[:30])
		x.unsent = x.request[30:]
	}},
	{"waiting for a connection", func(x *interleaving) {
		x.c.Write(x.request)
		waitForCounter(x.T, x.p, metrics.AttemptsOpen, 1)
		x.waitFor("a connection", func() bool { return x.a.connections()+x.b.connections() > 0 })
	}},
	{"out", func(x *interleaving) {
		allow(x.a.mayAccept, x.b.mayAccept)
		x.c.Write(x.request)
		x.waitFor("the statement", func() bool { return x.ran() == 1 })
	}},
	{"half answered", func(x *interleaving) {
		allow(x.a.mayAccept, x.b.mayAccept, x.a.mayBegin, x.b.mayBegin)
		x.c.Write(x.request)
		x.waitFor("the statement", func() bool { return x.ran() == 1 })
	}},
	{"placed again", func(x *interleaving) {
		x.a.rejections.Store(1)
		allow(x.a.mayAccept, x.b.mayAccept)
		x.c.Write(x.request)
		waitForCounter(x.T, x.p, metrics.AttemptRejected, 1)
		x.waitFor("the statement", func() bool { return x.ran() == 1 })
	}},
}

// concurrentEvents are what happens meanwhile.
var concurrentEvents = []struct {
	name    string
	trigger func(x *interleaving)
}{
	{"shutdown", func(x *interleaving) { x.p.shutdownGracefully() }},
	{"reload", func(x *interleaving) {
		next := x.p.config
		next.Discovery = x.next.srv.Listener.Addr().String()
		x.p.reload(next, nil)
		waitForCounter(x.T, x.p, metrics.Reloads, 1)
	}},
	{"list update", func(x *interleaving) {
		x.f.set(0, "DRAINING")
		x.waitFor("the list update", func() bool { return x.p.loop.Metrics.Get(metrics.DiscoveryCalls) >= 3 }) // the next call follows it
		x.notifiedDraining = true
	}},
	{"client close", func(x *interleaving) { x.c.Close(); x.clientLeft = true }},
	{"unit close", func(x *interleaving) {
		for _, g := range []*steppedEndpoint{x.a, x.b} {
			g.mu.Lock()
			for _, c := range g.conns {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			g.mu.Unlock()
		}
	}},
	{"time-out", func(x *interleaving) {
		if x.unsent == nil {
			time.Sleep(interleavingDeadline) // its deadline passes; nothing else is forced by this
		}
	}},
	{"answer", func(x *interleaving) {
		allow(x.a.mayAccept, x.b.mayAccept, x.a.mayBegin, x.b.mayBegin, x.a.mayFinish, x.b.mayFinish)
	}},
}

const interleavingDeadline = 500 * time.Millisecond // of the request

// TestInterleavings has each event happen in each state of a request, for an idempotent request and for one that is not,
// and checks the rules: one final response in time, or none to a client that has disconnected; no statement twice where
// that could do harm; none to an endpoint listed as draining, nor for a client that has disconnected; and counters add up.
func TestInterleavings(t *testing.T) {
	for _, class := range []string{"look", "order", "pay"} {
		for _, point := range requestStates {
			for _, what := range concurrentEvents {
				t.Run(class+" "+point.name+", "+what.name, func(t *testing.T) {
					t.Parallel()
					runInterleaving(t, class, point.hold, what.trigger)
				})
			}
		}
	}
}

func runInterleaving(t *testing.T, class string, hold, come func(*interleaving)) {
	turns := new(atomic.Int32)
	x := &interleaving{T: t, a: newSteppedEndpoint(t, turns), b: newSteppedEndpoint(t, turns)}
	x.f = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.next = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.p = startRelay(t, x.f, nil)
	x.request = pgwire.QueryMessage(strings.Replace(selectStatement(class, int(interleavingDeadline.Milliseconds())), "t=acme", "t=acme,k=5c", 1))
	x.c = dialClient(t, x.p)
	x.c.readUntil('Z')
	waitForCounter(t, x.p, metrics.DiscoveryCalls, 2) // the watch waits
	hold(x)
	begun := time.Now()
	come(x)
	ranAtA := x.a.statements()
	ranBefore := x.ran()
	if x.unsent != nil && !x.clientLeft {
		begun = time.Now()
		x.c.Write(x.unsent)
	}
	if x.clientLeft {
		x.waitFor("the end", func() bool { return x.p.loop.Metrics.Get(metrics.ClientConnsOpen) == 0 })
		waitForCounter(t, x.p, metrics.Open, 0)
		ranBefore = x.ran()
	}
	allow(x.a.mayAccept, x.b.mayAccept)
	x.waitFor("a statement out, or an end", func() bool {
		return x.ran() > 0 || x.p.loop.Metrics.Get(metrics.Open) == 0
	})
	allow(x.a.mayBegin, x.b.mayBegin, x.a.mayFinish, x.b.mayFinish)
	if x.clientLeft {
		waitForCounter(t, x.p, metrics.AttemptsOpen, 0)
		if x.ran() != ranBefore {
			t.Errorf("%d statements behind the client's end", x.ran()-ranBefore)
		}
	} else {
		value, code := x.c.readResponse()
		if code == "closed" {
			t.Error("closed without an answer")
		}
		if took := time.Since(begun); took > interleavingDeadline+300*time.Millisecond {
			t.Errorf("%q %q after %v", value, code, took)
		}
		x.c.send(" ")
		if kind, body, err := fakes.ReadMessage(x.c.r, false); err == nil && kind != 'I' {
			t.Errorf("behind the answer: %c %q", kind, body)
		}
	}
	if ran := x.ran(); class == "pay" && ran > 1 {
		t.Errorf("ran %d times", ran)
	}
	if after := x.a.statements(); x.notifiedDraining && after != ranAtA {
		t.Errorf("%d statements to an endpoint listed as draining", after-ranAtA)
	}
	waitForCounter(t, x.p, metrics.AttemptsOpen, 0)
	checkCounters(t, x.p)
}
