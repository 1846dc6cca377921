//go:build review

// Command shutdown is the driver of a case: a relay gets SIGTERM, and one of twenty units hangs from then on. Clients come
// until 0.4 s after SIGTERM and send their first request by 0.65 s after it. run.sh starts the relay.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/lab/fakes"
	"lichenroad/review/tools/rig"
)

const (
	deadline   = 3 * time.Second // of the only class: the longest deadline
	units      = 20
	usual      = 10
	newClients = 120
	quiet      = 3 * time.Second
	comeFrom   = 300 * time.Millisecond // after SIGTERM: new connections
	comeUntil  = 400 * time.Millisecond
	sendFrom   = 560 * time.Millisecond // their first requests
	sendUntil  = 650 * time.Millisecond
	late       = 500 * time.Millisecond // after its time an answer earns nothing; later, or never, the request is lost
)

type run struct {
	record  *rig.Record
	address string
	hangs   atomic.Bool
	stop    atomic.Bool
	ran     sync.Map // ids that a unit has begun

	sent, served, refused, failed, unread, lost atomic.Int64
}

func main() {
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "what was sent, answered and run")
	withTrouble := flag.Bool("trouble", true, "a unit hangs")
	flag.Parse()
	code, err := play(*dir, *record, *withTrouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
	}
	os.Exit(code)
}

func play(dir, recordPath string, withTrouble bool) (int, error) {
	record, err := rig.OpenRecord(recordPath)
	if err != nil {
		return rig.CantRun, err
	}
	defer record.Close()
	r := &run{record: record}
	if err := r.configure(dir); err != nil {
		return rig.CantRun, err
	}
	pid, err := rig.WaitPID(dir, "relay", 10*time.Second)
	if err != nil {
		return rig.CantRun, err
	}
	if err := rig.WaitReady(r.address, 15*time.Second); err != nil {
		return rig.CantRun, err
	}
	record.Printf("the relay is ready")
	var clients sync.WaitGroup
	for i := range usual {
		clients.Add(1)
		go func() { defer clients.Done(); r.usual(uint64(i)) }()
	}
	time.Sleep(quiet)
	r.stop.Store(true)
	clients.Wait()
	r.hangs.Store(withTrouble)
	if err := syscall.Kill(pid, syscall.SIGTERM); err != nil {
		return rig.CantRun, err
	}
	terminated := time.Now()
	record.Printf("SIGTERM; unit s-01 hangs from now on: %v", withTrouble)
	for i := range newClients {
		clients.Add(1)
		at := func(from, until time.Duration) time.Time {
			return terminated.Add(from + (until-from)*time.Duration(i)/newClients)
		}
		go func() {
			defer clients.Done()
			time.Sleep(time.Until(at(comeFrom, comeUntil)))
			c, err := rig.Dial(r.address)
			if err != nil {
				r.unread.Add(1)
				return
			}
			time.Sleep(time.Until(at(sendFrom, sendUntil)))
			r.request(c, terminated, uint64(1000+i))
			_ = c.Close()
		}()
	}
	clients.Wait()
	record.Printf("requests: %d sent, %d served, %d refused, %d failed, %d connections not taken or closed before the request was read",
		r.sent.Load(), r.served.Load(), r.refused.Load(), r.failed.Load(), r.unread.Load())
	if r.sent.Load() == r.unread.Load() {
		return rig.CantRun, fmt.Errorf("no request was taken")
	}
	if lost := r.lost.Load(); lost > 0 {
		record.Printf("BROKEN: %d requests that the relay had taken and sent to a unit were never answered", lost)
		return rig.Broken, nil
	}
	record.Printf("HELD: each request that was taken got its answer")
	return rig.Held, nil
}

// configure starts units and discovery, and writes the relay's configuration.
func (r *run) configure(dir string) error {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	var entries []fakes.Endpoint
	for i := range units {
		name := fmt.Sprintf("s-%02d", i+1)
		unit := &rig.Unit{Name: name, Record: r.record, Act: func(statement string) rig.Action {
			r.ran.Store(rig.Field(statement, "id"), name)
			return rig.Action{After: 40 * time.Millisecond, Hang: name == "s-01" && r.hangs.Load()}
		}}
		if err := unit.Start(); err != nil {
			return err
		}
		entries = append(entries, unit.Entry("a", 41))
	}
	discovery.Set(entries)
	addresses, err := fakes.FreePorts(1)
	if err != nil {
		return err
	}
	r.address = addresses[0]
	type object = map[string]any
	return rig.WriteJSON(filepath.Join(dir, "config.json"), object{
		"name": "n0", "listen": r.address, "discovery": discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  discovery.List(),
		"settings": object{
			"areas": []string{"a"}, "az": 0, "kinds": []string{"m2"}, "my_number": 0, "replicas_of_me": 1, "discovery": "subscribe",
			"grades": []object{{"name": "next-turn", "repeat": "retryable", "target": int64(1200 * time.Millisecond),
				"deadline": int64(deadline), "worth": 2}},
			"policy_limits": object{"cancel": true, "conn_idle": int64(30 * time.Second), "dial_timeout": int64(250 * time.Millisecond),
				"max_attempts": 6, "max_retry_after": int64(time.Second), "retry_after": true},
			"rules": object{"answer_slack": int64(20 * time.Millisecond), "ask_every": int64(10 * time.Second),
				"drain_grace": int64(250 * time.Millisecond)},
		},
	})
}

// usual sends one request after the other on one connection until the restart.
func (r *run) usual(number uint64) {
	c, err := rig.Dial(r.address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for i := uint64(1); !r.stop.Load(); i++ {
		r.request(c, time.Now(), (number+1)<<32|i)
		time.Sleep(100 * time.Millisecond)
	}
}

// request sends a request and waits for its answer, up to half a second after its time. A request is lost if a unit has begun
// it and the client's connection ended, or stayed silent, without an answer.
func (r *run) request(c *rig.Client, since time.Time, number uint64) {
	id := fmt.Sprintf("%016x", number)
	r.sent.Add(1)
	sentAt := time.Now()
	r.record.Printf("client sends id=%s", id)
	err := c.Send(rig.Read(number, number, "next-turn", deadline))
	var answer rig.Answer
	if err == nil {
		answer, err = c.Receive(deadline + late)
	}
	took := time.Since(sentAt).Seconds()
	unit, taken := r.ran.Load(id)
	switch {
	case err != nil && taken:
		r.lost.Add(1)
		r.record.Printf("client: id=%s, sent %.3f s after SIGTERM, run by %s: no answer, %v after %.3f s of its 3 s", id,
			sentAt.Sub(since).Seconds(), unit, err, took)
	case err != nil:
		r.unread.Add(1)
		r.record.Printf("client: id=%s: %v after %.3f s, no unit has begun it", id, err, took)
	case answer.Served:
		r.served.Add(1)
		r.record.Printf("client: id=%s: %v after %.3f s", id, answer, took)
	case answer.Code == "53300" || answer.Code == "57P03":
		r.refused.Add(1)
		r.record.Printf("client: id=%s: %v after %.3f s", id, answer, took)
	default:
		r.failed.Add(1)
		r.record.Printf("client: id=%s: %v after %.3f s", id, answer, took)
	}
}
