package compat_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

var addressesGiven atomic.Uint32

// freeAddress gives an address on loopback that nothing listens at. No other test and no other process has its host, and its
// port is none of those that the system gives away: it stays free until the program under test takes it.
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
