package policy

import (
	"math"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

func TestLikelihoodRatio(t *testing.T) {
	// 20 outcomes, 4 classes: Pd = 20/40, Pf = 0.01/4; flagged 0.5/0.0025 = 200, clean 0.5/0.9975.
	if got := math.Exp(logLikelihoodRatio(true, 20, 4)); math.Abs(got-200) > 1e-9 {
		t.Error("flagged:", got)
	}
	if got := math.Exp(logLikelihoodRatio(false, 20, 4)); math.Abs(got-0.5/0.9975) > 1e-12 {
		t.Error("clean:", got)
	}
}

// word is what a relay tells in one report.
type testReport struct {
	peerwire.ClassVerdict
	observations []peerwire.Observation
}

// aggregating returns a module that fuses at stage 1 of build 6, and hears the given verdicts of class 0.
func aggregating(verdicts ...testReport) *Policy {
	set := plainSettings()
	set.Relays = 4
	p := New(set, 1)
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(6, 5, 1), entries(2, 6, 20)...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}})
	for i, v := range verdicts {
		m := peerwire.Report{Build: 6, Stage: 1, Verdicts: []peerwire.ClassVerdict{v.ClassVerdict, {}, {}}, Observations: v.observations}
		p.Step(1, []relay.Event{relay.MessageReceived{From: relay.ID(i), Body: m.Encode()}})
	}
	return p
}

func TestFusion(t *testing.T) {
	clean, bad := testReport{ClassVerdict: peerwire.ClassVerdict{Outcomes: 30}}, testReport{ClassVerdict: peerwire.ClassVerdict{Flagged: true, Outcomes: 30}}
	few := testReport{} // ten attempts at two endpoints of the newest build, of which three fail; forty at an earlier one
	for i := 0; i < 50; i++ {
		observed := peerwire.Observation{Endpoint: peerwire.HashOf(1)}
		if i < 10 {
			observed = peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(20 + i%2)), Newest: true}
		}
		if i < 9 && i%3 == 0 {
			observed.Outcome = relay.Errored
		}
		few.observations = append(few.observations, observed)
	}
	for name, c := range map[string]struct {
		verdicts []testReport
		back     bool
	}{
		"all clean":                              {[]testReport{clean, clean, clean}, false},
		"one flagger is not enough":              {[]testReport{bad, clean, clean}, false},
		"two are":                                {[]testReport{bad, bad, clean}, true},
		"none has enough outcomes, together yes": {[]testReport{few, few, few}, true},
	} {
		p := aggregating(c.verdicts...)
		p.aggregator.lastUnflaggedAt = p.now - pooledFlagDuration - 1 // as if any pooled flag had lasted
		if back := p.aggregator.fuse().rollBack; back != c.back {
			t.Errorf("%s: back %v", name, back)
		}
	}
}

func TestWhichBuildsAreRolledBack(t *testing.T) {
	newest := func(u relay.Endpoint) bool { return u.Build == 6 }
	for name, c := range map[string]struct {
		units int
		how   attemptEnding
		want  bool
	}{
		"a good one stays":                                {3, fails(1, 0, func(relay.Endpoint) bool { return false }), false},
		"one that fails a tenth goes":                     {3, fails(10, 0.1, newest), true},
		"its only endpoint's faults may be the machine's": {1, fails(3, 0.1, newest), false},
		"one failing machine of four is not the build": {4, fails(2, 0.05, func(u relay.Endpoint) bool {
			return u.ID == 20
		}), false},
		"one under which all endpoints slow goes": {3, func(_ relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 14 {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, true},
	} {
		if got := rolledBack(canaryRun(t, c.units, c.how)); got != c.want {
			t.Errorf("%s: voted to roll back %v", name, got)
		}
	}
}

// TestFleetThatABadBuildSlows releases a build that then fails and slows down, too late to be sent back, and offers the
// next one, which is good: that the whole fleet gets slower is not its doing, and it is the way out. A fleet that slows
// with no such build in service is the trial's.
func TestFleetThatABadBuildSlows(t *testing.T) {
	for _, failing := range []bool{true, false} {
		n := 0
		w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseReleased, ExposureLimit: 1}, 14,
			func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
				if n++; failing && u.Build == 6 && at > 22 && n%8 == 0 {
					return relay.Errored, 0.1
				}
				if at > 28 {
					return relay.Succeeded, 0.1 * min(4, 1+(at-28)/2)
				}
				return relay.Succeeded, 0.1
			})
		w.votes = nil
		w.step(relay.ListUpdate{Kind: relay.ListDelta, Endpoints: entries(4, 7, 40)},
			relay.RolloutStatus{Valid: true, Build: 7, Stage: 1, ExposureLimit: 0.4})
		w.run(16, w.load)
		if got := rolledBack(w.votes); got == failing {
			t.Errorf("the build before fails %v: voted to roll back %v", failing, got)
		}
	}
}

// Relays that started together all told the aggregators in the same quarter of a second, so that evidence came late.
func TestReportsAreSpread(t *testing.T) {
	set, at := plainSettings(), make([]int, 10)
	set.Relays = 60
	for i := 0; i < set.Relays; i++ {
		set.Self = relay.ID(i)
		w := newWorld(t, set)
		w.mod = New(set, int64(i))
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
			relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
		w.run(4, w.load)
		at[int(w.reportTimes[len(w.reportTimes)-1]*10)%10]++
	}
	for i, n := range at {
		if n > set.Relays/3 {
			t.Errorf("%d of %d relays told at %d tenths of a second: %v", n, set.Relays, i, at)
		}
	}
}
