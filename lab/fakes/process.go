package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	listenTimeout = 5 * time.Second
	dialInterval  = 20 * time.Millisecond
)

// Errors of WaitListening.
var (
	ErrProcessEnded = errors.New("it ended at once")
	ErrNotListening = errors.New("it does not answer")
)

// Process is a program that was started; it is killed when the one that started it ends.
type Process struct {
	Done    chan struct{} // closed when it has ended and its output is read
	command *exec.Cmd
}

// StartProcess runs a program with arguments, the first of which is a verb. Its standard error goes to a file VERB-TIME.log
// in a directory. Each line of its standard output is passed to onLine, where that is given, on a goroutine that ends with
// the process.
func StartProcess(program, dir string, onLine func(string), arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...), Done: make(chan struct{})}
	p.command.Env = append(os.Environ(), "LICHENROAD_AS_PROGRAM=1")
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

// follow reads the output until the process ends.
func (p *Process) follow(output io.Reader, onLine func(string), log *os.File) {
	defer close(p.Done)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		if onLine != nil {
			onLine(lines.Text())
		}
	}
	_ = p.command.Wait() // most are killed; how one ended is in its log
	_ = log.Close()      // the process wrote it, by a descriptor of its own
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // it fails where the process has ended, which Done says
}

// The ports that FreePorts gives: below those that the kernel chooses for sockets without a port of their own, so that none
// of these takes one before the process it is meant for has bound it.
const (
	minFreePort = 20000
	maxFreePort = 32000
)

// lastFreePort is the last port that was given by this process. It starts at random, as other processes choose ports too.
var lastFreePort atomic.Int64

func init() { lastFreePort.Store(int64(rand.IntN(maxFreePort - minFreePort))) }

// errNoFreePort is the error where every port is in use.
var errNoFreePort = errors.New("no free port on loopback")

// FreePorts gives n addresses on loopback whose ports were free a moment ago. No port is given twice by one process until
// all have been.
func FreePorts(n int) ([]string, error) {
	var addresses []string
	for range maxFreePort - minFreePort {
		if len(addresses) == n {
			return addresses, nil
		}
		port := minFreePort + lastFreePort.Add(1)%(maxFreePort-minFreePort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return nil, errNoFreePort
}

// WaitListening returns when a process accepts connections on an address. It fails with ErrProcessEnded, or after 5 s with
// ErrNotListening.
func WaitListening(address string, p *Process) error {
	for until := time.Now().Add(listenTimeout); time.Now().Before(until); {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close() // nothing was sent
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
