//go:build review

// Command chaos mixes the disruptions of the pages at random on one relay and checks the rules on requests: each gets one
// answer that was made for it, no second effect, refusals only for what has not run, nothing after the client has gone, nothing
// new to a unit that drains. It is a search, not a case: it starts the relay itself.
package main

import (
	"bufio"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
	"lichenroad/review/tools/rig"
)

type execution struct {
	at   time.Time
	zone string
	unit string
}

type request struct {
	class    string
	sentAt   time.Time
	closedAt time.Time // of the client's connection, by itself
	runs     []execution
	answers  int
}

type world struct {
	mu       sync.Mutex
	requests map[string]*request
	record   *rig.Record
	broken   atomic.Int64
	counts   sync.Map
	stop     atomic.Bool
	trouble  float64
}

func (w *world) count(what string) {
	n, _ := w.counts.LoadOrStore(what, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (w *world) fault(format string, args ...any) {
	w.broken.Add(1)
	w.record.Printf("BROKEN "+format, args...)
	fmt.Printf("BROKEN "+format+"\n", args...)
}

var classes = []struct {
	name, repeat, group      string
	target, deadline, window time.Duration
}{
	{"next-turn", "retryable", "all", 800 * time.Millisecond, 2500 * time.Millisecond, 0},
	{"full-route", "retryable", "all", 1500 * time.Millisecond, 4 * time.Second, 0},
	{"stop-done", "dedup", "zone", time.Second, 4 * time.Second, 4 * time.Second},
	{"reassign", "fragile", "all", 1200 * time.Millisecond, 4 * time.Second, 0},
}

type unit struct {
	w         *world
	name      string
	zone      string
	listener  net.Listener
	leftAt    atomic.Int64 // when its list entry told that it drains, Unix ns; 0: it serves
	startedMs int64
	conns     sync.Map
}

func (u *unit) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	u.listener = l
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return nil
}

func (u *unit) chance(p float64) bool { return rand.Float64() < p*u.w.trouble }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (u *unit) serve(c net.Conn) {
	u.conns.Store(c, true)
	defer u.conns.Delete(c)
	defer func() { _ = c.Close() }()
	switch {
	case u.chance(0.03):
		reset(c)
		return
	case u.chance(0.05):
		time.Sleep(time.Duration(rand.Intn(400)) * time.Millisecond)
	}
	reader := bufio.NewReader(c)
	if _, _, err := fakes.ReadMessage(reader, true); err != nil {
		return
	}
	if u.chance(0.02) {
		_, _ = c.Write(pgwire.ErrorResponse(pgwire.Fatal, "53300", "too many", ""))
		return
	}
	if _, err := c.Write(pgwire.StartupResponse(1)); err != nil {
		return
	}
	for {
		if u.chance(0.02) {
			time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
			if reader.Buffered() == 0 {
				return // an idle connection is closed
			}
		}
		kind, body, err := fakes.ReadMessage(reader, false)
		if err != nil || kind != 'Q' {
			return
		}
		if !u.answer(c, strings.TrimRight(string(body), "\x00")) {
			return
		}
	}
}

func (u *unit) answer(c net.Conn, statement string) bool {
	w, now := u.w, time.Now()
	id := rig.Field(statement, "id")
	full := u.chance(0.05)
	if left := u.leftAt.Load(); left != 0 && now.UnixNano()-left > int64(350*time.Millisecond) {
		w.fault("drain: unit %s gets id=%s %.3f s after it drains", u.name, id, float64(now.UnixNano()-left)/1e9)
	}
	w.mu.Lock()
	r := w.requests[id]
	if r == nil {
		w.mu.Unlock()
		w.fault("foreign: unit %s gets %q, which nobody sent", u.name, statement)
		return false
	}
	if !r.closedAt.IsZero() && now.Sub(r.closedAt) > 120*time.Millisecond {
		w.fault("lost: id=%s begins at %s %.3f s after the client closed", id, u.name, now.Sub(r.closedAt).Seconds())
	}
	if !full {
		for _, first := range r.runs {
			switch r.class {
			case "reassign":
				w.fault("duplicate: id=%s of reassign runs at %s and at %s", id, first.unit, u.name)
			case "stop-done":
				if first.zone != u.zone || now.Sub(first.at) > 4050*time.Millisecond {
					w.fault("duplicate: id=%s of stop-done runs at %s (%s) and %.3f s later at %s (%s)", id, first.unit, first.zone,
						now.Sub(first.at).Seconds(), u.name, u.zone)
				}
			}
		}
		r.runs = append(r.runs, execution{now, u.zone, u.name})
	}
	w.mu.Unlock()
	if full {
		w.count("unit full")
		_, err := c.Write(pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "53300", "full", "")))
		return err == nil
	}
	time.Sleep(time.Duration(10+rand.Intn(90)) * time.Millisecond)
	row := pgwire.AppendReadyForQuery(fakes.Row(id))
	switch p := rand.Float64() / max(w.trouble, 1e-9); {
	case p < 0.05:
		row = pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "XX000", "failed", ""))
	case p < 0.08:
		reset(c)
		return false
	case p < 0.10:
		_, _ = c.Write(row[:rand.Intn(len(row))])
		reset(c)
		return false
	case p < 0.12:
		time.Sleep(6 * time.Second)
		return false
	case p < 0.14:
		noise := make([]byte, 5+rand.Intn(200))
		_, _ = rand.Read(noise)
		_, _ = c.Write(noise)
		time.Sleep(time.Second)
		return false
	case p < 0.15:
		spoilt := append([]byte(nil), row...)
		binary.BigEndian.PutUint32(spoilt[1:], rand.Uint32())
		_, _ = c.Write(spoilt)
		time.Sleep(time.Second)
		return false
	case p < 0.17:
		row = append(row, row...)
	case p < 0.19:
		_, _ = c.Write(row)
		time.Sleep(time.Duration(1+rand.Intn(4)) * time.Millisecond)
	case p < 0.20: // cut inside
		at := rand.Intn(len(row))
		_, _ = c.Write(row[:at])
		time.Sleep(time.Duration(rand.Intn(200)) * time.Millisecond)
		row = row[at:]
	case p < 0.21:
		spoilt := append([]byte(nil), row...)
		spoilt[rand.Intn(len(spoilt)-20)+5] ^= byte(1 + rand.Intn(255))
		if !strings.Contains(string(spoilt), id) {
			_, _ = c.Write(spoilt) // only where the value itself is hit may the relay not notice: not judged below
			w.mu.Lock()
			w.requests[id].answers = -1000
			w.mu.Unlock()
			return true
		}
		row = spoilt
	}
	_, err := c.Write(row)
	return err == nil
}

