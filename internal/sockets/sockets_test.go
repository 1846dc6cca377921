package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout is how long a test waits for something that should happen immediately.
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

// dial connects to a listener.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

// accept accepts a connection and returns the access to its descriptor.
func accept(t *testing.T, listener net.Listener) syscall.RawConn {
	t.Helper()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// waitFor waits until a condition holds, and fails the test after testTimeout.
func waitFor(t *testing.T, condition func() bool, failure string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// TestReadable checks that connections in a listener's backlog and bytes in a socket's receive buffer are reported.
func TestReadable(t *testing.T) {
	listener := listen(t)
	if HasBacklog(listener) {
		t.Error("backlog reported without a connection")
	}
	client := dial(t, listener)
	waitFor(t, func() bool { return HasBacklog(listener) }, "a connection in the backlog is not reported")
	raw := accept(t, listener)
	hasInput := func() (readable bool) {
		raw.Control(func(fd uintptr) { readable = Readable(int(fd)) })
		return readable
	}
	if hasInput() {
		t.Error("socket reported as readable without input")
	}
	client.Write([]byte{'Q'})
	waitFor(t, hasInput, "a byte in the receive buffer is not reported")
}

// TestStopAccepting checks that new connections are refused and the descriptor stays open.
func TestStopAccepting(t *testing.T) {
	listener := listen(t)
	StopAccepting(listener)
	if client, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		client.Close()
		t.Error("a new connection was accepted")
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if raw.Control(func(uintptr) {}) != nil {
		t.Error("the descriptor is closed")
	}
}

// TestListenBoundsReceiveBuffers checks that connections inherit the receive buffer of their listener.
func TestListenBoundsReceiveBuffers(t *testing.T) {
	const receiveBuffer = 32 << 10
	listener, err := Listen("127.0.0.1:0", receiveBuffer)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial(t, listener)
	raw := accept(t, listener)
	raw.Control(func(fd uintptr) {
		if size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); size != 2*receiveBuffer {
			t.Errorf("the receive buffer has %d bytes, want %d; error %v", size, 2*receiveBuffer, err)
		}
	})
}
