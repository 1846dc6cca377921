package clients

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

// patience is how long a test waits for what should come at once.
const patience = 10 * time.Second

// door is a server on loopback whose loop is stepped by hand: the test chooses what the loop sees before what.
type door struct {
	*testing.T
	*pipeline.Loop
	s *Server
}

func newDoor(t *testing.T, most, over int) door {
	t.Helper()
	site := settings.Site{ClassByName: map[string]relay.RequestClass{"look": 0}}
	site.Settings.Relays = 1
	site.Settings.Classes = []relay.ClassSettings{{Deadline: 2}}
	site.Settings.Limits = relay.Limits{RetryAfter: true, MaxRetryAfter: 0.75}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	l.OpenService()
	d := door{t, l, New(l, most, over)}
	if err := d.s.Listen("127.0.0.1:0", func(error) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.s.Close() })
	return d
}

// pump has the loop take what is in its queue.
func (d door) pump() {
	for _, e := range d.TakePosted() {
		e.Apply(d.Loop)
	}
}

// until pumps up to a moment; held does the same and leaves the loop's queue alone.
func (d door) until(what string, is func() bool) { d.Helper(); d.wait(what, is, d.pump) }
func (d door) held(what string, is func() bool)  { d.Helper(); d.wait(what, is, func() {}) }

func (d door) wait(what string, is func() bool, each func()) {
	d.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(100 * time.Microsecond) {
		if each(); time.Now().After(end) {
			d.Fatal("not in time: " + what)
		}
	}
}

// caller is a client's side of a connection.
type caller struct {
	door
	net.Conn
	r *bufio.Reader
}

func (d door) dial() caller {
	d.Helper()
	n, err := net.Dial("tcp", d.s.Addr().String())
	if err != nil {
		d.Fatal(err)
	}
	n.SetDeadline(time.Now().Add(patience))
	d.Cleanup(func() { n.Close() })
	return caller{d, n, bufio.NewReader(n)}
}

// read gives the next message.
func (c caller) read() (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(c.r, body)
	return head[0], body, err
}

// hears reads messages up to one of a kind, and gives the code of an error on the way.
func (c caller) hears(kind byte) (code string) {
	c.Helper()
	for {
		k, body, err := c.read()
		if err != nil {
			c.Fatalf("no %c: %v", kind, err)
		}
		if k == 'E' {
			_, code, _, _ = pgwire.ParseError(body)
		}
		if k == kind {
			return code
		}
	}
}

// ends says that the connection ends, and with nothing more on it.
func (c caller) ends() bool {
	b, _ := io.ReadAll(c.r)
	return len(b) == 0
}

var (
	startup = pgwire.Startup("worker", "catalog")
	look    = pgwire.QueryMessage("SELECT body FROM objects WHERE oid = '7f3a' /* id=9b1f,c=look,d=900 */")
)

// session opens a connection that is idle, and gives both sides.
func (d door) session() (caller, *conn) {
	d.Helper()
	before := map[*conn]bool{}
	for c := range d.s.conns {
		before[c] = true
	}
	cl := d.dial()
	cl.Write(startup)
	var it *conn
	d.until("a session", func() bool {
		for c := range d.s.conns {
			if !before[c] && c.greeted.Load() && c.current == nil {
				it = c
			}
		}
		return it != nil
	})
	cl.hears('Z')
	return cl, it
}

// answer has the open query answered, and the client hear it.
func (d door) answer(cl caller, c *conn) {
	d.Helper()
	d.until("the query's turn", func() bool { return c.current != nil && c.current.q != nil })
	d.finish(c)
	if code := cl.hears('Z'); code != "" {
		d.Errorf("served a %s", code)
	}
}

func (d door) finish(c *conn) {
	c.current.q.Text.Free()
	c.current.Respond(d.Pool.Filled(pgwire.EmptyQueryResponse()))
}

