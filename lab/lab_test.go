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

func example(t testing.TB) *plan.Plan {
	p, err := planxml.Load("../deploy/plan.xml")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// short is a run that CI has the time for: a day, a dozen relays.
func short(t testing.TB, seed int64, faults string) Options {
	f, ok := Worst(faults)
	if !ok {
		t.Fatal(faults)
	}
	return Options{Plan: example(t), Seed: seed, Days: 1, Relays: 12, Units: 18, Faults: f, BadPart: 0.4}
}

func play(t testing.TB, o Options) Result {
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestNothingBreaks plays a day of each kind of fault at its worst.
func TestNothingBreaks(t *testing.T) {
	for i, kind := range Kinds() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r := play(t, short(t, int64(i+1), kind))
			for i, b := range r.Broken {
				if i < 5 {
					t.Errorf("%.3f %s by %s: %s", b.Time, b.Rule, b.Relay, b.Text)
				}
			}
			if r.TrialLegs < 100 || r.MostOfCap <= 0.3 || len(r.Releases) < 6 {
				t.Errorf("hardly anything was tried: %d legs on trial, %.2f of an allowance, %d releases", r.TrialLegs, r.MostOfCap, len(r.Releases))
			}
		})
	}
}

// TestEachDefenceIsNeeded takes out one defence after another: the checker finds what it is there for.
func TestEachDefenceIsNeeded(t *testing.T) {
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
				o := short(t, seed, c.faults)
				for _, name := range strings.Fields(c.without) {
					if !o.Without(name) {
						t.Fatal(name)
					}
				}
				r := play(t, o)
				for rule := range r.BrokenBy {
					if strings.Contains(rule, c.finds) {
						return
					}
				}
				t.Logf("seed %d: %v", seed, r.BrokenBy)
			}
			t.Errorf("without %s nothing was found", c.without)
		})
	}
}

func TestSameSeedSameTimeline(t *testing.T) {
	t.Parallel()
	o := short(t, 5, "ordinary")
	o.Days = 0.4
	a, b := play(t, o), play(t, o)
	if a.Hash != b.Hash || a.Queries != b.Queries || a.Service != b.Service {
		t.Errorf("%s %s", a.Hash, b.Hash)
	}
	o.Seed++
	if play(t, o).Hash == a.Hash {
		t.Error("another seed gives the same timeline")
	}
}

func TestBaselineLetsBadBuildsOut(t *testing.T) {
	t.Parallel()
	o := short(t, 3, "none")
	o.BadPart = 1
	voted := play(t, o)
	o.ByClock()
	clock := play(t, o)
	if voted.BadOut > 0.2 || clock.BadOut < 0.5 || clock.BadWorth < 2*voted.BadWorth {
		t.Errorf("bad builds out: %g by votes, %g by the clock; worth lost: %.1f, %.1f", voted.BadOut, clock.BadOut, voted.BadWorth, clock.BadWorth)
	}
}

func TestReport(t *testing.T) {
	t.Parallel()
	o := short(t, 2, "ordinary")
	o.Days = 0.4
	r := play(t, o)
	name, err := r.Report(o.Plan, filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(name)
	if err != nil || strings.Count(string(b), "<svg") != 4 || strings.Contains(string(b), "http://") && strings.Contains(string(b), "src=") {
		t.Errorf("%v, %d charts", err, strings.Count(string(b), "<svg"))
	}
}
