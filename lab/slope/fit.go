// Package slope fits curves to Go benchmark results measured at several sizes, and extrapolates to sizes that were not
// measured. Read extracts series from the output of go test -bench, and FitSamples fits a line or a power law to one of them.
// The package holds no state, starts no goroutine and imports no other package of lichenroad.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// MinSizes is the number of different sizes that a fit requires. With fewer, any curve fits.
const MinSizes = 4

// tiny is the smallest divisor used, so that a median of 0 causes no division by zero.
const tiny = math.SmallestNonzeroFloat32

// Errors of FitSamples.
var (
	ErrTooFewSizes = fmt.Errorf("fewer than %d sizes", MinSizes)
	ErrUnknownForm = errors.New("unknown form")
	ErrNotPositive = errors.New("a power law requires sizes and values greater than 0")
)

// Form is the kind of curve that is fitted.
type Form string

// The forms, for a value x at size n.
const (
	Line  Form = "line"  // x = a + b n
	Power Form = "power" // x = a n^b
)

// Fit is a curve through a series.
type Fit struct {
	Form     Form
	A, B     float64
	Sizes    int     // number of different sizes
	MinSize  float64 // smallest size that was measured
	MaxSize  float64 // largest size that was measured
	Residual float64 // largest difference between the curve and the median at a size, as a fraction of that median
}

// FitSamples fits a curve to samples by least squares of the relative differences: sizes span orders of magnitude, and small
// ones must count as much as large ones. It fails with ErrTooFewSizes, ErrUnknownForm or, for a power law, ErrNotPositive.
func FitSamples(form Form, samples []Sample) (Fit, error) {
	sizes, medians := mediansBySize(samples)
	if len(sizes) < MinSizes {
		return Fit{}, ErrTooFewSizes
	}
	fit := Fit{Form: form, Sizes: len(sizes), MinSize: sizes[0], MaxSize: sizes[len(sizes)-1]}
	switch form {
	case Line:
		fit.A, fit.B = fitLine(sizes, medians)
	case Power:
		if floats.Min(sizes) <= 0 || floats.Min(medians) <= 0 {
			return Fit{}, ErrNotPositive
		}
		fit.A, fit.B = fitPower(sizes, medians)
	default:
		return Fit{}, fmt.Errorf("%w %q", ErrUnknownForm, form)
	}
	for i, size := range sizes {
		difference := math.Abs(fit.ValueAt(size) - medians[i])
		fit.Residual = math.Max(fit.Residual, difference/math.Max(math.Abs(medians[i]), tiny))
	}
	return fit, nil
}

// fitLine weights each value by the inverse of its square, so that relative differences count.
func fitLine(sizes, values []float64) (a, b float64) {
	weights := make([]float64, len(values))
	for i, value := range values {
		weights[i] = 1 / math.Max(value*value, tiny)
	}
	return stat.LinearRegression(sizes, values, weights, false)
}

// fitPower fits a line to the logarithms, whose differences are relative ones.
func fitPower(sizes, values []float64) (a, b float64) {
	logA, b := stat.LinearRegression(logarithms(sizes), logarithms(values), nil, false)
	return math.Exp(logA), b
}

// mediansBySize returns the sizes in ascending order and the median of the samples at each. Medians are used because runs on
// a shared machine have outliers.
func mediansBySize(samples []Sample) (sizes, medians []float64) {
	bySize := map[float64][]float64{}
	for _, sample := range samples {
		if bySize[sample.Size] == nil {
			sizes = append(sizes, sample.Size)
		}
		bySize[sample.Size] = append(bySize[sample.Size], sample.Value)
	}
	slices.Sort(sizes)
	for _, size := range sizes {
		medians = append(medians, median(bySize[size]))
	}
	return sizes, medians
}

func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

func logarithms(values []float64) []float64 {
	logs := make([]float64, len(values))
	for i, value := range values {
		logs[i] = math.Log(value)
	}
	return logs
}

// ValueAt returns the value of the curve at a size.
func (f Fit) ValueAt(size float64) float64 {
	if f.Form == Power {
		return f.A * math.Pow(size, f.B)
	}
	return f.A + f.B*size
}

// SizeAt returns the size at which the curve reaches a value: 0 if it has reached it from the start, +Inf if it never does.
func (f Fit) SizeAt(value float64) float64 {
	if f.B <= 0 {
		if f.ValueAt(1) >= value {
			return 0
		}
		return math.Inf(1)
	}
	if f.Form == Power {
		return math.Pow(value/f.A, 1/f.B)
	}
	return math.Max((value-f.A)/f.B, 0)
}

// ExtrapolationFactor returns the ratio of a size to the largest measured size, or 1 if the size is not larger.
func (f Fit) ExtrapolationFactor(size float64) float64 { return math.Max(size/f.MaxSize, 1) }

// Formula returns the curve as text, with its coefficients and the given name for the size.
func (f Fit) Formula(sizeName string) string {
	if f.Form == Power {
		return fmt.Sprintf("%.4g %s^%.3f", f.A, sizeName, f.B)
	}
	return fmt.Sprintf("%.4g %+.4g %s", f.A, f.B, sizeName)
}
