package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	listenTimeout = 5 * time.Second
	dialInterval  = 20 * time.Millisecond
)

// Errors of WaitListening.
var (
	ErrProcessEnded = errors.New("the process ended before it accepted connections")
	ErrNotListening = errors.New("the process did not accept connections in time")
)

// Process is a child process. The kernel kills it when this process ends.
type Process struct {
	Done    chan struct{} // closed when the process has ended and its standard output has been read
	command *exec.Cmd
}

// StartProcess starts a program. The first argument, a subcommand, names the file COMMAND-TIME.log in dir that the standard
// error is written to. Each line of the standard output is passed to onLine, unless that is nil, on a goroutine that ends
// with the process.
func StartProcess(program, dir string, onLine func(string), arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...), Done: make(chan struct{})}
	p.command.Env = append(os.Environ(), "LICHENROAD_AS_PROGRAM=1") // makes the test binary of cmd/lichenroad run as the program
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.log", arguments[0], time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	output, err := p.command.StdoutPipe()
	if err == nil {
		err = p.command.Start()
	}
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	go p.follow(output, onLine, log)
	return p, nil
}

// follow passes each line of the standard output to onLine until the process ends, then closes Done.
func (p *Process) follow(output io.Reader, onLine func(string), log *os.File) {
	defer close(p.Done)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		if onLine != nil {
			onLine(lines.Text())
		}
	}
	_ = p.command.Wait() // most processes are killed; why another one failed is in its log file
	_ = log.Close()      // nothing was written through this descriptor: the process has its own
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // fails if the process has already ended, which Done reports
}

// WaitListening waits until a process accepts connections on an address. It fails with ErrProcessEnded if the process ends
// first, and with ErrNotListening after listenTimeout.
func WaitListening(address string, p *Process) error {
	for until := time.Now().Add(listenTimeout); time.Now().Before(until); {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close() // nothing was sent on it
			return nil
		}
		select {
		case <-p.Done:
			return ErrProcessEnded
		case <-time.After(dialInterval):
		}
	}
	return ErrNotListening
}
