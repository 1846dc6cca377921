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

// The range of ports from which FreePorts chooses; maxFreePort is not part of it. It lies below the kernel's range of
// ephemeral ports: otherwise the kernel could give a chosen port to another socket before the process that it is meant for
// has bound it.
const (
	minFreePort = 20000
	maxFreePort = 32000
)

// lastFreePort, modulo the size of the range, is the offset of the port that was tried last. It starts at random, because
// other processes choose ports from the same range at the same time.
var lastFreePort atomic.Int64

func init() { lastFreePort.Store(int64(rand.IntN(maxFreePort - minFreePort))) }

var errNoFreePort = errors.New("not enough free ports on loopback")

// FreePorts returns n addresses on loopback whose ports are not in use. Calls within one process return a port again only
// after all other ports of the range were tried.
func FreePorts(n int) ([]string, error) {
	var addresses []string
	for range maxFreePort - minFreePort {
		if len(addresses) == n {
			return addresses, nil
		}
		port := minFreePort + lastFreePort.Add(1)%(maxFreePort-minFreePort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if canListen(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, errNoFreePort
}

// canListen reports whether a listener can be opened at an address. It closes that listener again. No process is started
// meanwhile: until it executes its program, a child would hold a copy of the listening socket, which would accept connections
// for a moment after canListen has returned, and reset them.
func canListen(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
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
