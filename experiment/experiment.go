// Package experiment compares runs that differ in one thing: paired by seed, with confidence intervals and a plain
// verdict. It does no I/O and draws no chance.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Run is one run's figures.
type Run struct {
	Value   string             `json:"value"` // of what was varied
	Seed    int64              `json:"seed"`
	Figures map[string]float64 `json:"figures"`
}

// Verdict says what a comparison tells.
type Verdict string

// The verdicts.
const (
	Better     Verdict = "better"
	Worse      Verdict = "worse"
	NotApart   Verdict = "not told apart"
	Equivalent Verdict = "equal within the margin"
	Same       Verdict = "the same"
)

// Sense says whether more of a figure is better.
type Sense int

const (
	MoreIsBetter Sense = 1
	LessIsBetter Sense = -1
)

// Senses are the figures that are compared, and what is better.
var Senses = map[string]Sense{"service": MoreIsBetter, "worst_10s": MoreIsBetter, "tail": MoreIsBetter, "figure": MoreIsBetter, "denied_part": LessIsBetter, "written_off_part": LessIsBetter,
	"legs_a_query": LessIsBetter, "p50_s": LessIsBetter, "p99_s": LessIsBetter}

// Comparison is one figure of B against A.
type Comparison struct {
	Figure   string  `json:"figure"`
	Pairs    int     `json:"pairs"`
	A        float64 `json:"a"` // means
	B        float64 `json:"b"`
	Diff     float64 `json:"diff"` // mean of B less A, by seed
	Low      float64 `json:"low"`  // of the confidence interval
	High     float64 `json:"high"`
	Verdict  Verdict `json:"verdict"`
	Informed bool    `json:"informed"` // there were pairs enough for an interval
}

// Options of a comparison.
type Options struct {
	Confidence float64 // such as 0.95, for each figure
	Margin     float64 // a difference that matters to nobody, as a part of A's mean; 0: none
}

var errPairs = errors.New("no seed stands in both")

// Compare holds B's runs against A's, figure by figure, by the seeds that stand in both. Seeds that stand in one only
// are left out: what they would add is the seeds' difference, not the thing's.
func Compare(a, b []Run, o Options) ([]Comparison, error) {
	if !(o.Confidence > 0 && o.Confidence < 1) {
		return nil, fmt.Errorf("confidence %g: from 0 to 1", o.Confidence)
	}
	bySeed := map[int64]Run{}
	for _, r := range a {
		if _, twice := bySeed[r.Seed]; twice {
			return nil, fmt.Errorf("seed %d stands twice", r.Seed)
		}
		bySeed[r.Seed] = r
	}
	type pair struct{ a, b Run }
	var pairs []pair
	seen := map[int64]bool{}
	for _, r := range b {
		if seen[r.Seed] {
			return nil, fmt.Errorf("seed %d stands twice", r.Seed)
		}
		seen[r.Seed] = true
		if x, ok := bySeed[r.Seed]; ok {
			pairs = append(pairs, pair{x, r})
		}
	}
	if len(pairs) == 0 {
		return nil, errPairs
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].a.Seed < pairs[j].a.Seed })
	var names []string
	for name := range Senses {
		names = append(names, name)
	}
	sort.Strings(names)
	var out []Comparison
	for _, name := range names {
		var as, bs, diffs []float64
		for _, p := range pairs {
			x, ok1 := p.a.Figures[name]
			y, ok2 := p.b.Figures[name]
			if ok1 && ok2 && !math.IsNaN(x) && !math.IsNaN(y) {
				as, bs, diffs = append(as, x), append(bs, y), append(diffs, y-x)
			}
		}
		if len(diffs) == 0 {
			continue
		}
		c := Comparison{Figure: name, Pairs: len(diffs), A: stat.Mean(as, nil), B: stat.Mean(bs, nil), Diff: stat.Mean(diffs, nil)}
		c.Low, c.High, c.Informed = interval(diffs, o.Confidence)
		c.Verdict = judge(c, Senses[name], o.Margin*math.Abs(c.A))
		out = append(out, c)
	}
	return out, nil
}

// interval is Student's for the mean of paired differences; with one pair there is none.
func interval(diffs []float64, confidence float64) (low, high float64, ok bool) {
	mean, dev := stat.MeanStdDev(diffs, nil)
	n := float64(len(diffs))
	if n < 2 {
		return mean, mean, false
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
	half := t * dev / math.Sqrt(n)
	return mean - half, mean + half, true
}

// Mean gives a figure's mean over runs, and its interval.
func Mean(runs []Run, figure string, confidence float64) (mean, low, high float64) {
	var xs []float64
	for _, r := range runs {
		if x, ok := r.Figures[figure]; ok && !math.IsNaN(x) {
			xs = append(xs, x)
		}
	}
	if len(xs) == 0 {
		return 0, 0, 0
	}
	low, high, _ = interval(xs, confidence)
	return stat.Mean(xs, nil), low, high
}

// judge gives the verdict: equal where the whole interval lies within the margin, better or worse where it lies on one
// side of nothing.
func judge(c Comparison, s Sense, margin float64) Verdict {
	switch {
	case !c.Informed:
		return NotApart
	case c.Low == 0 && c.High == 0:
		return Same
	case margin > 0 && c.Low > -margin && c.High < margin:
		return Equivalent
	case c.Low > 0 && s == MoreIsBetter, c.High < 0 && s == LessIsBetter:
		return Better
	case c.Low > 0, c.High < 0:
		return Worse
	}
	return NotApart
}

// Split gathers runs by their value, in the order in which the values first stand.
func Split(runs []Run) (values []string, by map[string][]Run) {
	by = map[string][]Run{}
	for _, r := range runs {
		if by[r.Value] == nil {
			values = append(values, r.Value)
		}
		by[r.Value] = append(by[r.Value], r)
	}
	return values, by
}
