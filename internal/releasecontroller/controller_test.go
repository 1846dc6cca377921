package releasecontroller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/rollout"
)

const testTimeout = 10 * time.Second

func testPlan(t *testing.T) *plan.Plan {
	p, err := planxml.Parse("p", []byte(`<plan version="1"><site name="x"/><group name="g"/>
<service name="a" watch="127.0.0.1:0" back-for="1s" settle="0s"><votes on="0.6" back="0.3"/>
<step name="one" share="0.1" cap="0.1" least="0s"><open/></step><step name="two" share="1" cap="0.5" least="0s"/>
<relay name="r0" listen="127.0.0.1:0"/><relay name="r1" listen="127.0.0.1:0"/><relay name="r2" listen="127.0.0.1:0"/></service>
<service name="b" watch="127.0.0.1:0"><step name="one" share="0.1" cap="0.1" least="0s"><open/><needs service="a"/></step></service></plan>`))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// running is a release controller that a test runs; its time is the test's.
type running struct {
	t          *testing.T
	dir        string
	at         Addresses
	controller *Controller
	ended      chan error
	mu         sync.Mutex
	now        plan.Unix
}

func start(t *testing.T, dir string, now plan.Unix, crash func(string) error) *running {
	t.Helper()
	r := &running{t: t, dir: dir, ended: make(chan error, 1), now: now}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan struct{})
	go func() {
		r.ended <- Start(ctx, Options{Plan: testPlan(t), Dir: dir, Log: log, CrashPoint: crash, Clock: r.clock,
			Ready: func(d *Controller, at Addresses) { r.controller, r.at = d, at; close(ready) }})
	}()
	select {
	case <-ready:
	case err := <-r.ended:
		t.Fatal(err)
	case <-time.After(testTimeout):
		t.Fatal("not up")
	}
	t.Cleanup(cancel)
	return r
}

func (r *running) clock() plan.Unix {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *running) advance(d float64) {
	r.mu.Lock()
	r.now += d
	r.mu.Unlock()
}

func (r *running) call(q Request) (Reply, error) {
	if q.Actor == "" {
		q.Actor, q.Reason = "ops", "a test"
	}
	return Call(context.Background(), r.dir, q)
}

func (r *running) must(q Request) Reply {
	r.t.Helper()
	out, err := r.call(q)
	if err != nil {
		r.t.Fatal(err)
	}
	return out
}

// caller is a relay's connection.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) call(line string) string {
	c.t.Helper()
	fmt.Fprintf(c, "%s\r\n", line)
	return c.line()
}

func (c *caller) line() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimRight(s, "\r\n")
}

// until reads lines up to one with a prefix.
func (c *caller) until(prefix string) {
	c.t.Helper()
	for !strings.HasPrefix(c.line(), prefix) {
	}
}

func TestRelayLines(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	w := dial(t, r.at.Watch["a"])
	if s := w.call("WATCH"); s != "OK" {
		t.Fatal(s)
	}
	a, b := dial(t, r.at.Relays["a"]["r0"]), dial(t, r.at.Relays["a"]["r1"])
	if s := a.call("VOTE 7 0 approve"); s != "ERR ConditionFailed" {
		t.Error("no build is there: ", s)
	}
	r.must(Request{Verb: "offer", Service: "a", Build: 7})
	w.until("* news 7 0 canary 0.1 ")
	for line, says := range map[string]string{"VOTE 7 0": "ERR ValidationError", "FLY": "ERR ValidationError", "VOTE 7 0 maybe": "ERR ValidationError",
		"VOTE -1 0 approve": "ERR ValidationError", "VOTE 8 0 approve": "ERR ConditionFailed", "VOTE 7 1 approve": "ERR ConditionFailed"} {
		if s := a.call(line); s != says {
			t.Errorf("%s: %s", line, s)
		}
	}
	if s := w.call("VOTE 7 0 approve"); !strings.HasPrefix(s, "*") && s != "ERR ValidationError" {
		t.Error("a vote where none is taken: ", s)
	}
	r.advance(0.31)
	if s := a.call("VOTE 7 0 approve"); s != "OK 7 0 canary 0.1 310" {
		t.Error(s)
	}
	if s := b.call("VOTE 7 0 approve"); s != "OK 7 1 canary 0.5 0" {
		t.Error(s)
	}
	w.until("* news 7 1 canary 0.5 ")
	// Calls one behind another are answered in their order.
	fmt.Fprint(a, "VOTE 7 1 approve\r\nVOTE 9 1 approve\r\nVOTE 7 1 reject\r\n")
	// The state replied is the one that all of them led to, where they are one batch.
	if s := a.line() + "|" + a.line() + "|" + a.line(); !strings.HasPrefix(s, "OK 7 1 ") || !strings.Contains(s, "|ERR ConditionFailed|OK 7 1 reverting 0 ") {
		t.Error(s)
	}
	w.until("* news 7 1 reverting 0 ")
	w.until("*") // keep-alives go on
}

