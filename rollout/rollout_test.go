package rollout

import (
	"flag"
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/relay"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// chain has a, b that needs a, c that needs b; d needs b and c, as a diamond. Each has three steps and four relays.
// The freeze lasts from 1000 to 2000 s of a day in December.
const day = 1796515200.0 // 2026-12-06 00:00 UTC

func chain(t interface{ Fatal(...any) }) *plan.Plan {
	var b strings.Builder
	b.WriteString(`<plan version="1" clock-skew="2s"><site name="x"/><site name="y"/><group name="p"><customer name="p1"/></group><group name="q"><customer name="q1"/></group>`)
	needs := map[string]string{"b": "a", "c": "b", "d": "b c"}
	for _, s := range []string{"a", "b", "c", "d"} {
		fmt.Fprintf(&b, `<service name="%s" back-for="5s"><votes on="0.5" back="0.25"/>`, s)
		for k, open := range []string{`<open site="x" group="p"/>`, `<open site="x" group="q"/>`, `<open site="y"/>`} {
			fmt.Fprintf(&b, `<step name="s%d" share="%g" cap="%g" least="10s">%s`, k, []float64{0.1, 0.5, 1}[k], []float64{0.1, 0.3, 0.6}[k], open)
			for _, n := range strings.Fields(needs[s]) {
				fmt.Fprintf(&b, `<needs service="%s" step="s%d"/>`, n, k)
			}
			b.WriteString(`</step>`)
		}
		for i := range 4 {
			fmt.Fprintf(&b, `<relay name="r%d" site="%s"/>`, i, []string{"x", "y"}[i%2])
		}
		b.WriteString(`</service>`)
	}
	b.WriteString(`<freeze name="f"><once from="2026-12-06T00:16" to="2026-12-06T00:33" zone="UTC"/></freeze></plan>`)
	p, err := planxml.Parse("p", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const (
	freezeFrom = day + 16*60
	freezeTo   = day + 33*60
)

// desk drives a core as a host does, and keeps its record.
type desk struct {
	t   interface{ Fatal(...any) }
	c   *Core
	log []Event
}

func newDesk(t interface{ Fatal(...any) }) *desk { return &desk{t: t, c: New(chain(t))} }

func (d *desk) take(e Event, err error) {
	if err != nil {
		d.t.Fatal(err)
	}
	if err := d.c.Apply(e); err != nil {
		d.t.Fatal(err)
	}
	d.log = append(d.log, e)
}

func (d *desk) offer(s plan.ServiceIndex, b relay.Build, at plan.Unix) []Event {
	d.take(d.c.Offer(s, b, "ops", "new", at))
	return d.due(at)
}

func (d *desk) due(at plan.Unix) []Event {
	out := d.c.Advance(at)
	d.log = append(d.log, out...)
	return out
}

func (d *desk) vote(s plan.ServiceIndex, r int, v relay.Verdict, at plan.Unix) ([]Event, Rejection) {
	n := d.c.Statuses(s, at)
	return d.voteAs(s, r, relay.Vote{Build: n.Build, Stage: n.Stage, Verdict: v}, at)
}

func (d *desk) voteAs(s plan.ServiceIndex, r int, v relay.Vote, at plan.Unix) ([]Event, Rejection) {
	e, refused := d.c.Vote(s, fmt.Sprintf("r%d", r), v, at)
	if refused != VoteCounted {
		return nil, refused
	}
	d.take(e, nil)
	return d.due(at), VoteCounted
}

// on has two of four relays stand for the next step.
func (d *desk) on(s plan.ServiceIndex, at plan.Unix) []Event {
	out, _ := d.vote(s, 0, relay.VotePromote, at)
	more, _ := d.vote(s, 1, relay.VotePromote, at)
	return append(out, more...)
}

func kinds(list []Event) string {
	var out []string
	for _, e := range list {
		out = append(out, fmt.Sprintf("%s:%s", e.Service, e.Kind))
	}
	return strings.Join(out, " ")
}

func want(t *testing.T, got []Event, is string) {
	t.Helper()
	if kinds(got) != is {
		t.Errorf("%q, wanted %q", kinds(got), is)
	}
}

func TestStepsGoOnByVotesAndTime(t *testing.T) {
	d := newDesk(t)
	want(t, d.offer(0, 7, day), "a:began")
	want(t, d.on(0, day+9.9), "") // the votes are there, the time is not
	want(t, d.due(day+10), "a:moved")
	if w := d.c.Why(0, day+21); w.Code != BlockedByMissingVotes {
		t.Error(w)
	}
	if _, r := d.voteAs(0, 2, relay.Vote{Build: 7, Stage: 0, Verdict: relay.VotePromote}, day+22); r != RejectedStale {
		t.Error("a vote for a step that is past was taken: ", r)
	}
	if out, _ := d.vote(0, 0, relay.VotePromote, day+22); len(out) > 0 {
		t.Error("one vote was enough")
	}
	want(t, d.due(day+40), "")
	d.vote(0, 1, relay.VotePromote, day+40) // the first has lapsed by now
	want(t, d.due(day+40), "")
	want(t, d.on(0, day+41), "a:moved")
	want(t, d.on(0, day+60), "a:released")
	if d.c.ExposureLimit(0, 1, 1, day+61) != 1 {
		t.Error("a released build has a cap")
	}
	want(t, d.due(day+61), "")
}

func TestBackIsAlwaysFree(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, freezeFrom-5)
	d.take(d.c.Operate(EventHalted, "a", "", "ops", "a look", 0, freezeFrom-1))
	d.take(d.c.Operate(EventFrozen, "", "all", "ops", "a look", 0, freezeFrom-1))
	out, _ := d.vote(0, 3, relay.VoteRollBack, freezeFrom+1)
	want(t, out, "a:sent_back")
	if n := d.c.Statuses(0, freezeFrom+1); n.ExposureLimit != 0 || n.Phase != relay.PhaseRollingBack {
		t.Errorf("%+v", n)
	}
	want(t, d.due(freezeFrom+6), "a:taken_off")
}

// TestFreezeMidStep has the vote that completes a step come just before, at and just after a freeze begins.
func TestFreezeMidStep(t *testing.T) {
	for at, says := range map[plan.Unix]string{freezeFrom - 0.001: "a:moved", freezeFrom: "", freezeFrom + 0.001: ""} {
		d := newDesk(t)
		d.offer(0, 7, freezeFrom-60)
		d.vote(0, 0, relay.VotePromote, freezeFrom-5)
		out, r := d.vote(0, 1, relay.VotePromote, at)
		want(t, out, says)
		if r != VoteCounted {
			t.Error("the vote itself is not refused: ", r)
		}
		if says == "" {
			if w := d.c.Why(0, at); w.Code != BlockedByPlanFreeze || w.Until != freezeTo {
				t.Errorf("%+v", w)
			}
			want(t, d.due(freezeTo-0.001), "")
			want(t, d.due(freezeTo), "") // the votes have lapsed
			want(t, d.on(0, freezeTo+1), "a:moved")
		}
	}
}

func TestDependencies(t *testing.T) {
	d := newDesk(t)
	want(t, d.offer(1, 3, day), "") // b waits for a
	if w := d.c.Why(1, day); w.Code != BlockedByDependency || w.Text != "a at step s0" {
		t.Errorf("%+v", w)
	}
	want(t, d.offer(3, 2, day), "")
	want(t, d.offer(2, 4, day), "")
	want(t, d.offer(0, 7, day), "a:began b:began c:began d:began") // all on the same second, each after what it needs
	want(t, d.on(1, day+11), "")                                   // b can't go where a is not
	want(t, d.on(0, day+12), "a:moved b:moved")
	want(t, d.on(0, day+23), "a:moved")
	want(t, d.on(1, day+24), "b:moved")
	if c := d.c.ExposureLimit(1, 1, 0, day+24); c != 0.6 {
		t.Error("cap", c)
	}
	// a goes back under b, which is two steps on: all that b opened by a's leave is closed at once, and so is c's.
	d.vote(0, 3, relay.VoteRollBack, day+25)
	for s := plan.ServiceIndex(1); s <= 3; s++ {
		if n := d.c.Statuses(s, day+25); n.ExposureLimit != 0 && s == 1 || n.Phase != relay.PhaseCanary {
			t.Errorf("service %d: %+v", s, n)
		}
	}
	want(t, d.on(1, day+40), "a:taken_off")
	if w := d.c.Why(1, day+41); w.Code != BlockedByDependency {
		t.Errorf("%+v", w)
	}
	// b's own way back stays open, also while a is going back.
	out, _ := d.vote(1, 2, relay.VoteRollBack, day+42)
	want(t, out, "b:sent_back")
	// A next build of a, and b's next waits for it again.
	want(t, d.offer(0, 8, day+50), "a:began b:taken_off")
	want(t, d.offer(1, 9, day+50), "b:began")
}

// TestDependencyTurnsBadAfterOneTwoThreeSteps has the partner one, two and three steps on.
func TestDependencyTurnsBadAfterOneTwoThreeSteps(t *testing.T) {
	for steps := 0; steps <= 2; steps++ {
		d := newDesk(t)
		d.offer(0, 7, day)
		d.offer(1, 3, day)
		at := plan.Unix(day)
		for range steps {
			at += 11
			d.on(0, at)
			d.on(1, at)
		}
		if n := d.c.Statuses(1, at); int(n.Stage) != steps || n.ExposureLimit <= 0 {
			t.Fatalf("%+v", n)
		}
		d.vote(0, 0, relay.VoteRollBack, at+1)
		if n := d.c.Statuses(1, at+1); n.ExposureLimit != 0 || int(n.Stage) != steps || n.Phase != relay.PhaseCanary {
			t.Errorf("after %d steps: %+v", steps, n)
		}
		want(t, d.on(1, at+12), "a:taken_off")
	}
}

func TestOvertakenWhileItWaits(t *testing.T) {
	d := newDesk(t)
	d.offer(1, 3, day)
	d.offer(1, 4, day+1)
	if _, err := d.c.Offer(1, 4, "ops", "again", day+2); err == nil {
		t.Error("an offer of the same build was taken")
	}
	out := d.offer(0, 7, day+3)
	want(t, out, "a:began b:began")
	if out[1].Build != 4 || d.log[1].Kind != EventSuperseded {
		t.Errorf("%+v", d.log)
	}
	// While one is on trial the next waits, and begins when the other is off.
	d.offer(1, 5, day+4)
	if d.c.Statuses(1, day+4).Build != 4 {
		t.Error("it took the place of one on trial")
	}
	d.vote(1, 0, relay.VoteRollBack, day+5)
	want(t, d.due(day+10), "b:taken_off b:began")
}

func TestVotes(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, day)
	for _, c := range []struct {
		from string
		vote relay.Vote
		says Rejection
	}{
		{"r9", relay.Vote{Build: 7, Verdict: relay.VotePromote}, RejectedInvalid},
		{"r1", relay.Vote{Build: 7, Verdict: 9}, RejectedInvalid},
		{"r1", relay.Vote{Build: 6, Verdict: relay.VotePromote}, RejectedStale},
		{"r1", relay.Vote{Build: 7, Stage: 1, Verdict: relay.VotePromote}, RejectedStale},
		{"r1", relay.Vote{Build: 7, Stage: 1, Verdict: relay.VoteRollBack}, VoteCounted},
	} {
		if _, r := d.c.Vote(0, c.from, c.vote, day+1); r != c.says {
			t.Errorf("%+v: %q", c, r)
		}
	}
	taken := 0
	for range 1000 {
		if _, r := d.c.Vote(0, "r1", relay.Vote{Build: 7, Verdict: relay.VotePromote}, day+2); r == VoteCounted {
			taken++
		} else if r != RejectedThrottled {
			t.Fatal(r)
		}
	}
	if taken < 20 || taken > 30 {
		t.Errorf("%d votes in an instant", taken)
	}
	// One relay has one vote: it can't stand twice, and a hold takes its on away.
	d = newDesk(t)
	d.offer(0, 7, day)
	d.vote(0, 0, relay.VotePromote, day+11)
	out, _ := d.vote(0, 0, relay.VotePromote, day+11)
	want(t, out, "")
	d.vote(0, 0, relay.VoteHold, day+11)
	out, _ = d.vote(0, 1, relay.VotePromote, day+11)
	want(t, out, "")
}

func TestOperators(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, day)
	d.take(d.c.Operate(EventFrozen, "a", "audit", "ops", "figures are looked at", day+100, day))
	want(t, d.on(0, day+11), "")
	if w := d.c.Why(0, day+11); w.Code != BlockedByOperatorFreeze || w.Until != day+100 {
		t.Errorf("%+v", w)
	}
	d.take(d.c.Operate(EventUnfrozen, "", "audit", "ops", "done", 0, day+12))
	want(t, d.due(day+12), "a:moved")
	d.take(d.c.Operate(EventHalted, "a", "", "ops", "odd", 0, day+13))
	want(t, d.on(0, day+30), "")
	d.take(d.c.Operate(EventResumed, "a", "", "ops", "fine", 0, day+31))
	want(t, d.due(day+31), "a:moved")
	d.take(d.c.Operate(EventFrozen, "", "short", "ops", "lunch", day+40, day+32))
	want(t, d.on(0, day+39), "")
	want(t, d.due(day+47), ":thawed a:released") // the votes of 39 still stand
	d.take(d.c.Operate(EventRollingBack, "a", "", "ops", "wrong colour", 0, day+50))
	if d.c.Statuses(0, day+50).Phase != relay.PhaseRollingBack {
		t.Error("not back")
	}
	for _, bad := range []func() (Event, error){
		func() (Event, error) { return d.c.Operate(EventFrozen, "a", "x", "", "why", 0, day+60) },
		func() (Event, error) { return d.c.Operate(EventFrozen, "z", "x", "me", "why", 0, day+60) },
		func() (Event, error) { return d.c.Operate(EventFrozen, "a", "x", "me", "why", day, day+60) },
		func() (Event, error) { return d.c.Operate(EventUnfrozen, "", "f", "me", "why", 0, day+60) },
		func() (Event, error) { return d.c.Operate(EventResumed, "a", "", "me", "why", 0, day+60) },
		func() (Event, error) { return d.c.Operate(EventRollingBack, "a", "", "me", "why", 0, day+60) },
		func() (Event, error) { return d.c.Operate(EventPromoted, "a", "", "me", "why", 0, day+60) },
	} {
		if e, err := bad(); err == nil {
			t.Errorf("%+v was taken", e)
		}
	}
}

