//go:build review

package main

import (
	"net"
	"syscall"
)

// waiting reports whether input waits unread on a connection.
func waiting(conn net.Conn) (found bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}
