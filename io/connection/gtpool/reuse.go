package gtpool

import "godwittide/io/connection/gtsocket"

// isReusable reports whether an idle connection is open and has no unread bytes. A
// connection that is not a socket can't be checked and counts as reusable.
func (c *conn) isReusable() bool {
	state := gtsocket.Peek(c.nc)
	return state == gtsocket.Quiet || state == gtsocket.Unknown
}
