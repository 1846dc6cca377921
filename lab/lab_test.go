package lab

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
)

func examplePlan(t testing.TB) *plan.Plan {
	t.Helper()
	p, err := planxml.Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// shortRun returns options of a run that is short enough for CI: one day, twelve relays.
func shortRun(t testing.TB, seed int64, faults string) Options {
	t.Helper()
	chosen, ok := FaultsByName(faults)
	if !ok {
		t.Fatalf("unknown faults %q", faults)
	}
	return Options{Plan: examplePlan(t), Seed: seed, Days: 1, Relays: 12, Endpoints: 18, Faults: chosen, BadBuildFraction: 0.4}
}

func mustRun(t testing.TB, options Options) Result {
	t.Helper()
	result, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestNoViolations simulates a day with each kind of fault at its worst and expects no violation. The run must also have
// enough attempts at canaries, exposure and releases for this to mean something.
func TestNoViolations(t *testing.T) {
	for i, kind := range FaultNames() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			result := mustRun(t, shortRun(t, int64(i+1), kind))
			for i, violation := range result.Violations {
				if i < 5 {
					t.Errorf("%.3f %s by %s: %s", violation.Time, violation.Rule, violation.Relay, violation.Text)
				}
			}
			if result.CanaryAttempts < 100 || result.MaxAllowanceUsed <= 0.3 || len(result.Releases) < 6 {
				t.Errorf("too little happened in the run: %d canary attempts, at most %.2f of an allowance used, %d releases", result.CanaryAttempts, result.MaxAllowanceUsed, len(result.Releases))
			}
		})
	}
}

// TestCheckerDetectsDisabledSafeguards disables one safeguard after another: each time the checker must find a violation
// that the safeguard prevents.
func TestCheckerDetectsDisabledSafeguards(t *testing.T) {
	for _, test := range []struct {
		without string // names, separated by spaces
		faults  string
		finds   string // part of the rule's name
	}{
		{"guard", "ordinary", "exposed without a group"},
		{"guard-groups", "none", "exposed without a group"},
		{"guard-freezes", "late", "in a freeze"},
		{"guard-votes", "none", "vote for on in a freeze"},
		{"guard-skew", "clocks", "vote for on in a freeze"},
		{"guard-needs", "none", "exposed where closed"},
		{"guard-unheard", "relays+late", "exposed where closed"},
		{"desk-freezes guard-votes", "none", "moved in a freeze"},
		{"desk-needs guard-votes", "none", "moved without its need"},
	} {
		t.Run(test.without, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 4; seed++ { // not every day has a fault at the right time
				options := shortRun(t, seed, test.faults)
				for _, name := range strings.Fields(test.without) {
					if !options.DisableSafeguard(name) {
						t.Fatalf("unknown safeguard %q", name)
					}
				}
				result := mustRun(t, options)
				for rule := range result.ViolationsByRule {
					if strings.Contains(rule, test.finds) {
						return
					}
				}
				t.Logf("seed %d: violations %v", seed, result.ViolationsByRule)
			}
			t.Errorf("without %s, no violation of a rule with %q was found", test.without, test.finds)
		})
	}
}

func TestSameSeedSameTimeline(t *testing.T) {
	t.Parallel()
	options := shortRun(t, 5, "ordinary")
	options.Days = 0.4
	a, b := mustRun(t, options), mustRun(t, options)
	if a.TimelineHash != b.TimelineHash || a.Requests != b.Requests || a.ServedFraction != b.ServedFraction {
		t.Errorf("two runs with one seed differ: timelines %s and %s, %d and %d requests, served fractions %g and %g", a.TimelineHash, b.TimelineHash,
			a.Requests, b.Requests, a.ServedFraction, b.ServedFraction)
	}
	options.Seed++
	if mustRun(t, options).TimelineHash == a.TimelineHash {
		t.Error("another seed gives the same timeline")
	}
}

func TestClockBaselineReleasesBadBuilds(t *testing.T) {
	t.Parallel()
	options := shortRun(t, 3, "none")
	options.BadBuildFraction = 1
	voted := mustRun(t, options)
	options.UseClockBaseline()
	clock := mustRun(t, options)
	if voted.BadReleased > 0.2 || clock.BadReleased < 0.5 || clock.WeightLostToBadBuilds < 2*voted.WeightLostToBadBuilds {
		t.Errorf("bad builds released: %g by votes, %g by the clock; weight lost: %.1f, %.1f", voted.BadReleased, clock.BadReleased, voted.WeightLostToBadBuilds, clock.WeightLostToBadBuilds)
	}
}

func TestReport(t *testing.T) {
	t.Parallel()
	options := shortRun(t, 2, "ordinary")
	options.Days = 0.4
	result := mustRun(t, options)
	name, err := result.Report(options.Plan, filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(name)
	if err != nil || strings.Count(string(b), "<svg") != 4 || strings.Contains(string(b), "http://") && strings.Contains(string(b), "src=") {
		t.Errorf("report: error %v, %d charts, want 4 and no external sources", err, strings.Count(string(b), "<svg"))
	}
}
