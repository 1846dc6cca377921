package fakes

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestFreePortsAreNotTakenByOthers guards against a port of FreePorts that the kernel gives to another socket before the
// process that it is meant for has bound it, and against a port that FreePorts returns twice.
func TestFreePortsAreNotTakenByOthers(t *testing.T) {
	const calls, portsPerCall = 200, 10
	given := map[string]bool{}
	for range calls {
		addresses, err := FreePorts(portsPerCall)
		if err != nil || len(addresses) != portsPerCall {
			t.Fatalf("got addresses %v and error %v, want %d addresses", addresses, err, portsPerCall)
		}
		for _, address := range addresses {
			if given[address] {
				t.Fatalf("FreePorts returned %s twice", address)
			}
			given[address] = true
		}
	}
	for range calls * portsPerCall {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if address := listener.Addr().String(); given[address] {
			t.Errorf("the kernel chose %s, which FreePorts had returned", address)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFreePortsWhileProcessesStart guards against a port of FreePorts that accepts connections and resets them, because a process
// that another goroutine is starting holds a copy of the listening socket: WaitListening takes it for the process under test.
func TestFreePortsWhileProcessesStart(t *testing.T) {
	const (
		starters = 4
		ports    = 2000
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
	for range ports {
		addresses, err := FreePorts(1)
		if err != nil {
			t.Error(err)
			break
		}
		if conn, err := net.Dial("tcp", addresses[0]); err == nil {
			t.Errorf("port %s accepts connections", addresses[0])
			_ = conn.Close()
			break
		}
	}
	done.Store(true)
	group.Wait()
}
