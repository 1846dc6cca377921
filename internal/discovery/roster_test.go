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
	patience = 10 * time.Second // that a test waits for what should come at once
	short    = 20 * time.Millisecond
)

// service is a stand-in for discovery that hands each call over.
type service struct {
	t     *testing.T
	ln    net.Listener
	calls chan asked
}

// asked is a call that waits for its answer; each connection is numbered.
type asked struct {
	net.Conn
	no   int
	path string
}

func newService(t *testing.T) *service {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{t, ln, make(chan asked, 100)}
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
					s.calls <- asked{c, no, req.URL.String()}
				}
			}()
		}
	}()
	return s
}

func (s *service) next() asked {
	s.t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(patience):
		s.t.Fatal("no call")
		return asked{}
	}
}

func (c asked) answer(body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (c asked) fail() { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }

func entry(lifecycle string) string {
	return `{"instanceId":"s-1","hostPort":"127.0.0.1:9","lifecycle":"` + lifecycle + `"}`
}

func body(generation int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(entries, ","))
}

// heard is what reaches the module's side of an asker, and the connections to units.
type heard struct {
	t       *testing.T
	loop    *pipeline.Loop
	asker   *Client
	leaving int
	open    bool
	events  []relay.ListUpdate
	all     []relay.ListUpdate // those that were taken already, too
}

func (h *heard) EndpointsListed(relay.Endpoint, string, string) {}
func (h *heard) EndpointLeaving(relay.EndpointID, bool)         { h.leaving++ }
func (h *heard) FullListReceived(func(relay.EndpointID) bool)   {}

// idle carries out no order: a loop that runs for long enough gives some, and these tests give their own.
type idle struct{}

func (idle) Send(*pipeline.Attempt)         {}
func (idle) Cancel(*pipeline.Attempt) bool  { return false }
func (idle) CancelUnsent(*pipeline.Attempt) {}
func (idle) HealthCheck(relay.EndpointID)   {}
func (idle) CloseIdle(relay.EndpointID)     {}
func (idle) Watch(bool, bool)               {}
func (idle) FetchList()                     {}
func (idle) Vote(relay.Vote)                {}
func (idle) SendMessage(relay.SendMessage)  {}

func newHeard(t *testing.T, address string, pushed bool) *heard {
	site := settings.Site{}
	site.Settings.ListOnRequest = !pushed
	site.Settings.Relays = 1
	site.Settings.Classes = make([]relay.ClassSettings, 1)
	site.Settings.Rules.DrainGrace = 0.25
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	l.Upstream, l.Discovery, l.Platform, l.Peers = idle{}, idle{}, idle{}, idle{}
	h := &heard{t: t, loop: l}
	h.asker = New(l, address, NewReader(nil, nil, func(s float64) relay.Seconds { return s }), h, 1)
	l.OnServiceOpen(func() { h.open = true })
	return h
}

// brief shortens the waits, so that silence shows soon.
func (h *heard) brief() *heard {
	h.asker.waits.watch, h.asker.waits.answer, h.asker.waits.plain, h.asker.waits.rest = short, short, short, short
	h.asker.at.keeper.waits = h.asker.waits
	return h
}

// begin starts the asker with a list as last held.
func (h *heard) begin() {
	known, err := h.asker.reader.Parse([]byte(body(1, true, entry("SERVING"))))
	if err != nil {
		h.t.Fatal(err)
	}
	h.asker.UseKnownList(known)
	h.asker.Start()
	if !h.asker.waits.pushed {
		h.asker.Watch(true, false)
	}
}

// until takes what is posted up to a form of news, which it returns.
func (h *heard) until(form relay.ListUpdateKind) relay.ListUpdate {
	h.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range h.loop.TakePosted() {
			e.Apply(h.loop)
		}
		for _, e := range h.loop.TakeEvents() {
			if r, ok := e.(relay.ListUpdate); ok {
				h.events, h.all = append(h.events, r), append(h.all, r)
			}
		}
		for i, r := range h.events {
			if r.Kind == form {
				h.events = h.events[i+1:]
				return r
			}
		}
	}
	h.t.Fatalf("no news of form %d", form)
	return relay.ListUpdate{}
}

// letsIn runs the loop until clients are let in.
func (h *heard) letsIn(or ...any) {
	h.t.Helper()
	stop := make(chan struct{})
	h.loop.OnServiceOpen(func() { close(stop) })
	go h.loop.Run(stop)
	select {
	case <-stop:
	case <-time.After(patience):
		h.t.Error(or...)
	}
}

