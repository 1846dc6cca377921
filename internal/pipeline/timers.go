package pipeline

import (
	"container/heap"
	"math"
	"time"

	"lichenroad/relay"
)

// RunAt schedules a function to run on the loop goroutine at the given time or a little later. Functions scheduled for
// the same time run in the order of the calls. Must run on the loop goroutine.
func (l *Loop) RunAt(at relay.Seconds, run func()) *Timer {
	l.timerSequence++
	timer := &Timer{at: at, sequence: l.timerSequence, run: run}
	heap.Push(&l.timers, timer)
	return timer
}

// StopTimer drops a timer, and with it what its function refers to. It has no effect on a nil timer, or on one that has fired or
// was stopped. Must run on the loop goroutine.
func (l *Loop) StopTimer(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&l.timers, timer.index)
	}
}

// fireTimers runs the timers that are due.
func (l *Loop) fireTimers() {
	now := l.Clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).run()
	}
}

// untilNextTimer returns the time until the earliest timer is due, rounded up so that the loop does not wake too early.
func (l *Loop) untilNextTimer() time.Duration {
	return time.Duration(math.Ceil((l.timers[0].at - l.Clock.Now()) * nanosPerSecond))
}

// Timer is a function that is scheduled to run at a time.
type Timer struct {
	at       relay.Seconds
	sequence uint64 // number of the RunAt call; orders timers of the same time
	run      func()
	index    int // in the heap; negative when it has fired or was stopped
}

// timerHeap implements heap.Interface with the earliest timer first. Only container/heap calls its methods.
type timerHeap []*Timer

// Len implements sort.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements sort.Interface.
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}

// Swap implements sort.Interface.
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*t)
	*t = append(*t, timer)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	last.index = -1
	old[len(old)-1] = nil // lets the function be garbage collected
	*t = old[:len(old)-1]
	return last
}
