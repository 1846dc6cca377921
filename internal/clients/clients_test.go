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

// testTimeout is how long a test waits for what should come at once.
const testTimeout = 10 * time.Second

// harness is a server on loopback whose loop is stepped by hand: the test chooses the order in which the loop sees
// events.
type harness struct {
	*testing.T
	*pipeline.Loop
	server *Server
}

func newHarness(t *testing.T, maxConns, maxOverLimit int) harness {
	t.Helper()
	site := settings.Site{ClassByName: map[string]relay.RequestClass{"look": 0}}
	site.Relays = 1
	site.Classes = []relay.ClassSettings{{Deadline: 2}}
	site.Limits = relay.Limits{RetryAfter: true, MaxRetryAfter: 0.75}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	l.OpenService()
	h := harness{t, l, New(l, maxConns, maxOverLimit)}
	if err := h.server.Listen("127.0.0.1:0", func(error) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.server.Close() })
	return h
}

// applyPosted has the loop apply the events posted so far.
func (h harness) applyPosted() {
	for _, e := range h.TakePosted() {
		e.Apply(h.Loop)
	}
}

// waitFor applies posted events until a condition holds.
func (h harness) waitFor(what string, holds func() bool) {
	h.Helper()
	h.poll(what, holds, h.applyPosted)
}

// waitWithoutLoop waits until a condition holds, and applies nothing meanwhile.
func (h harness) waitWithoutLoop(what string, holds func() bool) {
	h.Helper()
	h.poll(what, holds, func() {})
}

func (h harness) poll(what string, holds func() bool, step func()) {
	h.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(100 * time.Microsecond) {
		if step(); time.Now().After(end) {
			h.Fatal("not in time: " + what)
		}
	}
}

// testClient is the client's side of a connection.
type testClient struct {
	harness
	net.Conn
	reader *bufio.Reader
}

func (h harness) dial() testClient {
	h.Helper()
	n, err := net.Dial("tcp", h.server.Addr().String())
	if err != nil {
		h.Fatal(err)
	}
	n.SetDeadline(time.Now().Add(testTimeout))
	h.Cleanup(func() { n.Close() })
	return testClient{h, n, bufio.NewReader(n)}
}

// read gives the next message.
func (c testClient) read() (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(c.reader, body)
	return head[0], body, err
}

// readUntil reads messages up to one of a kind, and gives the code of an error on the way.
func (c testClient) readUntil(kind byte) (code string) {
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

// atEnd waits for the end of the connection, and says whether nothing more came before it.
func (c testClient) atEnd() bool {
	b, _ := io.ReadAll(c.reader)
	return len(b) == 0
}

var (
	startupMessage = pgwire.Startup("worker", "catalog")
	queryMessage   = pgwire.QueryMessage("SELECT body FROM objects WHERE oid = '7f3a' /* id=9b1f,c=look,d=900 */")
)

// session opens a connection, waits until it is idle, and gives both sides.
func (h harness) session() (testClient, *conn) {
	h.Helper()
	before := map[*conn]bool{}
	for c := range h.server.conns {
		before[c] = true
	}
	client := h.dial()
	client.Write(startupMessage)
	var session *conn
	h.waitFor("a session", func() bool {
		for c := range h.server.conns {
			if !before[c] && c.startupAnswered.Load() && c.current == nil {
				session = c
			}
		}
		return session != nil
	})
	client.readUntil('Z')
	return client, session
}

// respond has the open request succeed, and the client read the response.
func (h harness) respond(client testClient, c *conn) {
	h.Helper()
	h.waitFor("the query's turn", func() bool { return c.current != nil && c.current.request != nil })
	h.finish(c)
	if code := client.readUntil('Z'); code != "" {
		h.Errorf("responded with error %s", code)
	}
}

// finish responds to the open request.
func (h harness) finish(c *conn) {
	c.current.request.Body.Free()
	c.current.Respond(h.Pool.Filled(pgwire.EmptyQueryResponse()))
}

// TestIdleCloseRacesAQuery tries to close a connection as idle while a query is at each place on its way in: it is not idle,
// and the query is served.
func TestIdleCloseRacesAQuery(t *testing.T) {
	h := newHarness(t, 100, 10)
	for _, reason := range []metrics.CloseReason{metrics.ClosedByIdleTimeout, metrics.ClosedByShutdown} {
		client, c := h.session()
		client.Write(queryMessage)
		h.waitWithoutLoop("the query is read", func() bool { return c.unanswered.Load() == 1 })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with a query on its way to the loop")
		}
		h.respond(client, c)

		client.Write(queryMessage[:20])
		h.waitWithoutLoop("half of the query is read", func() bool { return c.partialSince.Load() != 0 })
		h.waitFor("the response is written", func() bool { return c.current == nil })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with half of a query read")
		}
		client.Write(queryMessage[20:])
		h.respond(client, c)

		release := make(chan struct{})
		hook := func() { <-release }
		h.server.beforeRead.Store(&hook)
		client.Write(queryMessage)
		h.waitFor("the library has the query", func() bool { return c.net.Reader().Len() == len(queryMessage) && c.current == nil })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with a query in the library's buffer")
		}
		close(release)
		h.respond(client, c)
		h.waitFor("idle again", func() bool { return c.current == nil })
		h.server.beforeRead.Store(nil)
		if !c.closeIfQuiescent(reason) || !client.atEnd() {
			t.Error("an idle connection is not closed")
		}
	}
	if h.Metrics.Get(metrics.RejectedAfterClose) != 0 {
		t.Error("rejected:", h.Metrics.Get(metrics.RejectedAfterClose))
	}
}

