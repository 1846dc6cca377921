package releasecontroller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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

	"lichenroad/internal/limits"
	"lichenroad/internal/planxml"
	"lichenroad/lab/fakes"
	"lichenroad/plan"
	"lichenroad/relay"
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

// runningController is a release controller that runs within a test. The test sets its clock.
type runningController struct {
	t          *testing.T
	dir        string
	addresses  Addresses
	controller *Controller
	ended      chan error
	cancel     context.CancelFunc
	mu         sync.Mutex
	now        plan.Unix
}

func start(t *testing.T, dir string, now plan.Unix, crash func(string) error) *runningController {
	t.Helper()
	r := &runningController{t: t, dir: dir, ended: make(chan error, 1), now: now}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	ready := make(chan struct{})
	go func() {
		r.ended <- Start(ctx, Options{Plan: testPlan(t), Dir: dir, Log: log, CrashPoint: crash, Clock: r.clock,
			Ready: func(controller *Controller, addresses Addresses) {
				r.controller, r.addresses = controller, addresses
				close(ready)
			}})
	}()
	select {
	case <-ready:
	case err := <-r.ended:
		t.Fatal(err)
	case <-time.After(testTimeout):
		t.Fatal("release controller not ready in time")
	}
	t.Cleanup(cancel)
	return r
}

// stop ends the controller and waits for its end.
func (r *runningController) stop() {
	r.t.Helper()
	r.cancel()
	if err := <-r.ended; err != nil {
		r.t.Fatal(err)
	}
}

func (r *runningController) clock() plan.Unix {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *runningController) advance(seconds float64) {
	r.mu.Lock()
	r.now += seconds
	r.mu.Unlock()
}

func (r *runningController) call(q Request) (Reply, error) {
	if q.Actor == "" {
		q.Actor, q.Reason = "ops", "a test"
	}
	return Call(context.Background(), r.dir, q)
}

func (r *runningController) mustCall(q Request) Reply {
	r.t.Helper()
	out, err := r.call(q)
	if err != nil {
		r.t.Fatal(err)
	}
	return out
}

// lineClient is a relay's or a watcher's connection to the release controller.
type lineClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *lineClient {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &lineClient{t, c, bufio.NewReader(c)}
}

func (c *lineClient) call(line string) string {
	c.t.Helper()
	fmt.Fprintf(c, "%s\r\n", line)
	return c.line()
}

func (c *lineClient) line() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimRight(s, "\r\n")
}

// readUntil reads lines up to and including the first one with the prefix.
func (c *lineClient) readUntil(prefix string) {
	c.t.Helper()
	for !strings.HasPrefix(c.line(), prefix) {
	}
}

func TestRelayLines(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	w := dial(t, r.addresses.Watch["a"])
	if s := w.call("WATCH"); s != "OK" {
		t.Fatal("reply to WATCH: ", s)
	}
	a, b := dial(t, r.addresses.Relays["a"]["r0"]), dial(t, r.addresses.Relays["a"]["r1"])
	if s := a.call("VOTE 7 0 approve"); s != "ERR ConditionFailed" {
		t.Error("vote without a build: ", s)
	}
	r.mustCall(Request{Verb: "offer", Service: "a", Build: 7})
	w.readUntil("* news 7 0 canary 0.1 ")
	for line, want := range map[string]string{"VOTE 7 0": "ERR ValidationError", "FLY": "ERR ValidationError", "VOTE 7 0 maybe": "ERR ValidationError",
		"VOTE -1 0 approve": "ERR ValidationError", "VOTE 8 0 approve": "ERR ConditionFailed", "VOTE 7 1 approve": "ERR ConditionFailed"} {
		if s := a.call(line); s != want {
			t.Errorf("%s: %s", line, s)
		}
	}
	if s := w.call("VOTE 7 0 approve"); !strings.HasPrefix(s, "*") && s != "ERR ValidationError" {
		t.Error("vote at a watch address: ", s)
	}
	r.advance(0.31)
	if s := a.call("VOTE 7 0 approve"); s != "OK 7 0 canary 0.1 310" {
		t.Error("reply to the first vote: ", s)
	}
	if s := b.call("VOTE 7 0 approve"); s != "OK 7 1 canary 0.5 0" {
		t.Error("reply to the vote that completes the step: ", s)
	}
	w.readUntil("* news 7 1 canary 0.5 ")
	// Pipelined calls are answered in their order.
	fmt.Fprint(a, "VOTE 7 1 approve\r\nVOTE 9 1 approve\r\nVOTE 7 1 reject\r\n")
	// Replies show the status after the whole batch. The calls may come in one batch or in several.
	if s := a.line() + "|" + a.line() + "|" + a.line(); !strings.HasPrefix(s, "OK 7 1 ") || !strings.Contains(s, "|ERR ConditionFailed|OK 7 1 reverting 0 ") {
		t.Error("replies to pipelined votes: ", s)
	}
	w.readUntil("* news 7 1 reverting 0 ")
	w.readUntil("*") // a keep-alive
}

func TestConnectionLimits(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	address := r.addresses.Relays["a"]["r0"]
	long := dial(t, address)
	fmt.Fprint(long, strings.Repeat("x", 9000))
	if _, err := long.reader.ReadByte(); err == nil {
		t.Error("a line of 9,000 bytes was accepted")
	}
	var open []*lineClient
	for range maxConnsPerListener {
		c := dial(t, address)
		c.call("VOTE 1 0 approve")
		open = append(open, c)
	}
	over := dial(t, address)
	fmt.Fprint(over, "VOTE 1 0 approve\r\n")
	if s, err := over.reader.ReadString('\n'); err == nil {
		t.Error("a connection beyond the limit was answered: ", s)
	}
	open[0].Close()
	for i := 0; ; i++ { // until the release controller has noticed that the connection closed
		c := dial(t, address)
		fmt.Fprint(c, "VOTE 1 0 approve\r\n")
		if _, err := c.reader.ReadString('\n'); err == nil {
			break
		}
		if i > 1000 {
			t.Fatal("no connection accepted after one closed")
		}
	}
}

