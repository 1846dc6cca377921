package scale

import (
	"testing"

	"lichenroad/relay"
)

// violationsByRule counts the violations in a result.
func violationsByRule(r *Result) map[string]int {
	counts := map[string]int{}
	for _, b := range r.Violations {
		counts[b.Rule]++
	}
	return counts
}

// TestCheckerFindsViolationsWithoutASafeguard runs with all safeguards, and without each of them.
func TestCheckerFindsViolationsWithoutASafeguard(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Faults, o.Seconds = []Fault{ZoneLoss}, 22 }) // so that endpoints leave
	if r := simulate(t, o); r.ViolationCount != 0 || r.ReleaseSummary.BadRolledBack != 1 || !r.SlowStartChecked {
		t.Errorf("with all safeguards: %+v, %+v", r.Violations, r.ReleaseSummary)
	}
	for safeguard, rule := range map[Safeguard]string{DrainNotices: drainRule, ExposureLimit: exposureRule, Leases: drainRule} {
		t.Run("without "+string(safeguard), func(t *testing.T) {
			o := o
			o.Without = []Safeguard{safeguard}
			r := simulate(t, o)
			if got := violationsByRule(r); got[rule] == 0 || len(got) != 1 {
				t.Fatalf("%v", got)
			}
			if v := r.Violations[0]; v.Time < 0.3*o.Seconds || v.Instance == "" || v.Detail == "" {
				t.Errorf("%+v", v)
			}
		})
	}
}

// newChecker returns the checker of a relay that has received nothing.
func newChecker() *checker {
	c := &checker{instance: "x"}
	c.restart()
	return c
}

// TestDrainRule sends attempts just before and after a drain binds the relay.
func TestDrainRule(t *testing.T) {
	const drainListedAt = 10
	for name, c := range map[string]struct {
		receivedAt, sentAt, unreachable float64
		violations                      int
	}{
		"within the grace of a received drain":    {receivedAt: 12, sentAt: 12.2},
		"after the grace of a received drain":     {receivedAt: 12, sentAt: 12.3, violations: 1},
		"before an unreceived drain binds":        {receivedAt: never, sentAt: 16.2}, // 6 s after it was listed
		"after an unreceived drain binds":         {receivedAt: never, sentAt: 16.3, violations: 1},
		"unreachable, before the drain binds":     {receivedAt: never, sentAt: 16.3, unreachable: 1},
		"unreachable, after the drain binds":      {receivedAt: never, sentAt: 17.3, unreachable: 1, violations: 1},
		"drain received after it binds the relay": {receivedAt: 20, sentAt: 16.3, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			k := newChecker()
			e := newEndpoint("u", place{}, 0, 0, 0)
			e.drainListedAt = drainListedAt
			if c.receivedAt != never {
				k.receiveEntry(c.receivedAt, e, relay.Draining)
				k.receiveEntry(c.receivedAt+1, e, relay.Removed) // the first entry counts
			}
			k.checkAttempt(c.sentAt, &request{}, e, c.unreachable)
			if k.count != c.violations {
				t.Errorf("%+v", k.violations)
			}
		})
	}
}

// TestExposureRule sends attempts at a canary up to the limit and beyond.
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
		t.Error("an attempt at a build that is rolled back was allowed")
	}
	if k.checkAttempt(4.3, &request{}, newEndpoint("old", place{}, 0, 1, 0), 0); k.count != 1 {
		t.Error("an attempt at the earlier build was not allowed")
	}
}

// TestEffectTwiceRule sends a second attempt of requests, after several outcomes of the first.
func TestEffectTwiceRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 0)
	once := relay.Request{Class: 1}
	for name, c := range map[string]struct {
		request    relay.Request
		earlier    attempt
		violations int
	}{
		"at most once, never connected":   {once, attempt{ended: true, outcome: relay.ConnectFailed}, 0},
		"at most once, may have run":      {once, attempt{ended: true, outcome: relay.Errored}, 1},
		"at most once, has not ended yet": {once, attempt{outcome: relay.ConnectFailed}, 1},
		"idempotent, may have run":        {relay.Request{}, attempt{ended: true, outcome: relay.Errored}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			k := newChecker()
			k.checkAttempt(1, &request{details: c.request, attempts: []attempt{c.earlier}}, e, 0)
			if k.count != c.violations {
				t.Errorf("%+v", k.violations)
			}
		})
	}
}

// TestSlowStartRule sends more work than an endpoint at its start can do in a second: three times 0.4 s.
func TestSlowStartRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 10)
	for i := range 12 {
		if e.addSlowStartWork(10, 0.1) {
			t.Fatalf("attempt %d", i)
		}
	}
	if !e.addSlowStartWork(10, 0.1) {
		t.Error("the overload was not reported")
	}
	if e.addSlowStartWork(10, 0.1) {
		t.Error("the overload was reported twice")
	}
	e.overloaded = false
	if e.addSlowStartWork(11.5, 0.1) {
		t.Error("work of more than a second ago was counted")
	}
}

// TestReleasesOfCohorts checks that every kind is a canary at any time, and that one service alone has the bad build of its
// cohort.
func TestReleasesOfCohorts(t *testing.T) {
	for release := range 4 {
		bad, kinds := 0, map[releaseKind]int{}
		for service := range 20 {
			kind, buildDefect := releaseFor(service, release)
			kinds[kind]++
			if kind == badForOneService && buildDefect != noDefect {
				bad++
			}
			if (kind == failingRelease || kind == slowRelease) && buildDefect == noDefect || kind == goodRelease && buildDefect != noDefect {
				t.Errorf("%v: %+v", kind, buildDefect)
			}
		}
		if bad != 1 || len(kinds) != int(releaseKindCount) || kinds[badForOneService] != 5 {
			t.Errorf("release %d: %v, %d bad alone", release, kinds, bad)
		}
	}
}