// TestSilentWatchIsOpenedAnew falls silent before an answer and within one, while a unit drains: the watch is given up,
// and the next one, on a connection of its own, tells the drain. Where lists are pushed nobody orders that.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, silence := range map[string]string{"before": "", "within": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"} {
			t.Run(fmt.Sprint(name, " pushed ", pushed), func(t *testing.T) {
				s := newService(t)
				h := newHeard(t, s.ln.Addr().String(), pushed).brief()
				if silence != "" {
					h.asker.waits.watch = 3 * patience // one that stalls is not waited for to the end
					h.asker.at.keeper.waits = h.asker.waits
				}
				h.begin()
				first := s.next()
				if !strings.Contains(first.path, "after=1&wait_ms=") {
					t.Error(first.path)
				}
				io.WriteString(first, silence)
				if !pushed {
					h.until(relay.ListWatchStalled)
					h.asker.Watch(true, false)
				}
				again := s.next()
				if again.no == first.no || !strings.Contains(again.path, "after=1&") {
					t.Errorf("asked again on connection %d, after %d: %s", again.no, first.no, again.path)
				}
				again.answer(body(2, false, entry("DRAINING")))
				r := h.until(relay.ListDelta)
				if len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining || h.leaving == 0 {
					t.Errorf("%+v, %d told to the connections", r, h.leaving)
				}
				if n := h.loop.Metrics.Get(metrics.DiscoveryStalled); n == 0 {
					t.Error("not counted")
				}
			})
		}
	}
}

// TestPushedListsComeUnordered starts where lists are pushed: the watch stands without an order, it outlives refusals
// and a lost connection, none of which the module hears of, and clients wait for the first list.
func TestPushedListsComeUnordered(t *testing.T) {
	s := newService(t)
	h := newHeard(t, s.ln.Addr().String(), true)
	h.asker.waits.first = patience
	h.begin()
	first := s.next()
	h.until(relay.ListCached)
	if h.open {
		t.Error("served by the list as last held, though the agent has a newer one")
	}
	first.answer(body(2, false, entry("DRAINING")))
	if h.until(relay.ListDelta); !h.open {
		t.Error("not served by the agent's list")
	}
	s.next().fail()
	s.next().Close()
	s.next().answer(body(3, false, entry("SERVING")))
	if r := h.until(relay.ListDelta); r.Endpoints[0].State != relay.Ready {
		t.Errorf("%+v", r)
	}
	for _, r := range h.events {
		if r.Kind == relay.ListFetchFailed || r.Kind == relay.ListWatchStalled {
			t.Error("the module, which asked nothing, was told of a failure")
		}
	}
}

// TestClientsDoNotWaitForAnAgentThatIsDown lets them in at its first refusal, and where it says nothing, after a moment.
func TestClientsDoNotWaitForAnAgentThatIsDown(t *testing.T) {
	for name, silent := range map[string]bool{"refuses": false, "says nothing": true} {
		t.Run(name, func(t *testing.T) {
			s := newService(t)
			h := newHeard(t, s.ln.Addr().String(), true)
			h.asker.waits.first = patience
			if silent {
				h.asker.waits.first = short
			}
			h.begin()
			c := s.next()
			if !silent {
				c.fail()
			}
			h.letsIn("clients wait on")
		})
	}
}

// TestMoveKeepsTheOldWatchUntilTheNewOneAnswers moves discovery: what the old address writes meanwhile is told, of what
// it writes after the new one's first answer only that units leave, and its end is no failure.
func TestMoveKeepsTheOldWatchUntilTheNewOneAnswers(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			old, fresh := newService(t), newService(t)
			h := newHeard(t, old.ln.Addr().String(), pushed)
			h.begin()
			watch := old.next()
			h.until(relay.ListCached)
			h.asker.Move(fresh.ln.Addr().String())
			whole := fresh.next()
			if whole.path != target {
				t.Error("not asked for whole:", whole.path)
			}
			watch.answer(body(2, false, entry("DRAINING")))
			if r := h.until(relay.ListDelta); r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			watch = old.next()
			whole.answer(body(40, true, entry("DELETED")))
			h.until(relay.ListFull)
			watch.answer(body(3, false, entry("SERVING")))
			old.next().answer(body(4, false, entry("DRAINING"), strings.Replace(entry("SERVING"), "s-1", "s-2", 1)))
			if r := h.until(relay.ListDelta); len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			next := fresh.next()
			next.answer(body(41, false, entry("SERVING")))
			h.until(relay.ListDelta)
			if len(h.events) != 0 || h.loop.Metrics.Get(metrics.DiscoveryFailed) != 0 {
				t.Errorf("%+v, %d failures", h.events, h.loop.Metrics.Get(metrics.DiscoveryFailed))
			}
			stop := make(chan struct{})
			defer close(stop)
			go h.loop.Run(stop)
			watch = old.next()
			watch.SetReadDeadline(time.Now().Add(patience))
			if _, err := watch.Read(make([]byte, 1)); err != io.EOF {
				t.Error("the old watch is kept:", err)
			}
		})
	}
}

