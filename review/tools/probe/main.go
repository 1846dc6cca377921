//go:build review

// Command probe shows four further faults that the report names and that have no case. It starts the project's programs
// itself, from the root of the project, and prints what it sees.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
	"lichenroad/review/tools/rig"
)

type object = map[string]any

var (
	dir      string
	children []*exec.Cmd
	probes   = map[string]func() error{"half": half, "order": order, "voter": voter, "drain": drain}
)

func main() {
	if len(os.Args) != 2 || probes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-probe half|order|voter|drain")
		os.Exit(rig.CantRun)
	}
	dir, _ = os.MkdirTemp("", "probe")
	err := probes[os.Args[1]]()
	for _, child := range children {
		_ = child.Process.Kill()
		_ = child.Wait()
	}
	_ = os.RemoveAll(dir)
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(rig.CantRun)
	}
}

func start(name string, env string, arguments ...string) (*exec.Cmd, error) {
	child := exec.Command(arguments[0], arguments[1:]...)
	child.Env = append(os.Environ(), env)
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	child.Stderr = log
	children = append(children, child)
	return child, child.Start()
}

// relay starts a relay that is alone in its fleet.
func relay(discovery string, known any) (string, error) {
	address, err := fakes.FreePorts(1)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	if err := rig.WriteJSON(path, object{"name": "n0", "listen": address[0], "discovery": discovery, "known": known,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": object{"my_number": 0, "replicas_of_me": 1, "discovery": "subscribe",
			"grades":        []object{{"name": "path", "repeat": "retryable", "target": int64(time.Second), "deadline": int64(4 * time.Second), "worth": 1}},
			"policy_limits": object{"cancel": true, "dial_timeout": int64(250 * time.Millisecond), "max_attempts": 5},
			"rules":         object{"ask_every": int64(10 * time.Second), "drain_grace": int64(time.Second)}},
	}); err != nil {
		return "", err
	}
	if _, err := start("relay", "BALANCER_CONFIG="+path, "/bin/sh", "-c", "exec bin/lichenroad serve"); err != nil {
		return "", err
	}
	return address[0], rig.WaitReady(address[0], 10*time.Second)
}

// half: a client stops in the middle of a request and stays.
func half() error {
	discovery, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	address, err := relay(discovery.Addr(), nil)
	if err != nil {
		return err
	}
	c, err := rig.Dial(address)
	if err != nil {
		return err
	}
	since := time.Now()
	message := pgwire.QueryMessage(rig.Read(1, 1, "path", 4*time.Second))
	if _, err := c.Write(message[:len(message)/2]); err != nil {
		return err
	}
	answer, err := c.Receive(20 * time.Second)
	fmt.Printf("half a request: %v, %v after %.1f s\n", answer, err, time.Since(since).Seconds())
	return nil
}

// controller starts a release controller with a plan for some relays, and offers a build.
func controller(relays int, perSecond int) (*exec.Cmd, []string, error) {
	addresses, err := fakes.FreePorts(relays)
	if err != nil {
		return nil, nil, err
	}
	if err := writePlan(addresses, perSecond); err != nil {
		return nil, nil, err
	}
	child, err := start("controller", "A=1", "bin/lichenroad", "controller", "run", "--plan", filepath.Join(dir, "plan.xml"), "--state", filepath.Join(dir, "state"))
	if err != nil {
		return nil, nil, err
	}
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		if err = exec.Command("bin/lichenroad", "controller", "offer", "planner", "42", "--who", "probe", "--why", "probe", "--state", filepath.Join(dir, "state")).Run(); err == nil {
			break
		}
	}
	return child, addresses, err
}

func writePlan(addresses []string, perSecond int) error {
	text := `<plan version="1"><site name="bole"/><group name="all"><customer name="acme"/></group>
<service name="planner" back-for="1s" settle="1s"><votes control="share" on="0.5" back="0.5" life="10s" per-second="` + strconv.Itoa(perSecond) + `"/>
<step name="pilot" share="0.1" cap="0.1" least="1s"><open site="bole" group="all"/></step><step name="full" share="1" cap="0.8" least="1s"/>`
	for i, address := range addresses {
		text += fmt.Sprintf("\n<relay name=\"n%d\" site=\"bole\" listen=%q/>", i, address)
	}
	return os.WriteFile(filepath.Join(dir, "plan.xml"), []byte(text+"\n</service></plan>\n"), 0o600)
}

