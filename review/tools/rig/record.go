//go:build review

// Package rig holds what the cases of the review share: a record of events, an endpoint ("unit") whose behaviour a case
// chooses, a client's connection, and helpers for relays. It is built with the tag review only.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes events with their time in seconds since the record was opened. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the file.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one event.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
