package main

import (
	"io"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// lines is a writer for the log that never holds its callers up: whoever reads the log may be slow, and the
// loop must not wait for it. Lines that find the queue full are dropped and counted.
type lines struct {
	queue chan []byte
	done  chan struct{}
	stats *metrics.Counters
}

func newLines(to io.Writer, counters *metrics.Counters) *lines {
	l := &lines{make(chan []byte, limits.MaxQueuedLogLines), make(chan struct{}), counters}
	go func() {
		defer close(l.done)
		for b := range l.queue {
			to.Write(b)
		}
	}()
	return l
}

// Write takes one line.
func (l *lines) Write(b []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), b...):
	default:
		l.stats.Add(metrics.LogDropped, 1)
	}
	return len(b), nil
}

// Close writes what is queued, but does not wait for long. No line may come after it.
func (l *lines) Close() error {
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(limits.LogFlushTimeout):
	}
	return nil
}
