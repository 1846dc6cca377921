package main

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// steppedEndpoint is an endpoint that waits at each step until the test closes the channel of that step.
type steppedEndpoint struct {
	ln         net.Listener
	mayAccept  chan struct{} // once closed, startups are answered
	mayBegin   chan struct{} // once closed, the first half of a response is sent
	mayFinish  chan struct{} // once closed, the second half is sent
	rejections *atomic.Int32 // how many statements are still to be rejected, shared by both endpoints

	mu    sync.Mutex
	conns []net.Conn
	ran   int // statements that were not rejected
}

func newSteppedEndpoint(t *testing.T, rejections *atomic.Int32) *steppedEndpoint {
	e := &steppedEndpoint{ln: newListener(t), rejections: rejections, mayAccept: make(chan struct{}), mayBegin: make(chan struct{}), mayFinish: make(chan struct{})}
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := e.ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e
}

func (e *steppedEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if _, _, err := fakes.ReadMessage(r, true); err != nil {
		return
	}
	<-e.mayAccept
	c.Write(pgwire.StartupResponse(1))
	for {
		kind, body, err := fakes.ReadMessage(r, false)
		if err != nil || kind != 'Q' {
			return
		}
		if len(body) == 1 { // an empty query
			c.Write(pgwire.EmptyQueryResponse())
			continue
		}
		e.mu.Lock()
		reject := e.rejections.Add(-1) >= 0
		if !reject {
			e.ran++
		}
		e.mu.Unlock()
		if reject {
			c.Write(pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeTooManyConnections, "full", "")))
			continue
		}
		row := pgwire.AppendReadyForQuery(fakes.Row("value"))
		<-e.mayBegin
		c.Write(row[:len(row)/2])
		<-e.mayFinish
		c.Write(row[len(row)/2:])
	}
}

// statements returns how many statements this endpoint has run.
func (e *steppedEndpoint) statements() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran
}

