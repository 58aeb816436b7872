package gtmove

import (
	"time"

	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
)

// Halt is a node's own finding that the new version of a move is bad. It puts
// the share to 0 everywhere before the driver has written it down.
type Halt struct {
	id     string
	by     string
	reason string
}

// NewHalt returns a halt of the move with the given identity.
func NewHalt(id, by, reason string) Halt {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	return Halt{id: id, by: by, reason: reason}
}

// ID returns the move's identity.
func (h Halt) ID() string { return h.id }

// By returns the instance that found the fault.
func (h Halt) By() string { return h.by }

// Reason returns what was found.
func (h Halt) Reason() string { return h.reason }

// Board holds the states and halts of all moves, sharded by move.
type Board struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	states gtshard.Map[State]
	halts  gtshard.Map[Halt]
}

// Merge takes in a state, and says whether it was news.
func (b *Board) Merge(s State) bool {
	news := false
	b.states.Do(s.id, func(m map[string]State) {
		old, ok := m[s.id]
		if ok && !s.Supersedes(old) {
			if s.seq == old.seq && s.rev > old.rev {
				m[s.id] = old.WithRev(s.rev)
			}
			return
		}
		m[s.id] = s
		news = true
	})
	return news
}

// Halt takes in a halt, and says whether it was news. A move that is done is
// not halted.
func (b *Board) Halt(h Halt) bool {
	if s, ok := b.states.Get(h.id); ok && s.phase >= Done {
		return false
	}
	news := false
	b.halts.Do(h.id, func(m map[string]Halt) {
		if _, ok := m[h.id]; !ok {
			m[h.id] = h
			news = true
		}
	})
	return news
}

// State returns the state of a move.
func (b *Board) State(id string) (State, bool) { return b.states.Get(id) }

// Halted returns the halt of a move.
func (b *Board) Halted(id string) (Halt, bool) { return b.halts.Get(id) }

// Share returns the share of requests that the new version of a move gets now:
// none before the move has started or after it was halted.
func (b *Board) Share(m gtconfig.Move) float64 {
	s, ok := b.states.Get(m.ID())
	if !ok {
		return 0
	}
	if _, halted := b.halts.Get(m.ID()); halted && s.phase < Done {
		return 0
	}
	return s.share
}

// States returns all states.
func (b *Board) States() []State {
	var all []State
	b.states.Each(func(m map[string]State) {
		for _, s := range m {
			all = append(all, s)
		}
	})
	return all
}

// Halts returns all halts.
func (b *Board) Halts() []Halt {
	var all []Halt
	b.halts.Each(func(m map[string]Halt) {
		for _, h := range m {
			all = append(all, h)
		}
	})
	return all
}

// Keep forgets the moves that are not in the configuration and were not
// touched for a time.
func (b *Board) Keep(cfg *gtconfig.Config, after time.Duration) {
	now := b.Now()
	known := map[string]bool{}
	for _, m := range cfg.Moves() {
		known[m.ID()] = true
	}
	b.states.Each(func(m map[string]State) {
		for id, s := range m {
			if !known[id] && now.Sub(s.stepped) > after {
				delete(m, id)
			}
		}
	})
	b.halts.Each(func(m map[string]Halt) {
		for id := range m {
			if _, ok := b.states.Get(id); !ok && !known[id] {
				delete(m, id)
			}
		}
	})
}
