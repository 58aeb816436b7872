package gtnode

import (
	"godwittide/core/process/gtaccountstats"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

// AccountStatus is the state of a client account at a node, as returned by GET /accounts of
// the admin address. Served and Refused count the requests of callers of this node since
// it started. Share is the account's part of all requests served for accounts.
type AccountStatus struct {
	Name    string   `json:"name"`
	Rank    *float64 `json:"rank,omitempty"`
	Served  uint64   `json:"served"`
	Refused uint64   `json:"refused"`
	Share   float64  `json:"share"`
}

// hasAccounts reports whether the active configuration has client accounts.
func (n *Node) hasAccounts() bool { return n.ActiveConfig().Accounts().Len() > 0 }

// recordAccount counts the response to a request that was sent on behalf of an account. An
// error that leaves open whether the request ran counts as neither served nor refused.
func (n *Node) recordAccount(c gtcall.Call, err error) {
	if c.Account() == "" {
		return
	}
	name, result := "account_served", gtaccountstats.Served
	if err != nil {
		if gtkind.Of(err).Row().Certainty() != gtkind.NotRun {
			return
		}
		name, result = "account_refused", gtaccountstats.Refused
	}
	n.accounts.Record(c.Account(), result)
	n.scope.Tagged(map[string]string{"account": n.accounts.Label(c.Account())}).Counter(name).Inc(1)
}

// pruneAccounts deletes the counts of accounts that the active configuration doesn't have.
func (n *Node) pruneAccounts() {
	index := n.ActiveConfig().Accounts()
	n.accounts.Prune(func(account string) bool {
		_, ok := index.Account(account)
		return ok
	})
}

// AccountStatuses returns the state of each account of the active configuration, in the
// order of their names.
func (n *Node) AccountStatuses() []AccountStatus {
	list := []AccountStatus{}
	total := uint64(0)
	for _, a := range n.ActiveConfig().Accounts().All() {
		counts := n.accounts.Counts(a.Name())
		s := AccountStatus{Name: a.Name(), Served: counts.Served(), Refused: counts.Refused()}
		if a.HasRank() {
			rank := a.Rank()
			s.Rank = &rank
		}
		total += s.Served
		list = append(list, s)
	}
	for i := range list {
		if total > 0 {
			list[i].Share = float64(list[i].Served) / float64(total)
		}
	}
	return list
}
