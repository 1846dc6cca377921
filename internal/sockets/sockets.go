// Package sockets provides operations on descriptors that the network library lacks: checking whether a socket has unread
// input or unsent output or a listener has connections to accept, making a listener stop accepting without closing it, and
// setting the sizes of the kernel's buffers. The functions have no state, are safe for concurrent use and never block. The package imports
// golang.org/x/sys/unix and the standard library.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Poll reports whether a socket has unread input or a connection to accept (readable), and whether it has been closed by
// the peer or has an error (ended). The caller must make sure that the descriptor is not closed meanwhile.
func Poll(fd int) (readable, ended bool) {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	_, _ = unix.Poll(fds[:], 0) // an interrupted call reports nothing, like one made slightly earlier
	events := fds[0].Revents
	return events&unix.POLLIN != 0, events&^unix.POLLIN != 0
}

// Readable reports whether a socket has unread input, a connection to accept or an error, or was closed by the peer. The
// caller must make sure that the descriptor is not closed meanwhile.
func Readable(fd int) bool {
	readable, ended := Poll(fd)
	return readable || ended
}

// HasBacklog reports whether a TCP listener has connections to accept. For other listeners it returns false.
func HasBacklog(listener net.Listener) (waiting bool) {
	withDescriptor(listener, func(fd uintptr) { waiting = Readable(int(fd)) })
	return waiting
}

// StopAccepting makes a TCP listener refuse new connections without closing it, so that its descriptor is not reused while
// the network library's poller still has it registered. The library's own shutdown closes the descriptor twice, and the
// second close may hit a descriptor that another part of the program has opened in between.
func StopAccepting(listener net.Listener) {
	withDescriptor(listener, func(fd uintptr) {
		_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // fails only if the listener has already stopped accepting
	})
}

// Listen listens on a TCP address. The kernel holds at most twice receiveBuffer bytes of unread input for each connection that
// is accepted. The returned error is that of the socket.
func Listen(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = SetReceiveBuffer(int(fd), receiveBuffer) })
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// SetReceiveBuffer sets the size in bytes of a socket's receive buffer, which the kernel doubles and from then on does not
// change by itself. Connections inherit it from their listener. The caller must make sure that the descriptor is not closed
// meanwhile.
func SetReceiveBuffer(fd, bytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// SetSendBuffer sets the size in bytes of the send buffer of a listener's connections. An empty one takes at least as much output
// without waiting for the peer. It does nothing for a listener that is closed or not TCP.
func SetSendBuffer(listener net.Listener, bytes int) {
	withDescriptor(listener, func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes) // never fails for an open socket
	})
}

// Unsent returns the number of bytes that were written to a socket and that the peer has not acknowledged; 0 if that can't be
// told. The caller must make sure that the descriptor is not closed meanwhile.
func Unsent(fd int) int {
	unsent, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return unsent
}

// withDescriptor calls a function with the descriptor of a listener. It does nothing if the listener is closed or not TCP.
func withDescriptor(listener net.Listener, call func(fd uintptr)) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // only a listener that was never opened has no descriptor
	}
	_ = raw.Control(call) // fails only for a closed listener, which has no connections to accept
}
