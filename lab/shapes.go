package lab

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Shape is a kind of synthetic load, written as a trace in the layout of a public data set. All values are drawn at
// random from a rate and a seed; none is taken from a recorded trace.
type Shape struct {
	Name, Layout string
	generate     func(s *shapeWriter)
}

// Shapes lists the kinds of load that WriteShape can write.
var Shapes = []Shape{
	{"bursty", "azure-2021", (*shapeWriter).writeBursty},
	{"tails", "google-2011", (*shapeWriter).writeTails},
	{"failing", "google-2011", (*shapeWriter).writeBulkFailures},
}

// WriteShape writes a trace of the named shape, over a span in seconds and at a mean rate in arrivals per second.
func WriteShape(w io.Writer, name string, span, rate float64, seed int64) error {
	var names []string
	for _, shape := range Shapes {
		names = append(names, shape.Name)
		if shape.Name == name {
			buffered := bufio.NewWriter(w)
			shape.generate(&shapeWriter{buffered, span, rate, rand.New(rand.NewSource(seed))})
			return buffered.Flush() // also returns the error of any earlier write
		}
	}
	return fmt.Errorf("shape %q is none of %s", name, strings.Join(names, ", "))
}

// shapeWriter writes one trace.
type shapeWriter struct {
	out    *bufio.Writer
	span   float64 // s
	rate   float64 // mean arrivals per second
	random *rand.Rand
}

// poissonArrivals draws the times of a Poisson process of a rate over a span, and calls arrive for each.
func (s *shapeWriter) poissonArrivals(span, rate float64, arrive func(at float64)) {
	for at := s.random.ExpFloat64() / rate; at < span; at += s.random.ExpFloat64() / rate {
		// This draw would thin out a varying rate; at a constant one it lets every arrival pass. Without it, a seed would no
		// longer give the same trace.
		if s.random.Float64()*rate < rate {
			arrive(at)
		}
	}
}

// call is one call of a function of an app.
type call struct {
	app           int
	end, duration float64 // s
	function      float64 // position of the function in the list of functions, from 0 to 1
}

// Parameters of bursty traces. Times are in seconds.
const (
	apps              = 40
	functions         = 200
	burstLength       = 1.5
	burstRate         = 10.0 // times the mean rate
	meanBurstGap      = 20.0
	steadyRateDivisor = 4 // a quarter of the arrivals are outside of bursts
)

// writeBursty writes a trace with three quarters of its arrivals in bursts of 1.5 s at ten times the mean rate, one burst in
// 20 s. The calls of a burst belong to one app, as when a scheduled job fires.
func (s *shapeWriter) writeBursty() {
	var bursts []float64
	for at := s.random.Float64() * meanBurstGap; at < s.span; at += meanBurstGap/2 + meanBurstGap*s.random.Float64() {
		bursts = append(bursts, at)
	}
	var calls []call
	add := func(app int, at float64) {
		duration := 2 + 16*s.random.Float64()
		calls = append(calls, call{app, at + duration, duration, s.random.Float64()})
	}
	s.poissonArrivals(s.span, s.rate/steadyRateDivisor, func(at float64) { add(s.random.Intn(apps), at) })
	for _, start := range bursts {
		app := s.random.Intn(apps)
		s.poissonArrivals(burstLength, burstRate*s.rate, func(at float64) { add(app, start+at) })
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].end < calls[j].end })
	fmt.Fprintln(s.out, "app,func,end_timestamp,duration")
	for _, c := range calls {
		fmt.Fprintf(s.out, "a%02d,f%03d,%.6f,%.6f\n", c.app, int(c.function*functions), c.end, c.duration)
	}
}

// The kinds of task events, as numbered by the layout.
const (
	taskSubmitted = 0
	taskScheduled = 1
	taskFailed    = 3
	taskFinished  = 4
)

// Parameters of traces of tasks. Times are in seconds.
const (
	tasksPerJob   = 50 // bound of a task's index in its job
	machines      = 200
	users         = 60
	priorities    = 12
	schedClasses  = 4
	scheduleDelay = 0.01  // from the submission of a task until it is scheduled
	traceOffset   = 600.0 // time stamp at which a trace begins
)

