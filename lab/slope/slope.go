// Package slope fits what Go benchmarks measured at several sizes, and tells the figure at a size that was not run.
package slope

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// MinSizes are the sizes that a fit needs: with fewer, any curve goes through them.
const MinSizes = 4

// Errors of a fit.
var (
	ErrTooFewSizes = fmt.Errorf("fewer than %d sizes", MinSizes)
	ErrUnknownForm = errors.New("unknown form")
	ErrNotPositive = errors.New("a power law needs sizes and figures above 0")
)

// Form is the curve that is fitted.
type Form string

// The forms: x = a + b n, and x = a n^b.
const (
	Line  Form = "line"
	Power Form = "power"
)

// Sample is one figure of one benchmark at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Series is what one benchmark measured at several sizes. What else its name holds is alike in all of them.
type Series struct {
	Name    string
	Samples []Sample
}

// Read takes the series of a figure (its unit, as go test prints it) by the named size out of the output of
// go test -bench. Lines of other kinds, and of benchmarks without that size or figure, are passed over.
func Read(r io.Reader, size, unit string) ([]Series, error) {
	byName := map[string]*Series{}
	var names []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, sample, ok := readLine(lines.Text(), size, unit)
		if !ok {
			continue
		}
		if byName[name] == nil {
			byName[name] = &Series{Name: name}
			names = append(names, name)
		}
		byName[name].Samples = append(byName[name].Samples, sample)
	}
	var all []Series
	for _, name := range names {
		all = append(all, *byName[name])
	}
	return all, lines.Err()
}

// readLine reads a line such as "BenchmarkTick/units=1024-8   100   5120 ns/op   17 B/op".
func readLine(line, size, unit string) (name string, s Sample, ok bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return "", s, false
	}
	parts := strings.Split(strings.TrimPrefix(fields[0], "Benchmark"), "/")
	parts[len(parts)-1] = withoutProcs(parts[len(parts)-1])
	var rest []string
	sized := false
	for _, part := range parts {
		if text, is := strings.CutPrefix(part, size+"="); is {
			v, err := strconv.ParseFloat(text, 64)
			s.Size, sized = v, err == nil
			continue
		}
		rest = append(rest, part)
	}
	for i := 3; sized && i < len(fields); i += 2 {
		if fields[i] == unit {
			v, err := strconv.ParseFloat(fields[i-1], 64)
			s.Value = v
			return strings.Join(rest, "/"), s, err == nil
		}
	}
	return "", s, false
}

// withoutProcs takes off the number of processors that go test adds to a name where it is not 1.
func withoutProcs(part string) string {
	at := strings.LastIndexByte(part, '-')
	if at < 0 {
		return part
	}
	if _, err := strconv.Atoi(part[at+1:]); err != nil {
		return part
	}
	return part[:at]
}

// Within gives the samples of sizes from one to another.
func (s Series) Within(from, to float64) (samples []Sample) {
	for _, sample := range s.Samples {
		if sample.Size >= from && sample.Size <= to {
			samples = append(samples, sample)
		}
	}
	return samples
}

// Fit is a curve through a series.
type Fit struct {
	Form     Form
	A, B     float64
	Sizes    int     // different ones
	MinSize  float64 // size
	MaxSize  float64 // size
	Residual float64 // the largest difference between a size's median and the curve, as a part of that median
}

// New fits a curve to samples by least squares of relative differences: sizes span decades, and the smallest must
// count as much as the largest.
func New(form Form, samples []Sample) (Fit, error) {
	sizes, medians := medians(samples)
	if len(sizes) < MinSizes {
		return Fit{}, ErrTooFewSizes
	}
	f := Fit{Form: form, Sizes: len(sizes), MinSize: sizes[0], MaxSize: sizes[len(sizes)-1]}
	switch form {
	case Line:
		weights := make([]float64, len(medians))
		for i, v := range medians {
			weights[i] = 1 / math.Max(v*v, math.SmallestNonzeroFloat32)
		}
		f.A, f.B = stat.LinearRegression(sizes, medians, weights, false)
	case Power:
		if floats.Min(sizes) <= 0 || floats.Min(medians) <= 0 {
			return Fit{}, ErrNotPositive
		}
		a, b := stat.LinearRegression(logs(sizes), logs(medians), nil, false)
		f.A, f.B = math.Exp(a), b
	default:
		return Fit{}, fmt.Errorf("%w %q", ErrUnknownForm, form)
	}
	for i, n := range sizes {
		f.Residual = math.Max(f.Residual, math.Abs(f.ValueAt(n)-medians[i])/math.Max(math.Abs(medians[i]), math.SmallestNonzeroFloat32))
	}
	return f, nil
}

// medians are the sizes in order, and the median of the samples at each: a shared machine has outliers.
func medians(samples []Sample) (sizes, values []float64) {
	bySize := map[float64][]float64{}
	for _, s := range samples {
		if bySize[s.Size] == nil {
			sizes = append(sizes, s.Size)
		}
		bySize[s.Size] = append(bySize[s.Size], s.Value)
	}
	sort.Float64s(sizes)
	for _, n := range sizes {
		values = append(values, median(bySize[n]))
	}
	return sizes, values
}

func median(values []float64) float64 {
	sort.Float64s(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

func logs(values []float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = math.Log(v)
	}
	return out
}

// At is the figure at a size.
func (f Fit) ValueAt(size float64) float64 {
	if f.Form == Power {
		return f.A * math.Pow(size, f.B)
	}
	return f.A + f.B*size
}

// Reaches is the size at which the figure reaches a value: 0 where it is there from the start, +Inf where it never is.
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

// Extrapolated is how many times the largest size that was measured a size is; 1 where it lies within.
func (f Fit) ExtrapolationFactor(size float64) float64 { return math.Max(size/f.MaxSize, 1) }

// Formula writes the curve with its figures, for a size of the name given.
func (f Fit) Formula(size string) string {
	if f.Form == Power {
		return fmt.Sprintf("%.4g %s^%.3f", f.A, size, f.B)
	}
	return fmt.Sprintf("%.4g %+.4g %s", f.A, f.B, size)
}
