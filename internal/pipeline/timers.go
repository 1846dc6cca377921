package pipeline

import (
	"container/heap"
	"math"
	"time"

	"lichenroad/relay"
)

// RunAt schedules a function to run on the loop goroutine at the given time or a little later. Functions scheduled for
// the same time run in the order of the calls. Must run on the loop goroutine.
func (l *Loop) RunAt(at relay.Seconds, run func()) {
	l.timerSequence++
	heap.Push(&l.timers, timer{at, l.timerSequence, run})
}

// fireTimers runs the timers that are due.
func (l *Loop) fireTimers() {
	now := l.Clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(timer).run()
	}
}

// untilNextTimer returns the time until the earliest timer is due, rounded up so that the loop does not wake too early.
func (l *Loop) untilNextTimer() time.Duration {
	return time.Duration(math.Ceil((l.timers[0].at - l.Clock.Now()) * nanosPerSecond))
}

// timer is a function that is scheduled to run at a time.
type timer struct {
	at       relay.Seconds
	sequence uint64 // number of the RunAt call; orders timers of the same time
	run      func()
}

// timerHeap implements heap.Interface with the earliest timer first. Only container/heap calls its methods.
type timerHeap []timer

// Len implements sort.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements sort.Interface.
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}

// Swap implements sort.Interface.
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // lets the function be garbage collected
	*t = old[:len(old)-1]
	return last
}