// TestIdleCloseCrossesAQuery wants to close a connection as idle while a query is at each place on its way in: it is
// not idle, and the query is served.
func TestIdleCloseCrossesAQuery(t *testing.T) {
	d := newDoor(t, 100, 10)
	for _, why := range []metrics.CloseReason{metrics.ClosedByIdleTimeout, metrics.ClosedByShutdown} {
		cl, c := d.session()
		cl.Write(look)
		d.held("the query is read", func() bool { return c.ahead.Load() == 1 })
		if c.evict(why) {
			t.Error("closed with a query on its way to the loop")
		}
		d.answer(cl, c)

		cl.Write(look[:20])
		d.held("half of the query is read", func() bool { return c.partial.Load() != 0 })
		d.until("the answer is booked", func() bool { return c.current == nil })
		if c.evict(why) {
			t.Error("closed with half of a query read")
		}
		cl.Write(look[20:])
		d.answer(cl, c)

		gate := make(chan struct{})
		hold := func() { <-gate }
		d.s.reading.Store(&hold)
		cl.Write(look)
		d.until("the library has the query", func() bool { return c.net.Reader().Len() == len(look) && c.current == nil })
		if c.evict(why) {
			t.Error("closed with a query in the library's buffer")
		}
		close(gate)
		d.answer(cl, c)
		d.until("idle again", func() bool { return c.current == nil })
		d.s.reading.Store(nil)
		if !c.evict(why) || !cl.ends() {
			t.Error("an idle connection is not closed")
		}
	}
	if d.Metrics.Get(metrics.RejectedAfterClose) != 0 {
		t.Error("refused:", d.Metrics.Get(metrics.RejectedAfterClose))
	}
}

// TestLastWords has the close fall between the look and what was read: the query gets a refusal, not silence.
func TestLastWords(t *testing.T) {
	d := newDoor(t, 100, 10)
	closeAnyway := func(c *conn) {
		c.because(metrics.ClosedByIdleTimeout)
		c.evicted.Store(true)
		c.shutting = true
		c.rests(false)
		c.net.Close()
	}
	cl, c := d.session()
	cl.Write(append(look[:len(look):len(look)], look...))
	d.held("two queries are read", func() bool { return c.ahead.Load() == 2 })
	closeAnyway(c)
	for range 2 {
		if code := cl.hears('Z'); code != pgwire.CodeShuttingDown {
			t.Errorf("%q", code)
		}
	}
	if !cl.ends() {
		t.Error("more, or no end")
	}

	cl, c = d.session()
	gate := make(chan struct{})
	hold := func() { <-gate }
	d.s.reading.Store(&hold)
	cl.Write(look)
	d.held("the library has the query", func() bool { return c.net.Reader().Len() == len(look) })
	closeAnyway(c)
	close(gate)
	if code := cl.hears('Z'); code != pgwire.CodeShuttingDown || !cl.ends() {
		t.Errorf("%q", code)
	}
	d.until("both are forgotten", func() bool { return len(d.s.conns) == 0 && d.Pool.Out() == 0 })
	if d.Metrics.Get(metrics.RejectedAfterClose) != 3 || len(d.TakeEvents()) != 0 {
		t.Error("not counted, or shown to the module all the same")
	}
}

// TestClientLeavesInEachState has the client go while its query is read, behind another one or open: nothing of it is
// left for the loop to send on, and the module hears of the open one alone.
func TestClientLeavesInEachState(t *testing.T) {
	for name, c := range map[string]struct {
		sends [][]byte
		halve bool // close the sending half only: the client has gone all the same
		open  int
	}{
		"query and end at once":     {[][]byte{look}, false, 1},
		"half-close":                {[][]byte{look}, true, 1},
		"a query behind another":    {[][]byte{look, look}, false, 1},
		"half of a query behind it": {[][]byte{look, look[:20]}, false, 1},
		"half of a query":           {[][]byte{look[:20]}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDoor(t, 100, 10)
			cl, _ := d.session()
			var all []byte
			for _, b := range c.sends {
				all = append(all, b...)
			}
			cl.Write(all)
			if c.halve {
				cl.Conn.(*net.TCPConn).CloseWrite()
			} else {
				cl.Close()
			}
			d.until("the end", func() bool { return len(d.s.conns) == 0 })
			took, left := 0, 0
			for _, e := range d.TakeEvents() {
				switch e.(type) {
				case relay.Request:
					took++
				case relay.ClientDisconnected:
					left++
				}
			}
			if took != c.open || left != c.open {
				t.Errorf("%d shown, %d left", took, left)
			}
			if d.Pool.Out() != 0 {
				t.Error("buffers are out")
			}
		})
	}
}

