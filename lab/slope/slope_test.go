package slope

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// output is the output of go test -bench.
const output = `goos: linux
pkg: lichenroad/policy
BenchmarkTick/units=100/relays=4-8         	  100	   1200 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=200/relays=4-8         	  100	   2100 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=200/relays=4-8         	  100	   2300 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=400/relays=4-8         	  100	   4200 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=400/relays=4-8         	  100	   4100 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=400/relays=4-8         	  100	   9900 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=800/relays=4-8         	  100	   8200 ns/op	  16 B/op	  2 allocs/op
BenchmarkTick/units=100/relays=8-8         	  100	   9 ns/op
BenchmarkTick/units=many/relays=4-8        	  100	   9 ns/op
BenchmarkHeap/units=100                    	    1	   1200 ns/op	  77.5 heap-B
BenchmarkOther-8                           	  100	   7 ns/op
BenchmarkCut/units=100
ok  	lichenroad/policy	1.2s
`

func TestRead(t *testing.T) {
	all, err := Read(strings.NewReader(output), "units", "ns/op")
	if err != nil || len(all) != 3 || all[0].Name != "Tick/relays=4" || len(all[0].Samples) != 7 ||
		all[0].Samples[6] != (Sample{800, 8200}) || all[1].Name != "Tick/relays=8" || all[2].Name != "Heap" {
		t.Errorf("%+v %v", all, err)
	}
	all, err = Read(strings.NewReader(output), "units", "heap-B")
	if err != nil || len(all) != 1 || all[0].Samples[0] != (Sample{100, 77.5}) {
		t.Errorf("%+v %v", all, err)
	}
	if all, _ = Read(strings.NewReader(output), "relays", "ns/op"); len(all) != 5 || all[0].Name != "Tick/units=100" ||
		all[0].Samples[1] != (Sample{8, 9}) {
		t.Errorf("%+v", all)
	}
}

func approxEqual(got, want float64) bool { return math.Abs(got-want) <= 1e-9*math.Abs(want) }

func TestLine(t *testing.T) {
	all, _ := Read(strings.NewReader(output), "units", "ns/op")
	f, err := FitSamples(Line, all[0].Samples)
	if err != nil || !approxEqual(f.A, 200) || !approxEqual(f.B, 10) || f.Sizes != 4 || f.MinSize != 100 || f.MaxSize != 800 || f.Residual > 1e-9 {
		t.Fatalf("%+v %v", f, err)
	}
	if !approxEqual(f.ValueAt(1600), 16200) || !approxEqual(f.SizeAt(5200), 500) || f.SizeAt(100) != 0 || f.ExtrapolationFactor(1600) != 2 || f.ExtrapolationFactor(50) != 1 {
		t.Errorf("value at 1600 is %v, size at 5200 is %v, size at 100 is %v", f.ValueAt(1600), f.SizeAt(5200), f.SizeAt(100))
	}
	if got := all[0].Within(200, 400); len(got) != 5 || got[0] != (Sample{200, 2100}) {
		t.Errorf("%v", got)
	}
	if got := f.Formula("units"); got != "200 +10 units" {
		t.Error(got)
	}
}

// TestResidual fits a line to samples of which one lies 10 % off the line through the others.
func TestResidual(t *testing.T) {
	f, err := FitSamples(Line, []Sample{{10, 100}, {20, 200}, {40, 400}, {80, 800}, {160, 1760}})
	if err != nil || f.Residual < 0.02 || f.Residual > 0.1 {
		t.Errorf("%+v %v", f, err)
	}
}

func TestPower(t *testing.T) {
	var samples []Sample
	for _, n := range []float64{10, 20, 40, 80} {
		samples = append(samples, Sample{n, 3 * n * n})
	}
	f, err := FitSamples(Power, samples)
	if err != nil || !approxEqual(f.A, 3) || !approxEqual(f.B, 2) || !approxEqual(f.ValueAt(100), 30000) || !approxEqual(f.SizeAt(30000), 100) {
		t.Errorf("%+v %v", f, err)
	}
	if f.Formula("n") != "3 n^2.000" {
		t.Error(f.Formula("n"))
	}
	if line, _ := FitSamples(Line, samples); line.Residual < 0.2 {
		t.Errorf("the residual of a line through squares is too small: %+v", line)
	}
}

func TestConstantNeverReachesLargerValue(t *testing.T) {
	f, err := FitSamples(Line, []Sample{{1, 5}, {2, 5}, {3, 5}, {4, 5}})
	if err != nil || !math.IsInf(f.SizeAt(6), 1) || f.SizeAt(4) != 0 {
		t.Errorf("%+v %v", f, err)
	}
}

func TestFitErrors(t *testing.T) {
	fourSizes := []Sample{{0, 1}, {1, 2}, {2, 2}, {3, 3}}
	for name, c := range map[string]struct {
		form    Form
		samples []Sample
		want    error
	}{
		"four samples of three sizes": {Line, []Sample{{1, 1}, {1, 2}, {2, 2}, {3, 3}}, ErrTooFewSizes},
		"a power law from size 0":     {Power, fourSizes, ErrNotPositive},
		"an unknown form":             {"cubic", fourSizes, ErrUnknownForm},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := FitSamples(c.form, c.samples); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
