// Package lab simulates sites in virtual time: endpoints, endpoint lists, deployers, messages and clients are simulated,
// while the decision modules, their guards and the release controller are the real ones. A simulation has one clock and one
// seed, so the same call gives the same result. An invariant checker observes it from outside and shares no code with policy
// or rollout.
//
// Run simulates the releases of a plan, Replay the requests of a trace. A simulation is not safe for concurrent use and does
// no I/O; only the reports of a result are written to disk, as HTML pages.
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

// simulation holds all simulated parts. They share one clock, now, which counts seconds since the start; epoch is the
// simulated Unix time of the start.
type simulation struct {
	options  Options
	plan     *plan.Plan
	epoch    plan.Unix
	now      float64
	sequence int64 // sequence number of the event scheduled last
	events   eventHeap
	random   *rand.Rand

	controller   *controllerLink
	fleets       []*fleet          // by service
	relays       []*simulatedRelay // relays of all fleets
	checker      *checker
	counters     counters
	timelineHash hash.Hash
	timeline     []string // kept if Options.KeepTimeline is set

	traffic      trafficWindow
	hasTraffic   bool
	idleFrom     float64           // from when on relays are idle after a traffic window; their last requests have ended by then
	parkedRelays []*simulatedRelay // relays whose keep-alives wait for the next traffic window
	tally        *Tally            // set in a replay; otherwise nil
}

// counters holds the sums for the result.
type counters struct {
	requests, succeeded, rejected, failed, disconnected int
	attempts, crossSiteAttempts, canaryAttempts         int
	controllerEvents                                    float64
	trafficTime                                         float64 // s

	weightOffered         float64
	weightServed          float64 // answered within the latency objective
	weightLostToBadBuilds float64 // weight of attempts at bad builds that failed or were late
}

// module is a decision module: the real one, or a baseline.
type module interface {
	Step(now relay.Seconds, events []relay.Event) []relay.Command
}

// event is a function to run at a time.
type event struct {
	at       float64
	sequence int64 // orders events of the same time
	run      func()
}

// eventHeap implements heap.Interface; its first element is the next event.
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
	old[len(old)-1] = event{} // release the memory that the function refers to
	*h = old[:len(old)-1]
	return last
}

// runAt schedules a function for a time, or for now if the time is past.
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

// newRandom returns the random source of one part of the simulation. Each part has its own, so additional draws in one do
// not change the others.
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

// uniform draws from the uniform distribution between two values.
func uniform(random *rand.Rand, from, to float64) float64 { return from + (to-from)*random.Float64() }

// record adds a line to the timeline, and to its hash.
func (s *simulation) record(format string, args ...any) {
	line := fmt.Sprintf("%.3f ", s.now) + fmt.Sprintf(format, args...)
	_, _ = s.timelineHash.Write([]byte(line + "\n")) // a hash never fails
	if s.options.KeepTimeline {
		s.timeline = append(s.timeline, line)
	}
}
