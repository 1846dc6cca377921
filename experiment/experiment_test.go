package experiment

import (
	"errors"
	"math"
	"math/rand"
	"testing"
)

// drawRuns returns two sets of n runs whose metrics differ between seeds far more than between the sets.
func drawRuns(n int, shift, noise float64, seed int64) (a, b []Run) {
	r := rand.New(rand.NewSource(seed))
	for s := range int64(n) {
		base := 0.5 + 0.4*r.Float64()
		a = append(a, Run{Value: "a", Seed: s, Metrics: map[string]float64{"service": base, "p99_s": 1 - base}})
		x := base + shift + noise*r.NormFloat64()
		b = append(b, Run{Value: "b", Seed: s, Metrics: map[string]float64{"service": x, "p99_s": 1 - x}})
	}
	return a, b
}

// compare calls Compare and returns the comparisons by metric.
func compare(t *testing.T, a, b []Run, o Options) map[string]Comparison {
	t.Helper()
	list, err := Compare(a, b, o)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]Comparison{}
	for _, c := range list {
		out[c.Metric] = c
	}
	return out
}

func TestVerdicts(t *testing.T) {
	a, shifted := drawRuns(10, 0.02, 0.005, 1)
	c, similar := drawRuns(10, 0, 0.001, 2)
	for _, tc := range []struct {
		name    string
		a, b    []Run
		margin  float64
		service Verdict
		p99     Verdict
		pairs   int
	}{
		{"better", a, shifted, 0, Better, Better, 10},
		{"worse", shifted, a, 0, Worse, Worse, 10},
		{"identical", a, a, 0, Identical, Identical, 10},
		{"within the margin", c, similar, 0.01, Equivalent, Equivalent, 10},
		{"one pair has no interval", c[:1], similar[:1], 0, Inconclusive, Inconclusive, 1},
		{"unpaired seeds are left out", c[:6], similar[3:], 0, Inconclusive, Inconclusive, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := compare(t, tc.a, tc.b, Options{Confidence: 0.95, Margin: tc.margin})
			service, p99 := got["service"], got["p99_s"]
			if service.Verdict != tc.service || p99.Verdict != tc.p99 {
				t.Errorf("service %+v, p99 %+v", service, p99)
			}
			if service.Pairs != tc.pairs || service.HasInterval != (tc.pairs > 1) {
				t.Errorf("%+v, want %d pairs", service, tc.pairs)
			}
		})
	}
}

func TestCompareErrors(t *testing.T) {
	a, b := drawRuns(10, 0, 0.001, 2)
	twice := append(a[:len(a):len(a)], a[0])
	isDuplicate := func(err error) bool {
		duplicate := (*DuplicateSeedError)(nil)
		return errors.As(err, &duplicate) && duplicate.Seed == a[0].Seed
	}
	for _, c := range []struct {
		name       string
		a, b       []Run
		confidence float64
		is         func(error) bool
		want       string
	}{
		{"no common seed", a[:3], b[5:], 0.95, func(err error) bool { return errors.Is(err, ErrNoCommonSeed) }, "the two sets of runs have no seed in common"},
		{"a seed twice in A", twice, b, 0.95, isDuplicate, "seed 0 occurs twice in one set of runs"},
		{"a seed twice in B", b, twice, 0.95, isDuplicate, "seed 0 occurs twice in one set of runs"},
		{"confidence of 1", a, b, 1, func(err error) bool { return errors.Is(err, errConfidenceRange) }, "confidence 1: must be greater than 0 and less than 1"},
		{"confidence NaN", a, b, math.NaN(), func(err error) bool { return errors.Is(err, errConfidenceRange) }, "confidence NaN: must be greater than 0 and less than 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Compare(c.a, c.b, Options{Confidence: c.confidence})
			if !c.is(err) || err.Error() != c.want {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// TestFalseVerdicts compares runs many times. Where they differ by noise only, the share of false verdicts must match the
// confidence. A real difference must be found.
func TestFalseVerdicts(t *testing.T) {
	const comparisons = 2000
	falseVerdicts, found := 0.0, 0.0
	for i := range int64(comparisons) {
		a, b := drawRuns(8, 0, 0.01, i)
		if compare(t, a, b, Options{Confidence: 0.95})["service"].Verdict != Inconclusive {
			falseVerdicts++
		}
		a, b = drawRuns(8, 0.02, 0.01, i)
		if compare(t, a, b, Options{Confidence: 0.95})["service"].Verdict == Better {
			found++
		}
	}
	if share := falseVerdicts / comparisons; math.Abs(share-0.05) > 0.015 {
		t.Errorf("share of false verdicts is %.3f at a confidence of 0.95", share)
	}
	if found/comparisons < 0.95 {
		t.Errorf("a difference of two standard deviations was found in only %.3f of the comparisons", found/comparisons)
	}
}
