package main

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// logger returns a log to standard error at the level of --log-level, and the counters in which it counts the lines that it
// drops. Writing to the log never blocks. flush writes the queued lines and ends the log.
func (t *tool) logger() (log *logrus.Logger, counters *metrics.Counters, flush func(), err error) {
	level, err := logrus.ParseLevel(t.logLevel)
	if err != nil {
		return nil, nil, nil, err
	}
	counters = &metrics.Counters{}
	writer := newAsyncWriter(t.stderr, counters)
	log = logrus.New()
	log.SetOutput(writer)
	log.SetLevel(level)
	flush = func() {
		log.SetOutput(io.Discard)
		writer.Close()
	}
	return log, counters, flush, nil
}

// asyncWriter is the log's writer. It never blocks, because the loop must not wait for a slow reader of the log: lines
// are queued, and dropped and counted while the queue is full. A goroutine writes the queued lines until Close.
type asyncWriter struct {
	queue    chan []byte
	done     chan struct{} // closed when all queued lines are written
	counters *metrics.Counters
}

func newAsyncWriter(to io.Writer, counters *metrics.Counters) *asyncWriter {
	w := &asyncWriter{
		queue:    make(chan []byte, limits.MaxQueuedLogLines),
		done:     make(chan struct{}),
		counters: counters,
	}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			_, _ = to.Write(line) // an error can't be reported: this is the log
		}
	}()
	return w
}

// Write queues one line; it implements io.Writer and never fails. Any goroutine may call it.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.counters.Add(metrics.LogDropped, 1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written, but at most limits.LogFlushTimeout. Write must not be called after it.
func (w *asyncWriter) Close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(limits.LogFlushTimeout):
	}
}
