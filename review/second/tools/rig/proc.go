//go:build review

// Command rig runs one case of the second review: it starts the project's programs as processes, plays clients, units,
// discovery and platform on loopback, and checks one rule on what these stand-ins saw.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is the state that all parts of a case share.
type rig struct {
	dir     string // temporary
	trouble bool
	start   time.Time

	mu     sync.Mutex // guards record and children
	record *bufio.Writer
	file   *os.File
	procs  []*process
}

func newRig(recordPath string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file), file: file}, nil
}

// since returns the seconds since the start of the case.
func (r *rig) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// log writes a line to record.txt.
func (r *rig) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *rig) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "DIR")
	fmt.Fprintf(r.record, "%8.3f %s\n", r.since(at), line)
}

// say writes a line to record.txt and to standard output.
func (r *rig) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// end kills every process that was started and removes the temporary folder.
func (r *rig) end() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// process is a program of the project that the case started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	logPath string
}

// startProcess runs a shell command, which is expected to exec the program. Its output goes to a file in the temporary folder.
func (r *rig) startProcess(name, command string, env ...string) (*process, error) {
	p := &process{command: exec.Command("/bin/sh", "-c", command), done: make(chan struct{}), logPath: filepath.Join(r.dir, name+".log")}
	p.command.Env = append(os.Environ(), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p.command.Stdout, p.command.Stderr = out, out
	started := make(chan error)
	go func() { // Pdeathsig follows the thread that forks, so it must stay
		lockThread()
		err := p.command.Start()
		started <- err
		if err == nil {
			_ = p.command.Wait()
		}
		_ = out.Close()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.log("process %s started, pid %d: %s", name, p.command.Process.Pid, command)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if !p.ended() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// logTail returns the last lines of the program's output.
func (p *process) logTail(n int) string {
	text, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// startRelay starts a relay by the line `run` of the deploy file.
func (r *rig) startRelay(name string, config map[string]any) (*process, error) {
	path := filepath.Join(r.dir, name+".json")
	if err := writeConfig(path, config); err != nil {
		return nil, err
	}
	return r.startProcess(name, runLine(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+name, "BALANCER_LISTEN="+config["listen"].(string))
}

func writeConfig(path string, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// runLine returns the line `run` of the deploy file.
func runLine() string {
	text, _ := os.ReadFile("deploy/balancer.toml")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(rest, `"`)
		}
	}
	return "exec bin/lichenroad serve"
}

// freeAddress returns a loopback address whose port is free, below the range from which the kernel picks ports by itself.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// longestHoldUp is how long the pages allow a relay to be held up.
const longestHoldUp = 150 * time.Millisecond

// spin waits without sleeping, for times that must be met to the millisecond.
func spin(until time.Time) {
	for time.Now().Before(until) {
	}
}
