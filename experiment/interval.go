package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with its confidence interval.
type Estimate struct {
	Mean, Low, High float64
}

// Mean returns the mean of a metric over the runs that have it, or zero if none has. With one such run, both ends of the
// interval equal the mean.
func Mean(runs []Run, metric string, confidence float64) Estimate {
	var values []float64
	for _, run := range runs {
		if x, ok := run.value(metric); ok {
			values = append(values, x)
		}
	}
	if len(values) == 0 {
		return Estimate{}
	}
	interval := confidenceInterval(values, confidence)
	return Estimate{Mean: stat.Mean(values, nil), Low: interval.low, High: interval.high}
}

// interval is a confidence interval.
type interval struct {
	low, high float64
	known     bool // false: there is only one value, to which both ends are set
}

// confidenceInterval returns the confidence interval of the mean, by Student's t distribution.
func confidenceInterval(values []float64, confidence float64) interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 {
		return interval{low: mean, high: mean}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
	half := t * deviation / math.Sqrt(n)
	return interval{low: mean - half, high: mean + half, known: true}
}
