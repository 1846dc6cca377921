package slope

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Format of a benchmark line.
const (
	benchmarkPrefix  = "Benchmark"
	minBenchmarkCols = 4 // name, iterations, value, unit
	firstUnitCol     = 3 // index of the first unit; further units follow in every second column
)

// Sample is one value that a benchmark measured at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Series holds what one benchmark measured at several sizes.
type Series struct {
	Name    string // full name of the benchmark without its size
	Samples []Sample
}

// Within returns the samples whose sizes lie in the closed interval [from, to].
func (s Series) Within(from, to float64) []Sample {
	var samples []Sample
	for _, sample := range s.Samples {
		if sample.Size >= from && sample.Size <= to {
			samples = append(samples, sample)
		}
	}
	return samples
}

// Read returns the series in the output of go test -bench. The unit selects the values, such as ns/op. The size name selects
// the part of a benchmark's name that holds the size, such as units for units=1024. Series are in the order of their first
// lines. Other lines, and benchmarks without that size or unit, are skipped. Read fails if r does or if a line is too long.
func Read(r io.Reader, sizeName, unit string) ([]Series, error) {
	byName := map[string]*Series{}
	var names []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, sample, ok := readLine(lines.Text(), sizeName, unit)
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

// readLine parses a line such as "BenchmarkTick/units=1024-8   100   5120 ns/op   17 B/op".
func readLine(line, sizeName, unit string) (name string, sample Sample, ok bool) {
	columns := strings.Fields(line)
	if len(columns) < minBenchmarkCols || !strings.HasPrefix(columns[0], benchmarkPrefix) {
		return "", Sample{}, false
	}
	name, sample.Size, ok = cutSize(strings.TrimPrefix(columns[0], benchmarkPrefix), sizeName)
	if !ok {
		return "", Sample{}, false
	}
	sample.Value, ok = valueOf(columns, unit)
	if !ok {
		return "", Sample{}, false
	}
	return name, sample, true
}

// cutSize splits the full name of a benchmark into its size and the rest, and removes the number of processors at the end.
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

// valueOf returns the value in the column before the given unit.
func valueOf(columns []string, unit string) (value float64, ok bool) {
	for i := firstUnitCol; i < len(columns); i += 2 {
		if columns[i] == unit {
			value, err := strconv.ParseFloat(columns[i-1], 64)
			return value, err == nil
		}
	}
	return 0, false
}

// withoutProcessors removes the suffix with the number of processors, which go test appends to a name if it is not 1.
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
