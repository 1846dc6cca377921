package policy

import (
	"math"
	"testing"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

func TestLikelihoodRatio(t *testing.T) {
	// With 20 outcomes and 4 classes, the probability of detection is 20/40 and that of a false alarm 0.01/4. The ratio
	// of a flag is then 0.5/0.0025 = 200, and that of a verdict without a flag 0.5/0.9975.
	if got := math.Exp(logLikelihoodRatio(true, 20, 4)); math.Abs(got-200) > 1e-9 {
		t.Error("likelihood ratio of a flag:", got)
	}
	if got := math.Exp(logLikelihoodRatio(false, 20, 4)); math.Abs(got-0.5/0.9975) > 1e-12 {
		t.Error("likelihood ratio without a flag:", got)
	}
}

// testReport is the content of one relay's report: its verdict on class 0 and the attempts it observed.
type testReport struct {
	peerwire.ClassVerdict
	observations []peerwire.Observation
}

// aggregatingPolicy returns the module of an aggregator at stage 1 of build 6 that has received one report of each of the
// first relays.
func aggregatingPolicy(reports ...testReport) *Policy {
	settings := testSettings()
	settings.Relays = 4
	p := New(settings, 1)
	p.Step(1, []relay.Event{relay.ListUpdate{Kind: relay.ListFull, Endpoints: append(entries(6, 5, 1), entries(2, 6, 20)...)},
		relay.RolloutStatus{Valid: true, Build: 6, Stage: 1, ExposureLimit: 0.4}})
	for i, given := range reports {
		report := peerwire.Report{Build: 6, Stage: 1, Verdicts: []peerwire.ClassVerdict{given.ClassVerdict, {}, {}}, Observations: given.observations}
		p.Step(1, []relay.Event{relay.MessageReceived{From: relay.ID(i), Body: report.Encode()}})
	}
	return p
}

func TestFusion(t *testing.T) {
	clean, bad := testReport{ClassVerdict: peerwire.ClassVerdict{Outcomes: 30}}, testReport{ClassVerdict: peerwire.ClassVerdict{Flagged: true, Outcomes: 30}}
	fewOutcomes := testReport{} // 10 attempts at two endpoints of the newest build, 3 of which fail, and 40 at an earlier one
	for i := 0; i < 50; i++ {
		observed := peerwire.Observation{Endpoint: peerwire.HashOf(1)}
		if i < 10 {
			observed = peerwire.Observation{Endpoint: peerwire.HashOf(relay.EndpointID(20 + i%2)), Newest: true}
		}
		if i < 9 && i%3 == 0 {
			observed.Outcome = relay.Errored
		}
		fewOutcomes.observations = append(fewOutcomes.observations, observed)
	}
	for name, c := range map[string]struct {
		reports  []testReport
		rollBack bool
	}{
		"no relay flags":                      {[]testReport{clean, clean, clean}, false},
		"one relay flags":                     {[]testReport{bad, clean, clean}, false},
		"two relays flag":                     {[]testReport{bad, bad, clean}, true},
		"only the pooled outcomes are enough": {[]testReport{fewOutcomes, fewOutcomes, fewOutcomes}, true},
	} {
		p := aggregatingPolicy(c.reports...)
		p.aggregator.lastUnflaggedAt = p.now - pooledFlagDuration - 1 // as if a pooled flag had lasted long enough
		if rollBack := p.aggregator.fuse().rollBack; rollBack != c.rollBack {
			t.Errorf("%s: rollback %v", name, rollBack)
		}
	}
}

func TestWhichBuildsAreRolledBack(t *testing.T) {
	newest := func(endpoint relay.Endpoint) bool { return endpoint.Build == 6 }
	for name, c := range map[string]struct {
		endpoints int
		ending    attemptEnding
		want      bool
	}{
		"a good build stays":                          {3, failEvery(1, 0, func(relay.Endpoint) bool { return false }), false},
		"a build that fails 10% is rolled back":       {3, failEvery(10, 0.1, newest), true},
		"its only endpoint may have a faulty machine": {1, failEvery(3, 0.1, newest), false},
		"one faulty machine of four is not the build's fault": {4, failEvery(2, 0.05, func(endpoint relay.Endpoint) bool {
			return endpoint.ID == 20
		}), false},
		"a build that slows all endpoints is rolled back": {3, func(_ relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 14 {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, true},
	} {
		if got := votedToRollBack(canaryVotes(t, c.endpoints, c.ending)); got != c.want {
			t.Errorf("%s: voted to roll back: %v", name, got)
		}
	}
}

// TestFleetThatABadBuildSlows releases a build that fails and gets slower too late for a rollback, and then puts the next
// build on trial, which is good. The slower fleet must not count against the next build, whose promotion is the
// remedy. If the fleet gets slower without failures of the released build, it counts against the build on trial.
func TestFleetThatABadBuildSlows(t *testing.T) {
	for _, earlierFails := range []bool{true, false} {
		n := 0
		w := runCanary(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 3, Phase: relay.PhaseReleased, ExposureLimit: 1}, 14,
			func(endpoint relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
				if n++; earlierFails && endpoint.Build == 6 && at > 22 && n%8 == 0 {
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
		w.run(16, w.requestEachTick)
		if got := votedToRollBack(w.votes); got == earlierFails {
			t.Errorf("released build fails %v: voted to roll back: %v", earlierFails, got)
		}
	}
}

// Relays that started together used to report to the aggregators within the same quarter of a second, so that evidence
// arrived late.
func TestReportsAreSpread(t *testing.T) {
	settings, reportsByTenth := testSettings(), make([]int, 10)
	settings.Relays = 60
	for i := 0; i < settings.Relays; i++ {
		settings.Self = relay.ID(i)
		w := newWorld(t, settings)
		w.policy = New(settings, int64(i))
		w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
			relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
		w.run(4, w.requestEachTick)
		reportsByTenth[int(w.reportTimes[len(w.reportTimes)-1]*10)%10]++
	}
	for i, n := range reportsByTenth {
		if n > settings.Relays/3 {
			t.Errorf("%d of %d relays report in tenth %d of a second: %v", n, settings.Relays, i, reportsByTenth)
		}
	}
}
