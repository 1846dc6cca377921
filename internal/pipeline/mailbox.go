package pipeline

import (
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// Event is something that happened outside the loop. An event whose time matters carries it, as the event may wait in
// the queue.
type Event interface {
	// Apply updates the loop's state for the event. It runs on the loop goroutine and must not block.
	Apply(l *Loop)
}

// Func is an event that runs a function on the loop.
type Func func(l *Loop)

// Apply implements Event.
func (f Func) Apply(l *Loop) { f(l) }

// Post queues an event for the loop. It never blocks and never drops an event, so the number of events has to be
// bounded by other means, such as the number of connections. Safe for concurrent use.
func (l *Loop) Post(event Event) {
	l.mu.Lock()
	l.posted = append(l.posted, event)
	l.mu.Unlock()
	select {
	case l.wakeup <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// TryPost posts an event unless the queue is full, and reports whether it did. It is meant for events that may be lost.
// Safe for concurrent use.
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

// TakePosted returns the posted events and empties the queue. The slice is valid until the next call. Must run on the
// loop goroutine.
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
