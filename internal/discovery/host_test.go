package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

const (
	testTimeout  = 10 * time.Second      // how long a test waits for events that should occur at once
	shortTimeout = 20 * time.Millisecond // for timeouts that a test lets expire
)

// fakeDiscovery is a discovery service that passes each poll to the test.
type fakeDiscovery struct {
	t        *testing.T
	listener net.Listener
	polls    chan receivedPoll
}

// receivedPoll is a poll that waits for its answer, with the number of its connection.
type receivedPoll struct {
	net.Conn
	conn int
	path string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeDiscovery{t, listener, make(chan receivedPoll, 100)}
	t.Cleanup(func() { listener.Close() })
	go d.accept()
	return d
}

func (d *fakeDiscovery) accept() {
	for number := 0; ; number++ {
		connection, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.t.Cleanup(func() { connection.Close() })
		go d.read(connection, number)
	}
}

func (d *fakeDiscovery) read(connection net.Conn, number int) {
	for reader := bufio.NewReader(connection); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d.polls <- receivedPoll{connection, number, request.URL.String()}
	}
}

func (d *fakeDiscovery) address() string { return d.listener.Addr().String() }

func (d *fakeDiscovery) nextPoll() receivedPoll {
	d.t.Helper()
	select {
	case p := <-d.polls:
		return p
	case <-time.After(testTimeout):
		d.t.Fatal("no poll was received within the timeout")
		return receivedPoll{}
	}
}

func (p receivedPoll) answer(body string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (p receivedPoll) fail() { io.WriteString(p, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }

func listEntry(lifecycle string) string {
	return `{"instanceId":"s-1","hostPort":"127.0.0.1:9","lifecycle":"` + lifecycle + `"}`
}

func listBody(generation int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, full, strings.Join(entries, ","))
}

// testHost is the environment of a client under test: it provides the loop and is the listener.
type testHost struct {
	t            *testing.T
	loop         *pipeline.Loop
	client       *Client
	leavingCalls int
	serviceOpen  bool
	updates      []relay.ListUpdate // updates not yet consumed by waitForUpdate
	allUpdates   []relay.ListUpdate
}

func (h *testHost) EndpointListed(relay.Endpoint, string, string) {}
func (h *testHost) EndpointLeaving(relay.EndpointID, bool)        { h.leavingCalls++ }
func (h *testHost) FullListReceived(func(relay.EndpointID) bool)  {}

// noopHost ignores all commands. A loop that runs long enough issues some, but these tests issue their own.
type noopHost struct{}

func (noopHost) Send(*pipeline.Attempt)         {}
func (noopHost) Cancel(*pipeline.Attempt) bool  { return false }
func (noopHost) CancelUnsent(*pipeline.Attempt) {}
func (noopHost) HealthCheck(relay.EndpointID)   {}
func (noopHost) CloseIdle(relay.EndpointID)     {}
func (noopHost) Watch(bool, bool)               {}
func (noopHost) FetchList()                     {}
func (noopHost) Vote(relay.Vote)                {}
func (noopHost) SendMessage(relay.SendMessage)  {}

func newTestHost(t *testing.T, address string, pushed bool) *testHost {
	t.Helper()
	site := settings.Site{}
	site.ListOnRequest = !pushed
	site.Relays = 1
	site.Classes = make([]relay.ClassSettings, 1)
	site.Rules.DrainGrace = 0.25
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	loop.Upstream, loop.Discovery, loop.Platform, loop.Peers = noopHost{}, noopHost{}, noopHost{}, noopHost{}
	h := &testHost{t: t, loop: loop}
	h.client = New(loop, address, newTestReader(), h, 1)
	loop.OnServiceOpen(func() { h.serviceOpen = true })
	return h
}

// setSettings changes the poll settings of the client.
func (h *testHost) setSettings(change func(*pollSettings)) {
	change(&h.client.settings)
	h.client.current.schedule.settings = h.client.settings
}

// shortTimeouts shortens the timeouts, so that a stall is detected quickly.
func (h *testHost) shortTimeouts() *testHost {
	h.setSettings(func(s *pollSettings) {
		s.maxWatchWait, s.answerGrace, s.immediateAnswerTimeout, s.chunkTimeout = shortTimeout, shortTimeout, shortTimeout, shortTimeout
	})
	return h
}

// start starts the client with a cached list.
func (h *testHost) start() {
	h.t.Helper()
	cached, err := h.client.reader.Parse([]byte(listBody(1, true, listEntry("SERVING"))))
	if err != nil {
		h.t.Fatal(err)
	}
	h.client.UseCachedList(cached)
	h.client.Start()
	if !h.client.settings.pushed {
		h.client.Watch(true, false)
	}
}

// waitForUpdate applies posted events until there is an update of the given kind, and returns it. Earlier updates are
// discarded.
func (h *testHost) waitForUpdate(kind relay.ListUpdateKind) relay.ListUpdate {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.applyPosted()
		for i, update := range h.updates {
			if update.Kind == kind {
				h.updates = h.updates[i+1:]
				return update
			}
		}
	}
	h.t.Fatalf("no list update of kind %d within %v", kind, testTimeout)
	return relay.ListUpdate{}
}

func (h *testHost) applyPosted() {
	for _, event := range h.loop.TakePosted() {
		event.Apply(h.loop)
	}
	for _, event := range h.loop.TakeEvents() {
		if update, ok := event.(relay.ListUpdate); ok {
			h.updates, h.allUpdates = append(h.updates, update), append(h.allUpdates, update)
		}
	}
}

// checkNoFailures checks that the decision module was not notified of a failed or stalled poll.
func (h *testHost) checkNoFailures(updates []relay.ListUpdate) {
	h.t.Helper()
	for _, update := range updates {
		if update.Kind == relay.ListFetchFailed || update.Kind == relay.ListWatchStalled {
			h.t.Error("the decision module was notified of the failure of a poll that it did not command")
		}
	}
}

// checkServiceOpens runs the loop until service opens.
func (h *testHost) checkServiceOpens(failure ...any) {
	h.t.Helper()
	stop := make(chan struct{})
	h.loop.OnServiceOpen(func() { close(stop) })
	go h.loop.Run(stop)
	select {
	case <-stop:
	case <-time.After(testTimeout):
		h.t.Error(failure...)
	}
}
