//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// entry is an endpoint in discovery's list.
type entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	Build     int     `json:"build"`
}

// catalog is the list that discovery serves, at any number of addresses.
type catalog struct {
	r *rig

	mu         sync.Mutex
	generation int
	entries    map[string]entry
	changedIn  map[string]int
	changed    chan struct{} // closed at the next change
}

func (r *rig) newCatalog() *catalog {
	return &catalog{r: r, generation: 1, entries: map[string]entry{}, changedIn: map[string]int{}, changed: make(chan struct{})}
}

// set changes entries; all of them in one generation.
func (d *catalog) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, e := range entries {
		d.entries[e.ID] = e
		d.changedIn[e.ID] = d.generation
		d.r.log("discovery: generation %d: %s %s build %d", d.generation, e.ID, e.Lifecycle, e.Build)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the list, or the changes after a generation if that is not negative.
func (d *catalog) list(after int) (body []byte, generation int, empty bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := after < 0 || after > d.generation
	entries := []entry{}
	for id, e := range d.entries {
		if full && e.Lifecycle != "DELETED" || !full && d.changedIn[id] > after {
			entries = append(entries, e)
		}
	}
	body, _ = json.Marshal(map[string]any{"generation": d.generation, "reset": full, "instances": entries})
	return body, d.generation, len(entries) == 0 && !full, d.changed
}

// discovery serves a catalog at one address.
type discovery struct {
	r        *rig
	name     string
	catalog  *catalog
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// busyUntil is when discovery has worked through the calls so far; used while crowded is set.
	busyUntil time.Time
	crowded   bool
	// watchEnds is when the wait of the last call that waits is over.
	watchEnds time.Time
}

func (r *rig) newDiscovery(name string, c *catalog) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{r: r, name: name, catalog: c, listener: listener}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// callWork is what discovery needs for a call while it is crowded, and longestWait how long a call waits for its turn.
const (
	callWork    = 25 * time.Millisecond
	longestWait = 2 * time.Second
)

// crowd makes discovery work through calls in turn, and has a number of other callers call it at this moment.
func (d *discovery) crowd(callers int) {
	d.mu.Lock()
	d.crowded, d.busyUntil = true, time.Now()
	d.mu.Unlock()
	var answered, refused atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			q, _ := http.NewRequest(http.MethodGet, "http://"+d.address()+"/api/targets", nil)
			q.Header.Set("Other-Caller", "1")
			transport := &http.Transport{DisableKeepAlives: true}
			answer, err := transport.RoundTrip(q)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				answered.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
	waitFor(time.Second, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return time.Until(d.busyUntil) > time.Duration(callers)*callWork*9/10
	})
	d.r.log("discovery %s: %d other callers are ahead", d.name, callers)
	go func() {
		group.Wait()
		d.r.log("discovery %s: of the other callers %d were answered, %d refused with 503", d.name, answered.Load(), refused.Load())
	}()
}