var errKilled = errors.New("killed")

// TestCrashAroundAppend ends the release controller just before or after it writes the vote that completes a step. The vote
// gets no reply in either case. After a restart all earlier replies still hold, and the service is promoted exactly once.
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
			r.mustCall(Request{Verb: "offer", Service: "a", Build: 7})
			a, b := dial(t, r.addresses.Relays["a"]["r0"]), dial(t, r.addresses.Relays["a"]["r1"])
			a.call("VOTE 7 0 approve")
			armed.Store(true)
			fmt.Fprint(b, "VOTE 7 0 approve\r\n")
			if err := <-r.ended; !errors.Is(err, errKilled) {
				t.Fatal(err)
			}
			if s, err := b.reader.ReadString('\n'); err == nil {
				t.Error("vote answered in spite of the crash: ", s)
			}
			r = start(t, dir, 1001, nil)
			n := r.mustCall(Request{Verb: "status"}).Status[0]
			if want := map[string]string{"before append": "one", "after append": "two"}[place]; n.Step != want || n.Phase != "on trial" {
				t.Errorf("after the restart: %+v", n)
			}
			if place == "before append" { // the relay votes again, as it got no reply; the vote of the other relay still counts
				if s := dial(t, r.addresses.Relays["a"]["r1"]).call("VOTE 7 0 approve"); !strings.HasPrefix(s, "OK 7 1 ") {
					t.Error("reply to the repeated vote: ", s)
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

// TestReplan checks that an error of the plan file, a plan without a service of the current one and a plan without the
// current step change nothing, and that a valid plan takes effect.
func TestReplan(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	r.mustCall(Request{Verb: "offer", Service: "a", Build: 7})
	step := func() float64 { return r.mustCall(Request{Verb: "status"}).Status[0].ExposureLimit }
	r.controller.Replan(nil, errors.New("p.xml:3: <step>: cap: no number"))
	less, more := testPlan(t), testPlan(t)
	less.Services = less.Services[:1]
	r.controller.Replan(less, nil)
	short := testPlan(t)
	short.Services[0].Steps = nil
	r.controller.Replan(short, nil)
	if got := step(); got != 0.1 {
		t.Error("a rejected plan changed the exposure limit to ", got)
	}
	more.Services[0].Steps[0].ExposureLimit = 0.05
	r.controller.Replan(more, nil)
	if got := step(); got != 0.05 {
		t.Error("the valid plan is not in effect: exposure limit ", got)
	}
}

// TestRestartAfterAPlanWithMoreSteps guards against a controller that can't start again after its plan has gained a step and a build
// was released by it, neither with the new plan nor with the old one.
func TestRestartAfterAPlanWithMoreSteps(t *testing.T) {
	dir := t.TempDir()
	r := start(t, dir, 1000, nil)
	release := func(build relay.Build) {
		r.mustCall(Request{Verb: VerbOffer, Service: "a", Build: build})
		for step := 0; r.mustCall(Request{Verb: VerbStatus}).Status[0].Phase != "released"; step++ {
			for _, name := range []string{"r0", "r1"} {
				dial(t, r.addresses.Relays["a"][name]).call(fmt.Sprintf("VOTE %d %d approve", build, step))
			}
			r.advance(1)
		}
	}
	release(7)
	next := testPlan(t)
	next.Services[0].Steps = append(next.Services[0].Steps, next.Services[0].Steps[1])
	r.controller.Replan(next, nil)
	release(8)
	r.stop()
	r = start(t, dir, 2000, nil) // with the old plan
	if status := r.mustCall(Request{Verb: VerbStatus}).Status[0]; status.Build != 8 || status.Phase != "released" {
		t.Errorf("status %+v after the restart, want build 8 released", status)
	}
	release(9)
}

// TestInputOfAFastRelayIsNotReadAhead guards against a release controller whose memory grows with the speed of a peer: a
// relay writes calls at full speed and reads the replies. At most what a socket's receive buffer holds may be read of the
// connection before its calls have been handled.
func TestInputOfAFastRelayIsNotReadAhead(t *testing.T) {
	const (
		floodBytes = 8 << 20
		maxUnread  = 2 * limits.SocketReceiveBuffer // the kernel doubles the buffer
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as on one core: poller and callbacks take turns
	r := start(t, t.TempDir(), 1000, nil)
	client := dial(t, r.addresses.Relays["a"]["r0"])
	client.call("VOTE 1 1 wait")
	conns := make(chan *relayConn, 1)
	r.controller.post(func(ctl *Controller) {
		for c := range ctl.conns {
			conns <- c
		}
	})
	c := <-conns
	sent := make(chan struct{})
	go io.Copy(io.Discard, client.reader)
	go func() {
		defer close(sent)
		part := bytes.Repeat([]byte("VOTE 1 1 wait\r\n"), 1<<12)
		for n := 0; n < floodBytes; n += len(part) {
			if _, err := client.Write(part); err != nil {
				return // the controller closes a connection whose replies are not read in time
			}
		}
	}()
	if longest := fakes.LargestUntil(sent, func() int { return c.connection.Reader().Len() }); longest > maxUnread {
		t.Errorf("%d bytes of a connection were read ahead, want at most %d", longest, maxUnread)
	}
}
