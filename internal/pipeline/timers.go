package pipeline

import (
	"container/heap"
	"math"
	"time"

	"lichenroad/relay"
)

// RunAt runs a function on the loop at or after a time. Functions of the same time run in the order of the calls. Only on
// the loop.
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

// untilNextTimer is the time until the earliest timer is due, rounded up so that it is never early.
func (l *Loop) untilNextTimer() time.Duration {
	return time.Duration(math.Ceil((l.timers[0].at - l.Clock.Now()) * nanosPerSecond))
}

// timer is a function that runs at a time.
type timer struct {
	at       relay.Seconds
	sequence uint64 // of the calls of RunAt
	run      func()
}

// timerHeap implements heap.Interface, the earliest timer first. Its methods are called by container/heap alone, whose
// interface has the element as any.
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
	old[len(old)-1] = timer{} // lets go of the function
	*t = old[:len(old)-1]
	return last
}
