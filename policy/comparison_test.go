package policy

import (
	"testing"

	"lichenroad/relay"
)

func TestFlag(t *testing.T) {
	before := outcomeCounts{attempts: 2000, failed: 20, measured: 2000}
	for name, c := range map[string]struct {
		newer  outcomeCounts
		pooled bool
		want   bool
	}{
		"ten of forty failed":           {outcomeCounts{attempts: 40, failed: 10}, false, true},
		"too few outcomes":              {outcomeCounts{attempts: 19, failed: 19}, false, false},
		"a few against none, one relay": {outcomeCounts{attempts: 20, failed: 2}, false, false},
		"under five points":             {outcomeCounts{attempts: 400, failed: 16}, false, false},
		"the same, pooled":              {outcomeCounts{attempts: 400, failed: 16}, true, true},
		"pooled, few failures":          {outcomeCounts{attempts: 60, failed: 4}, true, false},
		"late":                          {outcomeCounts{attempts: 50, late: 10}, false, true},
		"twice as slow, few attempts":   {outcomeCounts{attempts: 100, matched: 40, relative: logRatioSum{28, 30}}, true, false},
		"twice as slow, many":           {outcomeCounts{attempts: 100, matched: 80, relative: logRatioSum{56, 60}}, true, true},
		"as slow as the hour": {outcomeCounts{attempts: 100, measured: 80, overall: logRatioSum{56, 60}, matched: 80,
			relative: logRatioSum{6, 30}}, true, false},
		"half as slow again, as a good one under more load": {outcomeCounts{attempts: 100, matched: 80,
			relative: logRatioSum{32, 30}}, true, false},
	} {
		compared := comparison{newest: c.newer, earlier: before}
		got := compared.flagged()
		if c.pooled {
			got = compared.pooledFlagged()
		}
		if got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A zone that was lost came back and reset what its machines held: most of the newest build's machines had
// broken attempts, nearly half of the earlier ones had, and the build was rolled back.
func TestZoneLostIsNotTheBuildsDoing(t *testing.T) {
	lost := func(all bool) []relay.Vote {
		return canaryRun(t, 9, func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if at > 15 && at < 17 && u.Zone == 0 && (all || u.Build == 6) {
				return relay.ConnectionBroken, 0.1
			}
			return relay.Succeeded, 0.1
		})
	}
	if rolledBack(lost(true)) {
		t.Error("a build was rolled back over a zone that was lost")
	}
	if !rolledBack(lost(false)) {
		t.Error("a build whose machines alone broke their attempts did not be rolled back")
	}
}

// Failures of endpoints under 5 s old were no evidence, and a build was released before its endpoints were older.
func TestYoungEndpoints(t *testing.T) {
	newest := func(u relay.Endpoint) bool { return u.Build == 6 }
	for name, c := range map[string]struct {
		how  attemptEnding
		want bool
	}{
		"their failures count": {fails(5, 0.1, newest), true},
		"their slowness does not": {func(u relay.Endpoint, _ relay.Seconds) (relay.Outcome, relay.Seconds) {
			if newest(u) {
				return relay.Succeeded, 0.3
			}
			return relay.Succeeded, 0.1
		}, false},
	} {
		w := canaryOf(t, started(entries(4, 6, 20), 12), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 3.9, c.how)
		if got := rolledBack(w.votes); got != c.want {
			t.Errorf("%s: voted to roll back %v", name, got)
		}
	}
}

// The failures of a build that turned bad were lost among the attempts that it had answered well before.
func TestBuildThatTurnsBad(t *testing.T) {
	n := 0
	w := canaryOf(t, entries(8, 6, 20), relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 14.5,
		func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if u.Build == 6 && at > 22 {
				if n++; n%20 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !rolledBack(w.votes) {
		t.Error("a twentieth of its attempts has failed for 4.5 s, and it stays")
	}
}

// The eldest machines of a build turned bad, and fresh ones, many times as many, hid them for seconds.
func TestOldestMachinesShowABuildThatTurnsBad(t *testing.T) {
	n := 0
	newer := append(started(entries(4, 6, 20), 11), started(entries(12, 6, 40), 16)...)
	w := canaryOf(t, newer, relay.RolloutStatus{Valid: true, Build: 6, Stage: 2, ExposureLimit: 1}, 8.5,
		func(u relay.Endpoint, at relay.Seconds) (relay.Outcome, relay.Seconds) {
			if u.Build == 6 && at-u.StartedAt > 6 {
				if n++; n%5 == 0 {
					return relay.Errored, 0.1
				}
			}
			return relay.Succeeded, 0.1
		})
	if !rolledBack(w.votes) {
		t.Error("a fifth of the eldest machines' attempts has failed for 3.5 s, and it stays")
	}
}
