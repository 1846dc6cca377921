package experiment

import (
	"math"
	"math/rand"
	"testing"
)

// draw gives runs whose service differs by seed far more than by what was varied.
func draw(n int, shift, noise float64, seed int64) (a, b []Run) {
	r := rand.New(rand.NewSource(seed))
	for s := range int64(n) {
		base := 0.5 + 0.4*r.Float64()
		a = append(a, Run{"a", s, map[string]float64{"service": base, "p99_s": 1 - base}})
		x := base + shift + noise*r.NormFloat64()
		b = append(b, Run{"b", s, map[string]float64{"service": x, "p99_s": 1 - x}})
	}
	return a, b
}

func verdicts(t *testing.T, a, b []Run, o Options) map[string]Comparison {
	t.Helper()
	list, err := Compare(a, b, o)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]Comparison{}
	for _, c := range list {
		out[c.Figure] = c
	}
	return out
}

func TestVerdicts(t *testing.T) {
	o := Options{Confidence: 0.95}
	a, b := draw(10, 0.02, 0.005, 1)
	if got := verdicts(t, a, b, o); got["service"].Verdict != Better || got["p99_s"].Verdict != Better || got["service"].Pairs != 10 {
		t.Errorf("%+v", got)
	}
	if got := verdicts(t, b, a, o); got["service"].Verdict != Worse || got["p99_s"].Verdict != Worse {
		t.Errorf("%+v", got)
	}
	if got := verdicts(t, a, a, o); got["service"].Verdict != Same {
		t.Errorf("%+v", got)
	}
	a, b = draw(10, 0, 0.001, 2)
	if got := verdicts(t, a, b, Options{Confidence: 0.95, Margin: 0.01}); got["service"].Verdict != Equivalent {
		t.Errorf("%+v", got)
	}
	// One pair tells nothing, whatever the difference.
	if got := verdicts(t, a[:1], b[:1], o); got["service"].Verdict != NotApart || got["service"].Informed {
		t.Errorf("%+v", got)
	}
	// Seeds that stand in one only are left out.
	if got := verdicts(t, a[:6], b[3:], o); got["service"].Pairs != 3 {
		t.Errorf("%+v", got)
	}
	if _, err := Compare(a[:3], b[5:], o); err == nil {
		t.Error("nothing in common was compared")
	}
	if _, err := Compare(append(a, a[0]), b, o); err == nil {
		t.Error("a seed that stands twice was taken")
	}
	if _, err := Compare(a, b, Options{Confidence: 1}); err == nil {
		t.Error("certainty was taken")
	}
}

// TestFalseVerdicts compares the same with itself, with noise, many times: the share of verdicts is what the confidence says.
func TestFalseVerdicts(t *testing.T) {
	wrong, found := 0.0, 0.0
	const times = 2000
	for i := range int64(times) {
		a, b := draw(8, 0, 0.01, i)
		if got := verdicts(t, a, b, Options{Confidence: 0.95}); got["service"].Verdict != NotApart {
			wrong++
		}
		a, b = draw(8, 0.02, 0.01, i)
		if got := verdicts(t, a, b, Options{Confidence: 0.95}); got["service"].Verdict == Better {
			found++
		}
	}
	if p := wrong / times; math.Abs(p-0.05) > 0.015 {
		t.Errorf("%.3f false verdicts at a confidence of 0.95", p)
	}
	if found/times < 0.95 {
		t.Errorf("a shift of two deviations is found in %.3f", found/times)
	}
}
