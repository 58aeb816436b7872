// Package gtrank assigns shared tasks to nodes by rank, without consensus: every
// node computes the ranks from its own view of the membership. While two views
// differ, a task may have two owners or none. This is safe because every effect of
// a task is a compare-and-swap in the store.
//
// # Usage
//
//	if rank := gtrank.Rank("watch", self, zoneMembers); rank < gtrank.ZoneWatchers { ... }
package gtrank

import (
	"cmp"
	"slices"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
)

const (
	// ZoneWatchers is the number of nodes in each availability zone that watch the
	// store.
	ZoneWatchers = 2
	// ZoneStandIns is the number of nodes in each zone, ranked right behind its
	// watchers, that watch the store while the watchers have no success.
	ZoneStandIns = 2
	// MoveDrivers is the number of nodes that collect the reports on a move. The
	// first of them drives the move, the others are on standby.
	MoveDrivers = 3
)

// Rank returns the rank of instance among the members that are alive, by the
// rendezvous hash of the task; 0 is the first.
func Rank(task, instance string, members []gtmember.Record) int {
	ownScore, rank := gtshard.Hash(task, instance), 0
	for _, r := range members {
		score := gtshard.Hash(task, r.Instance())
		if r.Alive() && (score < ownScore || score == ownScore && r.Instance() < instance) {
			rank++
		}
	}
	return rank
}

// Ranked returns the members that are alive, ordered by their rank for the task.
func Ranked(task string, members []gtmember.Record) []gtmember.Record {
	type ranked struct {
		member gtmember.Record
		score  uint64
	}
	list := make([]ranked, 0, len(members))
	for _, r := range members {
		if r.Alive() {
			list = append(list, ranked{r, gtshard.Hash(task, r.Instance())})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Instance(), b.member.Instance()))
	})
	out := make([]gtmember.Record, len(list))
	for i, v := range list {
		out[i] = v.member
	}
	return out
}

// First returns the first n members that are alive, by their rank for the task. It
// doesn't order the others.
func First(task string, n int, members []gtmember.Record) []gtmember.Record {
	type ranked struct {
		member gtmember.Record
		score  uint64
	}
	order := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Instance(), b.member.Instance()))
	}
	first := make([]ranked, 0, n+1)
	for _, r := range members {
		if !r.Alive() {
			continue
		}
		v := ranked{r, gtshard.Hash(task, r.Instance())}
		i, _ := slices.BinarySearchFunc(first, v, order)
		if i < n {
			first = slices.Insert(first, i, v)
			first = first[:min(n, len(first))]
		}
	}
	out := make([]gtmember.Record, len(first))
	for i, v := range first {
		out[i] = v.member
	}
	return out
}
