package gtmove

import (
	"strings"

	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
)

// latestStates indexes the latest state of the moves whose IDs have the same end, by each
// part of the ID that follows a dot. The name of a move, at the start of its ID, may have
// dots itself.
type latestStates struct {
	bySuffix gtshard.Map[State]
}

// add adds a state, unless a later one is there. States may come in any order.
func (l *latestStates) add(s State) {
	for rest := s.id; ; {
		_, suffix, ok := strings.Cut(rest, ".")
		if !ok {
			return
		}
		l.bySuffix.Do(suffix, func(m map[string]State) {
			if old, ok := m[suffix]; !ok || s.isLaterThan(old) {
				m[suffix] = s
			}
		})
		rest = suffix
	}
}

// isLaterThan reports whether s supersedes old, a state of the same move, or belongs to a
// move that was changed after that of old.
func (s State) isLaterThan(old State) bool {
	if s.id == old.id {
		return s.Supersedes(old)
	}
	return !s.updated.Before(old.updated)
}

// prune removes the states of the moves for which keep returns false.
func (l *latestStates) prune(keep func(id string) bool) {
	l.bySuffix.Each(func(m map[string]State) {
		for suffix, s := range m {
			if !keep(s.id) {
				delete(m, suffix)
			}
		}
	})
}

// IsRolledBack reports whether the latest move of a service from all other versions to
// the given one was rolled back or is halted, whether or not the configuration still has
// that move.
func (t *Table) IsRolledBack(service, version string) bool {
	s, ok := t.latest.bySuffix.Get(gtconfig.MoveIDSuffix(service, gtconfig.OtherVersions, version))
	if !ok {
		return false
	}
	_, halted := t.halts.Get(s.id)
	return s.phase == RolledBack || halted && s.phase < Done
}
