// Package sockets has what connections need to know of their descriptors that the library does not tell.
package sockets

import (
	"net"

	"golang.org/x/sys/unix"
)

// Look says what has come on a socket: bytes or a connection, and its end.
func Look(fd int) (came, ended bool) {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	unix.Poll(fds[:], 0)
	got := fds[0].Revents
	return got&unix.POLLIN != 0, got&^unix.POLLIN != 0
}

// Readable says that something has come on a socket, whatever it is. The descriptor has to be held against being closed
// meanwhile.
func Readable(fd int) bool {
	came, ended := Look(fd)
	return came || ended
}

// Backlog says that connections wait to be accepted.
func Backlog(ln net.Listener) (is bool) {
	control(ln, func(fd uintptr) { is = Readable(int(fd)) })
	return is
}

// StopAccepting takes a listening socket out of service without closing it: its number can't be taken by another socket while
// the library's poller still knows it. The library's own way closes the number it polls twice, and may so close what
// another part of the program has opened in between.
func StopAccepting(ln net.Listener) {
	control(ln, func(fd uintptr) { unix.Shutdown(int(fd), unix.SHUT_RDWR) })
}

func control(ln net.Listener, f func(fd uintptr)) {
	if t, ok := ln.(*net.TCPListener); ok {
		if raw, err := t.SyscallConn(); err == nil {
			raw.Control(f)
		}
	}
}