// TestWatchIsOpenedAnewByOrder has the module doubt a watch that stands: another call goes out at once, on a connection
// of its own, and the end of the first is no failure.
func TestWatchIsOpenedAnewByOrder(t *testing.T) {
	s := newService(t)
	h := newHeard(t, s.ln.Addr().String(), false)
	h.begin()
	first := s.next()
	h.asker.Watch(true, true)
	again := s.next()
	if again.no == first.no || !strings.Contains(again.path, "after=1&") {
		t.Errorf("connection %d after %d: %s", again.no, first.no, again.path)
	}
	again.answer(body(2, false, entry("DRAINING")))
	h.until(relay.ListDelta)
	s.next()
	h.asker.Watch(true, true)
	s.next().Close() // this one was not given up
	h.until(relay.ListFetchFailed)
	if n := h.loop.Metrics.Get(metrics.DiscoveryFailed); n != 1 {
		t.Errorf("%d failures", n)
	}
}

// TestCallThatCrossesTheEndOfAKeptConnection has discovery close the connection that the watch keeps just as the next
// call comes: that one is made again on a new connection, and no failure is told, which would be backed off from. The
// end of a new connection, or of a call that waited, is a failure.
func TestCallThatCrossesTheEndOfAKeptConnection(t *testing.T) {
	s := newService(t)
	h := newHeard(t, s.ln.Addr().String(), false)
	h.begin()
	first := s.next()
	first.answer(body(2, false, entry("SERVING")))
	crossed := s.next()
	crossed.Close()
	again := s.next()
	if crossed.no != first.no || again.no == first.no || !strings.HasPrefix(again.path, target+"?after=2&") {
		t.Errorf("%+v, then %+v", crossed, again)
	}
	again.answer(body(3, false, entry("DRAINING")))
	for r := h.until(relay.ListDelta); r.Endpoints[0].State != relay.Draining; r = h.until(relay.ListDelta) {
	}
	if n := h.loop.Metrics.Get(metrics.DiscoveryFailed); n != 0 || len(h.events) != 0 {
		t.Errorf("%d failures, %+v", n, h.events)
	}
	s.next()
	h.asker.Watch(true, true) // on a new connection, that ends at once
	s.next().Close()
	h.until(relay.ListFetchFailed)
}

// TestNobodyWaitsForAListForGood starts with no list at a discovery that has none to give: clients are let in after a
// while, to hear a denial; and at once where the program ends before that.
func TestNobodyWaitsForAListForGood(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		s := newService(t)
		h := newHeard(t, s.ln.Addr().String(), pushed)
		h.asker.waits.none, h.asker.waits.first = short, short
		h.asker.Start()
		if !pushed {
			h.asker.Watch(true, false)
		}
		h.letsIn("clients wait for good, pushed:", pushed)
	}
	if w := usual(false, 0.25); w.none >= 10*time.Second || w.first >= 10*time.Second {
		t.Error("not ready within 10 s")
	}
}

// TestMovesInARow moves discovery again before the new address has answered, and back to the first one: each time the
// list is asked for whole, what the address moved away from says is no failure, and its late answer is not taken.
func TestMovesInARow(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			first, second, third := newService(t), newService(t), newService(t)
			h := newHeard(t, first.ln.Addr().String(), pushed)
			h.begin()
			first.next()
			h.until(relay.ListCached)
			h.asker.Move(second.ln.Addr().String())
			crossed := second.next()
			h.asker.Move(third.ln.Addr().String())
			whole := third.next()
			if whole.path != target {
				t.Error("not asked for whole:", whole.path)
			}
			crossed.Close()
			whole.answer(body(7, true, entry("SERVING")))
			h.until(relay.ListFull)
			third.next()
			h.asker.Move(first.ln.Addr().String())
			back := first.next()
			if back.path != target {
				t.Error("not asked for whole on the way back:", back.path)
			}
			back.answer(body(3, true, entry("DRAINING"))) // its generations are its own
			if r := h.until(relay.ListFull); len(r.Endpoints) != 1 || r.Endpoints[0].State != relay.Draining {
				t.Errorf("%+v", r)
			}
			for _, r := range h.all {
				if r.Kind == relay.ListFetchFailed || r.Kind == relay.ListWatchStalled {
					t.Error("the module was told of a failure that it can do nothing about")
				}
			}
		})
	}
}
