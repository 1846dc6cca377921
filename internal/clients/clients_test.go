package clients

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
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

// testTimeout bounds the wait for things that should happen immediately.
const testTimeout = 10 * time.Second

// harness is a server on loopback whose loop does not run by itself: the test decides when the loop applies posted
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

// applyPosted applies the events posted so far.
func (h harness) applyPosted() {
	for _, e := range h.TakePosted() {
		e.Apply(h.Loop)
	}
}

// waitFor applies posted events until a condition holds; what describes the condition.
func (h harness) waitFor(what string, holds func() bool) {
	h.Helper()
	h.poll(what, holds, h.applyPosted)
}

// waitWithoutLoop waits until a condition holds without applying posted events.
func (h harness) waitWithoutLoop(what string, holds func() bool) {
	h.Helper()
	h.poll(what, holds, func() {})
}

func (h harness) poll(what string, holds func() bool, step func()) {
	h.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(100 * time.Microsecond) {
		if step(); time.Now().After(end) {
			h.Fatal("timed out waiting for " + what)
		}
	}
}

// testClient is the client side of a connection.
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

// read returns the next message.
func (c testClient) read() (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(c.reader, body)
	return head[0], body, err
}

// readUntil reads messages up to and including the first of the given kind. It returns the code of the last
// ErrorResponse among them, or an empty string.
func (c testClient) readUntil(kind byte) (code string) {
	c.Helper()
	for {
		k, body, err := c.read()
		if err != nil {
			c.Fatalf("no message of type %c: %v", kind, err)
		}
		if k == 'E' {
			_, code, _, _ = pgwire.ParseError(body)
		}
		if k == kind {
			return code
		}
	}
}

// atEnd waits for the end of the connection, and reports whether nothing more came before it.
func (c testClient) atEnd() bool {
	b, _ := io.ReadAll(c.reader)
	return len(b) == 0
}

var startupMessage = pgwire.Startup("worker", "catalog")

// lastID is the last id that newQuery has used.
var lastID atomic.Uint32

// newQuery returns the message of a request with an id of its own.
func newQuery() []byte { return queryWithID(fmt.Sprintf("%08x", lastID.Add(1))) }

// queryWithID returns the message of a request with the given id.
func queryWithID(id string) []byte {
	return pgwire.QueryMessage("SELECT body FROM objects WHERE oid = '7f3a' /* id=" + id + ",c=look,d=900 */")
}

// session opens a connection, waits until its startup has been answered, and returns both sides.
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

// respond waits for a request, responds to it, and has the client read the response.
func (h harness) respond(client testClient, c *conn) {
	h.Helper()
	h.waitFor("the request to be processed", func() bool { return c.current != nil && c.current.request != nil })
	h.finish(c)
	if code := client.readUntil('Z'); code != "" {
		h.Errorf("client got error %s in place of a response", code)
	}
}

// finish responds to the request being processed.
func (h harness) finish(c *conn) {
	c.current.request.Body.Free()
	c.current.Respond(h.Pool.Filled(pgwire.EmptyQueryResponse()))
}

// TestIdleCloseRacesAQuery tries to close a connection as idle at each point between the arrival of a query and its
// processing. The connection must not be closed, and the query must be served.
func TestIdleCloseRacesAQuery(t *testing.T) {
	h := newHarness(t, 100, 10)
	for _, reason := range []metrics.CloseReason{metrics.ClosedByIdleTimeout, metrics.ClosedByShutdown} {
		client, c := h.session()
		client.Write(newQuery())
		h.waitWithoutLoop("the query to be read", func() bool { return c.unanswered.Load() == 1 })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with a query on its way to the loop")
		}
		h.respond(client, c)

		query := newQuery()
		client.Write(query[:20])
		h.waitWithoutLoop("part of the query to be read", func() bool { return c.partialSince.Load() != 0 })
		h.waitFor("the response to be written", func() bool { return c.current == nil })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with part of a query read")
		}
		client.Write(query[20:])
		h.respond(client, c)

		unblock := make(chan struct{})
		hook := func(*conn) { <-unblock }
		h.server.beforeRead.Store(&hook)
		query = newQuery()
		client.Write(query)
		h.waitFor("the query to be in netpoll's buffer", func() bool { return c.net.Reader().Len() == len(query) && c.current == nil })
		if c.closeIfQuiescent(reason) {
			t.Error("closed with a query in netpoll's buffer")
		}
		close(unblock)
		h.respond(client, c)
		h.waitFor("the connection to be idle again", func() bool { return c.current == nil })
		h.server.beforeRead.Store(nil)
		if !c.closeIfQuiescent(reason) || !client.atEnd() {
			t.Error("an idle connection was not closed")
		}
	}
	if h.Metrics.Get(metrics.RejectedAfterClose) != 0 {
		t.Error("requests rejected after the close:", h.Metrics.Get(metrics.RejectedAfterClose))
	}
}