func TestClockMovesUnlessHeld(t *testing.T) {
	text := strings.Replace(`<plan version="1"><site name="x"/><group name="p"/><service name="a"><votes control="clock" hold="0.5" step-time="20s"/>
<step name="s" share="0" cap="0.1" least="5s"><open/></step><relay name="r0"/><relay name="r1"/></service></plan>`, "\n", "", -1)
	p, err := planxml.Parse("p", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := &desk{t: t, c: New(p)}
	want(t, d.offer(0, 1, day), "a:began")
	want(t, d.due(day+19), "")
	d.vote(0, 0, relay.VoteHold, day+19)
	want(t, d.due(day+20), "")
	want(t, d.due(day+29), "a:released")
}

// TestFold draws random lives of a desk: the record folds into the same state again, cut at any place, and so does
// a snapshot; nothing moves twice, skips a step, goes on in a freeze, or stands where its needs never were.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(t)
		at, builds := plan.Unix(day+rapid.Float64Range(0, 1500).Draw(t, "start")), [4]relay.Build{}
		for range rapid.IntRange(1, 120).Draw(t, "n") {
			at += rapid.Float64Range(0, 15).Draw(t, "dt")
			s := plan.ServiceIndex(rapid.IntRange(0, 3).Draw(t, "s"))
			before := len(d.log)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				builds[s]++
				d.offer(s, builds[s], at)
			case 1:
				d.vote(s, rapid.IntRange(0, 3).Draw(t, "r"), relay.VoteRollBack, at)
			case 2:
				if e, err := d.c.Operate(EventFrozen, "", "own", "me", "why", at+20, at); err == nil {
					d.take(e, nil)
				}
			default:
				d.vote(s, rapid.IntRange(0, 3).Draw(t, "r"), relay.VotePromote, at)
			}
			d.due(at)
			for _, e := range d.log[before:] {
				on := e.Kind == EventBegan || e.Kind == EventPromoted || e.Kind == EventReleased
				if on && e.At >= freezeFrom && e.At < freezeTo {
					t.Fatal("went on in the freeze: ", e)
				}
			}
		}
		again := New(d.c.plan)
		for _, e := range d.log {
			if err := again.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := d.c.Status(at), again.Status(at); !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		short := New(d.c.plan)
		for _, e := range d.c.Snapshot() {
			if err := short.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := d.c.Status(at), short.Status(at); !reflect.DeepEqual(a, b) {
			t.Fatalf("snapshot: %+v\n%+v", a, b)
		}
		if a, b := d.c.Advance(at+30), again.Advance(at+30); !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
	})
}

