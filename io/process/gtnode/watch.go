package gtnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtaccept"
	"godwittide/core/process/gtduty"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/process/gtstore"
	"godwittide/io/version/gtfolder"
	"godwittide/io/version/gtsnapshot"
)

const (
	// dutyEvery is the period in which a node looks whether it is its turn to
	// watch the store.
	dutyEvery = time.Second
	// pollEvery is the period in which a watching node reads the state even if
	// its watch says nothing, since a watch may have died unnoticed.
	pollEvery = 2 * time.Second
	// storeBackoffFirst and storeBackoffMax bound the wait after a failed call.
	storeBackoffFirst = 250 * time.Millisecond
	storeBackoffMax   = 5 * time.Second
	// contactTTL is how long a first contact stands in the store.
	contactTTL = 30 * time.Second
	// contactRetry is the wait after a failed attempt to list this node, and
	// contactLimit bounds one.
	contactRetry = 600 * time.Millisecond
	contactLimit = 800 * time.Millisecond
	// settleTime is how long a node listens to its peers after its start before
	// it turns to the store: they may know more than the store does.
	settleTime = 2 * time.Second
	// maxDelayRank bounds the wait of acceptors of a low rank.
	maxDelayRank = 3
)

// watchStore takes its turn at watching the store for the zone.
func (n *Node) watchStore(ctx context.Context) {
	// A node that has just started knows few others, and would take itself for
	// the first in rank.
	if n.Follow == nil && n.timer.Wait(ctx, settleTime) != nil {
		return
	}
	tick := n.timer.Every(dutyEvery, 0.2)
	defer tick.Stop()
	var mine *turn
	for {
		due := n.watchRank() < gtduty.Watchers && !n.leaving.Load()
		if due && mine == nil {
			mine = n.beginTurn(ctx)
		}
		if !due && mine != nil {
			mine.end()
			mine = nil
		}
		select {
		case <-ctx.Done():
			if mine != nil {
				mine.end()
			}
			return
		case <-tick.C():
		}
	}
}

// turn is a time in which the node watches the store.
type turn struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (n *Node) beginTurn(ctx context.Context) *turn {
	ctx, cancel := context.WithCancel(ctx)
	t := &turn{cancel: cancel, done: make(chan struct{})}
	n.wg.Go(func() {
		defer close(t.done)
		n.watchTurn(ctx)
	})
	return t
}

func (t *turn) end() {
	t.cancel()
	<-t.done
}

func (n *Node) watchRank() int {
	return gtduty.Rank("watch", n.Settings.Node.Instance, n.table.Zone(n.Settings.Node.Zone))
}

// acceptRank returns this node's rank among all watching nodes.
func (n *Node) acceptRank() int {
	var watchers []gtmember.Record
	for zone := range n.table.Zones() {
		ranked := gtduty.Ranked("watch", n.table.Zone(zone))
		watchers = append(watchers, ranked[:min(gtduty.Watchers, len(ranked))]...)
	}
	return gtduty.Rank("accept", n.Settings.Node.Instance, watchers)
}

// watchTurn watches the store until ctx ends.
func (n *Node) watchTurn(ctx context.Context) {
	n.Log.Info().Msg("watch: this node watches the store")
	n.wg.Go(func() { n.keepContact(ctx) })
	if n.Follow != nil {
		n.Follow(ctx)
		return
	}
	n.watchFolder(ctx)
}

// watchFolder watches the operators' folder in the store until ctx ends.
func (n *Node) watchFolder(ctx context.Context) {
	changed := make(chan struct{}, 1)
	poll := n.timer.Every(pollEvery, 0.2)
	defer poll.Stop()
	failures := 0
	var watching bool
	for ctx.Err() == nil {
		state, err := n.vault.Read(ctx)
		if err == nil {
			if !watching {
				watching = true
				n.wg.Go(func() { n.follow(ctx, state.Rev(), changed) })
			}
			err = n.act(ctx, state)
		}
		if err != nil && ctx.Err() == nil {
			failures++
			n.scope.Counter("store_failures").Inc(1)
			n.Log.Info().Err(err).Int("failures", failures).Msg("watch: store call failed")
			_ = n.timer.Wait(ctx, storeBackoff(failures))
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-changed:
		case <-poll.C():
		}
	}
}

