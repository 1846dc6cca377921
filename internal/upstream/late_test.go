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

// TestLegThatIsLateForItsWindow has the connection come up, or the last byte about to be written, when the time by
// which the leg had to be out is over or was taken back: the unit gets no whole query, and the leg never ran.
func TestLegThatIsLateForItsWindow(t *testing.T) {
	for name, late := range map[string]func(b bench, leg *pipeline.Attempt){
		"its window ends": func(b bench, leg *pipeline.Attempt) { leg.SetSendBy(b.Clock.Now()) },
		"it is recalled":  func(b bench, leg *pipeline.Attempt) { b.recall(leg) },
	} {
		t.Run(name+" while it waits", func(t *testing.T) {
			b := newBench(t, nil)
			n := &pipe{takes: 1 << 20}
			c, leg := b.coming(n), b.leg()
			b.pool.Send(leg)
			late(b, leg)
			ready{c}.Apply(b.Loop)
			if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.NotSent || len(n.got) != 0 {
				t.Errorf("%+v, %q", ends, n.got)
			}
		})
		t.Run(name+" before its last byte", func(t *testing.T) {
			b := newBench(t, nil)
			n := &pipe{takes: 1 << 20}
			leg := b.leg()
			n.before = func(p []byte) {
				if len(n.got) == 0 && len(p) > 1 { // all but the last byte
					late(b, leg)
				}
			}
			b.conn(n)
			b.pool.Send(leg)
			if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.NotSent || n.got[len(n.got)-1] == 0 || n.closed == 0 {
				t.Errorf("%+v, %q", ends, n.got)
			}
		})
	}
	b := newBench(t, nil)
	n := &pipe{takes: 1 << 20}
	leg := b.leg()
	b.conn(n)
	b.pool.Send(leg)
	b.recall(leg)
	if ends := b.told(); len(ends) != 0 || n.closed != 0 {
		t.Errorf("taken back though its last byte was out: %+v", ends)
	}
}

// recall does what the loop does with that order.
func (b bench) recall(leg *pipeline.Attempt) {
	leg.SetSendBy(b.Clock.Now())
	b.pool.CancelUnsent(leg)
}

// TestLegForAnotherProcess lists the unit with another build, or a fresh start, under the same id and address while a
// leg waits for its connection: it was ordered for what no longer runs there.
func TestLegForAnotherProcess(t *testing.T) {
	for name, e := range map[string]relay.Endpoint{
		"another build": {ID: 1, Build: 2},
		"a fresh start": {ID: 1, StartKnown: true, StartedAt: 3},
	} {
		b := newBench(t, nil)
		n := &pipe{takes: 1 << 20}
		c := b.coming(n)
		b.pool.Send(b.leg())
		b.pool.EndpointsListed(relay.Endpoint{ID: 1}, "s-1", "127.0.0.1:1")
		if ends := b.told(); len(ends) != 0 {
			t.Errorf("the same once more: %+v", ends)
		}
		b.pool.EndpointsListed(e, "s-1", "127.0.0.1:1")
		ends := b.told()
		ready{c}.Apply(b.Loop)
		if len(ends) != 1 || ends[0].Outcome != relay.NotSent || len(n.got) != 0 {
			t.Errorf("%s: %+v, %q", name, ends, n.got)
		}
	}
}

// TestLastByteThatTheKernelRefused tells a last byte that surely never left from one that may have.
func TestLastByteThatTheKernelRefused(t *testing.T) {
	for fault, want := range map[error]relay.Outcome{
		unix.EPIPE: relay.ConnectFailed, unix.ECONNRESET: relay.ConnectFailed, errors.New("timed out"): relay.ConnectionBroken,
	} {
		b := newBench(t, nil)
		n := &pipe{takes: 1 << 20}
		n.before = func(p []byte) {
			if len(p) == 1 {
				n.takes, n.fault = 0, fault
			}
		}
		b.conn(n)
		b.pool.Send(b.leg())
		if ends := b.told(); len(ends) != 1 || ends[0].Outcome != want {
			t.Errorf("%v: %+v", fault, ends)
		}
	}
}

