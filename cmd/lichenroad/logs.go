package main

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

// logger opens the program's log on standard error, at the level of --log-level. Writing to it never blocks. flush
// writes what waits and ends the log.
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

// asyncWriter is a writer for the log that never blocks: whoever reads the log may be slow, and the loop must not wait
// for it. Lines that find the queue full are dropped and counted. A goroutine writes the queue until Close.
type asyncWriter struct {
	queue    chan []byte
	done     chan struct{} // closed when the queue is written
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
			_, _ = to.Write(line) // there is nowhere else to say that the log can't be written
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

// Close writes what is queued, but waits limits.LogFlushTimeout at most. Write must not be called after it.
func (w *asyncWriter) Close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(limits.LogFlushTimeout):
	}
}
