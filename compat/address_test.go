package compat_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// addressCount is the number of addresses that were tried.
var addressCount atomic.Uint32

// freeAddress returns a loopback address that is not in use. Its IP address differs from those of other tests and test
// processes, and its port is outside the system's ephemeral range, so it stays free until the program under test listens on
// it.
func freeAddress(t *testing.T) string {
	t.Helper()
	const (
		maxTries  = 100
		firstPort = 12000
	)
	for range maxTries {
		n := addressCount.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, os.Getpid()/128%256, n%250+2, firstPort+n)
		if canListen(address) {
			return address
		}
	}
	t.Fatal("found no free loopback address")
	return ""
}

// canListen reports whether a listener can be opened at an address. It closes that listener again. No process is started
// meanwhile: until it executes its program, a child would hold a copy of the listening socket, and the address would stay
// in use for a moment after canListen has returned.
func canListen(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	return true
}

// TestFreeAddressWhileProcessesStart guards against addresses that are handed out while they are still in use, because a
// process that another test is starting holds a copy of the listening socket.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const (
		starters  = 4
		addresses = 2000
	)
	var done atomic.Bool
	var group sync.WaitGroup
	for range starters {
		group.Go(func() {
			for !done.Load() {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range addresses {
		address := freeAddress(t)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("address %s is not free: %v", address, err)
			break
		}
		listener.Close()
	}
	done.Store(true)
	group.Wait()
}