func TestApplyRefusesWhatCantFollow(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, day)
	before := d.c.Status(day)
	for _, e := range []Event{
		{At: day, Kind: EventPromoted, Service: "a", Build: 7, Step: 2}, {At: day, Kind: EventPromoted, Service: "a", Build: 6, Step: 1},
		{At: day, Kind: EventReleased, Service: "a", Build: 7}, {At: day, Kind: EventBegan, Service: "a", Build: 7},
		{At: day, Kind: EventWithdrawn, Service: "a", Build: 7}, {At: day, Kind: EventOffered, Service: "a", Build: 7},
		{At: day, Kind: "danced", Service: "a"}, {At: day, Kind: EventBegan, Service: "z"}, {At: math.NaN(), Kind: EventControllerStarted},
		{At: day, Kind: EventVoted, Service: "a"}, {At: day, Kind: EventUnfrozen, Name: "x"}, {At: day, Kind: EventFrozen},
	} {
		if err := d.c.Apply(e); err == nil {
			t.Errorf("%+v was taken", e)
		}
	}
	if !reflect.DeepEqual(before, d.c.Status(day)) {
		t.Error("the state changed")
	}
}

func TestReplan(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, day)
	d.on(0, day+11)
	p := chain(t)
	p.Services[0].Steps = p.Services[0].Steps[:1]
	if err := d.c.Replan(p); err == nil || d.c.Statuses(0, day+12).Stage != 1 {
		t.Error("a plan without the present step was taken: ", err)
	}
	if err := d.c.Replan(chain(t)); err != nil || d.c.Statuses(0, day+12).Stage != 1 {
		t.Error(err)
	}
}

