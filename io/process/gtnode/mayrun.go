package gtnode

import (
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

// mayRun returns an error with a kind of certainty NotRun if a call may not run on the local
// backend server.
func (n *Node) mayRun(c gtcall.Call) error {
	if n.outlastsShutdown(c) && n.hasOtherReady() {
		return gtkind.New(gtkind.Leaving, "this node shuts down before the deadline of the request, and other instances are ready")
	}
	return n.checkVersion(c)
}

// outlastsShutdown reports whether the deadline of a call lies beyond the end of this node's
// shutdown, which would break it off.
func (n *Node) outlastsShutdown(c gtcall.Call) bool {
	return n.drain.Begun() && c.Deadline().After(n.timer.Time().Add(n.drain.Left()))
}

// hasOtherReady reports whether another instance of this node's service and version is ready.
func (n *Node) hasOtherReady() bool {
	self := n.table.Self()
	for _, r := range n.table.ServiceMembers(self.Service()) {
		if r.Instance() != self.Instance() && r.Version() == self.Version() && r.State() == gtmember.Ready {
			return true
		}
	}
	return false
}