func (w *world) client(relay string, number int) {
	for next := 0; !w.stop.Load(); {
		c, err := rig.Dial(relay)
		if err != nil {
			w.count("dial: " + err.Error()[:min(len(err.Error()), 30)])
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for range 1 + rand.Intn(40) {
			if w.stop.Load() {
				break
			}
			burst := 1
			if rand.Intn(10) == 0 {
				burst = 1 + rand.Intn(4)
			}
			var ids []string
			var waits []time.Duration
			var text []byte
			for range burst {
				next++
				class := classes[rand.Intn(len(classes))]
				id := fmt.Sprintf("%08x%08x", number, next)
				deadline := time.Duration(float64(class.deadline) * (0.4 + 0.6*rand.Float64()))
				statement := fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' /* id=%s,c=%s,t=acme,d=%d */", id, id, class.name, deadline.Milliseconds())
				if class.repeat != "retryable" {
					value := strings.Repeat("ab", rand.Intn(40))
					if rand.Intn(20) == 0 {
						value = strings.Repeat("cd", 1+rand.Intn(65536))
					}
					statement = fmt.Sprintf("INSERT INTO objects (oid, body) VALUES ('%s', '\\x%s') RETURNING body /* id=%s,c=%s,t=acme,d=%d,k=%s */",
						id, value, id, class.name, deadline.Milliseconds(), id)
				}
				w.mu.Lock()
				w.requests[id] = &request{class: class.name, sentAt: time.Now()}
				w.mu.Unlock()
				ids, waits = append(ids, id), append(waits, deadline)
				text = append(text, pgwire.QueryMessage(statement)...)
			}
			if rand.Intn(30) == 0 && len(text) > 10 { // half a request, then the rest
				at := rand.Intn(len(text))
				_, _ = c.Write(text[:at])
				time.Sleep(time.Duration(rand.Intn(300)) * time.Millisecond)
				text = text[at:]
			}
			sentAt := time.Now()
			if _, err := c.Write(text); err != nil {
				break
			}
			if rand.Intn(25) == 0 { // the client leaves
				time.Sleep(time.Duration(rand.Intn(200)) * time.Millisecond)
				w.mu.Lock()
				for _, id := range ids {
					w.requests[id].closedAt = time.Now()
				}
				w.mu.Unlock()
				w.count("left")
				break
			}
			gone := false
			for i, id := range ids {
				answer, err := c.Receive(waits[i] + 600*time.Millisecond)
				took := time.Since(sentAt)
				w.mu.Lock()
				r := w.requests[id]
				ran := len(r.runs)
				unjudged := r.answers < 0
				r.answers++
				w.mu.Unlock()
				switch {
				case err != nil && ran == 0 && !strings.Contains(err.Error(), "timeout"):
					w.count("closed unread")
					if took > 5*time.Millisecond || i > 0 { // an end that crossed the request comes at once
						w.count("closed unread, late: " + err.Error()[:min(len(err.Error()), 3)])
						w.record.Printf("id=%s (%d of %d): %v after %.3f s, not run", id, i+1, len(ids), err, took.Seconds())
					}
					gone = true
				case err != nil:
					w.fault("lost: id=%s (%s, %d runs, %d of %d): %v after %.3f s of %.3f", id, r.class, ran, i+1, len(ids), err, took.Seconds(), waits[i].Seconds())
					gone = true
				case answer.Served && answer.Value != id && !unjudged:
					w.fault("foreign: id=%s is served %q", id, answer.Value)
				case answer.Served && ran == 0:
					w.fault("foreign: id=%s is served and never ran", id)
				case answer.Served:
					w.count("served " + r.class)
				case answer.Code == "53300" || answer.Code == "57P03":
					w.count("refused " + r.class)
					if ran > 0 && (r.class == "reassign" || r.class == "stop-done") {
						w.fault("duplicate: id=%s of %s has run and is refused with %s", id, r.class, answer.Code)
					}
				default:
					w.count("failed " + r.class + " " + answer.Code)
				}
				if late := took - waits[i]; err == nil && i == 0 && late > 100*time.Millisecond {
					w.fault("late: id=%s (%s) is answered %.3f s after its time", id, r.class, late.Seconds())
				}
				sentAt = time.Now()
				if gone {
					break
				}
			}
			if gone {
				break
			}
			time.Sleep(time.Duration(rand.Intn(60)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

func main() {
	seconds := flag.Int("seconds", 60, "how long")
	clients := flag.Int("clients", 40, "connections")
	trouble := flag.Float64("trouble", 1, "factor on the chances of trouble")
	restart := flag.Bool("restart", false, "SIGTERM while clients still come")
	program := flag.String("program", "exec bin/lichenroad serve", "the relay")
	flag.Parse()
	dir, _ := os.MkdirTemp("", "chaos")
	defer func() { _ = os.RemoveAll(dir) }()
	record, _ := rig.OpenRecord(filepath.Join(os.TempDir(), "chaos-record.txt"))
	w := &world{requests: map[string]*request{}, record: record, trouble: *trouble}
	var discoveries []*fakes.Discovery
	for range 2 {
		d, err := fakes.NewDiscovery()
		if err != nil {
			panic(err)
		}
		discoveries = append(discoveries, d)
	}
	var units []*unit
	for i := range 8 {
		u := &unit{w: w, name: fmt.Sprintf("s-%d", i), zone: []string{"bole", "kality"}[i%2]}
		if err := u.listen(); err != nil {
			panic(err)
		}
		units = append(units, u)
	}
	publish := func(skip map[*unit]string) {
		var list []fakes.Endpoint
		for i, u := range units {
			state := "SERVING"
			if s, ok := skip[u]; ok {
				state = s
			}
			if state == "DELETED" {
				continue
			}
			list = append(list, fakes.Endpoint{ID: u.name, HostPort: u.listener.Addr().String(), Zone: u.zone, MachineType: "m2",
				FailureDomain: i / 2, Lifecycle: state, Weight: 1, StartedMs: u.startedMs, Build: 41})
		}
		for _, d := range discoveries {
			d.Set(list)
		}
	}
	publish(nil)
	address, _ := fakes.FreePorts(1)
	type object = map[string]any
	var grades []object
	for _, c := range classes {
		grades = append(grades, object{"name": c.name, "repeat": c.repeat, "group": c.group, "target": int64(c.target),
			"deadline": int64(c.deadline), "repeat_window": int64(c.window), "worth": 1})
	}
	configuration := func(d *fakes.Discovery) object {
		return object{"name": "n0", "listen": address[0], "discovery": d.Addr(), "seed": fmt.Sprintf("%x", rand.Uint32()),
			"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": d.List(),
			"settings": object{"areas": []string{"bole", "kality"}, "az": 0, "kinds": []string{"m2"}, "my_number": 0, "replicas_of_me": 1,
				"discovery": "subscribe", "grades": grades, "tenants": []object{{"name": "acme", "share": 1.0, "quota_per_s": 1000}},
				"policy_limits": object{"cancel": true, "conn_idle": int64(30 * time.Second), "dial_timeout": int64(250 * time.Millisecond),
					"max_attempts": 3, "max_retry_after": int64(time.Second), "retry_after": true, "parallel_tries": true},
				"rules": object{"answer_slack": int64(20 * time.Millisecond), "ask_every": int64(10 * time.Second), "drain_grace": int64(250 * time.Millisecond)}}}
	}
	path := filepath.Join(dir, "config.json")
	_ = rig.WriteJSON(path, configuration(discoveries[0]))
	relay := exec.Command("/bin/sh", "-c", *program)
	relay.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	log, _ := os.Create(filepath.Join(os.TempDir(), "chaos-relay.log"))
	relay.Stderr = log
	if err := relay.Start(); err != nil {
		panic(err)
	}
	if err := rig.WaitReady(address[0], 10*time.Second); err != nil {
		panic(err)
	}
	var wg sync.WaitGroup
	for i := range *clients {
		wg.Add(1)
		go func() { defer wg.Done(); w.client(address[0], i) }()
	}
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(300+rand.Intn(1200)) * time.Millisecond)
		if *trouble == 0 {
			continue
		}
		u := units[rand.Intn(len(units))]
		publish(map[*unit]string{u: "DRAINING"})
		u.leftAt.Store(time.Now().UnixNano())
		time.Sleep(time.Duration(300+rand.Intn(700)) * time.Millisecond)
		publish(map[*unit]string{u: "DELETED"})
		time.Sleep(time.Duration(rand.Intn(300)) * time.Millisecond)
		u.conns.Range(func(c, _ any) bool { reset(c.(net.Conn)); return true })
		time.Sleep(time.Duration(rand.Intn(500)) * time.Millisecond)
		u.startedMs = time.Now().UnixMilli()
		u.leftAt.Store(0)
		publish(nil)
		if n%5 == 4 {
			_ = rig.WriteJSON(path, configuration(discoveries[(n/5+1)%2]))
			_ = relay.Process.Signal(syscall.SIGHUP)
		}
	}
	if *restart {
		record.Printf("SIGTERM")
		_ = relay.Process.Signal(syscall.SIGTERM)
		time.Sleep(5 * time.Second)
	}
	w.stop.Store(true)
	wg.Wait()
	peak, err := rig.PeakMemory(relay.Process.Pid)
	fmt.Println("peak KiB", peak, err)
	_ = relay.Process.Signal(syscall.SIGTERM)
	fmt.Println("relay ended:", relay.Wait())
	w.counts.Range(func(k, v any) bool { fmt.Printf("%s: %d\n", k, v.(*atomic.Int64).Load()); return true })
	fmt.Println("requests", len(w.requests), "broken", w.broken.Load())
	if w.broken.Load() > 0 {
		os.Exit(1)
	}
}
