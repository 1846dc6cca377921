package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/internal/pipeline"
	"lichenroad/lab/fakes"
)

// testTimeout bounds each wait for something that should happen at once.
const testTimeout = 10 * time.Second

// behaviour is how a fake endpoint responds to a statement.
type behaviour int

const (
	succeed    behaviour = iota
	failing              // error XX000
	rejectFull           // error 53300
	noResponse
	reset            // the connection is closed after the statement was received
	garbage          // bytes that are not a message of the protocol
	twoRows          // a malformed response with two rows
	succeedThenClose // succeed, then close the connection
	halfResponse     // a response that stops in the middle
	unknownMessage   // a message of an unknown type, without its body
	badTag           // a response with a command tag that can't be parsed
	badLoad          // succeed, with a load report that can't be parsed
)

// fakeEndpoint is an endpoint that speaks the wire protocol. The test chooses its behaviour for each statement.
type fakeEndpoint struct {
	t           *testing.T
	ln          net.Listener
	behaviourOf func(statement string) behaviour
	startups    <-chan struct{} // startups are answered when it is closed; nil: at once
	lateConns   atomic.Int32    // connections that wait, or have waited, for that

	mu         sync.Mutex
	statements []string
	usedConns  int           // connections that carried a statement; one that the relay opened too late to use carries none
	received   chan string   // each statement received
	connEnded  chan struct{} // gets a value when a connection has been closed
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func newFakeEndpoint(t *testing.T, behaviourOf func(string) behaviour) *fakeEndpoint {
	return newLateEndpoint(t, nil, behaviourOf)
}

// newLateEndpoint returns an endpoint whose connections come up when startups is closed.
func newLateEndpoint(t *testing.T, startups <-chan struct{}, behaviourOf func(string) behaviour) *fakeEndpoint {
	ln := newListener(t)
	endpoint := &fakeEndpoint{t: t, ln: ln, behaviourOf: behaviourOf, startups: startups, received: make(chan string, 1000),
		connEnded: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go endpoint.serve(c)
		}
	}()
	return endpoint
}

func always(b behaviour) func(string) behaviour { return func(string) behaviour { return b } }

func (e *fakeEndpoint) serve(c net.Conn) {
	defer func() { c.Close(); e.connEnded <- struct{}{} }()
	r := bufio.NewReader(c)
	if _, _, err := fakes.ReadMessage(r, true); err != nil {
		return
	}
	if e.startups != nil {
		e.lateConns.Add(1)
		<-e.startups
	}
	c.Write(pgwire.StartupResponse(1))
	for first := true; ; {
		kind, body, err := fakes.ReadMessage(r, false)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimRight(string(body), "\x00")
		if text == "" {
			c.Write(pgwire.EmptyQueryResponse())
			continue
		}
		e.mu.Lock()
		e.statements = append(e.statements, text)
		if first {
			e.usedConns++
			first = false
		}
		e.mu.Unlock()
		e.received <- text
		switch e.behaviourOf(text) {
		case succeed:
			c.Write(pgwire.AppendReadyForQuery(fakes.Row("value of " + text[:6])))
		case succeedThenClose:
			c.Write(pgwire.AppendReadyForQuery(fakes.Row("value of " + text[:6])))
			return
		case halfResponse:
			c.Write(fakes.Row("a")[:40])
		case unknownMessage:
			c.Write([]byte{0xf7, 0, 0, 1, 0})
		case badTag:
			c.Write(pgwire.AppendReadyForQuery(append(fakes.Row("a")[:len(fakes.Row("a"))-9], "\x01\xff\x00\x00\x00\x00\x00\x00\x00"...)))
		case badLoad:
			c.Write(append([]byte("S\x00\x00\x00\x0evitals=\xff\xff\xff"), pgwire.AppendReadyForQuery(fakes.Row("a"))...))
		case failing:
			c.Write(pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "XX000", "broken", "")))
		case rejectFull:
			c.Write(pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeTooManyConnections, "full", "")))
		case reset:
			return
		case garbage:
			c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		case twoRows:
			b := fakes.Row("a")
			c.Write(pgwire.AppendReadyForQuery(append(b[:len(b)-14], fakes.Row("b")[len(fakes.Row(""))-25:]...)))
		}
	}
}

