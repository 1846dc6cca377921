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

// Endpoint is an entry of the endpoint list, in the discovery service's JSON format.
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

// endpointList is the complete list, in the discovery service's JSON format.
type endpointList struct {
	Generation int        `json:"generation"`
	Instances  []Endpoint `json:"instances"`
	Reset      bool       `json:"reset"`
}

// Discovery is a discovery service that serves an endpoint list over HTTP on loopback. Its methods are safe for concurrent
// use.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex // guards the fields below
	endpoints  []Endpoint
	generation int
	changed    chan struct{} // closed and replaced by a new channel when the list changes
}

// NewDiscovery starts to serve an empty list, on a goroutine that ends with Close.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, changed: make(chan struct{}), generation: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.server.Serve(listener) }() // always returns an error; after Close it is http.ErrServerClosed
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the service and closes the connections of watches that still wait.
func (d *Discovery) Close() {
	_ = d.server.Close() // connections are closed even if closing the listener fails
}

// Set replaces the list and answers the watches that wait for a newer one.
func (d *Discovery) Set(endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = append([]Endpoint(nil), endpoints...) // nil if empty, which is null in JSON and not []
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list as JSON, as discovery sends it and as a relay's configuration contains it.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Encoding fails only for a weight that is NaN or infinite, which JSON can't represent.
	list, _ := json.Marshal(endpointList{Generation: d.generation, Instances: d.endpoints, Reset: true})
	return list
}

// targets responds to a request with the complete list. A poll is answered at once; a watch (after=GENERATION&wait_ms=N) is
// answered when the list is newer than the generation, or after N milliseconds.
func (d *Discovery) targets(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if after, err := strconv.Atoi(query.Get("after")); err == nil {
		millis, _ := strconv.Atoi(query.Get("wait_ms")) // 0 if it is missing
		wait := time.Duration(min(max(millis, 0), maxWatchMillis)) * time.Millisecond
		if err := d.waitNewer(r.Context(), after, wait); err != nil {
			return
		}
	}
	list := d.List()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	_, _ = w.Write(list) // a relay whose connection broke polls again
}

// waitNewer returns nil when the list is newer than the generation after or when wait has passed, and the context's error
// when the context ends.
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
