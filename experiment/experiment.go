// Package experiment compares runs that differ in one setting: paired by seed, with a confidence interval and a verdict
// for each metric. It owns no state, does no I/O and draws no random numbers; its functions may be called from any
// goroutine.
package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Run is the result of one run.
type Run struct {
	Value   string             `json:"value"` // of the setting that was varied
	Seed    int64              `json:"seed"`
	Metrics map[string]float64 `json:"figures"`
}

// Direction says which way a metric gets better.
type Direction int

// The directions.
const (
	HigherIsBetter Direction = 1
	LowerIsBetter  Direction = -1
)

// Directions holds the metrics that are compared, and which way each gets better.
var Directions = map[string]Direction{
	"service":          HigherIsBetter,
	"worst_10s":        HigherIsBetter,
	"tail":             HigherIsBetter,
	"figure":           HigherIsBetter,
	"denied_part":      LowerIsBetter,
	"written_off_part": LowerIsBetter,
	"legs_a_query":     LowerIsBetter,
	"p50_s":            LowerIsBetter,
	"p99_s":            LowerIsBetter,
}

// Comparison is one metric of the runs B against the runs A.
type Comparison struct {
	Metric      string  `json:"figure"`
	Pairs       int     `json:"pairs"`
	A           float64 `json:"a"` // mean over the pairs
	B           float64 `json:"b"`
	Difference  float64 `json:"diff"` // mean of B - A, by seed
	Low         float64 `json:"low"`  // of the confidence interval of Difference
	High        float64 `json:"high"`
	Verdict     Verdict `json:"verdict"`
	HasInterval bool    `json:"informed"` // there were pairs enough for an interval
}

// Options of a comparison.
type Options struct {
	Confidence float64 // of each metric's interval, such as 0.95
	Margin     float64 // a difference that does not matter, as a part of A's mean; 0: none
}

// ErrNoCommonSeed says that no seed is in both sets of runs.
var ErrNoCommonSeed = errors.New("no seed stands in both")

var errConfidenceRange = errors.New("from 0 to 1")

// DuplicateSeedError reports a seed that one set of runs has twice.
type DuplicateSeedError struct {
	Seed int64
}

// Error returns which seed it is.
func (e *DuplicateSeedError) Error() string { return fmt.Sprintf("seed %d stands twice", e.Seed) }

// Compare compares the runs B with the runs A, metric by metric, by the seeds that both have. Other seeds are left out:
// they would add the difference between seeds. Metrics that no pair has are left out too. The error is a
// *DuplicateSeedError, ErrNoCommonSeed, or about the confidence.
func Compare(a, b []Run, o Options) ([]Comparison, error) {
	if !(o.Confidence > 0 && o.Confidence < 1) { // also refuses NaN
		return nil, fmt.Errorf("confidence %g: %w", o.Confidence, errConfidenceRange)
	}
	pairs, err := pairBySeed(a, b)
	if err != nil {
		return nil, err
	}
	var out []Comparison
	for _, metric := range slices.Sorted(maps.Keys(Directions)) {
		if s := samplesOf(metric, pairs); len(s.differences) > 0 {
			out = append(out, compareMetric(metric, s, o))
		}
	}
	return out, nil
}

// pair holds the runs of one seed.
type pair struct{ a, b Run }

// pairBySeed returns the pairs in the order of their seeds.
func pairBySeed(a, b []Run) ([]pair, error) {
	runsA, err := indexBySeed(a)
	if err != nil {
		return nil, err
	}
	if _, err := indexBySeed(b); err != nil {
		return nil, err
	}
	var pairs []pair
	for _, runB := range b {
		if runA, ok := runsA[runB.Seed]; ok {
			pairs = append(pairs, pair{a: runA, b: runB})
		}
	}
	if len(pairs) == 0 {
		return nil, ErrNoCommonSeed
	}
	slices.SortFunc(pairs, func(x, y pair) int { return cmp.Compare(x.a.Seed, y.a.Seed) })
	return pairs, nil
}

func indexBySeed(runs []Run) (map[int64]Run, error) {
	bySeed := make(map[int64]Run, len(runs))
	for _, run := range runs {
		if _, duplicate := bySeed[run.Seed]; duplicate {
			return nil, &DuplicateSeedError{Seed: run.Seed}
		}
		bySeed[run.Seed] = run
	}
	return bySeed, nil
}

// samples are the values of one metric, pair by pair.
type samples struct{ a, b, differences []float64 }

// samplesOf leaves out the pairs of which a run has no number for the metric.
func samplesOf(metric string, pairs []pair) samples {
	var s samples
	for _, p := range pairs {
		x, inA := p.a.value(metric)
		y, inB := p.b.value(metric)
		if inA && inB {
			s.a = append(s.a, x)
			s.b = append(s.b, y)
			s.differences = append(s.differences, y-x)
		}
	}
	return s
}

// value returns a metric, if the run has a number for it.
func (r Run) value(metric string) (float64, bool) {
	x, ok := r.Metrics[metric]
	return x, ok && !math.IsNaN(x)
}

func compareMetric(metric string, s samples, o Options) Comparison {
	c := Comparison{
		Metric:     metric,
		Pairs:      len(s.differences),
		A:          stat.Mean(s.a, nil),
		B:          stat.Mean(s.b, nil),
		Difference: stat.Mean(s.differences, nil),
	}
	interval := confidenceInterval(s.differences, o.Confidence)
	c.Low, c.High, c.HasInterval = interval.low, interval.high, interval.known
	c.Verdict = judge(c, Directions[metric], o.Margin*math.Abs(c.A))
	return c
}

// GroupByValue groups runs by their value; values has them in the order in which they first appear.
func GroupByValue(runs []Run) (values []string, byValue map[string][]Run) {
	byValue = map[string][]Run{}
	for _, run := range runs {
		if byValue[run.Value] == nil {
			values = append(values, run.Value)
		}
		byValue[run.Value] = append(byValue[run.Value], run)
	}
	return values, byValue
}
