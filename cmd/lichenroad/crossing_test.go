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

// gated is a stand-in for a server that goes on at each point only when the test lets it.
type gated struct {
	ln      net.Listener
	welcome chan struct{} // closed: connections come up
	half    chan struct{} // closed: answers begin
	rest    chan struct{} // closed: answers end
	turns   *atomic.Int32 // statements that it, or the other one, still turns away

	mu    sync.Mutex
	conns []net.Conn
	ran   int // statements that it took
}

func newGated(t *testing.T, turns *atomic.Int32) *gated {
	g := &gated{ln: listening(t), turns: turns, welcome: make(chan struct{}), half: make(chan struct{}), rest: make(chan struct{})}
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

func (g *gated) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if _, _, err := fakes.ReadMessage(r, true); err != nil {
		return
	}
	<-g.welcome
	c.Write(pgwire.StartupResponse(1))
	for {
		if kind, _, err := fakes.ReadMessage(r, false); err != nil || kind != 'Q' {
			return
		}
		g.mu.Lock()
		away := g.turns.Add(-1) >= 0
		if !away {
			g.ran++
		}
		g.mu.Unlock()
		if away {
			c.Write(pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeFull, "full", "")))
			continue
		}
		row := pgwire.Ready(fakes.Row("value"))
		<-g.half
		c.Write(row[:len(row)/2])
		<-g.rest
		c.Write(row[len(row)/2:])
	}
}

// took is how many statements have run here, came how many connections have come.
func (g *gated) took() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ran
}

func (g *gated) came() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func open(gates ...chan struct{}) {
	for _, c := range gates {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

// crossing is one query, held at one point of its way, while something else happens.
type crossing struct {
	*testing.T
	p                *program
	f                *fakeDiscovery
	next             *fakeDiscovery // discovery at another address
	a, b             *gated
	c                *client
	query            []byte
	unsent           []byte // of the query
	left             bool   // the client has gone
	notifiedDraining bool   // the list has named the endpoint as draining
}

func (x *crossing) wait(what string, is func() bool) {
	x.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			x.Fatal("not in time: " + what)
		}
	}
}

func (x *crossing) ran() int {
	return x.a.took() + x.b.took()
}

// points are the places where a query is held.
var points = []struct {
	name string
	hold func(x *crossing)
}{
	{"half read", func(x *crossing) {
		x.c.Write(x.query[:30])
		x.unsent = x.query[30:]
	}},
	{"waiting for a connection", func(x *crossing) {
		x.c.Write(x.query)
		settled(x.T, x.p, metrics.AttemptsOpen, 1)
		x.wait("a connection", func() bool { return x.a.came()+x.b.came() > 0 })
	}},
	{"out", func(x *crossing) {
		open(x.a.welcome, x.b.welcome)
		x.c.Write(x.query)
		x.wait("the statement", func() bool { return x.ran() == 1 })
	}},
	{"half answered", func(x *crossing) {
		open(x.a.welcome, x.b.welcome, x.a.half, x.b.half)
		x.c.Write(x.query)
		x.wait("the statement", func() bool { return x.ran() == 1 })
	}},
	{"placed again", func(x *crossing) {
		x.a.turns.Store(1)
		open(x.a.welcome, x.b.welcome)
		x.c.Write(x.query)
		settled(x.T, x.p, metrics.AttemptRejected, 1)
		x.wait("the statement", func() bool { return x.ran() == 1 })
	}},
}

// happenings are what comes meanwhile.
var happenings = []struct {
	name string
	come func(x *crossing)
}{
	{"shutdown", func(x *crossing) { x.p.shutdownGracefully() }},
	{"reload", func(x *crossing) {
		next := x.p.config
		next.Discovery = x.next.srv.Listener.Addr().String()
		x.p.reload(next, nil)
		settled(x.T, x.p, metrics.Reloads, 1)
	}},
	{"list news", func(x *crossing) {
		x.f.set(0, "DRAINING")
		x.wait("the news", func() bool { return x.p.loop.Metrics.Get(metrics.DiscoveryCalls) >= 3 }) // the next call follows it
		x.notifiedDraining = true
	}},
	{"client close", func(x *crossing) { x.c.Close(); x.left = true }},
	{"unit close", func(x *crossing) {
		for _, g := range []*gated{x.a, x.b} {
			g.mu.Lock()
			for _, c := range g.conns {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			g.mu.Unlock()
		}
	}},
	{"time-out", func(x *crossing) {
		if x.unsent == nil {
			time.Sleep(crossingWaits) // its patience ends; nothing else is forced by this
		}
	}},
	{"answer", func(x *crossing) { open(x.a.welcome, x.b.welcome, x.a.half, x.b.half, x.a.rest, x.b.rest) }},
}

const crossingWaits = 500 * time.Millisecond // the patience of the query

// TestCrossings has each happening come at each point of a query's way, for a query that may run again and one that may
// not, and holds the rules: one final answer in time, or none to a client that has gone; no statement twice where that
// could do harm; nothing new to an endpoint listed as draining, nor for a client that has gone; and the books add up.
func TestCrossings(t *testing.T) {
	for _, class := range []string{"look", "order", "pay"} {
		for _, point := range points {
			for _, what := range happenings {
				t.Run(class+" "+point.name+", "+what.name, func(t *testing.T) {
					t.Parallel()
					cross(t, class, point.hold, what.come)
				})
			}
		}
	}
}

func cross(t *testing.T, class string, hold, come func(*crossing)) {
	turns := new(atomic.Int32)
	x := &crossing{T: t, a: newGated(t, turns), b: newGated(t, turns)}
	x.f = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.next = newFakeDiscovery(t, &fakeEndpoint{ln: x.a.ln}, &fakeEndpoint{ln: x.b.ln})
	x.p = running(t, x.f, nil)
	x.query = pgwire.QueryMessage(strings.Replace(read(class, int(crossingWaits.Milliseconds())), "t=acme", "t=acme,k=5c", 1))
	x.c = dialClient(t, x.p)
	x.c.until('Z')
	settled(t, x.p, metrics.DiscoveryCalls, 2) // the watch waits
	hold(x)
	begun := time.Now()
	come(x)
	ranAtA := x.a.took()
	ranBefore := x.ran()
	if x.unsent != nil && !x.left {
		begun = time.Now()
		x.c.Write(x.unsent)
	}
	if x.left {
		x.wait("the end", func() bool { return x.p.loop.Metrics.Get(metrics.ClientConnsOpen) == 0 })
		settled(t, x.p, metrics.Open, 0)
		ranBefore = x.ran()
	}
	open(x.a.welcome, x.b.welcome)
	x.wait("a statement out, or an end", func() bool {
		return x.ran() > 0 || x.p.loop.Metrics.Get(metrics.Open) == 0
	})
	open(x.a.half, x.b.half, x.a.rest, x.b.rest)
	if x.left {
		settled(t, x.p, metrics.AttemptsOpen, 0)
		if x.ran() != ranBefore {
			t.Errorf("%d statements behind the client's end", x.ran()-ranBefore)
		}
	} else {
		value, code := x.c.answer()
		if code == "closed" {
			t.Error("closed without an answer")
		}
		if took := time.Since(begun); took > crossingWaits+300*time.Millisecond {
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
	if after := x.a.took(); x.notifiedDraining && after != ranAtA {
		t.Errorf("%d statements to an endpoint listed as draining", after-ranAtA)
	}
	settled(t, x.p, metrics.AttemptsOpen, 0)
	sums(t, x.p)
}
