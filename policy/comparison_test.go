package policy

import (
	"testing"

	"lichenroad/relay"
)

func TestFlag(t *testing.T) {
	earlier := outcomeCounts{attempts: 2000, failed: 20, measured: 2000}
	for name, c := range map[string]struct {
		newest outcomeCounts
		pooled bool
		want   bool
	}{
		"10 of 40 failed":              {outcomeCounts{attempts: 40, failed: 10}, false, true},
		"too few outcomes":             {outcomeCounts{attempts: 19, failed: 19}, false, false},
		"2 of 20 failed, one relay":    {outcomeCounts{attempts: 20, failed: 2}, false, false},
		"4% failed, one relay":         {outcomeCounts{attempts: 400, failed: 16}, false, false},
		"4% failed, pooled":            {outcomeCounts{attempts: 400, failed: 16}, true, true},
		"few failures, pooled":         {outcomeCounts{attempts: 60, failed: 4}, true, false},
		"late":                         {outcomeCounts{attempts: 50, late: 10}, false, true},
		"twice as slow, few attempts":  {outcomeCounts{attempts: 100, matched: 40, relative: logRatioSum{28, 30}}, true, false},
		"twice as slow, many attempts": {outcomeCounts{attempts: 100, matched: 80, relative: logRatioSum{56, 60}}, true, true},
		"twice as slow, but the earlier build nearly as much": {outcomeCounts{attempts: 100, measured: 80, overall: logRatioSum{56, 60}, matched: 80,
			relative: logRatioSum{6, 30}}, true, false},
		"1.5 times as slow, like a good build under more load": {outcomeCounts{attempts: 100, matched: 80,
			relative: logRatioSum{32, 30}}, true, false},
	} {
		compared := comparison{newest: c.newest, earlier: earlier}
		got := compared.flagged()
		if c.pooled {
			got = compared.pooledFlagged()
		}
		if got != c.want {
			t.Errorf("%s: flagged %v", name, got)
		}
	}
}

// When a lost zone came back, its machines broke their open attempts. That hit most machines of the newest build and
// nearly half of the earlier ones, and the build used to be rolled back for it.
func TestZoneLossIsNotAttributedToTheBuild(t *testing.T) {
	votesAfterLoss := func(bothBuilds bool) []relay.Vote {
		return canaryVotes(t, 9, func(endpoint relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 15 && at < 17 && endpoint.Zone == 0 && (bothBuilds || endpoint.Build == 6) {
				return relay.ConnectionBroken, 0.1
			}
			return relay.Succeeded, 0.1
		})
	}
	if votedToRollBack(votesAfterLoss(true)) {
		t.Error("voted to roll back after a zone loss that hit both builds")
	}
	if !votedToRollBack(votesAfterLoss(false)) {
		t.Error("no vote to roll back, though only machines of the newest build broke their attempts")
	}
}

// Failures at endpoints less than 5 s old were once ignored as evidence, so that a bad build was released before its
// endpoints were older than that.
func TestYoungEndpoints(t *testing.T) {
	newest := func(endpoint relay.Endpoint) bool { return endpoint.Build == 6 }
	for name, c := range map[string]struct {
		ending attemptEnding
		want   bool
	}{
		"their failures count": {failEvery(5, 0.1, newest), true},
		"their slowness does not": {func(endpoint relay.Endpoint, _ relay.Seconds) (relay.Outcome, relay.Seconds) {
			if newest(endpoint) {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, false},
	} {
		w := runCanary(t, startedAt(entries(4, 6, 20), 12), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 3.9, c.ending)
		if got := votedToRollBack(w.votes); got != c.want {
			t.Errorf("%s: voted to roll back: %v", name, got)
		}
	}
}

// The failures of a build that turned bad used to be hidden by the attempts that had succeeded before.
func TestBuildThatTurnsBad(t *testing.T) {
	n := 0
	w := runCanary(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 14.5,
		func(endpoint relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if endpoint.Build == 6 && at > 22 {
				if n++; n%20 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !votedToRollBack(w.votes) {
		t.Error("no vote to roll back, though 5% of the build's attempts have failed for 4.5 s")
	}
}

// When the oldest machines of a build turned bad, a larger number of newer machines used to hide their failures for some
// seconds.
func TestOldestMachinesShowABuildThatTurnsBad(t *testing.T) {
	n := 0
	newer := append(startedAt(entries(4, 6, 20), 11), startedAt(entries(12, 6, 40), 16)...)
	w := runCanary(t, newer, relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 8.5,
		func(endpoint relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if endpoint.Build == 6 && at-endpoint.StartedAt > 6 {
				if n++; n%5 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !votedToRollBack(w.votes) {
		t.Error("no vote to roll back, though 20% of the attempts at the oldest machines have failed for 3.5 s")
	}
}
