package compat_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
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
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
	t.Fatal("found no free loopback address")
	return ""
}