// TestQueryReadWhileClosing has the close fall between the look and what was read: the query is rejected, not left
// without a response.
func TestQueryReadWhileClosing(t *testing.T) {
	h := newHarness(t, 100, 10)
	closeAnyway := func(c *conn) {
		c.setCloseReason(metrics.ClosedByIdleTimeout)
		c.closedAsIdle.Store(true)
		c.closing = true
		c.setIdle(false)
		c.net.Close()
	}
	client, c := h.session()
	client.Write(append(queryMessage[:len(queryMessage):len(queryMessage)], queryMessage...))
	h.waitWithoutLoop("two queries are read", func() bool { return c.unanswered.Load() == 2 })
	closeAnyway(c)
	for range 2 {
		if code := client.readUntil('Z'); code != pgwire.CodeShuttingDown {
			t.Errorf("%q", code)
		}
	}
	if !client.atEnd() {
		t.Error("more, or no end")
	}

	client, c = h.session()
	release := make(chan struct{})
	hook := func() { <-release }
	h.server.beforeRead.Store(&hook)
	client.Write(queryMessage)
	h.waitWithoutLoop("the library has the query", func() bool { return c.net.Reader().Len() == len(queryMessage) })
	closeAnyway(c)
	close(release)
	if code := client.readUntil('Z'); code != pgwire.CodeShuttingDown || !client.atEnd() {
		t.Errorf("%q", code)
	}
	h.waitFor("both are forgotten", func() bool { return len(h.server.conns) == 0 && h.Pool.InUse() == 0 })
	if h.Metrics.Get(metrics.RejectedAfterClose) != 3 || len(h.TakeEvents()) != 0 {
		t.Error("not counted, or shown to the module")
	}
}

// TestClientLeavesInEachState has the client disconnect while its query is read, behind another one or open: nothing of it is
// left for the loop to forward, and the module is notified of the open one alone.
func TestClientLeavesInEachState(t *testing.T) {
	for name, c := range map[string]struct {
		sends [][]byte
		halve bool // close the sending half only, which counts as a disconnect too
		open  int
	}{
		"query and end at once":     {[][]byte{queryMessage}, false, 1},
		"half-close":                {[][]byte{queryMessage}, true, 1},
		"a query behind another":    {[][]byte{queryMessage, queryMessage}, false, 1},
		"half of a query behind it": {[][]byte{queryMessage, queryMessage[:20]}, false, 1},
		"half of a query":           {[][]byte{queryMessage[:20]}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 100, 10)
			client, _ := h.session()
			var all []byte
			for _, b := range c.sends {
				all = append(all, b...)
			}
			client.Write(all)
			if c.halve {
				client.Conn.(*net.TCPConn).CloseWrite()
			} else {
				client.Close()
			}
			h.waitFor("the end", func() bool { return len(h.server.conns) == 0 })
			accepted, disconnected := 0, 0
			for _, e := range h.TakeEvents() {
				switch e.(type) {
				case relay.Request:
					accepted++
				case relay.ClientDisconnected:
					disconnected++
				}
			}
			if accepted != c.open || disconnected != c.open {
				t.Errorf("%d requests, %d disconnects", accepted, disconnected)
			}
			if h.Pool.InUse() != 0 {
				t.Error("buffers are not freed")
			}
		})
	}
}

