// Package gtduty shares the common duties out among the nodes by rank, without
// any agreement: every node computes the rank from the membership that it
// sees. Two views that differ for a moment give two holders of a duty or none,
// which is safe, since each effect is a compare-and-swap in the store.
//
// # Usage
//
//	if rank := gtduty.Rank("watch", self, peersOfZone); rank < gtduty.Watchers { ... }
package gtduty

import (
	"cmp"
	"slices"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
)

const (
	// Watchers is the number of nodes of an availability zone that watch the
	// platform's store.
	Watchers = 2
	// Drivers is the number of nodes that collect the evidence of a move; the
	// first of them drives it, the others stand by.
	Drivers = 3
)

// Rank returns the place of instance among the members that are alive, by
// rendezvous hash for the duty: 0 is first.
func Rank(duty, instance string, members []gtmember.Record) int {
	mine, rank := gtshard.Hash(duty, instance), 0
	for _, r := range members {
		score := gtshard.Hash(duty, r.Instance())
		if r.Alive() && (score < mine || score == mine && r.Instance() < instance) {
			rank++
		}
	}
	return rank
}

// Ranked returns the members that are alive in the order of their rank.
func Ranked(duty string, members []gtmember.Record) []gtmember.Record {
	type ranked struct {
		r     gtmember.Record
		score uint64
	}
	list := make([]ranked, 0, len(members))
	for _, r := range members {
		if r.Alive() {
			list = append(list, ranked{r, gtshard.Hash(duty, r.Instance())})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.r.Instance(), b.r.Instance()))
	})
	out := make([]gtmember.Record, len(list))
	for i, v := range list {
		out[i] = v.r
	}
	return out
}
