package gtpool

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quiet says whether an idle connection is open and has nothing to read. Of a
// connection that is no socket it says so unseen.
func (c *conn) quiet() bool {
	sock, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return false
	}
	if c.nc.SetDeadline(time.Time{}) != nil {
		return false
	}
	nothing := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && nothing
}
