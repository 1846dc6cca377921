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

// pipe is a connection that takes so many bytes and then breaks.
type pipe struct {
	netpoll.Connection
	takes  int
	got    []byte
	closed int
	before func(b []byte) // a write
	fault  error          // that it fails with
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.before != nil {
		p.before(b)
	}
	if p.takes < len(b) {
		if p.fault != nil {
			return 0, p.fault
		}
		return 0, errors.New("broken")
	}
	p.takes -= len(b)
	p.got = append(p.got, b...)
	return len(b), nil
}

func (p *pipe) IsActive() bool                      { return true }
func (p *pipe) Reader() netpoll.Reader              { return netpoll.NewLinkBuffer() }
func (p *pipe) Close() error                        { p.closed++; return nil }
func (p *pipe) SetWriteTimeout(time.Duration) error { return nil }

// bench is a pool with one unit, on a loop that is stepped by hand.
type bench struct {
	*pipeline.Loop
	pool *Pool
	unit *unit
}

func newBench(t *testing.T, change func(*settings.Site)) bench {
	t.Helper()
	site := settings.Site{EndpointIdleTimeout: 10}
	site.Settings.Relays = 1
	site.Settings.Classes = make([]relay.ClassSettings, 1)
	if change != nil {
		change(&site)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	p := New(l, 4)
	l.Upstream = p
	p.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1")
	return bench{l, p, p.units[1]}
}

// conn puts a connection into the pool as one that has just come up.
func (b bench) conn(n *pipe) *conn {
	c := &conn{pool: b.pool, unit: b.unit, address: b.unit.address, net: n}
	b.pool.open++
	b.unit.open++
	b.unit.coming++
	ready{c}.Apply(b.Loop)
	return c
}

// told drains the loop's queue of what connections posted, and gives the ends that the module would see.
func (b bench) told() (ends []relay.AttemptEnded) {
	for _, e := range b.TakePosted() {
		e.Apply(b.Loop)
	}
	for _, e := range b.TakeEvents() {
		if end, ok := e.(relay.AttemptEnded); ok {
			ends = append(ends, end)
		}
	}
	return ends
}

func (b bench) leg() *pipeline.Attempt {
	text := b.Pool.Chain()
	text.Write([]byte("SELECT /* d=500 */\x00"))
	q := &pipeline.Request{Body: text, Deadline: b.Clock.Now() + 60}
	q.DeadlineStart, q.DeadlineEnd = 12, 15
	leg := &pipeline.Attempt{Request: q, Endpoint: 1, StartedAt: b.Clock.Now(), Deadline: q.Deadline}
	q.Attempts = append(q.Attempts, leg)
	return leg
}

// TestBrokenWrites breaks a connection at every byte of a query: it never ran unless the last one went out.
func TestBrokenWrites(t *testing.T) {
	whole := &pipe{takes: 1 << 20}
	b := newBench(t, nil)
	b.conn(whole)
	b.pool.Send(b.leg())
	if ends := b.told(); len(ends) != 0 || whole.got[0] != 'Q' || whole.got[len(whole.got)-1] != 0 {
		t.Fatalf("%q %v", whole.got, ends)
	}
	for takes := range len(whole.got) {
		b := newBench(t, nil)
		n := &pipe{takes: takes}
		c := b.conn(n)
		b.pool.Send(b.leg())
		want := relay.ConnectFailed
		if takes == len(whole.got)-1 {
			want = relay.ConnectionBroken // the last byte was tried
		}
		if ends := b.told(); len(ends) != 1 || ends[0].Outcome != want || c.state != dead || n.closed == 0 {
			t.Errorf("broken after %d of %d bytes: %+v", takes, len(whole.got), ends)
		}
	}
}

func TestAnAnswerCountsOnce(t *testing.T) {
	b := newBench(t, nil)
	c := b.conn(&pipe{takes: 1 << 20})
	leg := b.leg()
	b.pool.Send(leg)
	if !b.pool.Cancel(leg) {
		t.Error("written whole, and said to have never left")
	}
	b.EndAttempt(leg, pipeline.AttemptResult{Outcome: relay.Cancelled})
	answered{c: c, how: relay.Succeeded, answer: b.Pool.Chain()}.Apply(b.Loop) // it was on its way
	ready{c}.Apply(b.Loop)
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.Cancelled || len(b.unit.idle) != 0 {
		t.Errorf("%+v, %d idle", ends, len(b.unit.idle))
	}
}

// TestMoreThanBelongsToAnAnswer has a second copy, or part of one, right behind an answer while another leg waits:
// the answer counts, and the copy is not taken for the other leg's.
func TestMoreThanBelongsToAnAnswer(t *testing.T) {
	for _, more := range []func(b bench, c *conn) pipeline.Event{
		func(b bench, c *conn) pipeline.Event {
			return answered{c: c, at: b.Clock.Now(), how: relay.Succeeded, answer: b.Loop.Pool.Chain()}
		},
		func(_ bench, c *conn) pipeline.Event { return begun{c} },
		func(_ bench, c *conn) pipeline.Event { return ready{c} },
		func(_ bench, c *conn) pipeline.Event { return protocolError{c, errState} },
	} {
		b := newBench(t, nil)
		n := &pipe{takes: 1 << 20}
		c := b.conn(n)
		first, second := b.leg(), b.leg()
		first.Request.Client, second.Request.ID = nobody{}, 1
		b.pool.Send(first)
		b.unit.coming++ // one is coming up for the second, and never does
		b.pool.Send(second)
		b.Post(answered{c: c, at: b.Clock.Now(), how: relay.Succeeded, answer: b.Loop.Pool.Chain()})
		b.Post(ready{c})
		b.Post(more(b, c))
		if ends := b.told(); len(ends) != 1 || ends[0].Request != 0 || ends[0].Outcome != relay.Succeeded || second.Ended {
			t.Errorf("%+v", ends)
		}
		if n.closed == 0 || len(b.unit.idle) != 0 {
			t.Error("the connection is kept")
		}
	}
}

// TestAnswerBeforeItsQuery has an answer that was read before the query's last byte went.
func TestAnswerBeforeItsQuery(t *testing.T) {
	b := newBench(t, nil)
	c := b.conn(&pipe{takes: 1 << 20})
	at := b.Clock.Now()
	b.pool.Send(b.leg())
	answered{c: c, at: at, how: relay.Succeeded, answer: b.Loop.Pool.Chain()}.Apply(b.Loop)
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.ConnectionBroken || c.state != dead {
		t.Errorf("%+v", ends)
	}
}

// TestUnfitConnection has bytes, or the end, come on an idle connection that nobody has read yet.
func TestUnfitConnection(t *testing.T) {
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
		if why := c.unfit(); why != "" {
			t.Error("nothing has come:", why)
		}
		want := metrics.ClosedByBadInput
		if peer.Write([]byte("x")); end {
			want = metrics.ClosedByPeer
			peer.Close()
		}
		for until := time.Now().Add(10 * time.Second); c.unfit() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("taken for fit")
			}
		}
	}
}