func TestConnectionLimits(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	address := r.at.Relays["a"]["r0"]
	long := dial(t, address)
	fmt.Fprint(long, strings.Repeat("x", 9000))
	if _, err := long.r.ReadByte(); err == nil {
		t.Error("a line of 9,000 bytes was taken")
	}
	var open []*caller
	for range maxConnsEach {
		c := dial(t, address)
		c.call("VOTE 1 0 approve")
		open = append(open, c)
	}
	over := dial(t, address)
	fmt.Fprint(over, "VOTE 1 0 approve\r\n")
	if s, err := over.r.ReadString('\n'); err == nil {
		t.Error("one connection more was answered: ", s)
	}
	open[0].Close()
	for i := 0; ; i++ { // the place comes free when the release controller has seen it
		c := dial(t, address)
		fmt.Fprint(c, "VOTE 1 0 approve\r\n")
		if _, err := c.r.ReadString('\n'); err == nil {
			break
		}
		if i > 1000 {
			t.Fatal("no place came free")
		}
	}
}

var errKilled = errors.New("killed")

// TestCrashAroundAppend ends the release controller at each place round the vote that completes a step. Whatever was
// replied to anyone holds after the next start, and the service is promoted once.
func TestCrashAroundAppend(t *testing.T) {
	for _, place := range []string{"before append", "after append"} {
		t.Run(place, func(t *testing.T) {
			dir := t.TempDir()
			var armed atomic.Bool
			r := start(t, dir, 1000, func(at string) error {
				if armed.Load() && at == place {
					return errKilled
				}
				return nil
			})
			r.must(Request{Verb: "offer", Service: "a", Build: 7})
			a, b := dial(t, r.at.Relays["a"]["r0"]), dial(t, r.at.Relays["a"]["r1"])
			a.call("VOTE 7 0 approve")
			armed.Store(true)
			fmt.Fprint(b, "VOTE 7 0 approve\r\n")
			if err := <-r.ended; !errors.Is(err, errKilled) {
				t.Fatal(err)
			}
			if s, err := b.r.ReadString('\n'); err == nil {
				t.Error("it was answered: ", s)
			}
			r = start(t, dir, 1001, nil)
			n := r.must(Request{Verb: "status"}).Status[0]
			if want := map[string]string{"before append": "one", "after append": "two"}[place]; n.Step != want || n.Phase != "on trial" {
				t.Errorf("%+v", n)
			}
			if place == "before append" { // the relay repeats it, as it got no answer; the first relay's vote holds
				if s := dial(t, r.at.Relays["a"]["r1"]).call("VOTE 7 0 approve"); !strings.HasPrefix(s, "OK 7 1 ") {
					t.Error(s)
				}
			}
			events, _ := History(dir, false, 100)
			promotions := 0
			for _, e := range events {
				if e.Kind == rollout.EventPromoted {
					promotions++
				}
			}
			if promotions != 1 {
				t.Errorf("promoted %d times", promotions)
			}
		})
	}
}

// TestReplan puts plans in place of the one that holds: a bad one, one without a service, and a good one.
func TestReplan(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	r.must(Request{Verb: "offer", Service: "a", Build: 7})
	step := func() float64 { return r.must(Request{Verb: "status"}).Status[0].ExposureLimit }
	r.controller.Replan(nil, errors.New("p.xml:3: <step>: cap: no number"))
	less, more := testPlan(t), testPlan(t)
	less.Services = less.Services[:1]
	r.controller.Replan(less, nil)
	short := testPlan(t)
	short.Services[0].Steps = nil
	r.controller.Replan(short, nil)
	if got := step(); got != 0.1 {
		t.Error("a bad plan changed the cap to ", got)
	}
	more.Services[0].Steps[0].ExposureLimit = 0.05
	r.controller.Replan(more, nil)
	if got := step(); got != 0.05 {
		t.Error("the good plan does not hold: ", got)
	}
}
