package gtnode

import (
	"context"
	"time"

	"godwittide/core/process/gtaccountstats"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtcurrent"
)

// currentCheckPeriod is the period at which a node checks whether its configuration may be
// out of date, for the log and the metrics.
const currentCheckPeriod = time.Second

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

// SinceBootTime reads the clock for the evidence that the configuration is current.
func (n *Node) SinceBootTime() time.Duration { return n.current.Clock() }

// ConfirmConfig records that the active configuration has all changes that were
// acknowledged before asOf, a time of SinceBootTime.
func (n *Node) ConfirmConfig(asOf time.Duration) { n.current.Confirm(asOf) }

// isCurrent reports whether the active configuration is known to be recent enough to accept
// keys by it.
func (n *Node) isCurrent() bool {
	return !n.Settings.Account.StrictRevoke || n.current.IsWithin(n.maxEvidenceAge())
}

// maxEvidenceAge returns the age of the evidence that the configuration is current from
// which on requests with keys are refused.
func (n *Node) maxEvidenceAge() time.Duration {
	return gtcurrent.MaxAge(time.Duration(n.Settings.Account.RevokeTime))
}

// watchCurrent logs when requests with keys begin and cease to be refused, and sets the
// gauge of the evidence's age, until ctx ends.
func (n *Node) watchCurrent(ctx context.Context) {
	ticker := n.timer.Every(currentCheckPeriod, 0.1)
	defer ticker.Stop()
	refusing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		age, known := n.current.Age()
		if !known {
			age = n.timer.Time().Sub(n.startTime)
		}
		n.scope.Gauge("config_evidence_age").Update(age.Seconds())
		if refuse := age > n.maxEvidenceAge() && n.hasAccounts(); refuse != refusing {
			refusing = refuse
			if refuse {
				n.Log.Warn().Int64("ms", age.Milliseconds()).Msg("config: may be out of date, requests with keys are refused")
			} else {
				n.Log.Info().Int64("ms", age.Milliseconds()).Msg("config: known to be current again, requests with keys are accepted")
			}
		}
	}
}

// ConfigEvidenceAge returns how long ago the active configuration was certainly the newest
// one, and false if that isn't known.
func (n *Node) ConfigEvidenceAge() (time.Duration, bool) { return n.current.Age() }
