package scale

import (
	"testing"

	"lichenroad/relay"
)

// violationsByRule counts the violations in a result by rule.
func violationsByRule(r *Result) map[string]int {
	counts := map[string]int{}
	for _, v := range r.Violations {
		counts[v.Rule]++
	}
	return counts
}

// TestCheckerFindsViolationsWithoutASafeguard simulates a fleet with all safeguards, which violates no rule, and without each of
// them, which violates exactly the rule that the safeguard enforces.
func TestCheckerFindsViolationsWithoutASafeguard(t *testing.T) {
	o := smallOptions(Wide, func(o *Options) { o.Faults, o.Seconds = []Fault{ZoneLoss}, 22 }) // the lost zone makes endpoints leave
	if r := simulate(t, o); r.ViolationCount != 0 || r.ReleaseSummary.BadRolledBack != 1 || !r.SlowStartChecked {
		t.Errorf("with all safeguards: violations %+v, releases %+v, slow start checked: %v", r.Violations, r.ReleaseSummary,
			r.SlowStartChecked)
	}
	for safeguard, rule := range map[Safeguard]string{DrainNotices: drainRule, ExposureLimit: exposureRule, Leases: drainRule} {
		t.Run("without "+string(safeguard), func(t *testing.T) {
			o := o
			o.Without = []Safeguard{safeguard}
			r := simulate(t, o)
			if got := violationsByRule(r); got[rule] == 0 || len(got) != 1 {
				t.Fatalf("violations by rule: got %v, want only %q", got, rule)
			}
			if v := r.Violations[0]; v.Time < 0.3*o.Seconds || v.Instance == "" || v.Detail == "" {
				t.Errorf("first violation is too early or incomplete: %+v", v)
			}
		})
	}
}

// newChecker returns the checker of a relay that has not received anything.
func newChecker() *checker {
	c := &checker{instance: "x"}
	c.restart()
	return c
}

// TestDrainRule sends attempts just before and just after the end of the drain grace.
func TestDrainRule(t *testing.T) {
	const drainListedAt = 10 // seconds
	for name, c := range map[string]struct {
		receivedAt, sentAt, unreachable float64
		violations                      int
	}{
		"within the grace of a received drain":            {receivedAt: 12, sentAt: 12.2},
		"after the grace of a received drain":             {receivedAt: 12, sentAt: 12.3, violations: 1},
		"within the grace of a drain that did not arrive": {receivedAt: never, sentAt: 16.2}, // counts as notified 6 s after listing
		"after the grace of a drain that did not arrive":  {receivedAt: never, sentAt: 16.3, violations: 1},
		"discovery unreachable, within the grace":         {receivedAt: never, sentAt: 16.3, unreachable: 1},
		"discovery unreachable, after the grace":          {receivedAt: never, sentAt: 17.3, unreachable: 1, violations: 1},
		"drain that arrived after the grace":              {receivedAt: 20, sentAt: 16.3, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newChecker()
			e := newEndpoint("u", place{}, 0, 0, 0)
			e.drainListedAt = drainListedAt
			if c.receivedAt != never {
				checker.receiveEntry(c.receivedAt, e, relay.Draining)
				checker.receiveEntry(c.receivedAt+1, e, relay.Removed) // only the first entry counts
			}
			checker.checkAttempt(c.sentAt, &request{}, e, c.unreachable)
			if checker.count != c.violations {
				t.Errorf("got %d violations, want %d: %+v", checker.count, c.violations, checker.violations)
			}
		})
	}
}

// TestExposureRule sends attempts at a canary up to the exposure limit and beyond it, and during a rollback.
func TestExposureRule(t *testing.T) {
	checker := newChecker()
	canary := newEndpoint("u", place{}, 0, 2, 0)
	checker.receiveStatus(0, relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseCanary, ExposureLimit: 0.5})
	for range 4 {
		checker.receiveRequest(1)
	}
	for i := range 4 {
		if checker.checkAttempt(1, &request{}, canary, 0); checker.count > 0 != (i == 3) { // 1 + 4 x 0.5 attempts are allowed
			t.Fatalf("attempt %d of 4, of which 3 are allowed: violations %+v", i+1, checker.violations)
		}
	}
	checker.count = 0
	checker.receiveStatus(4, relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseRollingBack})
	if checker.checkAttempt(4.2, &request{}, canary, 0); checker.count != 0 {
		t.Errorf("violations within the grace of the lower limit: %+v", checker.violations)
	}
	if checker.checkAttempt(4.3, &request{}, canary, 0); checker.count != 1 {
		t.Errorf("attempt at a build that is rolled back: got %d violations, want 1", checker.count)
	}
	if checker.checkAttempt(4.3, &request{}, newEndpoint("old", place{}, 0, 1, 0), 0); checker.count != 1 {
		t.Errorf("violations after an attempt at the earlier build: got %d, want still 1", checker.count)
	}
}

// TestEffectTwiceRule sends a second attempt of a request after different outcomes of the first attempt.
func TestEffectTwiceRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 0)
	atMostOnce := relay.Request{Class: 1}
	for name, c := range map[string]struct {
		request    relay.Request
		earlier    attempt
		violations int
	}{
		"at most once, never connected":   {atMostOnce, attempt{ended: true, outcome: relay.ConnectFailed}, 0},
		"at most once, may have run":      {atMostOnce, attempt{ended: true, outcome: relay.Errored}, 1},
		"at most once, has not ended yet": {atMostOnce, attempt{outcome: relay.ConnectFailed}, 1},
		"idempotent, may have run":        {relay.Request{}, attempt{ended: true, outcome: relay.Errored}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newChecker()
			checker.checkAttempt(1, &request{details: c.request, attempts: []attempt{c.earlier}}, e, 0)
			if checker.count != c.violations {
				t.Errorf("got %d violations, want %d: %+v", checker.count, c.violations, checker.violations)
			}
		})
	}
}

// TestSlowStartRule sends work to an endpoint that has just started. Within one second, up to overloadMultiple (3) times its
// capacity of 0.4 s is allowed.
func TestSlowStartRule(t *testing.T) {
	e := newEndpoint("u", place{}, 0, 0, 10)
	for i := range 12 {
		if e.addSlowStartWork(10, 0.1) {
			t.Fatalf("attempt %d: overload reported after %.1f s of work, 1.2 s are allowed", i+1, 0.1*float64(i+1))
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
		t.Error("work that was sent more than a second ago was counted")
	}
}

// TestReleasesOfCohorts checks that every kind of release is rolled out at the same time, and that a build of the kind
// badForOneService is defective in exactly one service.
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
				t.Errorf("service %d, release %d: kind %v has the defect %+v", service, release, kind, buildDefect)
			}
		}
		if bad != 1 || len(kinds) != int(releaseKindCount) || kinds[badForOneService] != 5 {
			t.Errorf("release %d: services by kind %v, %d with a badForOneService defect", release, kinds, bad)
		}
	}
}