// TestQueryReadWhileClosing closes a connection as idle although a query has just been read or is in netpoll's buffer,
// as happens when it arrives between the check and the close. The query must be rejected, not left without a response.
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
	client.Write(append(newQuery(), newQuery()...))
	h.waitWithoutLoop("two queries to be read", func() bool { return c.unanswered.Load() == 2 })
	closeAnyway(c)
	for range 2 {
		if code := client.readUntil('Z'); code != pgwire.CodeShuttingDown {
			t.Errorf("error code %q, want that of a shutdown", code)
		}
	}
	if !client.atEnd() {
		t.Error("client got more than two responses")
	}

	client, c = h.session()
	unblock := make(chan struct{})
	hook := func(*conn) { <-unblock }
	h.server.beforeRead.Store(&hook)
	query := newQuery()
	client.Write(query)
	h.waitWithoutLoop("the query to be in netpoll's buffer", func() bool { return c.net.Reader().Len() == len(query) })
	closeAnyway(c)
	close(unblock)
	if code := client.readUntil('Z'); code != pgwire.CodeShuttingDown || !client.atEnd() {
		t.Errorf("error code %q, want that of a shutdown and no more responses", code)
	}
	h.waitFor("both connections to be removed", func() bool { return len(h.server.conns) == 0 && h.Pool.InUse() == 0 })
	if h.Metrics.Get(metrics.RejectedAfterClose) != 3 || len(h.TakeEvents()) != 0 {
		t.Error("the rejected requests were not counted, or passed to the module")
	}
}

// TestClientLeavesInEachState has a client disconnect with a query open, unread, queued behind another one, or partly sent. All
// its buffers must be freed, each whole query must be counted, and the module must be notified of a query that was begun, and of
// its disconnect, but of no query whose client had left before.
func TestClientLeavesInEachState(t *testing.T) {
	for name, c := range map[string]struct {
		sends      [][]byte
		leaveFirst bool // before the loop processes the queries
		halfClose  bool // close only the sending half, which also counts as a disconnect
		open       int  // queries that are begun
		queries    int64
	}{
		"query and end at once":     {[][]byte{newQuery()}, true, false, 0, 1},
		"query and half-close":      {[][]byte{newQuery()}, true, true, 0, 1},
		"two queries and an end":    {[][]byte{newQuery(), newQuery()}, true, false, 0, 2},
		"open query":                {[][]byte{newQuery()}, false, false, 1, 1},
		"half-close":                {[][]byte{newQuery()}, false, true, 1, 1},
		"a query behind another":    {[][]byte{newQuery(), newQuery()}, false, false, 1, 2},
		"half of a query behind it": {[][]byte{newQuery(), newQuery()[:20]}, true, false, 0, 1},
		"half of a query":           {[][]byte{newQuery()[:20]}, true, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 100, 10)
			client, session := h.session()
			client.Write(bytes.Join(c.sends, nil))
			if !c.leaveFirst {
				h.waitFor("the query to be begun", func() bool { return session.current != nil && session.begun && session.unanswered.Load() == c.queries })
			}
			if c.halfClose {
				client.Conn.(*net.TCPConn).CloseWrite()
			} else {
				client.Close()
			}
			h.waitFor("the connection to be removed", func() bool { return len(h.server.conns) == 0 })
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
				t.Errorf("the module got %d requests and %d disconnects", accepted, disconnected)
			}
			if h.Pool.InUse() != 0 {
				t.Error("buffers were not freed")
			}
			if h.Metrics.Get(metrics.Accepted) != c.queries || h.Metrics.Get(metrics.ClientLeft) != c.queries {
				t.Errorf("%d queries counted, %d with a client that left, want %d", h.Metrics.Get(metrics.Accepted), h.Metrics.Get(metrics.ClientLeft), c.queries)
			}
		})
	}
}

