package sockets

import (
	"net"
	"testing"
	"time"
)

// testTimeout is how long a test waits for what should come at once.
const testTimeout = 10 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool, failure string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// TestReadableSeesWhatTheKernelHolds checks both places on the way in: the backlog and the socket's buffer.
func TestReadableSeesWhatTheKernelHolds(t *testing.T) {
	listener := listen(t)
	if HasBacklog(listener) {
		t.Error("nobody has come")
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	waitFor(t, func() bool { return HasBacklog(listener) }, "a connection in the backlog is not seen")
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	readable := func() (is bool) {
		raw.Control(func(fd uintptr) { is = Readable(int(fd)) })
		return is
	}
	if readable() {
		t.Error("nothing has come")
	}
	client.Write([]byte{'Q'})
	waitFor(t, readable, "a byte in the socket's buffer is not seen")
}

// TestListenerThatStopsAccepting checks that new connections are refused and the descriptor stays open.
func TestListenerThatStopsAccepting(t *testing.T) {
	listener := listen(t)
	StopAccepting(listener)
	if client, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		client.Close()
		t.Error("still accepting")
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if raw.Control(func(uintptr) {}) != nil {
		t.Error("closed")
	}
}