// taskEvent is one event of a task.
type taskEvent struct {
	time                               float64 // s
	job, task, machine, user, priority int
	kind                               int
}

// newTask draws the task of a new job.
func (s *shapeWriter) newTask(job int) taskEvent {
	task := taskEvent{job: job}
	task.task = s.random.Intn(tasksPerJob)
	task.machine = s.random.Intn(machines)
	task.user = s.random.Intn(users)
	task.priority = s.random.Intn(priorities)
	return task
}

// eventAt returns the task's event of the given kind at the given time.
func (e taskEvent) eventAt(time float64, kind int) taskEvent {
	e.time, e.kind = time, kind
	return e
}

func (s *shapeWriter) writeTaskEvents(events []taskEvent) {
	slices.SortStableFunc(events, func(a, b taskEvent) int {
		switch {
		case a.time < b.time:
			return -1
		case a.time > b.time:
			return 1
		}
		return 0
	})
	for _, e := range events {
		machine := ""
		if e.kind != taskSubmitted {
			machine = strconv.Itoa(e.machine)
		}
		fmt.Fprintf(s.out, "%d,,%d,%d,%s,%d,u%02d,%d,%d,0.1,0.1,0.1,0\n", int64((e.time+traceOffset)*microsPerSecond), e.job, e.task, machine,
			e.kind, e.user, e.job%schedClasses, e.priority)
	}
}

// writeTails writes a trace with a constant rate and Pareto-distributed durations, of index 1.3: most are short, and about
// one in a hundred has the maximum, which is 40 times the minimum.
func (s *shapeWriter) writeTails() {
	const (
		minDuration = 3.0
		maxDuration = 120.0
		paretoIndex = 1.3
	)
	var events []taskEvent
	jobs := 0
	s.poissonArrivals(s.span, s.rate, func(at float64) {
		jobs++
		duration := math.Min(minDuration*math.Pow(s.random.Float64(), -1/paretoIndex), maxDuration)
		task := s.newTask(jobs)
		events = append(events, task.eventAt(at, taskSubmitted), task.eventAt(at+scheduleDelay, taskScheduled),
			task.eventAt(at+scheduleDelay+duration, taskFinished))
	})
	s.writeTaskEvents(events)
}

// machineFailure is a time span in which one eighth of the machines fails.
type machineFailure struct {
	from, to     float64 // s
	firstMachine float64 // as a fraction of the machines
}

// failingFraction is the fraction of the machines that fail together.
const failingFraction = 1.0 / 8

func (f machineFailure) affects(task taskEvent, at float64) bool {
	position := float64(task.machine) / machines
	return at >= f.from && at < f.to && position >= f.firstMachine && position < f.firstMachine+failingFraction
}

// writeBulkFailures writes a trace with a constant rate, in which about every 40 s one machine in eight fails for 8 s. Tasks
// that arrive there fail, are resubmitted a second later and finish on another machine.
func (s *shapeWriter) writeBulkFailures() {
	const (
		meanGap        = 40.0
		failureLength  = 8.0
		failAfter      = 0.5
		resubmitAfter  = 1.5
		rescheduleTime = 1.6
	)
	var failures []machineFailure
	for at := s.random.Float64() * meanGap; at < s.span; at += 25 + 30*s.random.Float64() {
		failures = append(failures, machineFailure{at, at + failureLength, s.random.Float64() * 7 / 8})
	}
	var events []taskEvent
	jobs := 0
	s.poissonArrivals(s.span, s.rate, func(at float64) {
		jobs++
		task := s.newTask(jobs)
		duration := 4 + 14*s.random.Float64()
		events = append(events, task.eventAt(at, taskSubmitted), task.eventAt(at+scheduleDelay, taskScheduled))
		for _, failure := range failures {
			if !failure.affects(task, at) {
				continue
			}
			events = append(events, task.eventAt(at+failAfter, taskFailed))
			task.machine = (task.machine + machines/2) % machines
			events = append(events, task.eventAt(at+resubmitAfter, taskSubmitted), task.eventAt(at+rescheduleTime, taskScheduled))
			at += rescheduleTime
		}
		events = append(events, task.eventAt(at+duration, taskFinished))
	})
	s.writeTaskEvents(events)
}
