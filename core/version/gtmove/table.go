package gtmove

import (
	"time"

	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
)

// Halt is the finding of a single node that the new version of a move is bad.
// It sets the new version's share to 0 on every node that receives it, without
// waiting for the move's driver to store the rollback.
type Halt struct {
	id     string
	by     string
	reason string
}

// NewHalt returns a halt of the move with the given ID. The parameter by is the
// instance that found the fault. The reason is truncated to MaxReason bytes.
func NewHalt(id, by, reason string) Halt {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	return Halt{id: id, by: by, reason: reason}
}

// ID returns the ID of the halted move.
func (h Halt) ID() string { return h.id }

// By returns the instance that found the fault.
func (h Halt) By() string { return h.by }

// Reason returns what is wrong with the new version.
func (h Halt) Reason() string { return h.reason }

// Table holds the states and halts of all moves, sharded by move ID.
type Table struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time

	states gtshard.Map[State]
	halts  gtshard.Map[Halt]
	latest latestStates
}

// Merge stores s if it supersedes the known state of its move, and reports
// whether it did. A higher store revision of the same state is adopted as well,
// but not reported.
func (t *Table) Merge(s State) bool {
	changed := false
	t.states.Do(s.id, func(m map[string]State) {
		old, ok := m[s.id]
		if ok && !s.Supersedes(old) {
			if s.seq == old.seq && s.rev > old.rev {
				m[s.id] = old.WithRev(s.rev)
			}
			return
		}
		m[s.id] = s
		changed = true
	})
	if changed {
		t.latest.add(s)
	}
	return changed
}

// AddHalt records h and reports whether it is the first halt of its move. A move
// that is done or rolled back is not halted.
func (t *Table) AddHalt(h Halt) bool {
	if s, ok := t.states.Get(h.id); ok && s.phase >= Done {
		return false
	}
	added := false
	t.halts.Do(h.id, func(m map[string]Halt) {
		if _, ok := m[h.id]; !ok {
			m[h.id] = h
			added = true
		}
	})
	return added
}

// State returns the state of the move with the given ID, and whether it is known.
func (t *Table) State(id string) (State, bool) { return t.states.Get(id) }

// Halt returns the halt of the move with the given ID, and whether it has one.
func (t *Table) Halt(id string) (Halt, bool) { return t.halts.Get(id) }

// Share returns the share of requests, 0 to 1, that the new version of m gets
// now. It is 0 until the move has started, and again after a halt.
func (t *Table) Share(m gtconfig.Move) float64 {
	s, ok := t.states.Get(m.ID())
	if !ok {
		return 0
	}
	if _, halted := t.halts.Get(m.ID()); halted && s.phase < Done {
		return 0
	}
	return s.share
}

// States returns the states of all moves in no particular order.
func (t *Table) States() []State {
	var all []State
	t.states.Each(func(m map[string]State) {
		for _, s := range m {
			all = append(all, s)
		}
	})
	return all
}

// Halts returns the halts of all moves in no particular order.
func (t *Table) Halts() []Halt {
	var all []Halt
	t.halts.Each(func(m map[string]Halt) {
		for _, h := range m {
			all = append(all, h)
		}
	})
	return all
}

// Prune removes the state of each move that is not in cfg if it was last updated
// more than maxAge ago, and the halt of each move that then has no state and is
// not in cfg.
func (t *Table) Prune(cfg *gtconfig.Config, maxAge time.Duration) {
	now := t.Now()
	configured := map[string]bool{}
	for _, m := range cfg.Moves() {
		configured[m.ID()] = true
	}
	t.states.Each(func(m map[string]State) {
		for id, s := range m {
			if !configured[id] && now.Sub(s.updated) > maxAge {
				delete(m, id)
			}
		}
	})
	t.latest.prune(func(id string) bool {
		_, ok := t.states.Get(id)
		return ok
	})
	t.halts.Each(func(m map[string]Halt) {
		for id := range m {
			if _, ok := t.states.Get(id); !ok && !configured[id] {
				delete(m, id)
			}
		}
	})
}
