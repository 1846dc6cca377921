package slope

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

const (
	benchmarkPrefix  = "Benchmark"
	minBenchmarkCols = 4 // name, iterations, value, unit
	firstUnitCol     = 3 // of the first value; further units follow in every second column
)

// Sample is one value of one benchmark at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Series is what one benchmark measured at several sizes. Whatever else its name holds is the same for all of them.
type Series struct {
	Name    string
	Samples []Sample
}

// Within returns the samples whose sizes lie between two, these included.
func (s Series) Within(from, to float64) []Sample {
	var samples []Sample
	for _, sample := range s.Samples {
		if sample.Size >= from && sample.Size <= to {
			samples = append(samples, sample)
		}
	}
	return samples
}

// Read returns the series in the output of go test -bench: of the value with the given unit, as go test prints it, by
// the size of the given name, as in units=1024. Series come in the order of their first lines. Other lines, and
// benchmarks without that size or unit, are skipped; the error is the reader's.
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
func readLine(line, size, unit string) (name string, sample Sample, ok bool) {
	columns := strings.Fields(line)
	if len(columns) < minBenchmarkCols || !strings.HasPrefix(columns[0], benchmarkPrefix) {
		return "", Sample{}, false
	}
	name, sample.Size, ok = cutSize(strings.TrimPrefix(columns[0], benchmarkPrefix), size)
	if !ok {
		return "", Sample{}, false
	}
	sample.Value, ok = valueOf(columns, unit)
	if !ok {
		return "", Sample{}, false
	}
	return name, sample, true
}

// cutSize takes the size of the given name out of a benchmark's name, and the number of processors from its end.
func cutSize(fullName, sizeName string) (name string, size float64, ok bool) {
	parts := strings.Split(fullName, "/")
	last := len(parts) - 1
	parts[last] = withoutProcessors(parts[last])
	var others []string
	for _, part := range parts {
		text, isSize := strings.CutPrefix(part, sizeName+"=")
		if !isSize {
			others = append(others, part)
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		size, ok = value, err == nil
	}
	return strings.Join(others, "/"), size, ok
}

// valueOf returns the value before the given unit.
func valueOf(columns []string, unit string) (value float64, ok bool) {
	for i := firstUnitCol; i < len(columns); i += 2 {
		if columns[i] == unit {
			value, err := strconv.ParseFloat(columns[i-1], 64)
			return value, err == nil
		}
	}
	return 0, false
}

// withoutProcessors cuts off the number of processors, which go test adds to a name where it is not 1.
func withoutProcessors(part string) string {
	dash := strings.LastIndexByte(part, '-')
	if dash < 0 {
		return part
	}
	if _, err := strconv.Atoi(part[dash+1:]); err != nil {
		return part
	}
	return part[:dash]
}
