package gtsocket

import (
	"net"

	"golang.org/x/sys/unix"
)

// LiftUserTimeout removes the kernel's timeout for unacknowledged data (TCP_USER_TIMEOUT) from
// a connection, and returns a function that sets it again. It also ends connections whose
// receiver is alive but takes nothing, which is allowed while a body is forwarded.
func LiftUserTimeout(c net.Conn) (restore func()) {
	old := 0
	control(c, func(fd int) {
		v, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err == nil && v > 0 && unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0) == nil {
			old = v
		}
	})
	return func() {
		if old > 0 {
			control(c, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, old) })
		}
	}
}

// control calls fn with the descriptor of a connection, if that is a socket.
func control(c net.Conn, fn func(fd int)) {
	sc, ok := socket(c)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { fn(int(fd)) })
	}
}
