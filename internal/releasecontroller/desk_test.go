package releasecontroller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const patience = 10 * time.Second

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

// running is a desk that a test runs; its time is the test's.
type running struct {
	t    *testing.T
	dir  string
	at   Addresses
	desk *Controller
	over chan error
	mu   sync.Mutex
	now  plan.Unix
}

func start(t *testing.T, dir string, now plan.Unix, crash func(string) error) *running {
	t.Helper()
	r := &running{t: t, dir: dir, over: make(chan error, 1), now: now}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan struct{})
	go func() {
		r.over <- Start(ctx, Options{Plan: testPlan(t), Dir: dir, Log: log, Crash: crash, Clock: r.clock,
			Ready: func(d *Controller, at Addresses) { r.desk, r.at = d, at; close(ready) }})
	}()
	select {
	case <-ready:
	case err := <-r.over:
		t.Fatal(err)
	case <-time.After(patience):
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

func (r *running) pass(d float64) {
	r.mu.Lock()
	r.now += d
	r.mu.Unlock()
}

func (r *running) ask(q Request) (Reply, error) {
	if q.Who == "" {
		q.Who, q.Why = "ops", "a test"
	}
	return Call(context.Background(), r.dir, q)
}

func (r *running) must(q Request) Reply {
	r.t.Helper()
	out, err := r.ask(q)
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
	c.SetDeadline(time.Now().Add(patience))
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

// until reads what is told up to a line that begins so.
func (c *caller) until(begins string) string {
	c.t.Helper()
	for {
		if s := c.line(); strings.HasPrefix(s, begins) {
			return s
		}
	}
}

func TestLinesOfThePlatform(t *testing.T) {
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
	r.pass(0.31)
	if s := a.call("VOTE 7 0 approve"); s != "OK 7 0 canary 0.1 310" {
		t.Error(s)
	}
	if s := b.call("VOTE 7 0 approve"); s != "OK 7 1 canary 0.5 0" {
		t.Error(s)
	}
	w.until("* news 7 1 canary 0.5 ")
	// Calls one behind another are answered in their order.
	fmt.Fprint(a, "VOTE 7 1 approve\r\nVOTE 9 1 approve\r\nVOTE 7 1 reject\r\n")
	// The state told is the one that all of them led to, where they are taken together.
	if s := a.line() + "|" + a.line() + "|" + a.line(); !strings.HasPrefix(s, "OK 7 1 ") || !strings.Contains(s, "|ERR ConditionFailed|OK 7 1 reverting 0 ") {
		t.Error(s)
	}
	w.until("* news 7 1 reverting 0 ")
	w.until("*") // signs of life go on
}

func TestBoundsOfLines(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	address := r.at.Relays["a"]["r0"]
	long := dial(t, address)
	fmt.Fprint(long, strings.Repeat("x", 9000))
	if _, err := long.r.ReadByte(); err == nil {
		t.Error("a line of 9,000 bytes was taken")
	}
	var held []*caller
	for range connsEach {
		c := dial(t, address)
		c.call("VOTE 1 0 approve")
		held = append(held, c)
	}
	over := dial(t, address)
	fmt.Fprint(over, "VOTE 1 0 approve\r\n")
	if s, err := over.r.ReadString('\n'); err == nil {
		t.Error("one connection more was answered: ", s)
	}
	held[0].Close()
	for i := 0; ; i++ { // the place comes free when the desk has seen it
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

func TestOperatorsWords(t *testing.T) {
	dir := t.TempDir()
	r := start(t, dir, 1000, nil)
	r.must(Request{Verb: "offer", Service: "a", Build: 7})
	r.must(Request{Verb: "freeze", Name: "audit"})
	a, b := dial(t, r.at.Relays["a"]["r0"]), dial(t, r.at.Relays["a"]["r1"])
	a.call("VOTE 7 0 approve")
	if s := b.call("VOTE 7 0 approve"); !strings.HasPrefix(s, "OK 7 0 ") {
		t.Error("it went on in the freeze: ", s)
	}
	if out := r.must(Request{Verb: "status"}); out.Status[0].BlockCode != rollout.BlockedByOperatorFreeze || len(out.Freezes) != 1 {
		t.Errorf("%+v", out)
	}
	if out := r.must(Request{Verb: "thaw", Name: "audit"}); out.Status[0].Step != "two" {
		t.Errorf("%+v", out.Status[0])
	}
	if out := r.must(Request{Verb: "back", Service: "a"}); out.Status[0].Phase != "going back" {
		t.Errorf("%+v", out.Status[0])
	}
	for _, bad := range []Request{{Verb: "offer", Service: "z", Build: 1}, {Verb: "offer", Service: "a", Build: 7}, {Verb: "dance"},
		{Verb: "halt", Service: "z"}, {Verb: "thaw", Name: "nights"}, {Verb: "halt", Service: "a", Who: "x"}} {
		if out, err := r.ask(bad); err == nil {
			t.Errorf("%+v: %+v", bad, out)
		}
	}
	events, err := History(dir, false, 100)
	var kinds []string
	for _, e := range events {
		kinds = append(kinds, string(e.Kind))
		if (e.Kind == rollout.EventFrozen || e.Kind == rollout.EventRollingBack) && (e.Actor != "ops" || e.Reason != "a test") {
			t.Errorf("%+v", e)
		}
	}
	if got := strings.Join(kinds, " "); err != nil || got != "started offered began froze thawed moved sent_back" {
		t.Error(got, err)
	}
	if _, err := Call(context.Background(), t.TempDir(), Request{Verb: "status"}); err == nil {
		t.Error("no desk answered")
	}
	raw, _ := os.ReadFile(filepath.Join(dir, controlName))
	os.WriteFile(filepath.Join(dir, controlName), []byte(strings.Fields(string(raw))[0]+" 00\n"), 0o600)
	if _, err := r.ask(Request{Verb: "status"}); err == nil || !strings.Contains(err.Error(), "word") {
		t.Error(err)
	}
	if _, err := Open(dir, func(rollout.Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "another desk") {
		t.Error("two desks have one directory: ", err)
	}
}

// TestNoControlWithoutItsFile opens the operators' socket of a desk whose directory can't be written: without the file
// nobody could reach it, so it must be refused.
func TestNoControlWithoutItsFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	if c, err := openControl(&Controller{dir: missing}, ""); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("opened: %v, error: %v", c != nil, err)
	}
}

var errKilled = errors.New("killed")

// TestKilledBetweenCountingAndTelling ends the desk at each place round the vote that completes a step. Whatever was
// told to anybody stands after the next start, and the step is made once.
func TestKilledBetweenCountingAndTelling(t *testing.T) {
	for _, place := range []string{"before append", "after append"} {
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
		if err := <-r.over; !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
		if s, err := b.r.ReadString('\n'); err == nil {
			t.Error("it was told: ", s)
		}
		r = start(t, dir, 1001, nil)
		n := r.must(Request{Verb: "status"}).Status[0]
		if want := map[string]string{"before append": "one", "after append": "two"}[place]; n.Step != want || n.Phase != "on trial" {
			t.Errorf("%s: %+v", place, n)
		}
		if place == "before append" { // the relay casts it again, as it got no answer; the first one's vote stands
			if s := dial(t, r.at.Relays["a"]["r1"]).call("VOTE 7 0 approve"); !strings.HasPrefix(s, "OK 7 1 ") {
				t.Error(s)
			}
		}
		events, _ := History(dir, false, 100)
		moves := 0
		for _, e := range events {
			if e.Kind == rollout.EventPromoted {
				moves++
			}
		}
		if moves != 1 {
			t.Errorf("%s: moved %d times", place, moves)
		}
	}
}

// lifeOfADesk is some life of a desk, as events.
func lifeOfADesk(t *testing.T) []rollout.Event {
	c := rollout.New(testPlan(t))
	var out []rollout.Event
	take := func(e rollout.Event) {
		if err := c.Apply(e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
		out = append(out, c.Advance(e.At)...)
	}
	for b := relay.Build(1); b <= 3; b++ {
		at := 1000 * float64(b)
		e, err := c.Offer(0, b, "ops", "new", at)
		if err != nil {
			t.Fatal(err)
		}
		take(e)
		for step := relay.Stage(0); step < 2; step++ {
			for _, r := range []string{"r0", "r1"} {
				if e, no := c.Vote(0, r, relay.Vote{Build: b, Stage: step, Verdict: relay.VotePromote}, at+1+float64(step)); no == "" {
					take(e)
				}
			}
		}
		e, err = c.Operate(rollout.Operation{Kind: rollout.EventFrozen, Service: "b", FreezeName: fmt.Sprint("f", b), Actor: "ops", Reason: "why"}, at+5)
		if err != nil {
			t.Fatal(err)
		}
		take(e)
	}
	return out
}

func status(t *testing.T, events []rollout.Event) []rollout.Status {
	c := rollout.New(testPlan(t))
	for _, e := range events {
		if err := c.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	return c.ServiceStatuses(5000)
}

// TestCutAtEveryByte cuts a journal at every byte: each start folds the whole records before the cut, and goes on.
func TestCutAtEveryByte(t *testing.T) {
	events := lifeOfADesk(t)
	dir := t.TempDir()
	j, err := Open(dir, func(rollout.Event) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	ends := []int64{j.size}
	for _, e := range events {
		if err := j.Append([]rollout.Event{e}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, j.size)
	}
	j.Close()
	raw, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, journalName)
	for cut := 0; cut <= len(raw); cut++ {
		if err := os.WriteFile(name, raw[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		var got []rollout.Event
		j, err := Open(dir, func(e rollout.Event) error { got = append(got, e); return nil })
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		whole := 0
		for whole < len(events) && ends[whole+1] <= int64(cut) {
			whole++
		}
		if len(got) != whole || whole > 0 && !reflect.DeepEqual(got, events[:whole]) {
			t.Fatalf("cut at %d: %d events, wanted %d", cut, len(got), whole)
		}
		if whole < len(events) {
			if err := j.Append(events[whole : whole+1]); err != nil {
				t.Fatal(err)
			}
		}
		j.Close()
		again, err := History(dir, true, 1000)
		if err != nil || len(again) != min(whole+1, len(events)) {
			t.Fatalf("cut at %d, then one more: %d events, %v", cut, len(again), err)
		}
	}
	// A byte that is wrong in the middle is damage, not a torn end: nothing is thrown away.
	for _, at := range []int64{ends[1] + 2, ends[1] + recordHead + 3} {
		bad := append([]byte(nil), raw...)
		bad[at] ^= 0x55
		if err := os.WriteFile(name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(dir, func(rollout.Event) error { return nil }); !errors.Is(err, errDamaged) || !strings.Contains(err.Error(), fmt.Sprint("byte ", ends[1])) {
			t.Errorf("byte %d: %v", at, err)
		}
		if left, _ := os.ReadFile(name); len(left) != len(bad) {
			t.Error("something was cut off")
		}
	}
}

// TestCrashWhileCompacting ends the writing at each place: the state is the same after the next start, and the history whole.
func TestCrashWhileCompacting(t *testing.T) {
	events := lifeOfADesk(t)
	want := status(t, events)
	for _, place := range []string{"within snapshot", "before archive", "before rename", "after rename", ""} {
		dir := t.TempDir()
		j, err := Open(dir, func(rollout.Event) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Append(events); err != nil {
			t.Fatal(err)
		}
		c := rollout.New(testPlan(t))
		for _, e := range events {
			c.Apply(e)
		}
		j.CrashPoint = func(at string) error {
			if at == place {
				return errKilled
			}
			return nil
		}
		if err := j.Compact(c.Snapshot()); (err == nil) != (place == "") {
			t.Fatal(place, err)
		}
		j.Close()
		for range 2 { // and once more
			var got []rollout.Event
			j, err := Open(dir, func(e rollout.Event) error { got = append(got, e); return nil })
			if err != nil {
				t.Fatal(place, err)
			}
			if s := status(t, got); !reflect.DeepEqual(s, want) {
				t.Errorf("%s: %+v", place, s)
			}
			j.Close()
		}
		all, err := History(dir, true, 1000)
		if place != "before rename" && (err != nil || len(all) != len(events)) { // there it stands twice, until the next time
			t.Errorf("%s: a history of %d events, %d happened, %v", place, len(all), len(events), err)
		}
	}
}

// TestPlanAtReload puts plans in place of the one that holds: a bad one, one without a service, and a good one.
func TestPlanAtReload(t *testing.T) {
	r := start(t, t.TempDir(), 1000, nil)
	r.must(Request{Verb: "offer", Service: "a", Build: 7})
	step := func() float64 { return r.must(Request{Verb: "status"}).Status[0].ExposureLimit }
	r.desk.Replan(nil, errors.New("p.xml:3: <step>: cap: no number"))
	less, more := testPlan(t), testPlan(t)
	less.Services = less.Services[:1]
	r.desk.Replan(less, nil)
	short := testPlan(t)
	short.Services[0].Steps = nil
	r.desk.Replan(short, nil)
	if got := step(); got != 0.1 {
		t.Error("a bad plan changed the cap to ", got)
	}
	more.Services[0].Steps[0].ExposureLimit = 0.05
	r.desk.Replan(more, nil)
	if got := step(); got != 0.05 {
		t.Error("the good plan does not hold: ", got)
	}
}