// TestReadyBeforeAWriteHasReturned has the unit's welcome, or its answer to a long query, read while the write of what
// it answers has not returned: the library refuses another write, so the next query waits, and does not end as one
// without a connection.
func TestReadyBeforeAWriteHasReturned(t *testing.T) {
	for name, was := range map[string]state{"the startup": starting, "a long query": settling} {
		b := newBench(t, nil)
		n := &pipe{takes: 1 << 20}
		c := b.coming(n)
		c.writing = true
		n.before = func([]byte) {
			if c.writing {
				n.takes, n.fault = 0, netpoll.ErrConcurrentAccess
			}
		}
		b.pool.Send(b.leg())
		if c.state = was; was == starting {
			ready{c}.Apply(b.Loop)
		} else {
			c.rest() // it has settled
		}
		if ends := b.told(); len(ends) != 0 || len(n.got) != 0 {
			t.Fatalf("%s: %+v, %q", name, ends, n.got)
		}
		c.wrote()
		if ends := b.told(); len(ends) != 0 || len(n.got) == 0 {
			t.Errorf("%s: %+v, %q", name, ends, n.got)
		}
	}
}

// feed has bytes come on a connection.
func (b bench) feed(c *conn, p []byte) {
	if err := c.split.Feed(p, func(m pgwire.Message) error { return c.take(m, b.Clock.Now()) }); err != nil {
		b.Post(protocolError{c, err})
	}
}

// TestRowBehindWhichAnErrorCame has a row, then an error in place of its end, and later the end alone as the answer to
// the next query: the row is not served to that.
func TestRowBehindWhichAnErrorCame(t *testing.T) {
	b := newBench(t, nil)
	n := &pipe{takes: 1 << 20}
	c := b.coming(n)
	c.split = pgwire.Splitter{Pool: b.Loop.Pool, Types: pgwire.FromUnits, MaxLength: pgwire.MaxResponse}
	ready{c}.Apply(b.Loop)
	b.pool.Send(b.leg())
	whole := append(pgwire.Header(nil, 'T', 25), "\x00\x01body\x00"...)
	whole = append(whole, make([]byte, 18)...)
	whole = append(pgwire.Header(whole, 'D', 9), "\x00\x01\x00\x00\x00\x03old"...)
	end := len(whole)
	whole = append(pgwire.Header(whole, 'C', 9), "SELECT 1\x00"...)
	b.feed(c, whole[:end])
	b.feed(c, pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, "XX000", "late", "")))
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.Errored {
		t.Fatalf("%+v", ends)
	}
	c.rest() // settled
	b.pool.Send(b.leg())
	b.feed(c, whole[end:])
	if ends := b.told(); len(ends) != 1 || ends[0].Outcome != relay.ConnectionBroken || n.closed == 0 {
		t.Errorf("served from a row that was not its own: %+v", ends)
	}
}

// TestAnswerWithoutReady has a whole answer behind which the unit never says that it is ready: the answer counts, and
// the connection does not stay for good.
func TestAnswerWithoutReady(t *testing.T) {
	b := newBench(t, nil)
	n := &pipe{takes: 1 << 20}
	c := b.conn(n)
	leg := b.leg()
	leg.Request.Client = nobody{}
	b.pool.Send(leg)
	answered{c: c, at: b.Clock.Now(), how: relay.Succeeded, answer: b.Loop.Pool.Chain()}.Apply(b.Loop)
	stop := make(chan struct{})
	b.RunAt(b.Clock.Now()+limits.ResponseRestTimeout.Seconds()+0.01, func() { close(stop) })
	b.told()
	b.Run(stop)
	if n.closed == 0 || b.pool.open != 0 {
		t.Errorf("closed %d times, %d open", n.closed, b.pool.open)
	}
}