// TestConnectionOverTheLimitIsRejected connects two clients to a server that is full. The second connection is within
// maxOverLimit and gets the error after its startup. The third is beyond that: although it has already sent a query, it
// gets the error, with a retry-after time, without being read.
func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.session()
	second := h.dial()
	second.Write(startupMessage)
	h.waitFor("the connection over the limit to be rejected", func() bool {
		for c := range h.server.conns {
			if c.overLimit && c.current != nil {
				return true
			}
		}
		return false
	})
	if code := second.readUntil('E'); code != pgwire.CodeTooManyConnections {
		t.Error("error code", code)
	}
	third := h.dial()
	third.Write(append(startupMessage[:len(startupMessage):len(startupMessage)], newQuery()...))
	kind, body, err := third.read()
	if err != nil || kind != 'E' || !strings.Contains(string(body), "D750\x00") {
		t.Fatalf("got message %c %q, error %v; want an ErrorResponse with a retry-after time", kind, body, err)
	}
	if _, code, _, _ := pgwire.ParseError(body); code != pgwire.CodeTooManyConnections {
		t.Error("error code", code)
	}
}

// TestConnectionsWithoutAStartupAreEvictedFirst has a client connect and send nothing. Its connection is evicted before
// one that has had a startup, and after a shorter idle time.
func TestConnectionsWithoutAStartupAreEvictedFirst(t *testing.T) {
	h := newHarness(t, 100, 10)
	_, served := h.session()
	silentClient := h.dial()
	h.waitFor("both connections to be accepted", func() bool { return len(h.server.conns) == 2 })
	if h.server.evictIdle() {
		t.Error("evicted immediately, though its startup may be on the way")
	}
	for c := range h.server.conns {
		c.idleSince -= limits.MinIdleBeforeStartup.Seconds()
	}
	if !h.server.evictIdle() || !silentClient.atEnd() || h.server.evictIdle() {
		t.Error("the connection without a startup is not the only one evicted")
	}
	h.waitFor("the evicted connection to be removed", func() bool { return len(h.server.conns) == 1 })
	if served.closing {
		t.Error("the connection that has had a startup was closed too")
	}
}

// TestInputOfAFastClientIsNotReadAhead guards against a relay that is killed for its memory: clients send values of 60 MB at
// full speed, each far too long, while the read callbacks are late. At most what a socket's receive buffer holds may be read
// of a connection before its callback has handled it, and each client must get its error.
func TestInputOfAFastClientIsNotReadAhead(t *testing.T) {
	const (
		clients       = 4
		valueBytes    = 60 << 20
		lateCallbacks = 50
		delay         = time.Millisecond               // of a callback that gets no processor time
		maxUnread     = 2 * limits.SocketReceiveBuffer // the kernel doubles the buffer
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in a relay with one core: poller and callbacks take turns
	h := newHarness(t, 100, 10)
	var calls, longest atomic.Int64
	hook := func(c *conn) {
		if calls.Add(1) <= lateCallbacks {
			time.Sleep(delay)
		}
		longest.Store(max(longest.Load(), int64(c.net.Reader().Len())))
	}
	h.server.beforeRead.Store(&hook)
	var open sync.WaitGroup
	for range clients {
		client := h.dial()
		open.Go(func() {
			client.Write(startupMessage)
			client.Write(binary.BigEndian.AppendUint32([]byte{pgwire.TypeQuery}, valueBytes))
			part := make([]byte, 1<<20)
			for sent := 0; sent < valueBytes; sent += len(part) {
				if _, err := client.Write(part); err != nil {
					break // the relay has closed the connection
				}
			}
		})
		open.Go(func() {
			defer client.Close()
			kind, body, err := client.read()
			for err == nil && kind != 'E' {
				kind, body, err = client.read()
			}
			if _, code, _, _ := pgwire.ParseError(body); err != nil || code != pgwire.CodeTooLong {
				t.Errorf("error code %q, error %v; want that of a message that is too long", code, err)
			}
		})
	}
	closed := make(chan struct{})
	go func() { open.Wait(); close(closed) }()
	h.waitFor("each client to get its error", func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	})
	if longest.Load() > maxUnread {
		t.Errorf("%d bytes of a connection were read ahead, want at most %d", longest.Load(), maxUnread)
	}
}