// TestOverTheBoundIsTold has a client come with its query right behind the startup when not even those over the bound
// are listened to: it is refused with a time to come back, not cut off without a word.
func TestOverTheBoundIsTold(t *testing.T) {
	d := newDoor(t, 1, 1)
	d.session()
	second := d.dial()
	second.Write(startup)
	d.until("told that it is full", func() bool {
		for c := range d.s.conns {
			if c.full && c.current != nil {
				return true
			}
		}
		return false
	})
	if code := second.hears('E'); code != pgwire.CodeFull {
		t.Error(code)
	}
	third := d.dial()
	third.Write(append(startup[:len(startup):len(startup)], look...))
	kind, body, err := third.read()
	if err != nil || kind != 'E' || !strings.Contains(string(body), "D750\x00") {
		t.Fatalf("%c %q %v", kind, body, err)
	}
	if _, code, _, _ := pgwire.ParseError(body); code != pgwire.CodeFull {
		t.Error(code)
	}
}

// TestSilentOnesMakeRoomFirst has clients connect and say nothing: they go before one that was served, and before
// that would be idle for long enough itself.
func TestSilentOnesMakeRoomFirst(t *testing.T) {
	d := newDoor(t, 100, 10)
	_, served := d.session()
	quietOne := d.dial()
	d.until("both are there", func() bool { return len(d.s.conns) == 2 })
	if d.s.evictIdle() {
		t.Error("closed at once: its startup may be on the way")
	}
	for c := range d.s.conns {
		c.idleAt -= limits.MinIdleBeforeStartup.Seconds()
	}
	if !d.s.evictIdle() || !quietOne.ends() || d.s.evictIdle() {
		t.Error("the silent one is not the one to go")
	}
	d.until("it went", func() bool { return len(d.s.conns) == 1 })
	if served.shutting {
		t.Error("the one that was served went too")
	}
}

// TestNewConnectionAtTheEnd has connections come in as the program ends: each gets a moment for its first query.
func TestNewConnectionAtTheEnd(t *testing.T) {
	d := newDoor(t, 100, 10)
	ended := false
	d.s.stopping, d.s.stopped = true, func() { ended = true }
	d.s.lastWord = d.Clock.Now() + 60
	cl := d.dial()
	d.until("it is there", func() bool { return len(d.s.conns) == 1 })
	cl.Write(startup)
	if cl.Write(look); len(d.s.conns) != 1 {
		t.Fatal("closed before its first query")
	}
	var c *conn
	for c = range d.s.conns {
	}
	d.until("the query's turn", func() bool { return c.current != nil && c.current.q != nil })
	d.finish(c)
	d.until("closed behind its answer", func() bool { return len(d.s.conns) == 0 })
	if code := cl.hears('Z'); code != "" {
		t.Error(code)
	}
	if code := cl.hears('Z'); code != "" || !cl.ends() {
		t.Error("no answer, or no end:", code)
	}
	d.s.stopAccepting()
	if d.until("the end", func() bool { return ended }); !ended {
		t.Error("not told of the end")
	}
}

// TestQueriesBehindSigtermEndBeforeSigkill clips what a query may take to the time at which the program may be killed.
func TestQueriesBehindSigtermEndBeforeSigkill(t *testing.T) {
	d := newDoor(t, 100, 10)
	cl, c := d.session()
	d.s.Shutdown(func() {})
	d.s.lastWord = d.Clock.Now() + 0.5
	cl.Write(look) // d=900
	d.until("the query's turn", func() bool { return c.current != nil && c.current.q != nil })
	if until := c.current.q.Deadline; until > d.s.lastWord+1e-9 || until < d.s.lastWord-0.4 {
		t.Errorf("may take until %v, killed behind %v", until, d.s.lastWord)
	}
	d.finish(c)
}
