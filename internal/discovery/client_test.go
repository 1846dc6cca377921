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
	testTimeout  = 10 * time.Second // that a test waits for what should come at once
	shortTimeout = 20 * time.Millisecond
)

// service is a stand-in for discovery that hands each call over.
type fakeDiscovery struct {
	t        *testing.T
	listener net.Listener
	polls    chan receivedPoll
}

// asked is a call that waits for its answer; each connection is numbered.
type receivedPoll struct {
	net.Conn
	conn int
	path string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeDiscovery{t, ln, make(chan receivedPoll, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for no := 0; ; no++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					s.polls <- receivedPoll{c, no, req.URL.String()}
				}
			}()
		}
	}()
	return s
}

func (s *fakeDiscovery) nextPoll() receivedPoll {
	s.t.Helper()
	select {
	case c := <-s.polls:
		return c
	case <-time.After(testTimeout):
		s.t.Fatal("no call")
		return receivedPoll{}
	}
}

func (c receivedPoll) answer(body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (c receivedPoll) fail() { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }

func listEntry(lifecycle string) string {
	return `{"instanceId":"s-1","hostPort":"127.0.0.1:9","lifecycle":"` + lifecycle + `"}`
}

func listBody(generation int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(entries, ","))
}

// heard is what reaches the module's side of an asker, and the connections to units.
type testHost struct {
	t            *testing.T
	loop         *pipeline.Loop
	client       *Client
	leavingCalls int
	serviceOpen  bool
	updates      []relay.ListUpdate
	allUpdates   []relay.ListUpdate // those that were taken already, too
}

func (h *testHost) EndpointsListed(relay.Endpoint, string, string) {}
func (h *testHost) EndpointLeaving(relay.EndpointID, bool)         { h.leavingCalls++ }
func (h *testHost) FullListReceived(func(relay.EndpointID) bool)   {}

// idle carries out no order: a loop that runs for long enough gives some, and these tests give their own.
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
	site := settings.Site{}
	site.Settings.ListOnRequest = !pushed
	site.Settings.Relays = 1
	site.Settings.Classes = make([]relay.ClassSettings, 1)
	site.Settings.Rules.DrainGrace = 0.25
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	l.Upstream, l.Discovery, l.Platform, l.Peers = noopHost{}, noopHost{}, noopHost{}, noopHost{}
	h := &testHost{t: t, loop: l}
	h.client = New(l, address, NewReader(nil, nil, func(s float64) relay.Seconds { return s }), h, 1)
	l.OnServiceOpen(func() { h.serviceOpen = true })
	return h
}

// brief shortens the waits, so that silence shows soon.
func (h *testHost) shortTimeouts() *testHost {
	h.client.settings.maxWatchWait, h.client.settings.answerGrace, h.client.settings.immediateAnswer, h.client.settings.nextChunk = shortTimeout, shortTimeout, shortTimeout, shortTimeout
	h.client.current.schedule.settings = h.client.settings
	return h
}

// begin starts the asker with a list as last held.
func (h *testHost) start() {
	known, err := h.client.reader.Parse([]byte(listBody(1, true, listEntry("SERVING"))))
	if err != nil {
		h.t.Fatal(err)
	}
	h.client.UseKnownList(known)
	h.client.Start()
	if !h.client.settings.pushed {
		h.client.Watch(true, false)
	}
}

// until takes what is posted up to a form of news, which it returns.
func (h *testHost) waitForUpdate(form relay.ListUpdateKind) relay.ListUpdate {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range h.loop.TakePosted() {
			e.Apply(h.loop)
		}
		for _, e := range h.loop.TakeEvents() {
			if r, ok := e.(relay.ListUpdate); ok {
				h.updates, h.allUpdates = append(h.updates, r), append(h.allUpdates, r)
			}
		}
		for i, r := range h.updates {
			if r.Kind == form {
				h.updates = h.updates[i+1:]
				return r
			}
		}
	}
	h.t.Fatalf("no news of form %d", form)
	return relay.ListUpdate{}
}

// checkServiceOpens runs the loop until clients are let in.
func (h *testHost) checkServiceOpens(or ...any) {
	h.t.Helper()
	stop := make(chan struct{})
	h.loop.OnServiceOpen(func() { close(stop) })
	go h.loop.Run(stop)
	select {
	case <-stop:
	case <-time.After(testTimeout):
		h.t.Error(or...)
	}
}

