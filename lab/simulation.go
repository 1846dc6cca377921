// Package lab simulates sites in virtual time: endpoints, endpoint lists, deployers, messages and clients are simulated, while
// the decision modules, their guards and the release controller are the real ones. One clock and one seed: the same call
// gives the same result. An invariant checker watches from outside and shares no code with policy or rollout.
//
// Run simulates the releases of a plan, Replay the requests of a trace. A simulation belongs to one goroutine and does no
// I/O; the reports of a result are pages on disk. The package imports plan, policy, relay and rollout.
package lab

import (
	"container/heap"
	"fmt"
	"hash"
	"math"
	"math/rand"

	"lichenroad/plan"
	"lichenroad/relay"
)

// simulation is all that is simulated, on one clock, which counts seconds since a start at a Unix time of its own.
type simulation struct {
	options  Options
	plan     *plan.Plan
	epoch    plan.Unix
	now      float64
	sequence int64 // of the last event
	events   eventHeap
	random   *rand.Rand

	controller   *controllerLink
	fleets       []*fleet          // by service
	relays       []*simulatedRelay // of all fleets
	checker      *checker
	counters     counters
	timelineHash hash.Hash
	timeline     []string // where it is kept

	traffic      trafficWindow
	hasTraffic   bool
	idleFrom     float64           // when relays sleep after a window: their last requests have ended by then
	parkedRelays []*simulatedRelay // that wait for the next window
	tally        *Tally            // of a replay; nil: none
}

// counters count what a result shows.
type counters struct {
	requests, succeeded, rejected, failed, disconnected int
	attempts, crossSiteAttempts, canaryAttempts         int
	controllerEvents                                    float64
	trafficTime                                         float64 // s

	weightOffered         float64
	weightServed          float64 // within the latency objective
	weightLostToBadBuilds float64 // of attempts that failed or were late there
}

// module is a decision module; the real one, or a baseline.
type module interface {
	Step(now relay.Seconds, events []relay.Event) []relay.Command
}

// event is something that happens at a time.
type event struct {
	at       float64
	sequence int64 // the order of events at one time
	run      func()
}

// eventHeap is a heap.Interface by time.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // lets go of what the function holds
	*h = old[:len(old)-1]
	return last
}

// runAt runs something at a time, or at once where that is past.
func (s *simulation) runAt(at float64, run func()) {
	s.sequence++
	heap.Push(&s.events, event{math.Max(at, s.now), s.sequence, run})
}

func (s *simulation) runAfter(delay float64, run func()) { s.runAt(s.now+delay, run) }

// runUntil runs all events up to a time.
func (s *simulation) runUntil(until float64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = until
}

func (s *simulation) unixNow() plan.Unix { return s.epoch + s.now }

// newRandom returns a source of its own for each part, so that one that draws more does not change the others.
func (s *simulation) newRandom(kind string, number int) *rand.Rand {
	const (
		seedFactor = 0x9e3779b97f4a7c15
		charFactor = 0x100000001b3
	)
	mixed := uint64(s.options.Seed) * seedFactor
	for _, char := range kind {
		mixed = (mixed ^ uint64(char)) * charFactor
	}
	mixed = (mixed ^ uint64(number+1)) * seedFactor
	return rand.New(rand.NewSource(int64(mixed >> 1)))
}

// uniform draws evenly between two values.
func uniform(random *rand.Rand, from, to float64) float64 { return from + (to-from)*random.Float64() }

// record adds a line to the timeline.
func (s *simulation) record(format string, args ...any) {
	line := fmt.Sprintf("%.3f ", s.now) + fmt.Sprintf(format, args...)
	_, _ = s.timelineHash.Write([]byte(line + "\n")) // a hash never fails
	if s.options.KeepTimeline {
		s.timeline = append(s.timeline, line)
	}
}
