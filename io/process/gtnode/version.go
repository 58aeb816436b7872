package gtnode

import (
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// checkVersion returns an error of kind Leaving if the version of the local backend
// server is the new one of a move that this node knows to be halted or rolled back. Other
// nodes may not have heard of it yet, and send requests by the share before.
func (n *Node) checkVersion(gtcall.Call) error {
	self := n.table.Self()
	m, ok := n.holder.Current().Config().Move(self.Service())
	if !ok || self.Version() != m.To() || !n.isWithdrawn(m) {
		return nil
	}
	return gtkind.New(gtkind.Leaving, "version %q of service %q is halted or rolled back", self.Version(), self.Service())
}

// isWithdrawn reports whether the new version of a move is known to get no requests. A
// node that has started doesn't know the state of a move yet, which says nothing.
func (n *Node) isWithdrawn(m gtconfig.Move) bool {
	_, started := n.moves.State(m.ID())
	_, halted := n.moves.Halt(m.ID())
	return (started || halted) && n.moves.Share(m) <= 0
}
