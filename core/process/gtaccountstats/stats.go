// Package gtaccountstats counts the requests that a node has answered for each
// client account, and bounds the number of accounts that metrics name.
//
// # Usage
//
//	var stats gtaccountstats.Stats
//	stats.Record("pulo780", gtaccountstats.Served)
//	counts := stats.Counts("pulo780")
//	scope.Tagged(map[string]string{"account": stats.Label("pulo780")})
package gtaccountstats

import (
	"sync/atomic"

	"godwittide/core/process/gtshard"
)

const (
	// MaxLabels is the maximum number of accounts that metrics name. A series stays for
	// as long as the process runs, and there may be 10,000 accounts.
	MaxLabels = 100
	// OtherLabel stands for all further accounts.
	OtherLabel = "other"
)

// Result is what became of a request.
type Result int

const (
	// Served means that a backend server has responded.
	Served Result = iota
	// Refused means that a node has refused the request, which has not run.
	Refused
)

// Counts holds the numbers of requests of one account since this node started, or has
// known the account.
type Counts struct {
	served, refused uint64
}

// Served returns the number of requests that a backend server responded to.
func (c Counts) Served() uint64 { return c.served }

// Refused returns the number of requests that were refused without having run.
func (c Counts) Refused() uint64 { return c.refused }

// Stats counts requests by account. Its zero value is ready for use.
type Stats struct {
	counts gtshard.Map[Counts]
	labels gtshard.Map[bool]
	// labelCount is the number of accounts that have a label.
	labelCount atomic.Int64
}

// Record counts one request of the account.
func (s *Stats) Record(account string, r Result) {
	s.counts.Do(account, func(m map[string]Counts) {
		c := m[account]
		if r == Served {
			c.served++
		} else {
			c.refused++
		}
		m[account] = c
	})
}

// Counts returns the numbers of requests of the account.
func (s *Stats) Counts(account string) Counts {
	c, _ := s.counts.Get(account)
	return c
}

// Label returns the name under which metrics count an account: its own for the first
// MaxLabels accounts that are asked for, and OtherLabel for the rest.
func (s *Stats) Label(account string) string {
	labeled := false
	s.labels.Do(account, func(m map[string]bool) {
		if labeled = m[account]; labeled || s.labelCount.Load() >= MaxLabels {
			return
		}
		if s.labelCount.Add(1) > MaxLabels { // another shard took the last one
			s.labelCount.Add(-1)
			return
		}
		m[account], labeled = true, true
	})
	if !labeled {
		return OtherLabel
	}
	return account
}

// Prune deletes the counts of accounts that no longer exist. Labels stay, as their
// series do.
func (s *Stats) Prune(exists func(account string) bool) {
	s.counts.Each(func(m map[string]Counts) {
		for account := range m {
			if !exists(account) {
				delete(m, account)
			}
		}
	})
}
