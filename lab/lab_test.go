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
	p, err := planxml.Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// short is a run that CI has the time for: a day, a dozen relays.
func shortRun(t testing.TB, seed int64, faults string) Options {
	f, ok := FaultsByName(faults)
	if !ok {
		t.Fatal(faults)
	}
	return Options{Plan: examplePlan(t), Seed: seed, Days: 1, Relays: 12, Endpoints: 18, Faults: f, BadBuildFraction: 0.4}
}

func mustRun(t testing.TB, o Options) Result {
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestNoViolations plays a day of each kind of fault at its worst.
func TestNoViolations(t *testing.T) {
	for i, kind := range FaultNames() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r := mustRun(t, shortRun(t, int64(i+1), kind))
			for i, b := range r.Violations {
				if i < 5 {
					t.Errorf("%.3f %s by %s: %s", b.Time, b.Rule, b.Relay, b.Text)
				}
			}
			if r.CanaryAttempts < 100 || r.MaxAllowanceUsed <= 0.3 || len(r.Releases) < 6 {
				t.Errorf("hardly anything was tried: %d legs on trial, %.2f of an allowance, %d releases", r.CanaryAttempts, r.MaxAllowanceUsed, len(r.Releases))
			}
		})
	}
}

// TestCheckerDetectsDisabledSafeguards takes out one defence after another: the checker finds what it is there for.
func TestCheckerDetectsDisabledSafeguards(t *testing.T) {
	for _, c := range []struct {
		without string // names, set apart by spaces
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
		t.Run(c.without, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 4; seed++ { // a fault must meet it: not on every day
				o := shortRun(t, seed, c.faults)
				for _, name := range strings.Fields(c.without) {
					if !o.DisableSafeguard(name) {
						t.Fatal(name)
					}
				}
				r := mustRun(t, o)
				for rule := range r.ViolationsByRule {
					if strings.Contains(rule, c.finds) {
						return
					}
				}
				t.Logf("seed %d: %v", seed, r.ViolationsByRule)
			}
			t.Errorf("without %s nothing was found", c.without)
		})
	}
}

func TestSameSeedSameTimeline(t *testing.T) {
	t.Parallel()
	o := shortRun(t, 5, "ordinary")
	o.Days = 0.4
	a, b := mustRun(t, o), mustRun(t, o)
	if a.TimelineHash != b.TimelineHash || a.Requests != b.Requests || a.ServedFraction != b.ServedFraction {
		t.Errorf("%s %s", a.TimelineHash, b.TimelineHash)
	}
	o.Seed++
	if mustRun(t, o).TimelineHash == a.TimelineHash {
		t.Error("another seed gives the same timeline")
	}
}

func TestClockBaselineReleasesBadBuilds(t *testing.T) {
	t.Parallel()
	o := shortRun(t, 3, "none")
	o.BadBuildFraction = 1
	voted := mustRun(t, o)
	o.UseClockBaseline()
	clock := mustRun(t, o)
	if voted.BadReleased > 0.2 || clock.BadReleased < 0.5 || clock.WeightLostToBadBuilds < 2*voted.WeightLostToBadBuilds {
		t.Errorf("bad builds out: %g by votes, %g by the clock; worth lost: %.1f, %.1f", voted.BadReleased, clock.BadReleased, voted.WeightLostToBadBuilds, clock.WeightLostToBadBuilds)
	}
}

func TestReport(t *testing.T) {
	t.Parallel()
	o := shortRun(t, 2, "ordinary")
	o.Days = 0.4
	r := mustRun(t, o)
	name, err := r.Report(o.Plan, filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(name)
	if err != nil || strings.Count(string(b), "<svg") != 4 || strings.Contains(string(b), "http://") && strings.Contains(string(b), "src=") {
		t.Errorf("%v, %d charts", err, strings.Count(string(b), "<svg"))
	}
}