func (e *fakeEndpoint) counts() (statements, usedConns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.statements), e.usedConns
}

func (e *fakeEndpoint) address() string { return e.ln.Addr().String() }

const testSettings = `{"areas":["a"],"kinds":["m1"],"az":0,"my_number":0,"replicas_of_me":1,"discovery":"subscribe",
 "grades":[{"name":"look","repeat":"retryable","target":400000000,"deadline":2000000000,"worth":1},
  {"name":"order","repeat":"dedup","group":"all","repeat_window":2000000000,"target":400000000,"deadline":2000000000,"worth":1},
  {"name":"pay","repeat":"fragile","target":400000000,"deadline":2000000000,"worth":1}],
 "tenants":[{"name":"acme","share":1,"quota_per_s":1000}],
 "policy_limits":{"cancel":true,"conn_idle":30000000000,"dial_timeout":250000000,"max_attempts":3,"retry_after":true,
  "max_retry_after":1000000000,"probes":true,"may_tell":true},
 "report":{"via":"off"},"rules":{"drain_grace":250000000,"ask_every":10000000000},
 "family_info":{"call_timeout":300000000,"exposure_caps":[1],"waves":[1],"uncounted":1,"span":2000000000,
  "decided_by":"first_voice","to_advance":1,"to_abort":1,"ballot_ttl":10000000000,"votes_per_s":100}}`

