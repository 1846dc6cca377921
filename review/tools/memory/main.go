//go:build review

// Command memory is the driver of a case: it plays units, discovery, usual clients, clients that send values of 60 MB, and
// the platform, which kills a relay that goes over its memory. run.sh starts the relay.
package main

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
	"lichenroad/review/tools/rig"
)

const (
	memoryMB     = 64 // as deploy/sample.json has it
	usualClients = 8
	badClients   = 4
	valueBytes   = 60 << 20
	deadline     = 2500 * time.Millisecond
	quiet        = 3 * time.Second  // before the bad clients come
	trouble      = 15 * time.Second // for which they come
)

type run struct {
	record  *rig.Record
	address string
	stop    atomic.Bool

	sent, served, failed, unanswered atomic.Int64 // requests of usual clients
	badSent, badError, badClosed     atomic.Int64 // bad clients: connections, errors and ends that they got
}

func main() {
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "what was sent, answered and run")
	withTrouble := flag.Bool("trouble", true, "bad clients come")
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
	record.Printf("the relay is ready; memory_mb is %d", memoryMB)
	over := make(chan int, 1)
	go r.platform(pid, over)
	var clients sync.WaitGroup
	for i := range usualClients {
		clients.Add(1)
		go func() { defer clients.Done(); r.usual(i) }()
	}
	time.Sleep(quiet)
	if withTrouble {
		record.Printf("%d bad clients come, each with a value of %d bytes", badClients, valueBytes)
		for i := range badClients {
			clients.Add(1)
			go func() { defer clients.Done(); r.bad(i) }()
		}
	}
	code := rig.Held
	select {
	case peak := <-over:
		record.Printf("BROKEN: the relay's memory was %d KiB, over %d MB: killed by the platform", peak, memoryMB)
		code = rig.Broken
		time.Sleep(200 * time.Millisecond) // what the usual clients see
	case <-time.After(trouble):
	}
	r.stop.Store(true)
	clients.Wait()
	peak, err := rig.PeakMemory(pid)
	if code == rig.Held && (err != nil || r.unanswered.Load() > 0) {
		record.Printf("BROKEN: the relay has ended (%v), or requests were lost", err)
		code = rig.Broken
	}
	record.Printf("usual clients: %d requests, %d served, %d refused or failed, %d without an answer", r.sent.Load(), r.served.Load(),
		r.failed.Load(), r.unanswered.Load())
	record.Printf("bad clients: %d connections, %d errors, %d closes without an error", r.badSent.Load(), r.badError.Load(), r.badClosed.Load())
	if code == rig.Held {
		record.Printf("HELD: the relay's memory was at most %d KiB", peak)
	}
	return code, nil
}

// configure starts units and discovery, and writes the relay's configuration.
func (r *run) configure(dir string) error {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	var entries []fakes.Endpoint
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		unit := &rig.Unit{Name: name, Record: r.record, Act: func(string) rig.Action { return rig.Action{After: 40 * time.Millisecond} }}
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
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 384},
		"known":  discovery.List(),
		"settings": object{
			"areas": []string{"a"}, "az": 0, "kinds": []string{"m2"}, "my_number": 0, "replicas_of_me": 1, "discovery": "subscribe",
			"grades": []object{{"name": "basket", "repeat": "retryable", "target": int64(800 * time.Millisecond),
				"deadline": int64(deadline), "worth": 1}},
			"policy_limits": object{"cancel": true, "conn_idle": int64(30 * time.Second), "dial_timeout": int64(250 * time.Millisecond),
				"max_attempts": 3, "max_retry_after": int64(time.Second), "retry_after": true},
			"rules": object{"answer_slack": int64(20 * time.Millisecond), "ask_every": int64(10 * time.Second),
				"drain_grace": int64(250 * time.Millisecond)},
		},
	})
}

// platform kills the relay when its memory is over the limit.
func (r *run) platform(pid int, over chan<- int) {
	for !r.stop.Load() {
		peak, err := rig.PeakMemory(pid)
		if err != nil {
			return
		}
		if peak > memoryMB<<10 {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			over <- peak
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// usual sends a request each 100 ms on one connection.
func (r *run) usual(number int) {
	var c *rig.Client
	for i := uint64(1); !r.stop.Load(); i++ {
		time.Sleep(100 * time.Millisecond)
		if c == nil {
			var err error
			if c, err = rig.Dial(r.address); err != nil {
				continue // the relay is gone
			}
		}
		id := uint64(number)<<32 | i
		r.sent.Add(1)
		r.record.Printf("usual client %d sends id=%016x", number, id)
		err := c.Send(rig.Read(id, id, "basket", deadline))
		var answer rig.Answer
		if err == nil {
			answer, err = c.Receive(deadline + 500*time.Millisecond)
		}
		switch {
		case err != nil:
			r.unanswered.Add(1)
			r.record.Printf("usual client %d: no answer to id=%016x: %v", number, id, err)
			_ = c.Close()
			c = nil
		case answer.Served:
			r.served.Add(1)
		default:
			r.failed.Add(1)
		}
		if err == nil {
			r.record.Printf("usual client %d: id=%016x %v", number, id, answer)
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// bad sends a value of 60 MB at full speed, reads what it is sent, and sends the same again as soon as it is turned away.
func (r *run) bad(number int) {
	chunk := make([]byte, 1<<20)
	for i := range chunk {
		chunk[i] = 'a'
	}
	start := []byte("INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x")
	for !r.stop.Load() {
		c, err := rig.Dial(r.address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r.badSent.Add(1)
		r.record.Printf("bad client %d sends a value of %d bytes", number, valueBytes)
		done := make(chan struct{})
		go func() {
			defer close(done)
			answer, err := c.Receive(6 * time.Second)
			if err == nil {
				r.badError.Add(1)
				r.record.Printf("bad client %d: %v", number, answer)
			} else if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
				r.badClosed.Add(1)
			}
			_ = c.Close() // turned away
		}()
		header := binary.BigEndian.AppendUint32([]byte{pgwire.TypeQuery}, uint32(4+len(start)+valueBytes+1))
		_, err = c.Write(append(header, start...))
		for sent := 0; err == nil && sent < valueBytes; sent += len(chunk) {
			_, err = c.Write(chunk)
		}
		<-done
	}
}
