package pipeline

import (
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// Event is something that happened outside the loop. It carries the time at which it happened where that matters, as it
// may wait in the queue.
type Event interface {
	// Apply takes the event in. It runs on the loop and does not block.
	Apply(l *Loop)
}

// Func is an event that runs a function on the loop.
type Func func(l *Loop)

// Apply implements Event.
func (f Func) Apply(l *Loop) { f(l) }

// Post hands an event to the loop. It never blocks and never loses an event; whoever calls it is bounded by other means,
// such as the number of connections. On any goroutine.
func (l *Loop) Post(event Event) {
	l.mu.Lock()
	l.posted = append(l.posted, event)
	l.mu.Unlock()
	select {
	case l.wakeup <- struct{}{}:
	default: // the loop is to wake up already
	}
}

// TryPost posts an event that may be lost, and says whether the queue had space for it. On any goroutine.
func (l *Loop) TryPost(event Event) bool {
	l.mu.Lock()
	full := len(l.posted) >= limits.MaxQueuedEvents
	l.mu.Unlock()
	if full {
		l.Metrics.Add(metrics.QueueLimitReached, 1)
		return false
	}
	l.Post(event)
	return true
}

// TakePosted empties the queue of posted events. The slice is good until the next call. Only on the loop.
func (l *Loop) TakePosted() []Event {
	clear(l.spare)
	if cap(l.spare) > limits.MaxRetainedEvents {
		l.spare = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spare, l.posted = l.posted, l.spare[:0]
	return l.spare
}
