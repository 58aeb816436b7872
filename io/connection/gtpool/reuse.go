package gtpool

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and has no unread bytes.
// It peeks at the socket without blocking. A connection that is not a socket
// can't be checked and counts as reusable.
func (c *conn) isReusable() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if c.nc.SetDeadline(time.Time{}) != nil {
		return false
	}
	noInput := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noInput
}
