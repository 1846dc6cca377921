package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is the program itself, started again; it ends with the one that started it.
type Process struct {
	cmd  *exec.Cmd
	Done chan struct{} // closed when it has ended
}

// Start runs a program with some words. Its log goes to a file of its own in a directory, lines of its standard output
// to each, where that is given.
func StartProcess(self, dir string, each func(string), words ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(self, words...), Done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "LICHENROAD_AS_PROGRAM=1")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.log", words[0], time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		log.Close()
		return nil, err
	}
	go func() {
		for r := bufio.NewScanner(out); r.Scan(); {
			if each != nil {
				each(r.Text())
			}
		}
		p.cmd.Wait()
		log.Close()
		close(p.Done)
	}()
	return p, nil
}

// Kill sends it a signal.
func (p *Process) Signal(sig syscall.Signal) { p.cmd.Process.Signal(sig) }

// FreePorts gives addresses on loopback that were free a moment ago.
func FreePorts(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// Reach waits until a process takes connections.
func WaitListening(address string, p *Process) error {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return nil
		}
		select {
		case <-p.Done:
			return errors.New("it ended at once")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("it does not answer")
}
