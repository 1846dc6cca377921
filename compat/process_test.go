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

// testTimeout limits the wait for something that should happen at once. A test that reaches it fails.
const testTimeout = 30 * time.Second

// result is the output and exit code of a command.
type result struct {
	stdout, stderr string
	code           int
}

// runTool runs lichenroad to its end, without the environment variables that it reads.
func runTool(t *testing.T, args ...string) result {
	t.Helper()
	return runToolIn(t, "", args...)
}

// runToolIn is runTool in a working directory.
func runToolIn(t *testing.T, dir string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, binaryPath("lichenroad"), args...)
	cmd.Dir, cmd.Env = dir, []string{"TZ=UTC"}
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if ctx.Err() != nil {
		t.Fatalf("%s: did not end in time", strings.Join(args, " "))
	}
	return result{stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()}
}

// errorLines returns the lines on standard error.
func (r result) errorLines() []string {
	text := strings.TrimRight(r.stderr, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// process is lichenroad running in the background. A goroutine that startTool starts waits for its end, sets code and closes
// ended.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	output *lockedBuffer
	ended  chan struct{}
	code   int
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

// startTool starts lichenroad. The process is killed at the end of the test if it is still running.
func startTool(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binaryPath("lichenroad"), args...), output: &lockedBuffer{}, ended: make(chan struct{})}
	p.cmd.Env = []string{"TZ=UTC"}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("output of %s:\n%s", strings.Join(args, " "), p.output)
		}
	})
	return p
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop sends SIGTERM. The process must exit with 0.
func (p *process) stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wait(0)
}

// wait waits for the end of the process and checks its exit code.
func (p *process) wait(code int) {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(testTimeout):
		p.t.Fatal("the process did not end in time")
	}
	if p.code != code {
		p.t.Fatalf("exit code %d, want %d", p.code, code)
	}
}

// eventually polls a condition until it holds, and fails after testTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}
