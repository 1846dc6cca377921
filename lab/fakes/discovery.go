package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxWatchMillis    = 60000
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID            string  `json:"instanceId"`
	HostPort      string  `json:"hostPort"`
	Zone          string  `json:"zone"`
	MachineType   string  `json:"machineType"`
	FailureDomain int     `json:"cell"`
	Lifecycle     string  `json:"lifecycle"`
	Weight        float64 `json:"weight"`
	StartedMs     int64   `json:"startedAtMs"`
	Build         int     `json:"build"`
}

// endpointList is the whole list in discovery's format.
type endpointList struct {
	Generation int        `json:"generation"`
	Instances  []Endpoint `json:"instances"`
	Reset      bool       `json:"reset"`
}

// Discovery serves an endpoint list over HTTP on loopback. Its methods are safe for any goroutine. NewDiscovery starts
// the goroutine that serves, Close ends it.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex // guards what follows
	endpoints  []Endpoint
	generation int
	changed    chan struct{} // closed when the list changes, and replaced by another
}

// NewDiscovery starts to serve an empty list.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, changed: make(chan struct{}), generation: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.server.Serve(listener) }() // it ends by Close, with an error that says so
	return d, nil
}

// Addr is the address on which it listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops serving, and cuts off calls that wait.
func (d *Discovery) Close() {
	_ = d.server.Close() // a listener that fails to close changes nothing for those who called
}

// Set replaces the list.
func (d *Discovery) Set(endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = append([]Endpoint(nil), endpoints...) // an empty list is null in JSON, not []
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the list as JSON, as a relay's configuration holds it.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Only a weight that is no number could fail to be encoded.
	list, _ := json.Marshal(endpointList{Generation: d.generation, Instances: d.endpoints, Reset: true})
	return list
}

// targets answers a call with the whole list: at once, or for a watch (after=GENERATION&wait_ms=N) when there is a newer
// one or its time is over.
func (d *Discovery) targets(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if after, err := strconv.Atoi(query.Get("after")); err == nil {
		millis, _ := strconv.Atoi(query.Get("wait_ms")) // 0 where there is none
		wait := time.Duration(min(max(millis, 0), maxWatchMillis)) * time.Millisecond
		if err := d.waitNewer(r.Context(), after, wait); err != nil {
			return
		}
	}
	list := d.List()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	_, _ = w.Write(list) // a relay that went away calls again
}

// waitNewer returns when the list is newer than a generation or the time is over, or with the context's error.
func (d *Discovery) waitNewer(ctx context.Context, after int, wait time.Duration) error {
	timeout := time.After(wait)
	for {
		d.mu.Lock()
		newer, changed := d.generation > after, d.changed
		d.mu.Unlock()
		if newer {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
