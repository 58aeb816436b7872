package gtnode

// hasAccounts reports whether the active configuration has client accounts.
func (n *Node) hasAccounts() bool { return n.ActiveConfig().Accounts().Len() > 0 }
