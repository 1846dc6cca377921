package scale

import (
	"testing"

	"lichenroad/relay"
)

func violationsByRule(r *Result) map[string]int {
	out := map[string]int{}
	for _, b := range r.Violations {
		out[b.Rule]++
	}
	return out
}

// TestCheckerFindsViolationsWithoutASafeguard switches each defence off, and none.
func TestCheckerFindsViolationsWithoutASafeguard(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Faults, o.Seconds = []Fault{ZoneLoss}, 22 }) // so that units leave
	if r := simulate(t, o); r.ViolationCount != 0 || r.Decisions.BadRolledBack != 1 || !r.SlowStartChecked {
		t.Errorf("with all defences: %+v, %+v", r.Violations, r.Decisions)
	}
	for defence, rule := range map[Safeguard]string{DrainNotices: drainRule, ExposureLimit: exposureRule, Leases: drainRule} {
		o.Without = []Safeguard{defence}
		r := simulate(t, o)
		if got := violationsByRule(r); got[rule] == 0 || len(got) != 1 {
			t.Errorf("without %s: %v", defence, got)
		}
		if b := r.Violations[0]; b.Time < 0.3*o.Seconds || b.Instance == "" || b.Detail == "" {
			t.Errorf("%+v", b)
		}
	}
}

func newChecker() *checker {
	c := &checker{instance: "x"}
	c.restart()
	return c
}

// TestDrainRule plants attempts around the moment from which a drain holds.
func TestDrainRule(t *testing.T) {
	r := &request{}
	for _, c := range []struct {
		told, at, unreachable float64
		broken                int
	}{
		{told: 12, at: 12.2}, {told: 12, at: 12.3, broken: 1},
		{told: never, at: 16.2}, {told: never, at: 16.3, broken: 1}, // 6 s after the list had it
		{told: never, at: 16.3, unreachable: 1}, {told: never, at: 17.3, unreachable: 1, broken: 1},
		{told: 20, at: 16.3, broken: 1},
	} {
		k := newChecker()
		e := newEndpoint("u", place{}, 0, 0, 0)
		e.drainListedAt = 10
		if c.told != never {
			k.receiveEntry(c.told, e, relay.Draining)
			k.receiveEntry(c.told+1, e, relay.Removed) // the first word counts
		}
		k.checkAttempt(c.at, r, e, c.unreachable)
		if k.count != c.broken {
			t.Errorf("%+v: %+v", c, k.violations)
		}
	}
}

// TestExposureRule plants attempts at a build on trial.
func TestExposureRule(t *testing.T) {
	k := newChecker()
	trial := newEndpoint("u", place{}, 0, 2, 0)
	k.receiveStatus(0, relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.5})
	for range 4 {
		k.receiveRequest(1)
	}
	for i := range 4 {
		if k.checkAttempt(1, &request{}, trial, 0); k.count > 0 != (i == 3) { // 1 + 4 x 0.5 are allowed
			t.Fatalf("attempt %d: %+v", i, k.violations)
		}
	}
	k.count = 0
	k.receiveStatus(4, relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseRollingBack})
	if k.checkAttempt(4.2, &request{}, trial, 0); k.count != 0 {
		t.Errorf("within the grace: %+v", k.violations)
	}
	if k.checkAttempt(4.3, &request{}, trial, 0); k.count != 1 {
		t.Error("a build that goes back was sent to")
	}
	if k.checkAttempt(4.3, &request{}, newEndpoint("old", place{}, 0, 1, 0), 0); k.count != 1 {
		t.Error("the earlier build is free")
	}
}

// TestEffectTwiceRule plants a second attempt of a request that may run once.
func TestEffectTwiceRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 0)
	once := relay.Request{Class: 1}
	for _, c := range []struct {
		query  relay.Request
		before attempt
		broken int
	}{
		{once, attempt{ended: true, outcome: relay.ConnectFailed}, 0}, {once, attempt{ended: true, outcome: relay.Errored}, 1},
		{once, attempt{outcome: relay.ConnectFailed}, 1}, {relay.Request{}, attempt{ended: true, outcome: relay.Errored}, 0},
	} {
		k := newChecker()
		if k.checkAttempt(1, &request{details: c.query, attempts: []attempt{c.before}}, e, 0); k.count != c.broken {
			t.Errorf("%+v: %+v", c, k.violations)
		}
	}
}

// TestSlowStartRule plants more work than a cold unit can do: three times four tenths of a second of it in a second.
func TestSlowStartRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 10)
	for i := range 12 {
		if e.addSlowStartWork(10, 0.1) {
			t.Fatalf("attempt %d", i)
		}
	}
	if !e.addSlowStartWork(10, 0.1) {
		t.Error("it was pushed over")
	}
	if e.addSlowStartWork(10, 0.1) {
		t.Error("told twice")
	}
	e.overloaded = false
	if e.addSlowStartWork(11.5, 0.1) {
		t.Error("the work of a second ago counts no more")
	}
}

// TestReleasesOfCohorts has every kind on trial at any time, and one service alone with the bad build of its cohort.
func TestReleasesOfCohorts(t *testing.T) {
	for release := range 4 {
		bad, kinds := 0, map[releaseKind]int{}
		for service := range 20 {
			kind, wrong := releaseFor(service, release)
			kinds[kind]++
			if kind == badForOneService && wrong != noDefect {
				bad++
			}
			if (kind == failingRelease || kind == slowRelease) && wrong == noDefect || kind == goodRelease && wrong != noDefect {
				t.Errorf("%v: %+v", kind, wrong)
			}
		}
		if bad != 1 || len(kinds) != int(releaseKindCount) || kinds[badForOneService] != 5 {
			t.Errorf("release %d: %v, %d bad alone", release, kinds, bad)
		}
	}
}
