package gtnode

import (
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// checkVersion returns an error if a call may not run on the local backend server because
// its version is the new one of a move. The kind is Leaving if this node knows the move to
// be halted or rolled back: other nodes may not have heard of it yet, and send requests by
// the share before. It is Refused if the call was meant for the old version, which the
// backend server had before: the record by which the sender picked it is outdated.
func (n *Node) checkVersion(c gtcall.Call) error {
	self := n.table.Self()
	m, ok := n.holder.Current().Config().Move(self.Service())
	if !ok || self.Version() != m.To() {
		return nil
	}
	if n.isWithdrawn(m) {
		return gtkind.New(gtkind.Leaving, "version %q of service %q is halted or rolled back", self.Version(), self.Service())
	}
	if c.Version() != "" && c.Version() != self.Version() && n.moves.Share(m) < 1 {
		return gtkind.New(gtkind.Refused, "the backend server has version %q, the request is meant for %.64q", self.Version(), c.Version())
	}
	return nil
}

// isWithdrawn reports whether the new version of a move is known to get no requests. A
// node that has started doesn't know the state of a move yet, which says nothing.
func (n *Node) isWithdrawn(m gtconfig.Move) bool {
	_, started := n.moves.State(m.ID())
	_, halted := n.moves.Halt(m.ID())
	return (started || halted) && n.moves.Share(m) <= 0
}