// TestReleaseSettles has the next build wait when one is released: without the time between, relays and whoever runs
// the fleet never hear of the release (found in the laboratory: a build for which nobody ever voted).
func TestReleaseSettles(t *testing.T) {
	d := newDesk(t)
	d.offer(0, 7, day)
	d.on(0, day+11)
	d.on(0, day+22)
	d.offer(0, 8, day+25)
	want(t, d.on(0, day+33), "a:released")
	if w := d.c.Why(0, day+34); w.Code != BlockedBySettleTime || w.Until != day+63 {
		t.Errorf("%+v", w)
	}
	want(t, d.due(day+63), "a:began")
}

// TestDiamondLosesOneSide has d need b and c, which both need a. c goes back under d, then b while c is on its way:
// d's cap falls once and stays down, and d itself may go back in the middle of it.
func TestDiamondLosesOneSide(t *testing.T) {
	d := newDesk(t)
	for s := range plan.ServiceIndex(4) {
		d.offer(s, 5, day)
	}
	for s := range plan.ServiceIndex(4) {
		d.on(s, day+11)
	}
	if n := d.c.Statuses(3, day+11); n.Stage != 1 || n.ExposureLimit != 0.3 {
		t.Fatalf("%+v", n)
	}
	d.vote(2, 0, relay.VoteRollBack, day+12)
	if n := d.c.Statuses(3, day+12); n.ExposureLimit != 0 {
		t.Errorf("%+v", n)
	}
	if d.c.Statuses(1, day+12).ExposureLimit != 0.3 {
		t.Error("b needs nothing of c")
	}
	d.vote(1, 0, relay.VoteRollBack, day+13)
	out, _ := d.vote(3, 0, relay.VoteRollBack, day+14) // while both are going back
	want(t, out, "d:sent_back")
	d.vote(0, 0, relay.VoteRollBack, day+15) // and what all of them stand on
	want(t, d.due(day+40), "a:taken_off b:taken_off c:taken_off d:taken_off")
	for s := range plan.ServiceIndex(4) {
		if n := d.c.Statuses(s, day+41); n.Phase != relay.PhaseWithdrawn || n.ExposureLimit != 0 {
			t.Errorf("%+v", n)
		}
	}
}