// startRelay starts a complete relay on loopback and waits until it is ready, unless discovery is down. change, if not
// nil, changes the configuration before the start.
func startRelay(t *testing.T, f *fakeDiscovery, change func(*config.Config)) *relayProcess {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"known":%s,"settings":%s}`,
		f.srv.Listener.Addr().String(), f.list(), testSettings)
	c, err := config.Parse([]byte(raw), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&c)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := start(c, releasePlan{}, log, &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { p.loop.Run(p.stop); close(done) }()
	t.Cleanup(func() { p.end(); <-done; p.clients.Close() })
	if !f.isDown() {
		waitUntilReady(t, p)
	}
	return p
}

// waitUntilReady waits until the relay admits requests. Before that, while its endpoint list is not confirmed, it rejects
// them.
func waitUntilReady(t *testing.T, p *relayProcess) {
	t.Helper()
	opened := make(chan struct{})
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) { l.OnServiceOpen(func() { close(opened) }) }))
	select {
	case <-opened:
	case <-time.After(testTimeout):
		t.Fatalf("the relay is not ready after %v", testTimeout)
	}
}

// client is a client's connection to a relay.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// dialClient connects to the relay and sends a startup, in one write with the bytes that follow it.
func dialClient(t *testing.T, p *relayProcess, afterStartup ...byte) *client {
	t.Helper()
	n, err := net.Dial("tcp", p.clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	n.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { n.Close() })
	c := &client{t, n, bufio.NewReader(n)}
	n.Write(append(pgwire.Startup("worker", "catalog"), afterStartup...))
	return c
}

// readUntil reads messages up to the first of a kind and returns its body. It fails the test at any other error message.
func (c *client) readUntil(kind byte) []byte {
	c.t.Helper()
	for {
		k, body, err := fakes.ReadMessage(c.r, false)
		if err != nil {
			c.t.Fatalf("no message %c: %v", kind, err)
		}
		if k == kind {
			return body
		}
		if k == 'E' {
			c.t.Fatalf("got error %q instead of a message %c", body, kind)
		}
	}
}

// lastRequestID is the last id that selectStatement has used.
var lastRequestID atomic.Uint32

// selectStatement returns a read request of a class with a deadline in milliseconds and an id of its own. In the keyed class it
// has an idempotency key.
func selectStatement(class string, ms int) string {
	key := ""
	if class == "order" {
		key = ",k=5c"
	}
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '7f3a' /* id=%08x,c=%s,t=acme,d=%d%s */", lastRequestID.Add(1), class, ms, key)
}

func (c *client) send(text string) { c.Write(pgwire.QueryMessage(text)) }

// readResponse reads the response to a request: its value, or the code of its error. The code is "closed" if the
// connection was closed instead.
func (c *client) readResponse() (value, code string) {
	c.t.Helper()
	for {
		kind, body, err := fakes.ReadMessage(c.r, false)
		switch {
		case err != nil:
			return "", "closed"
		case kind == 'D':
			value = string(body[6:])
		case kind == 'E':
			var severity string
			if severity, code, _, err = pgwire.ParseError(body); err != nil || severity == pgwire.Fatal {
				return "", code
			}
		case kind == 'Z':
			return value, code
		}
	}
}

// closedByRelay waits until the relay closes the connection. It returns false if it does not, or resets it.
func (c *client) closedByRelay() bool {
	_, err := io.Copy(io.Discard, c.r)
	return err == nil
}

// waitForCounter waits until a counter has a value, and fails the test if it does not get it in time.
func waitForCounter(t *testing.T, p *relayProcess, id metrics.Counter, want int64) {
	t.Helper()
	for until := time.Now().Add(testTimeout); p.loop.Metrics.Get(id) != want; {
		if time.Now().After(until) {
			t.Fatalf("counter %d is %d, want %d; all: %v", id, p.loop.Metrics.Get(id), want, p.loop.Metrics.Fields())
		}
		time.Sleep(time.Millisecond)
	}
}

// requestsAddUp reports whether every accepted request is counted under exactly one outcome.
func (p *relayProcess) requestsAddUp() bool {
	counters := p.loop.Metrics
	ended := counters.Get(metrics.Succeeded) + counters.Get(metrics.Rejected) + counters.Get(metrics.Failed) +
		counters.Get(metrics.ClientLeft)
	return ended == counters.Get(metrics.Accepted)
}

// attemptsAddUp reports whether every attempt sent is counted under exactly one outcome.
func (p *relayProcess) attemptsAddUp() bool {
	counters := p.loop.Metrics
	ended := int64(0)
	for id := metrics.AttemptSucceeded; id <= metrics.AttemptNotSent; id++ {
		ended += counters.Get(id)
	}
	return ended == counters.Get(metrics.AttemptsSent)
}

// checkCounters checks that no request, attempt or buffer is left open, and that each request accepted and each attempt
// sent is counted under one outcome. It retries, because the loop changes one counter after the other.
func checkCounters(t *testing.T, p *relayProcess) {
	t.Helper()
	waitForCounter(t, p, metrics.Open, 0)
	waitForCounter(t, p, metrics.AttemptsOpen, 0)
	for until := time.Now().Add(testTimeout); !p.requestsAddUp() || !p.attemptsAddUp(); {
		if time.Now().After(until) {
			t.Fatalf("the counters of requests or attempts do not add up: %v", p.loop.Metrics.Fields())
		}
		time.Sleep(time.Millisecond)
	}
	for until := time.Now().Add(testTimeout); p.loop.Pool.InUse() != 0; {
		if time.Now().After(until) {
			t.Fatalf("%d buffers are still in use", p.loop.Pool.InUse()/buffer.Size)
		}
		time.Sleep(time.Millisecond)
	}
}

// fakePlatform is a rollout platform. It replies to each line with what a function of the test returns, and passes the lines
// and the connections to the test.
type fakePlatform struct {
	ln    net.Listener
	lines chan string
	conns chan net.Conn
	mu    sync.Mutex // held while the test's function is called
}

func newFakePlatform(t *testing.T, answer func(line string) string) *fakePlatform {
	ln := newListener(t)
	platform := &fakePlatform{ln: ln, lines: make(chan string, 100), conns: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			platform.conns <- c
			go func() {
				for r := bufio.NewScanner(c); r.Scan(); {
					platform.lines <- r.Text()
					platform.mu.Lock()
					s := answer(r.Text())
					platform.mu.Unlock()
					fmt.Fprint(c, s)
				}
			}()
		}
	}()
	return platform
}

// nextLine returns the next line received that begins with a prefix, and skips others.
func (platform *fakePlatform) nextLine(t *testing.T, prefix string) string {
	t.Helper()
	for {
		select {
		case s := <-platform.lines:
			if strings.HasPrefix(s, prefix) {
				return s
			}
		case <-time.After(testTimeout):
			t.Fatalf("the platform got no line %s", prefix)
		}
	}
}

func withPlatform(platform *fakePlatform) func(*config.Config) {
	return func(c *config.Config) { c.Platform = platform.ln.Addr().String() }
}