// TestStalledWatchIsRestarted falls silent before an answer and within one, while a unit drains: the watch is given up,
// and the next one, on a connection of its own, tells the drain. Where lists are pushed nobody orders that.
func TestStalledWatchIsRestarted(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, silence := range map[string]string{"before": "", "within": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"} {
			t.Run(fmt.Sprint(name, " pushed ", pushed), func(t *testing.T) {
				s := newFakeDiscovery(t)
				h := newTestHost(t, s.listener.Addr().String(), pushed).shortTimeouts()
				if silence != "" {
					h.client.settings.maxWatchWait = 3 * testTimeout // one that stalls is not waited for to the end
					h.client.current.schedule.settings = h.client.settings
				}
				h.start()
				first := s.nextPoll()
				if !strings.Contains(first.path, "after=1&wait_ms=") {
					t.Error(first.path)
				}
				io.WriteString(first, silence)
				if !pushed {
					h.waitForUpdate(relay.ListWatchStalled)
					h.client.Watch(true, false)
				}
				again := s.nextPoll()
				if again.conn == first.conn || !strings.Contains(again.path, "after=1&") {
					t.Errorf("asked again on connection %d, after %d: %s", again.conn, first.conn, again.path)
				}
				again.answer(listBody(2, false, listEntry("DRAINING")))
				r := h.waitForUpdate(relay.ListDelta)
				if len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining || h.leavingCalls == 0 {
					t.Errorf("%+v, %d told to the connections", r, h.leavingCalls)
				}
				if n := h.loop.Metrics.Get(metrics.DiscoveryStalled); n == 0 {
					t.Error("not counted")
				}
			})
		}
	}
}

// TestPushedListsNeedNoWatchCommand starts where lists are pushed: the watch stands without an order, it outlives refusals
// and a lost connection, none of which the module hears of, and clients wait for the first list.
func TestPushedListsNeedNoWatchCommand(t *testing.T) {
	s := newFakeDiscovery(t)
	h := newTestHost(t, s.listener.Addr().String(), true)
	h.client.settings.firstPushedList = testTimeout
	h.start()
	first := s.nextPoll()
	h.waitForUpdate(relay.ListCached)
	if h.serviceOpen {
		t.Error("served by the list as last held, though the agent has a newer one")
	}
	first.answer(listBody(2, false, listEntry("DRAINING")))
	if h.waitForUpdate(relay.ListDelta); !h.serviceOpen {
		t.Error("not served by the agent's list")
	}
	s.nextPoll().fail()
	s.nextPoll().Close()
	s.nextPoll().answer(listBody(3, false, listEntry("SERVING")))
	if r := h.waitForUpdate(relay.ListDelta); r.Endpoints[0].State != relay.Ready {
		t.Errorf("%+v", r)
	}
	for _, r := range h.updates {
		if r.Kind == relay.ListFetchFailed || r.Kind == relay.ListWatchStalled {
			t.Error("the module, which asked nothing, was told of a failure")
		}
	}
}

// TestServiceOpensThoughTheAgentIsDown lets them in at its first refusal, and where it says nothing, after a moment.
func TestServiceOpensThoughTheAgentIsDown(t *testing.T) {
	for name, silent := range map[string]bool{"refuses": false, "says nothing": true} {
		t.Run(name, func(t *testing.T) {
			s := newFakeDiscovery(t)
			h := newTestHost(t, s.listener.Addr().String(), true)
			h.client.settings.firstPushedList = testTimeout
			if silent {
				h.client.settings.firstPushedList = shortTimeout
			}
			h.start()
			c := s.nextPoll()
			if !silent {
				c.fail()
			}
			h.checkServiceOpens("clients wait on")
		})
	}
}

// TestAddressChangeKeepsThePreviousWatchUntilTheNewAddressAnswers moves discovery: what the old address writes meanwhile is told, of what
// it writes after the new one's first answer only that units leave, and its end is no failure.
func TestAddressChangeKeepsThePreviousWatchUntilTheNewAddressAnswers(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			old, fresh := newFakeDiscovery(t), newFakeDiscovery(t)
			h := newTestHost(t, old.listener.Addr().String(), pushed)
			h.start()
			watch := old.nextPoll()
			h.waitForUpdate(relay.ListCached)
			h.client.Move(fresh.listener.Addr().String())
			whole := fresh.nextPoll()
			if whole.path != listPath {
				t.Error("not asked for whole:", whole.path)
			}
			watch.answer(listBody(2, false, listEntry("DRAINING")))
			if r := h.waitForUpdate(relay.ListDelta); r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			watch = old.nextPoll()
			whole.answer(listBody(40, true, listEntry("DELETED")))
			h.waitForUpdate(relay.ListFull)
			watch.answer(listBody(3, false, listEntry("SERVING")))
			old.nextPoll().answer(listBody(4, false, listEntry("DRAINING"), strings.Replace(listEntry("SERVING"), "s-1", "s-2", 1)))
			if r := h.waitForUpdate(relay.ListDelta); len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			next := fresh.nextPoll()
			next.answer(listBody(41, false, listEntry("SERVING")))
			h.waitForUpdate(relay.ListDelta)
			if len(h.updates) != 0 || h.loop.Metrics.Get(metrics.DiscoveryFailed) != 0 {
				t.Errorf("%+v, %d failures", h.updates, h.loop.Metrics.Get(metrics.DiscoveryFailed))
			}
			stop := make(chan struct{})
			defer close(stop)
			go h.loop.Run(stop)
			watch = old.nextPoll()
			watch.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := watch.Read(make([]byte, 1)); err != io.EOF {
				t.Error("the old watch is kept:", err)
			}
		})
	}
}

