package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Unit is an entry of discovery's list.
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

// Discovery tells relays of planners, as the list is set.
type Discovery struct {
	mu         sync.Mutex
	units      []Endpoint
	generation int
	changed    chan struct{}
	ln         net.Listener
	srv        *http.Server
}

// NewDiscovery listens on loopback.
func NewDiscovery() (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{changed: make(chan struct{}), ln: ln, generation: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { d.srv.Close() }

// Set puts another list in place.
func (d *Discovery) Set(units []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.units, d.generation = append([]Endpoint(nil), units...), d.generation+1
	close(d.changed)
	d.changed = make(chan struct{})
}

// List is the list as JSON, as a relay's configuration holds it.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"generation": d.generation, "reset": true, "instances": d.units})
	return b
}

// targets answers a call: the whole list, at once or, for a watch, when there is a newer one.
func (d *Discovery) targets(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err == nil {
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		late := time.After(time.Duration(min(max(ms, 0), 60000)) * time.Millisecond)
		for waiting := true; waiting; {
			d.mu.Lock()
			newer, changed := d.generation > after, d.changed
			d.mu.Unlock()
			if newer {
				break
			}
			select {
			case <-changed:
			case <-late:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	b := d.List()
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}