// connections returns how many connections this endpoint has had.
func (e *steppedEndpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// allowSteps closes the channels of steps that are not closed yet.
func allowSteps(steps ...chan struct{}) {
	for _, c := range steps {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

// interleaving is a test in which an event happens while one request is held in a state.
type interleaving struct {
	*testing.T
	p                *relayProcess
	f                *fakeDiscovery // discovery at the start
	next             *fakeDiscovery // discovery at another address, for a reload
	a, b             *steppedEndpoint
	c                *client
	request          []byte
	unsent           []byte // rest of the request that the client has not sent yet
	clientLeft       bool   // the client has closed its connection
	notifiedDraining bool   // the list has marked endpoint a as draining
}

func (x *interleaving) waitFor(what string, condition func() bool) {
	x.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			x.Fatalf("waited over %v for %s", testTimeout, what)
		}
	}
}

// statementsRun returns how many statements both endpoints have run.
func (x *interleaving) statementsRun() int {
	return x.a.statements() + x.b.statements()
}

// requestStates are the states in which a request is held.
var requestStates = []struct {
	name string
	hold func(x *interleaving)
}{
	{"partly received", func(x *interleaving) {
		x.c.Write(x.request[:30])
		x.unsent = x.request[30:]
	}},
	{"waiting for a connection", func(x *interleaving) {
		x.c.Write(x.request)
		waitForCounter(x.T, x.p, metrics.AttemptsOpen, 1)
		x.waitFor("a connection", func() bool { return x.a.connections()+x.b.connections() > 0 })
	}},
	{"sent", func(x *interleaving) {
		allowSteps(x.a.mayAccept, x.b.mayAccept)
		x.c.Write(x.request)
		x.waitFor("the statement", func() bool { return x.statementsRun() == 1 })
	}},
	{"partly answered", func(x *interleaving) {
		allowSteps(x.a.mayAccept, x.b.mayAccept, x.a.mayBegin, x.b.mayBegin)
		x.c.Write(x.request)
		x.waitFor("the statement", func() bool { return x.statementsRun() == 1 })
	}},
	{"retried", func(x *interleaving) {
		x.a.rejections.Store(1)
		allowSteps(x.a.mayAccept, x.b.mayAccept)
		x.c.Write(x.request)
		waitForCounter(x.T, x.p, metrics.AttemptRejected, 1)
		x.waitFor("the statement", func() bool { return x.statementsRun() == 1 })
	}},
}

// concurrentEvents are the events that happen while the request is held.
var concurrentEvents = []struct {
	name    string
	trigger func(x *interleaving)
}{
	{"shutdown", func(x *interleaving) { x.p.shutdownGracefully() }},
	{"reload", func(x *interleaving) {
		next := x.p.config
		next.Discovery = x.next.srv.Listener.Addr().String()
		x.p.reload(next, nil, x.p.loop.Clock.Now())
		waitForCounter(x.T, x.p, metrics.Reloads, 1)
	}},
	{"list update", func(x *interleaving) {
		x.f.set(0, "DRAINING")
		x.waitFor("the list update", func() bool { return x.p.loop.Metrics.Get(metrics.DiscoveryCalls) >= 3 }) // the relay calls again once it has the update
		x.notifiedDraining = true
	}},
	{"client close", func(x *interleaving) { x.c.Close(); x.clientLeft = true }},
	{"endpoint close", func(x *interleaving) {
		for _, e := range []*steppedEndpoint{x.a, x.b} {
			e.mu.Lock()
			for _, c := range e.conns {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			e.mu.Unlock()
		}
	}},
	{"time-out", func(x *interleaving) {
		if x.unsent == nil {
			time.Sleep(interleavingDeadline) // the request's deadline passes meanwhile
		}
	}},
	{"answer", func(x *interleaving) {
		allowSteps(x.a.mayAccept, x.b.mayAccept, x.a.mayBegin, x.b.mayBegin, x.a.mayFinish, x.b.mayFinish)
	}},
}

const interleavingDeadline = 500 * time.Millisecond // deadline of the request

// TestInterleavings lets each event happen in each state of a request, for each request class. It checks that the
// client gets exactly one response in time, unless it has disconnected; that an at-most-once request runs at most once;
// that no statement is sent to an endpoint listed as draining, or for a client that has disconnected; and that the
// counters add up.
func TestInterleavings(t *testing.T) {
	for _, class := range []string{"look", "order", "pay"} {
		for _, state := range requestStates {
			for _, event := range concurrentEvents {
				t.Run(class+" "+state.name+", "+event.name, func(t *testing.T) {
					t.Parallel()
					runInterleaving(t, class, state.hold, event.trigger)
				})
			}
		}
	}
}

func runInterleaving(t *testing.T, class string, hold, trigger func(*interleaving)) {
	rejections := new(atomic.Int32)
	x := &interleaving{T: t, a: newSteppedEndpoint(t, rejections), b: newSteppedEndpoint(t, rejections)}
	x.f = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.next = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.p = startRelay(t, x.f, nil)
	x.request = pgwire.QueryMessage(selectStatement(class, int(interleavingDeadline.Milliseconds())))
	x.c = dialClient(t, x.p)
	x.c.readUntil('Z')
	waitForCounter(t, x.p, metrics.DiscoveryCalls, 2) // the list is confirmed, and the watch is open
	hold(x)
	begin := time.Now()
	trigger(x)
	ranAtA := x.a.statements()
	ranBefore := x.statementsRun()
	if x.unsent != nil && !x.clientLeft {
		begin = time.Now()
		x.c.Write(x.unsent)
	}
	if x.clientLeft {
		x.waitFor("the end of the client's connection", func() bool { return x.p.loop.Metrics.Get(metrics.ClientConnsOpen) == 0 })
		waitForCounter(t, x.p, metrics.Open, 0)
		ranBefore = x.statementsRun()
	}
	allowSteps(x.a.mayAccept, x.b.mayAccept)
	x.waitFor("a statement at an endpoint, or the end of the request", func() bool {
		return x.statementsRun() > 0 || x.p.loop.Metrics.Get(metrics.Open) == 0
	})
	allowSteps(x.a.mayBegin, x.b.mayBegin, x.a.mayFinish, x.b.mayFinish)
	if x.clientLeft {
		waitForCounter(t, x.p, metrics.AttemptsOpen, 0)
		if x.statementsRun() != ranBefore {
			t.Errorf("%d statements sent after the client had disconnected", x.statementsRun()-ranBefore)
		}
	} else {
		value, code := x.c.readResponse()
		if code == "closed" {
			t.Error("connection closed without a response")
		}
		if took := time.Since(begin); took > interleavingDeadline+300*time.Millisecond {
			t.Errorf("response %q, code %q only after %v", value, code, took)
		}
		x.c.send(" ")
		if kind, body, err := fakes.ReadMessage(x.c.r, false); err == nil && kind != 'I' {
			t.Errorf("unexpected message after the response: %c %q", kind, body)
		}
	}
	if ran := x.statementsRun(); class == "pay" && ran > 1 {
		t.Errorf("an at-most-once request ran %d times", ran)
	}
	if after := x.a.statements(); x.notifiedDraining && after != ranAtA {
		t.Errorf("%d statements to an endpoint listed as draining", after-ranAtA)
	}
	waitForCounter(t, x.p, metrics.AttemptsOpen, 0)
	checkCounters(t, x.p)
}