// order: calls that are written one behind another; each second one can't be read, and must be told so.
func order() error {
	_, addresses, err := controller(1, 10000)
	if err != nil {
		return err
	}
	for round := range 5 {
		conn, err := net.Dial("tcp", addresses[0])
		if err != nil {
			return err
		}
		const calls = 400
		if _, err := conn.Write([]byte(strings.Repeat("VOTE 42 0 wait\r\nVOTE 42 0\r\n", calls/2))); err != nil {
			return err
		}
		lines, wrong, counted, throttled := bufio.NewReader(conn), 0, 0, 0
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		for i := range calls {
			line, err := lines.ReadString('\n')
			if err != nil {
				return err
			}
			valid := i%2 == 0
			switch {
			case strings.Contains(line, "Throttling"):
				throttled++
			case strings.HasPrefix(line, "OK"):
				counted++
				if !valid {
					wrong++
				}
			case valid:
				wrong++
			}
		}
		_ = conn.Close()
		fmt.Printf("round %d: %d calls, %d told OK, %d told Throttling, %d got the answer of another call (OK for a call that can't be read, or ValidationError for a vote)\n",
			round, calls, counted, throttled, wrong)
		time.Sleep(time.Second)
	}
	return nil
}

// voter: a relay that votes is taken out of the plan while its vote stands.
func voter() error {
	child, addresses, err := controller(4, 100)
	if err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	vote := func(relay int, verdict string) error {
		conn, err := net.Dial("tcp", addresses[relay])
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte("VOTE 42 0 " + verdict + "\r\n")); err != nil {
			return err
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		fmt.Printf("n%d: %s: %s\n", relay, verdict, strings.TrimSpace(line))
		return err
	}
	err = errors.Join(vote(0, "wait"), vote(1, "wait"), vote(3, "approve"))
	time.Sleep(300 * time.Millisecond)
	err = errors.Join(err, vote(0, "wait"), writePlan(addresses[:2], 100), child.Process.Signal(syscall.SIGHUP))
	fmt.Println("SIGHUP: n2 and n3 are not in the plan any more")
	time.Sleep(500 * time.Millisecond)
	err = errors.Join(err, vote(0, "wait"), vote(3, "approve"))
	log, _ := os.ReadFile(filepath.Join(dir, "controller.log"))
	for _, line := range strings.Split(string(log), "\n") {
		if strings.Contains(line, "event=moved") || strings.Contains(line, "plan reloaded") {
			fmt.Println(line)
		}
	}
	return err
}

// drain: discovery is slow: each call waits 2 s and ends with 503. Meanwhile a unit drains.
func drain() error {
	record, err := rig.OpenRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return err
	}
	var slow atomic.Bool
	var drainedAt, last, after atomic.Int64
	var entries []fakes.Endpoint
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		unit := &rig.Unit{Name: name, Record: record, Act: func(string) rig.Action {
			if at, now := drainedAt.Load(), time.Now().UnixNano(); at != 0 && name == "s-1" {
				last.Store(now - at)
				if now-at > int64(7050*time.Millisecond) {
					after.Add(1)
				}
			}
			return rig.Action{After: 20 * time.Millisecond}
		}}
		if err := unit.Start(); err != nil {
			return err
		}
		entries = append(entries, unit.Entry("a", 41))
	}
	behind, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	behind.Set(entries)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(front, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if slow.Load() {
				time.Sleep(2 * time.Second)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			for until := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				if slow.Load() { // the watch ends
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(behind.List())
		}))
	}()
	address, err := relay(front.Addr().String(), behind.List())
	if err != nil {
		return err
	}
	for i := range uint64(6) {
		c, err := rig.Dial(address)
		if err != nil {
			return err
		}
		go func() {
			for n := uint64(1); ; n++ {
				_ = c.Send(rig.Read(i<<32|n, n, "path", 2*time.Second))
				if _, err := c.Receive(3 * time.Second); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	slow.Store(true)
	time.Sleep(time.Second)
	entries[0].Lifecycle = "DRAINING"
	behind.Set(entries)
	drainedAt.Store(time.Now().UnixNano())
	time.Sleep(15 * time.Second)
	fmt.Printf("discovery answers 503 for 16 s; the unit that drains got its last request %.2f s after that, %d later than 7.05 s (6 s, the grace of 1 s, 50 ms)\n",
		float64(last.Load())/1e9, after.Load())
	return nil
}