func storeBackoff(failures int) time.Duration {
	return gttimer.Backoff(failures, storeBackoffFirst, storeBackoffMax, rand.Float64())
}

// follow keeps a watch on the state and says when it changed.
func (n *Node) follow(ctx context.Context, after int64, changed chan struct{}) {
	key, end := n.vault.Watched()
	failures := 0
	for ctx.Err() == nil {
		start := n.timer.Time()
		err := n.Store.Watch(ctx, key, end, after, func(kvs []gtstore.KV) {
			for _, kv := range kvs {
				after = max(after, kv.Rev())
			}
			select {
			case changed <- struct{}{}:
			default:
			}
		})
		if failures++; n.timer.Time().Sub(start) > storeBackoffMax {
			failures = 1
		}
		if ctx.Err() == nil {
			n.Log.Debug().Err(err).Msg("watch: watch ended")
			_ = n.timer.Wait(ctx, storeBackoff(failures))
			// The store may have lost revisions; polling finds the rest.
			after = 0
			if s, err := n.vault.Read(ctx); err == nil {
				after = s.Rev()
			}
		}
	}
}

// keepContact lists this node as a first contact. The lease is only a hint:
// a contact that has lapsed or is stale costs a failed attempt, no more. While
// the store is away it is tried so often that the contact is back two seconds
// after the store.
func (n *Node) keepContact(ctx context.Context) {
	var lease int64
	failures := 0
	for {
		wait := contactTTL / 3
		err := n.renewContact(ctx, &lease)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			wait = contactRetry
			if failures++; failures == 1 {
				n.Log.Warn().Err(err).Msg("watch: not listed as a first contact")
			}
		case failures > 0:
			n.Log.Info().Int("failures", failures).Msg("watch: listed as a first contact again")
			failures = 0
		}
		if n.timer.Wait(ctx, time.Duration((0.8+0.4*rand.Float64())*float64(wait))) != nil {
			return
		}
	}
}

// renewContact renews the lease of this node's contact, or writes it anew.
func (n *Node) renewContact(ctx context.Context, lease *int64) error {
	ctx, cancel := context.WithTimeout(ctx, contactLimit)
	defer cancel()
	if *lease != 0 && n.Store.Keep(ctx, *lease) == nil {
		return nil
	}
	*lease = 0
	id, err := n.Store.Grant(ctx, contactTTL)
	if err != nil {
		return err
	}
	if err := n.vault.PutContact(ctx, n.Settings.Node.Zone, n.Settings.Node.Instance, n.Settings.PeerAddress(), id); err != nil {
		return err
	}
	*lease = id
	return nil
}

// act does what the state calls for, once.
func (n *Node) act(ctx context.Context, state gtsnapshot.State) error {
	n.takeMoves(state.Moves())
	own := n.holder.Current().Set()
	action := gtaccept.Decide(state.View(), own)
	if action == gtaccept.Nothing {
		return nil
	}
	if action == gtaccept.Load {
		set, err := n.vault.Load(ctx, state.View().Record(), own)
		if err != nil {
			return err
		}
		return n.installSet(set)
	}
	if rank := min(n.acceptRank(), maxDelayRank); rank > 0 {
		if err := n.timer.Wait(ctx, gtaccept.Delay(rank)); err != nil {
			return err
		}
		fresh, err := n.vault.Read(ctx)
		if err != nil {
			return err
		}
		state, own = fresh, n.holder.Current().Set()
		if action = gtaccept.Decide(state.View(), own); action == gtaccept.Load || action == gtaccept.Nothing {
			return n.act(ctx, state)
		}
	}
	err := n.write(ctx, action, state, own)
	if errors.Is(err, gtsnapshot.ErrConflict) {
		n.Log.Debug().Msg("watch: somebody else was first")
		return nil
	}
	return err
}