// waitTurn waits for the turn of a call, and reports whether it came in time.
func (d *discovery) waitTurn() bool {
	d.mu.Lock()
	if !d.crowded {
		d.mu.Unlock()
		return true
	}
	now := time.Now()
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(callWork)
	wait := d.busyUntil.Sub(now)
	d.mu.Unlock()
	time.Sleep(min(wait, longestWait))
	return wait <= longestWait
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	other := q.Header.Get("Other-Caller") != ""
	if !other {
		d.r.log("discovery %s: call %s", d.name, q.URL.RequestURI())
	}
	if !d.waitTurn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		if !other {
			d.r.log("discovery %s: 503 to %s, it has waited for %v", d.name, q.URL.RequestURI(), longestWait)
		}
		return
	}
	after := -1
	wait := time.Duration(0)
	if text := q.URL.Query().Get("after"); text != "" {
		after, _ = strconv.Atoi(text)
		ms, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
		wait = time.Duration(ms) * time.Millisecond
	}
	if wait > 0 && !other {
		d.mu.Lock()
		d.watchEnds = time.Now().Add(wait)
		d.mu.Unlock()
	}
	end := time.After(wait)
	for {
		body, generation, empty, changed := d.catalog.list(after)
		if !empty || wait == 0 {
			d.write(w, body, generation, other)
			return
		}
		select {
		case <-changed:
		case <-end:
			d.write(w, body, generation, other)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (d *discovery) write(w http.ResponseWriter, body []byte, generation int, other bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	if other {
		return
	}
	d.r.log("discovery %s: told generation %d", d.name, generation)
}

// state is where the newest build stands.
type state struct {
	build, stage int
	phase        string
	cap          float64
	since        time.Time
}

func (s state) String() string {
	return fmt.Sprintf("%d %d %s %g %d", s.build, s.stage, s.phase, s.cap, time.Since(s.since).Milliseconds())
}

// signInterval is the time between two signs of life.
const signInterval = time.Second

// platform is the release platform of one relay.
type platform struct {
	r        *rig
	name     string
	listener net.Listener
	// onVote decides on a vote: it may change the state, and returns the answer's line. Called with mu not held.
	onVote func(p *platform, vote string, write func(line string)) bool

	mu       sync.Mutex
	state    state
	watchers map[net.Conn]bool
	signedAt time.Time  // when the last sign of life was written
	news     []newsLine // what was written, in order
}

// newsLine is a state that was written to the relay.
type newsLine struct {
	at   time.Time
	line string
	cap  float64
}

func (r *rig) newPlatform(name string, s state) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{r: r, name: name, listener: listener, state: s, watchers: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	go func() {
		for range time.Tick(signInterval) {
			p.signOfLife()
		}
	}()
	return p, nil
}

// signOfLife writes the line that shows the watches that the platform is there.
func (p *platform) signOfLife() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signedAt = time.Now()
	for conn := range p.watchers {
		_, _ = conn.Write([]byte("*\r\n"))
	}
}

// nextSign returns when the next sign of life is due.
func (p *platform) nextSign() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signedAt.Add(signInterval)
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) current() state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *platform) set(s state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	p.r.log("platform %s: state is now %v", p.name, s)
}

// tell writes the present state to all watches.
func (p *platform) tell() { p.tellState(p.current()) }

// tellState writes a state to all watches.
func (p *platform) tellState(s state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.watchers {
		_, _ = conn.Write([]byte("* news " + s.String() + "\r\n"))
	}
	p.told("* news "+s.String(), s)
}

func (p *platform) told(line string, s state) {
	now := time.Now()
	p.news = append(p.news, newsLine{now, line, s.cap})
	p.r.logAt(now, "platform %s: told %q", p.name, line)
}

func (p *platform) allNews() []newsLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]newsLine(nil), p.news...)
}

func (p *platform) serve(conn net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.watchers, conn)
		p.mu.Unlock()
		_ = conn.Close()
	}()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		line := strings.TrimSuffix(lines.Text(), "\r")
		p.r.log("platform %s: got %q", p.name, line)
		switch {
		case line == "WATCH":
			p.mu.Lock()
			_, _ = conn.Write([]byte("OK\r\n* news " + p.state.String() + "\r\n"))
			p.told("* news "+p.state.String(), p.state)
			p.watchers[conn] = true
			p.mu.Unlock()
		case strings.HasPrefix(line, "VOTE "):
			write := func(text string) { _, _ = conn.Write([]byte(text + "\r\n")) }
			if p.onVote != nil && p.onVote(p, line, write) {
				continue
			}
			p.mu.Lock()
			text := "OK " + p.state.String()
			write(text)
			p.told(text, p.state)
			p.mu.Unlock()
		default:
			_, _ = conn.Write([]byte("ERR ValidationError\r\n"))
		}
	}
}

// lastWatchEnds returns when the wait of the last call that waits is over.
func (d *discovery) lastWatchEnds() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchEnds
}
