package fakes

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
)

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