// TestConnectionOverTheLimitIsRejected has a client connect, with its query right behind the startup, beyond the
// connections that are told of the limit once their startup is read: it is rejected with a time to come back.
// One connection below that is told of the limit behind its startup.
func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.session()
	second := h.dial()
	second.Write(startupMessage)
	h.waitFor("told of the limit", func() bool {
		for c := range h.server.conns {
			if c.overLimit && c.current != nil {
				return true
			}
		}
		return false
	})
	if code := second.readUntil('E'); code != pgwire.CodeTooManyConnections {
		t.Error(code)
	}
	third := h.dial()
	third.Write(append(startupMessage[:len(startupMessage):len(startupMessage)], queryMessage...))
	kind, body, err := third.read()
	if err != nil || kind != 'E' || !strings.Contains(string(body), "D750\x00") {
		t.Fatalf("%c %q %v", kind, body, err)
	}
	if _, code, _, _ := pgwire.ParseError(body); code != pgwire.CodeTooManyConnections {
		t.Error(code)
	}
}

// TestConnectionsWithoutAStartupAreEvictedFirst has a client connect and send nothing: it is closed before one that was
// served, and before that would be idle for long enough itself.
func TestConnectionsWithoutAStartupAreEvictedFirst(t *testing.T) {
	h := newHarness(t, 100, 10)
	_, served := h.session()
	silentClient := h.dial()
	h.waitFor("both are accepted", func() bool { return len(h.server.conns) == 2 })
	if h.server.evictIdle() {
		t.Error("closed at once: its startup may be on the way")
	}
	for c := range h.server.conns {
		c.idleSince -= limits.MinIdleBeforeStartup.Seconds()
	}
	if !h.server.evictIdle() || !silentClient.atEnd() || h.server.evictIdle() {
		t.Error("the connection without a startup is not the one closed")
	}
	h.waitFor("it is closed", func() bool { return len(h.server.conns) == 1 })
	if served.closing {
		t.Error("the one that was served was closed too")
	}
}

// TestNewConnectionDuringShutdown has a connection accepted during the shutdown: it gets a moment for its first query.
func TestNewConnectionDuringShutdown(t *testing.T) {
	h := newHarness(t, 100, 10)
	ended := false
	h.server.shuttingDown, h.server.onShutdown = true, func() { ended = true }
	h.server.respondBy = h.Clock.Now() + 60
	client := h.dial()
	h.waitFor("it is accepted", func() bool { return len(h.server.conns) == 1 })
	client.Write(startupMessage)
	if client.Write(queryMessage); len(h.server.conns) != 1 {
		t.Fatal("closed before its first query")
	}
	var c *conn
	for c = range h.server.conns {
	}
	h.waitFor("the query's turn", func() bool { return c.current != nil && c.current.request != nil })
	h.finish(c)
	h.waitFor("closed behind its response", func() bool { return len(h.server.conns) == 0 })
	if code := client.readUntil('Z'); code != "" {
		t.Error(code)
	}
	if code := client.readUntil('Z'); code != "" || !client.atEnd() {
		t.Error("no response, or no end:", code)
	}
	h.server.stopAccepting()
	if h.waitFor("the end", func() bool { return ended }); !ended {
		t.Error("onShutdown was not called")
	}
}

// TestQueriesAfterSigtermEndBeforeSigkill shortens the deadline of a query to the time at which the program may be
// killed.
func TestQueriesAfterSigtermEndBeforeSigkill(t *testing.T) {
	h := newHarness(t, 100, 10)
	client, c := h.session()
	h.server.Shutdown(func() {})
	h.server.respondBy = h.Clock.Now() + 0.5
	client.Write(queryMessage) // d=900
	h.waitFor("the query's turn", func() bool { return c.current != nil && c.current.request != nil })
	if until := c.current.request.Deadline; until > h.server.respondBy+1e-9 || until < h.server.respondBy-0.4 {
		t.Errorf("its deadline is %v, killed after %v", until, h.server.respondBy)
	}
	h.finish(c)
}