// nobody is a client that is not looked at.
type nobody struct{}

func (nobody) Respond(a *buffer.Chain) { a.Free() }

func TestLegWithoutAConnectionNeverLeft(t *testing.T) {
	b := newBench(t, nil)
	b.unit.coming = 1 // one is coming up
	leg := b.leg()
	b.pool.Send(leg)
	if b.pool.Cancel(leg) || len(b.unit.waiting) != 0 {
		t.Error("said to have been sent, or still waiting")
	}
}

func TestIdleConnections(t *testing.T) {
	b := newBench(t, nil)
	first, last := &pipe{takes: 1 << 20}, &pipe{takes: 1 << 20}
	b.conn(first)
	b.conn(last)
	b.pool.Send(b.leg())
	if len(first.got) != 0 || len(last.got) == 0 {
		t.Error("the one last used should be used first")
	}
	b.unit.idle[0].since = b.Clock.Now() - 9
	b.pool.sweep()
	if first.closed == 0 || len(b.unit.idle) != 0 {
		t.Error("idle for nine of ten seconds, and kept")
	}
	third, fourth := &pipe{}, &pipe{}
	b.conn(third)
	b.pool.CloseIdle(1)
	b.conn(fourth)
	b.pool.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	if third.closed == 0 || fourth.closed == 0 {
		t.Error("ordered closed, or moved, and kept")
	}
}

func TestConnectionToAnOldAddressIsNotKept(t *testing.T) {
	b := newBench(t, nil)
	n := &pipe{takes: 1 << 20}
	c := b.conn(n)
	leg := b.leg()
	b.pool.Send(leg)
	b.pool.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:2")
	answered{c: c, how: relay.Errored, code: "XX000"}.Apply(b.Loop)
	ready{c}.Apply(b.Loop)
	if n.closed == 0 || len(b.unit.idle) != 0 {
		t.Error("kept")
	}
}

func TestNoMoreConnectionsThanAllowed(t *testing.T) {
	b := newBench(t, nil)
	b.pool.most = 1
	idle := &pipe{takes: 1 << 20}
	b.conn(idle)
	b.pool.EndpointsListed(relay.Endpoint{ID: 2}, "s-2", "127.0.0.1:1")
	leg := b.leg()
	leg.Endpoint = 2
	b.pool.Send(leg)
	if idle.closed == 0 || b.pool.open != 1 {
		t.Error("no room made by closing an idle connection:", b.pool.open)
	}
	another := b.leg()
	b.pool.Send(another)
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.NotSent {
		t.Errorf("%+v", ends)
	}
}

func TestProbe(t *testing.T) {
	b := newBench(t, func(s *settings.Site) { s.LoadReportFields = []string{"recent_ms", "outstanding"} })
	n := &pipe{takes: 1 << 20}
	c := b.conn(n)
	b.pool.HealthCheck(1)
	answered{c: c, at: b.Clock.Now(), how: relay.Succeeded, row: "outstanding=3,recent_ms=2.5"}.Apply(b.Loop)
	got, ok := b.TakeEvents()[0].(relay.HealthCheckEnded)
	if !ok || string(n.got[5:len(n.got)-1]) != "SHOW vitals" || got.Endpoint != 1 || len(got.LoadReport) != 2 || got.LoadReport[0] != 2.5 {
		t.Errorf("%q %+v", n.got, got)
	}
}

// TestUnitWithoutALiveSocket has the kernel refuse: the leg that waits never ran.
func TestUnitWithoutALiveSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	b := newBench(t, nil)
	b.pool.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", address)
	b.pool.Send(b.leg())
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if ends := b.told(); len(ends) == 1 {
			if ends[0].Outcome != relay.ConnectFailed || b.pool.open != 0 {
				t.Errorf("%+v, %d open", ends, b.pool.open)
			}
			return
		}
		if time.Now().After(until) {
			t.Fatal("the leg does not end")
		}
	}
}
