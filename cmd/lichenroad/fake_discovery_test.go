package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery is a discovery service with a list that the test can change.
type fakeDiscovery struct {
	mu      sync.Mutex
	version int
	entries []map[string]any
	changed chan struct{}
	down    bool
	queue   func(call int) queueing // how calls wait for their turn; nil: they do not wait
	calls   int
	srv     *httptest.Server
}

// queueing is how a call waits for its turn: for a time, after which it is processed or fails.
type queueing struct {
	wait  time.Duration
	fails bool
}

// allCalls returns a queue that treats all calls alike.
func allCalls(q queueing) func(int) queueing { return func(int) queueing { return q } }

func newFakeDiscovery(t *testing.T, endpoints ...*fakeEndpoint) *fakeDiscovery {
	f := &fakeDiscovery{version: 1, changed: make(chan struct{})}
	for i, endpoint := range endpoints {
		f.entries = append(f.entries, map[string]any{"instanceId": fmt.Sprint("s-", i), "hostPort": endpoint.address(),
			"zone": "a", "machineType": "m1", "lifecycle": "SERVING", "build": 1})
	}
	f.srv = httptest.NewServer(f)
	t.Cleanup(func() { f.srv.Listener.Close(); f.srv.CloseClientConnections(); f.srv.Close() })
	return f
}

func (f *fakeDiscovery) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *fakeDiscovery) list() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"generation": f.version, "reset": true, "instances": f.entries})
	return string(raw)
}

// set changes the lifecycle of an entry and answers the open watches.
func (f *fakeDiscovery) set(i int, lifecycle string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[i]["lifecycle"] = lifecycle
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.awaitTurn(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.mu.Lock()
	changed := f.changed
	same := r.FormValue("after") == fmt.Sprint(f.version)
	f.mu.Unlock()
	if wait, _ := strconv.Atoi(r.FormValue("wait_ms")); same && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	io.WriteString(w, f.list())
}

// awaitTurn waits for the turn of a call, and reports whether it is processed.
func (f *fakeDiscovery) awaitTurn(r *http.Request) bool {
	f.mu.Lock()
	down, turn := f.down, queueing{}
	if f.queue != nil {
		turn = f.queue(f.calls)
	}
	f.calls++
	f.mu.Unlock()
	select {
	case <-time.After(turn.wait):
	case <-r.Context().Done():
	}
	return !down && !turn.fails
}
