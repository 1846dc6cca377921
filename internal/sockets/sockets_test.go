package sockets

import (
	"net"
	"testing"
	"time"
)

// patience is how long a test waits for what should come at once.
const testTimeout = 10 * time.Second

// TestReadableSeesWhatTheKernelHolds is the last place on the way in.
func TestReadableSeesWhatTheKernelHolds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if Backlog(ln) {
		t.Error("nobody has come")
	}
	n, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for end := time.Now().Add(testTimeout); !Backlog(ln); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection in the backlog is not seen")
		}
	}
	peer, _ := ln.Accept()
	defer peer.Close()
	raw, _ := peer.(*net.TCPConn).SyscallConn()
	seen := func() (is bool) { raw.Control(func(fd uintptr) { is = Readable(int(fd)) }); return is }
	if seen() {
		t.Error("nothing has come")
	}
	n.Write([]byte{'Q'})
	for end := time.Now().Add(testTimeout); !seen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a byte in the socket's buffer is not seen")
		}
	}
}

// TestListenerThatStopsAccepting refuses whoever comes, and leaves its number taken.
func TestListenerThatStopsAccepting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	StopAccepting(ln)
	if n, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		n.Close()
		t.Error("still taken in")
	}
	raw, _ := ln.(*net.TCPListener).SyscallConn()
	if raw.Control(func(uintptr) {}) != nil {
		t.Error("closed")
	}
}
