// Package experiment compares two sets of runs that differ in one setting. Runs are paired by seed, and each metric gets a
// confidence interval of the difference and a verdict. The package has no state, does no I/O and draws no random numbers; its
// functions are safe for concurrent use.
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

// Run holds the results of one run.
type Run struct {
	Value   string             `json:"value"` // value of the setting that is varied
	Seed    int64              `json:"seed"`
	Metrics map[string]float64 `json:"figures"`
}

// Direction says whether a metric is better when it is higher or when it is lower.
type Direction int

// The directions.
const (
	HigherIsBetter Direction = 1
	LowerIsBetter  Direction = -1
)

// Directions holds the metrics that are compared and the direction of each. Compare ignores other metrics.
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

// Comparison is the result of comparing one metric of the runs B with that of the runs A.
type Comparison struct {
	Metric      string  `json:"figure"`
	Pairs       int     `json:"pairs"`
	A           float64 `json:"a"`    // mean over the pairs
	B           float64 `json:"b"`    // mean over the pairs
	Difference  float64 `json:"diff"` // mean over the pairs of B - A
	Low         float64 `json:"low"`  // lower end of the confidence interval of Difference
	High        float64 `json:"high"` // upper end
	Verdict     Verdict `json:"verdict"`
	HasInterval bool    `json:"informed"` // there are at least two pairs, which an interval requires
}

// Options are the parameters of a comparison.
type Options struct {
	Confidence float64 // of the interval of each metric, such as 0.95
	Margin     float64 // largest difference that is treated as equal, as a fraction of the mean of A; 0: none
}

// ErrNoCommonSeed is returned if no seed occurs in both sets of runs.
var ErrNoCommonSeed = errors.New("the two sets of runs have no seed in common")

var errConfidenceRange = errors.New("must be greater than 0 and less than 1")

// DuplicateSeedError is returned if two runs of one set have the same seed.
type DuplicateSeedError struct {
	Seed int64
}

// Error implements error.
func (e *DuplicateSeedError) Error() string {
	return fmt.Sprintf("seed %d occurs twice in one set of runs", e.Seed)
}

// Compare compares the runs b with the runs a and returns a comparison for each metric, sorted by name. Only seeds that occur
// in both sets count, because unpaired runs would add the variation between seeds to the difference. Metrics that no pair has
// are left out. Compare fails with a *DuplicateSeedError, with ErrNoCommonSeed, or if the confidence is not between 0 and 1.
func Compare(a, b []Run, o Options) ([]Comparison, error) {
	if !(o.Confidence > 0 && o.Confidence < 1) { // written so that NaN fails too
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

// pair holds the two runs of one seed.
type pair struct{ a, b Run }

// pairBySeed returns the pairs sorted by seed.
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

// samples holds the values of one metric, with one element of each slice per pair.
type samples struct{ a, b, differences []float64 }

// samplesOf returns the samples of a metric. Pairs in which a run lacks the metric are left out.
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

// value returns a metric, and false if the run lacks it or has NaN for it.
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
	c.Verdict = verdictOf(c, Directions[metric], o.Margin*math.Abs(c.A))
	return c
}

// GroupByValue groups runs by Run.Value. The returned values are in the order of their first occurrence.
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
