package systemtest

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// endpoint is an emulated endpoint that records which ids it runs.
type endpoint struct {
	fakes.Server
	address       string
	build         int                                  // 0: 1
	ServiceTimeOf func(statement string) time.Duration // nil: serviceTime of startEndpoint for each

	mu   sync.Mutex
	runs map[string][]time.Time   // when each request id was run
	hold map[string]chan struct{} // by request id: the response is held until the channel is closed
	ran  chan string              // the ids in the order in which they were run
}

// listen listens on a free port of loopback until the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serveConnections calls serve with each connection, on a goroutine of its own, and closes the connections at the end of the test.
func serveConnections(t *testing.T, listener net.Listener, serve func(net.Conn)) {
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { connection.Close() })
			go serve(connection)
		}
	}()
}

func newEndpoint(listener net.Listener) *endpoint {
	return &endpoint{address: listener.Addr().String(), runs: map[string][]time.Time{}, hold: map[string]chan struct{}{}, ran: make(chan string, 1<<20)}
}

// startEndpoint starts an endpoint that needs serviceTime for each query.
func startEndpoint(t *testing.T, serviceTime time.Duration) *endpoint {
	t.Helper()
	listener := listen(t)
	e := newEndpoint(listener)
	e.Server = fakes.Server{Name: "served", Workers: 1 << 12, Handle: func(statement string) (time.Duration, bool) {
		e.run(parameter(statement, "id"))
		if e.ServiceTimeOf != nil {
			return e.ServiceTimeOf(statement), false
		}
		return serviceTime, false
	}}
	go e.Serve(listener)
	return e
}

// lastDataAt returns when the kernel received the last data on a connection, which may be long before this process reads it.
func lastDataAt(connection net.Conn) time.Time {
	now := time.Now()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return now
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			now = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	return now
}

// run records a run at this time and waits while the id is held.
func (e *endpoint) run(id string) { e.runAt(id, time.Now()) }

// runAt records a run and waits while the id is held.
func (e *endpoint) runAt(id string, at time.Time) {
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], at)
	held := e.hold[id]
	e.mu.Unlock()
	e.ran <- id
	if held != nil {
		<-held
	}
}

// holdID makes the endpoint hold the responses to an id until the returned function is called, at the end of the test at the
// latest.
func (e *endpoint) holdID(t *testing.T, id string) (release func()) {
	held := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold[id] = held
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return release
}

// waitRun waits until an id is run.
func (e *endpoint) waitRun(t *testing.T, id string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case ran := <-e.ran:
			if ran == id {
				return
			}
		case <-timeout:
			t.Fatalf("the endpoint did not get id %s", id)
		}
	}
}

// runsOf returns how often an id was run.
func (e *endpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs[id])
}

// startedAfter returns how much after a time limit, which may differ for each id, runs have begun that began after it.
func (e *endpoint) startedAfter(limit func(id string) time.Time) (late []time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, runs := range e.runs {
		for _, startedAt := range runs {
			if after := startedAt.Sub(limit(id)); after > 0 {
				late = append(late, after)
			}
		}
	}
	return late
}

// Endpoints send what does not belong to an answer some milliseconds behind it, while nothing else waits on the connection.
const (
	behindDelay    = 5 * time.Millisecond
	maxBehindDelay = 15 * time.Millisecond
)

// reply is how a scripted endpoint answers a request. The zero value is a good answer at once.
type reply struct {
	rejected    bool                     // turned away with 53300, so that it does not run
	delay       time.Duration            // before the answer
	bytes       func(good []byte) []byte // from the good answer; nil: the good answer
	behind      []byte                   // sent some milliseconds later
	behindDelay time.Duration            // after which it is sent, however late this process is; 0: behindDelay, and only in time
	holdsBack   bool                     // the kernel holds small segments back until what was sent before is acknowledged
	endless     []byte                   // sent again and again behind that
	hangs       bool                     // no answer comes
	resets      bool                     // the connection is closed in place of an answer
}

// startScriptedEndpoint starts an endpoint that answers as a function says for the id of each request. The value of an answer is
// the id.
func startScriptedEndpoint(t *testing.T, script func(id string) reply) *endpoint {
	t.Helper()
	listener := listen(t)
	e := newEndpoint(listener)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveScript(connection, script)
		}
	}()
	return e
}

func (e *endpoint) serveScript(connection net.Conn, script func(id string) reply) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	if _, _, err := fakes.ReadMessage(reader, true); err != nil {
		return
	}
	_, err := connection.Write(pgwire.StartupResponse(1))
	for err == nil {
		kind, body, readErr := fakes.ReadMessage(reader, false)
		if readErr != nil || kind != pgwire.TypeQuery {
			return
		}
		statement := strings.TrimRight(string(body), "\x00")
		if statement == "" {
			_, err = connection.Write(pgwire.EmptyQueryResponse())
			continue
		}
		id := parameter(statement, "id")
		reply := script(id)
		if reply.rejected {
			_, err = connection.Write(pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeTooManyConnections, "full", "")))
			continue
		}
		e.runAt(id, lastDataAt(connection))
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetNoDelay(!reply.holdsBack) // fails only for a connection that has ended
		}
		time.Sleep(reply.delay)
		switch {
		case reply.resets:
			return
		case reply.hangs:
			_, _ = reader.Peek(1) // the relay gives the attempt up by closing the connection
			return
		}
		err = reply.write(connection, id)
	}
}

// write sends the answer to a request.
func (r reply) write(connection net.Conn, id string) error {
	answer := pgwire.AppendReadyForQuery(fakes.Row(id))
	if r.bytes != nil {
		answer = r.bytes(answer)
	}
	begin := time.Now()
	_, err := connection.Write(answer)
	switch {
	case r.behind == nil:
	case r.behindDelay > 0:
		time.Sleep(r.behindDelay)
		_, err = connection.Write(r.behind)
	default:
		time.Sleep(behindDelay)
		if time.Since(begin) < maxBehindDelay { // else this process was held up, and another request may wait
			_, err = connection.Write(r.behind)
		}
	}
	for err == nil && r.endless != nil {
		_, err = connection.Write(r.endless)
	}
	return err
}

// parameter returns a parameter of a statement's comment, or an empty string if there is none.
func parameter(statement, name string) string {
	_, comment, _ := strings.Cut(statement, "/* ")
	for pair := range strings.SplitSeq(strings.TrimSuffix(comment, " */"), ",") {
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value
		}
	}
	return ""
}
