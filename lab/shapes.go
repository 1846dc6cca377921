package lab

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand"
	"sort"
)

// Shape makes a trace of a kind of load, in a public layout, by rate and seed. None is taken from any recorded trace.
type Shape struct {
	Name, Layout string
	write        func(w io.Writer, span, rate float64, rng *rand.Rand)
}

// Shapes are the kinds of load that can be made.
var Shapes = []Shape{{"bursty", "azure-2021", writeBursty}, {"tails", "google-2011", writeTails}, {"failing", "google-2011", writeBulkFailures}}

// WriteShape writes a trace: so many seconds at a mean rate.
func WriteShape(w io.Writer, name string, span, rate float64, seed int64) error {
	for _, s := range Shapes {
		if s.Name == name {
			b := bufio.NewWriter(w)
			s.write(b, span, rate, rand.New(rand.NewSource(seed)))
			return b.Flush()
		}
	}
	return fmt.Errorf("shape %q is none of bursty, tails, failing", name)
}

// arrivals draws a Poisson stream whose rate is a function of time, at most so much.
func poissonArrivals(span, most float64, rate func(t float64) float64, rng *rand.Rand, each func(t float64)) {
	for t := rng.ExpFloat64() / most; t < span; t += rng.ExpFloat64() / most {
		if rng.Float64()*most < rate(t) {
			each(t)
		}
	}
}

// bursty has three quarters of its arrivals in bursts of 1.5 s at ten times the rate, one in 20 s; each burst is one app's
// calls, as when a schedule fires.
func writeBursty(w io.Writer, span, rate float64, rng *rand.Rand) {
	type call struct {
		app            int
		end, took, key float64
	}
	var calls []call
	starts := []float64{}
	for t := rng.Float64() * 20; t < span; t += 10 + 20*rng.Float64() {
		starts = append(starts, t)
	}
	add := func(app int) func(float64) {
		return func(t float64) {
			took := 2 + 16*rng.Float64()
			calls = append(calls, call{app, t + took, took, rng.Float64()})
		}
	}
	poissonArrivals(span, rate/4, func(float64) float64 { return rate / 4 }, rng, func(t float64) { add(rng.Intn(40))(t) })
	for _, s := range starts {
		app := rng.Intn(40)
		poissonArrivals(1.5, 10*rate, func(float64) float64 { return 10 * rate }, rng, func(t float64) { add(app)(s + t) })
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].end < calls[j].end })
	fmt.Fprintln(w, "app,func,end_timestamp,duration")
	for _, c := range calls {
		fmt.Fprintf(w, "a%02d,f%03d,%.6f,%.6f\n", c.app, int(c.key*200), c.end, c.took)
	}
}

// row is one event of a task, in the layout of events.
type taskEvent struct {
	time                                     float64
	job, task, machine, kind, user, priority int
}

func writeTaskEvents(w io.Writer, rows []taskEvent) {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].time < rows[j].time })
	for _, r := range rows {
		machine := ""
		if r.kind != 0 {
			machine = fmt.Sprint(r.machine)
		}
		fmt.Fprintf(w, "%d,,%d,%d,%s,%d,u%02d,%d,%d,0.1,0.1,0.1,0\n", int64((r.time+600)*1e6), r.job, r.task, machine, r.kind, r.user, r.job%4, r.priority)
	}
}

// tails is steady, with durations whose tail is Pareto's of 1.3: most are short, and one in some hundred is a hundred times as long.
func writeTails(w io.Writer, span, rate float64, rng *rand.Rand) {
	var rows []taskEvent
	n := 0
	poissonArrivals(span, rate, func(float64) float64 { return rate }, rng, func(t float64) {
		n++
		took := math.Min(3*math.Pow(rng.Float64(), -1/1.3), 120)
		r := taskEvent{t, n, rng.Intn(50), rng.Intn(200), 0, rng.Intn(60), rng.Intn(12)}
		for _, e := range [...]struct {
			kind int
			at   float64
		}{{0, t}, {1, t + 0.01}, {4, t + 0.01 + took}} {
			r.kind, r.time = e.kind, e.at
			rows = append(rows, r)
		}
	})
	writeTaskEvents(w, rows)
}

// writeBulkFailures is steady; every 40 s or so all that runs on one machine in eight fails, for 8 s, comes again a second
// later, and finishes elsewhere.
func writeBulkFailures(w io.Writer, span, rate float64, rng *rand.Rand) {
	type bad struct{ from, to, part float64 }
	var spells []bad
	for t := rng.Float64() * 40; t < span; t += 25 + 30*rng.Float64() {
		spells = append(spells, bad{t, t + 8, rng.Float64() * 7 / 8})
	}
	var rows []taskEvent
	n := 0
	poissonArrivals(span, rate, func(float64) float64 { return rate }, rng, func(t float64) {
		n++
		r := taskEvent{t, n, rng.Intn(50), rng.Intn(200), 0, rng.Intn(60), rng.Intn(12)}
		add := func(kind int, at float64) {
			r.kind, r.time = kind, at
			rows = append(rows, r)
		}
		took := 4 + 14*rng.Float64()
		add(0, t)
		add(1, t+0.01)
		for _, s := range spells {
			if p := float64(r.machine) / 200; t >= s.from && t < s.to && p >= s.part && p < s.part+1.0/8 {
				add(3, t+0.5)
				r.machine = (r.machine + 100) % 200
				add(0, t+1.5)
				add(1, t+1.6)
				t += 1.6
			}
		}
		add(4, t+took)
	})
	writeTaskEvents(w, rows)
}