// TestWatchIsRestartedByCommand has the module doubt a watch that stands: another call goes out at once, on a connection
// of its own, and the end of the first is no failure.
func TestWatchIsRestartedByCommand(t *testing.T) {
	s := newFakeDiscovery(t)
	h := newTestHost(t, s.listener.Addr().String(), false)
	h.start()
	first := s.nextPoll()
	h.client.Watch(true, true)
	again := s.nextPoll()
	if again.conn == first.conn || !strings.Contains(again.path, "after=1&") {
		t.Errorf("connection %d after %d: %s", again.conn, first.conn, again.path)
	}
	again.answer(listBody(2, false, listEntry("DRAINING")))
	h.waitForUpdate(relay.ListDelta)
	s.nextPoll()
	h.client.Watch(true, true)
	s.nextPoll().Close() // this one was not given up
	h.waitForUpdate(relay.ListFetchFailed)
	if n := h.loop.Metrics.Get(metrics.DiscoveryFailed); n != 1 {
		t.Errorf("%d failures", n)
	}
}

// TestPollIsRetriedWhenTheServerClosedTheIdleConnection has discovery close the connection that the watch keeps just as the next
// call comes: that one is made again on a new connection, and no failure is told, which would be backed off from. The
// end of a new connection, or of a call that waited, is a failure.
func TestPollIsRetriedWhenTheServerClosedTheIdleConnection(t *testing.T) {
	s := newFakeDiscovery(t)
	h := newTestHost(t, s.listener.Addr().String(), false)
	h.start()
	first := s.nextPoll()
	first.answer(listBody(2, false, listEntry("SERVING")))
	crossed := s.nextPoll()
	crossed.Close()
	again := s.nextPoll()
	if crossed.conn != first.conn || again.conn == first.conn || !strings.HasPrefix(again.path, listPath+"?after=2&") {
		t.Errorf("%+v, then %+v", crossed, again)
	}
	again.answer(listBody(3, false, listEntry("DRAINING")))
	for r := h.waitForUpdate(relay.ListDelta); r.Endpoints[0].State != relay.Draining; r = h.waitForUpdate(relay.ListDelta) {
	}
	if n := h.loop.Metrics.Get(metrics.DiscoveryFailed); n != 0 || len(h.updates) != 0 {
		t.Errorf("%d failures, %+v", n, h.updates)
	}
	s.nextPoll()
	h.client.Watch(true, true) // on a new connection, that ends at once
	s.nextPoll().Close()
	h.waitForUpdate(relay.ListFetchFailed)
}

// TestServiceOpensWithoutAnyList starts with no list at a discovery that has none to give: clients are let in after a
// while, to hear a denial; and at once where the program ends before that.
func TestServiceOpensWithoutAnyList(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		s := newFakeDiscovery(t)
		h := newTestHost(t, s.listener.Addr().String(), pushed)
		h.client.settings.firstList, h.client.settings.firstPushedList = shortTimeout, shortTimeout
		h.client.Start()
		if !pushed {
			h.client.Watch(true, false)
		}
		h.checkServiceOpens("clients wait for good, pushed:", pushed)
	}
	if w := newPollSettings(false, 0.25); w.firstList >= 10*time.Second || w.firstPushedList >= 10*time.Second {
		t.Error("not ready within 10 s")
	}
}

// TestSuccessiveAddressChanges moves discovery again before the new address has answered, and back to the first one: each time the
// list is asked for whole, what the address moved away from says is no failure, and its late answer is not taken.
func TestSuccessiveAddressChanges(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			first, second, third := newFakeDiscovery(t), newFakeDiscovery(t), newFakeDiscovery(t)
			h := newTestHost(t, first.listener.Addr().String(), pushed)
			h.start()
			first.nextPoll()
			h.waitForUpdate(relay.ListCached)
			h.client.Move(second.listener.Addr().String())
			crossed := second.nextPoll()
			h.client.Move(third.listener.Addr().String())
			whole := third.nextPoll()
			if whole.path != listPath {
				t.Error("not asked for whole:", whole.path)
			}
			crossed.Close()
			whole.answer(listBody(7, true, listEntry("SERVING")))
			h.waitForUpdate(relay.ListFull)
			third.nextPoll()
			h.client.Move(first.listener.Addr().String())
			back := first.nextPoll()
			if back.path != listPath {
				t.Error("not asked for whole on the way back:", back.path)
			}
			back.answer(listBody(3, true, listEntry("DRAINING"))) // its generations are its own
			if r := h.waitForUpdate(relay.ListFull); len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			for _, r := range h.allUpdates {
				if r.Kind == relay.ListFetchFailed || r.Kind == relay.ListWatchStalled {
					t.Error("the module was told of a failure that it can do nothing about")
				}
			}
		})
	}
}
