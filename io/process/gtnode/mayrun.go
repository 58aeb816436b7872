package gtnode

import (
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

// mayRun returns an error with a kind of certainty NotRun if a call may not run on the local
// backend server. A call that could outlast the shutdown of this node runs on another
// instance, if there is one and the sender has not tried the others: they may shut down as
// well. A node that holds keys remembers that it has refused the call.
func (n *Node) mayRun(c gtcall.Call) error {
	if n.drain.EndsBefore(c.Deadline()) && !c.IsLastAttempt() && n.hasOtherReady() {
		return gtkind.New(gtkind.Leaving, "this node shuts down before the deadline of the request, and other instances are ready")
	}
	return n.checkVersion(c)
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
