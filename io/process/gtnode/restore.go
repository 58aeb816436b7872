package gtnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwittide/core/version/gtera"
	"godwittide/core/version/gtmove"
)

// restoreSpread is the time over which the nodes write again what the store has lost.
const restoreSpread = 800 * time.Millisecond

// restores tells the threads of the node that the store has come back from an older copy.
type restores struct {
	risen   chan struct{}
	contact chan struct{}

	mu       sync.Mutex
	from, to int64 // the last eras without a restore
}

// buildRestores makes the node notice a new era of the store.
func (n *Node) buildRestores() {
	r := &n.restores
	r.risen, r.contact = make(chan struct{}, 1), make(chan struct{}, 1)
	if n.StoreEra == nil {
		n.StoreEra = &gtera.Latest{}
	}
	n.StoreEra.OnRise = r.noteRise
}

// noteRise records a new era without blocking.
func (r *restores) noteRise(from, to int64) {
	r.mu.Lock()
	if len(r.risen) == 0 {
		r.from = from
	}
	r.to = to
	r.mu.Unlock()
	for _, c := range []chan struct{}{r.risen, r.contact} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// eras returns the last eras that were noted.
func (r *restores) eras() (from, to int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from, r.to
}

// restoreOnRise writes again what this node has in the store, each time that the store has
// come back from an older copy, until ctx ends. The contact entry is left to keepContact.
func (n *Node) restoreOnRise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.restores.risen:
		}
		from, to := n.restores.eras()
		n.scope.Counter("store_eras").Inc(to - from)
		n.scope.Gauge("store_era").Update(float64(to))
		if n.duties != nil {
			n.duties.EndTenure(lostByStore)
		}
		if n.timer.Sleep(ctx, rand.N(restoreSpread)) != nil {
			return
		}
		departed, moves := n.restoreDeparture(ctx), n.restoreMoves(ctx)
		n.Log.Warn().Int64("from", from).Int64("to", to).Int64("revision", gtera.Revision(n.ActiveVersion().Version())).
			Bool("departure", departed).Int("moves", moves).Msg("store: came back from an older copy; wrote again what this node had there")
	}
}

// lostByStore is why a tenure ends whose record the store has lost.
const lostByStore = "the store came back from an older copy"

// restoreMoves writes the states of the moves that this node drives, also of those that have
// ended, where the store has an older state or none. It returns how many it has tried to
// write.
func (n *Node) restoreMoves(ctx context.Context) int {
	count := 0
	for _, m := range n.ActiveConfig().Moves() {
		rank := rankOf(n.Settings.Node.Instance, n.drivers(m))
		state, known := n.moves.State(m.ID())
		if rank < 0 || !known {
			continue
		}
		count++
		n.wg.Go(func() {
			if n.timer.Sleep(ctx, time.Duration(rank)*standbyDelay) == nil {
				n.restoreMove(ctx, state)
			}
		})
	}
	return count
}

// restoreMove writes the state of a move until the store has it.
func (n *Node) restoreMove(ctx context.Context, state gtmove.State) {
	for failures := 1; ; failures++ {
		if current, ok := n.moves.State(state.ID()); ok {
			state = current
		}
		m, ok := n.Move(state.ID())
		era, _ := n.StoreEra.Era()
		if !ok || gtera.Era(state.Rev()) >= era {
			return
		}
		n.writeMove(ctx, m, state)
		if n.timer.Sleep(ctx, storeBackoff(failures)) != nil {
			return
		}
	}
}
