// Package sockets asks the kernel about descriptors what the network library does not tell: whether input waits on a
// socket, whether connections wait at a listener, and how to take a listener out of service without closing it. It owns no
// state, may be called on any goroutine, never blocks, and imports golang.org/x/sys/unix alone.
package sockets

import (
	"net"

	"golang.org/x/sys/unix"
)

// Poll says what waits on a socket: input or a connection (readable), and its end or an error (ended). The caller sees to
// it that the descriptor is not closed meanwhile.
func Poll(fd int) (readable, ended bool) {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	_, _ = unix.Poll(fds[:], 0) // an interrupted call finds nothing, as one a moment earlier would
	events := fds[0].Revents
	return events&unix.POLLIN != 0, events&^unix.POLLIN != 0
}

// Readable says whether anything waits on a socket: input, a connection, its end or an error. The caller sees to it that
// the descriptor is not closed meanwhile.
func Readable(fd int) bool {
	readable, ended := Poll(fd)
	return readable || ended
}

// HasBacklog says whether connections wait to be accepted. Of a listener that is not TCP it says no.
func HasBacklog(listener net.Listener) (waiting bool) {
	control(listener, func(fd uintptr) { waiting = Readable(int(fd)) })
	return waiting
}

// StopAccepting takes a listening TCP socket out of service without closing it, so that no other socket gets its descriptor
// while the library's poller still knows it. The library's own way closes the descriptor that it polls twice, and the second
// time may close what another part of the program has opened in between.
func StopAccepting(listener net.Listener) {
	control(listener, func(fd uintptr) {
		_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // fails only where the socket is out of service already
	})
}

// control calls a function with the descriptor of a TCP listener, unless that is closed.
func control(listener net.Listener, call func(fd uintptr)) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // only a listener that was never open has none
	}
	_ = raw.Control(call) // fails only for a closed listener, at which nothing waits
}