func (n *Node) takeMoves(moves []gtmove.State) {
	for _, m := range moves {
		if n.board.Merge(m) {
			n.overlay.AnnounceMove(m)
		}
	}
}

// Move returns the move with the given identity.
func (n *Node) Move(id string) (gtconfig.Move, bool) {
	for _, m := range n.Config().Moves() {
		if m.ID() == id {
			return m, true
		}
	}
	return gtconfig.Move{}, false
}

// LoadMoves takes in the states of moves that stand in the store.
func (n *Node) LoadMoves(ctx context.Context) error {
	state, err := n.vault.Read(ctx)
	if err != nil {
		return err
	}
	n.takeMoves(state.Moves())
	return nil
}

// write accepts, refuses or restores.
func (n *Node) write(ctx context.Context, action gtaccept.Action, state gtsnapshot.State, own gtdelta.Set) error {
	self := n.Settings.Node.Instance
	if action == gtaccept.Restore {
		n.Log.Error().Int64("store", state.View().Record().Version()).Int64("own", own.Version()).Msg("watch: store lost a version, putting it back")
		return n.vault.Restore(ctx, state, own, self)
	}
	files, err := n.vault.Files(ctx)
	if err != nil {
		return err
	}
	push := state.View().Head().Seq()
	if action == gtaccept.Renumber {
		n.Log.Error().Int64("version", own.Version()).Msg("watch: store holds other files under this version, accepting them anew")
		push = max(push, state.View().Record().Push())
	}
	if _, problems := n.merge(files); len(problems) > 0 {
		texts := gtfolder.Texts(problems)
		n.Log.Warn().Int64("push", push).Str("first", texts[0]).Msg("watch: push refused")
		return n.vault.Refuse(ctx, state, self, texts)
	}
	next := gtdelta.NewSet(own.Version()+1, push, files)
	if err := n.vault.Accept(ctx, state, own, next, self); err != nil {
		return err
	}
	n.Log.Info().Int64("version", next.Version()).Int64("push", push).Msg("watch: push accepted")
	return n.installSet(next)
}

// merge merges the files of a version.
func (n *Node) merge(files map[string]string) (*gtconfig.Config, []gtconfig.Problem) {
	if n.Parse != nil {
		return n.Parse(files)
	}
	return n.parser.Merge(files)
}

// Current returns the version in force.
func (n *Node) Current() gtdelta.Set { return n.holder.Current().Set() }

// Config returns the configuration in force.
func (n *Node) Config() *gtconfig.Config { return n.holder.Current().Config() }

// Install puts a version in force, if it is higher than the one in force.
func (n *Node) Install(set gtdelta.Set) error { return n.installSet(set) }

// installSet merges a version and puts it in force, if it is higher than the
// one in force.
func (n *Node) installSet(set gtdelta.Set) error {
	n.install.Lock()
	defer n.install.Unlock()
	old := n.holder.Current()
	if set.Version() <= old.Set().Version() {
		return nil
	}
	cfg, problems := n.merge(set.Files())
	if len(problems) > 0 {
		return errorx.IllegalFormat.New("version %d can't be applied: %s", set.Version(), problems[0])
	}
	if !n.holder.Offer(set, cfg) {
		return nil
	}
	zone := n.Settings.Node.Zone
	n.configured(old.Config().ZoneOut(zone), cfg.ZoneOut(zone))
	n.scope.Gauge("version").Update(float64(set.Version()))
	n.Log.Info().Int64("version", set.Version()).Str("sum", cfg.Sum()).Msg("config: version in force")
	n.overlay.AnnounceVersion()
	return nil
}
