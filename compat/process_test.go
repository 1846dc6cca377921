package compat_test

import (
	"bytes"
	"context"
	"errors"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testTimeout is how long a test waits for what should come at once; a test that reaches it fails.
const testTimeout = 30 * time.Second

// result is the output and exit code of a command.
type result struct {
	out, errs string
	code      int
}

// call runs the tool to its end, in an environment without its variables.
func call(t *testing.T, args ...string) result {
	t.Helper()
	return callIn(t, "", args...)
}

// callIn is call in a directory.
func callIn(t *testing.T, dir string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program("lichenroad"), args...)
	command.Dir, command.Env = dir, []string{"TZ=UTC"}
	var out, errs bytes.Buffer
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if ctx.Err() != nil {
		t.Fatalf("%s: still runs", strings.Join(args, " "))
	}
	return result{out.String(), errs.String(), command.ProcessState.ExitCode()}
}

// errorLines are the lines on standard error.
func (r result) errorLines() []string {
	text := strings.TrimRight(r.errs, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// process is a run of the tool in the background. A goroutine of run waits for its end, sets code and closes ended.
type process struct {
	t       *testing.T
	command *exec.Cmd
	logged  *lockedBuffer
	ended   chan struct{}
	code    int
}

// lockedBuffer collects what a process writes while it runs.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// run starts the tool. It is killed at the end of the test if it still runs.
func run(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(program("lichenroad"), args...), logged: &lockedBuffer{}, ended: make(chan struct{})}
	p.command.Env = []string{"TZ=UTC"}
	p.command.Stdout, p.command.Stderr = p.logged, p.logged
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.command.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("%s said:\n%s", strings.Join(args, " "), p.logged)
		}
	})
	return p
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop sends SIGTERM; the process must exit with 0.
func (p *process) stop() {
	p.t.Helper()
	p.command.Process.Signal(syscall.SIGTERM)
	p.wait(0)
}

// wait waits for the end of the process and checks its exit code.
func (p *process) wait(code int) {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(testTimeout):
		p.t.Fatal("the process does not end")
	}
	if p.code != code {
		p.t.Fatalf("exit code %d, want %d", p.code, code)
	}
}

// eventually polls a condition until it holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}
