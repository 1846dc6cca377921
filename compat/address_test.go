package compat_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

var addressesGiven atomic.Uint32

// freeAddress returns an address on loopback that nothing listens on. Its IP address is used by no other test or process, and
// its port is outside the system's ephemeral range, so it stays free until the program under test listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		n := addressesGiven.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, os.Getpid()/128%256, n%250+2, 12000+n)
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
	t.Fatal("no address on loopback is free")
	return ""
}
