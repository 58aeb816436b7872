package gtnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"godwittide/core/process/gtaccept"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/process/gttimer"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/process/gtstore"
	"godwittide/io/version/gtfolder"
	"godwittide/io/version/gtrepository"
)

const (
	// rankCheckPeriod is the period at which a node checks whether it ranks among
	// the watchers of its zone.
	rankCheckPeriod = time.Second
	// pollPeriod is the period at which a watcher reads the state even without a
	// watch event, since a store watch may have broken unnoticed.
	pollPeriod = 2 * time.Second
	// strictPollPeriod is the same where revoked keys have to be refused in time also
	// by nodes that are cut off: each read is evidence that the configuration is current.
	strictPollPeriod = 400 * time.Millisecond
	// storeBackoffBase and storeBackoffMax are the base and the maximum of the
	// exponential backoff after failed calls of the store.
	storeBackoffBase = 250 * time.Millisecond
	storeBackoffMax  = 5 * time.Second
	// contactTTL is the TTL of the lease on this node's contact entry in the store.
	contactTTL = 30 * time.Second
	// contactRetryDelay is the delay after a failed attempt to write the contact
	// entry, and contactTimeout the timeout of one attempt.
	contactRetryDelay = 600 * time.Millisecond
	contactTimeout    = 800 * time.Millisecond
	// watchStartDelay is how long a node waits for peers that may have a newer version
	// than the store, before it may accept or restore versions there on its own.
	watchStartDelay = 2 * time.Second
	// rankDelay is how long a node learns from its peers, after it has joined them,
	// before its rank among the watchers counts.
	rankDelay = time.Second
	// maxDelayRank is the rank from which the acceptance delay no longer grows.
	maxDelayRank = 3
)

// watchStore watches the store while this node is a watcher, until ctx ends. It is
// one while it ranks among the watchers of its zone, or stands in for them. That is
// known only some time after it has joined its peers; until then it is one if no peer
// has answered.
func (n *Node) watchStore(ctx context.Context) {
	ticker := n.timer.Every(rankCheckPeriod, 0.2)
	defer ticker.Stop()
	var task *watchTask
	var joinedAt time.Time
	alone := n.bootstrap(ctx)
	for {
		if joinedAt.IsZero() && n.overlay.HasSynced() {
			joinedAt = n.timer.Time()
		}
		ranked := !joinedAt.IsZero() && n.timer.Time().Sub(joinedAt) >= rankDelay
		if joinedAt.IsZero() && !alone && n.overlay.CountLinks() == 0 {
			alone = n.bootstrap(ctx)
		}
		assigned, standsIn, recheck := alone && !ranked, false, rankCheckPeriod
		if ranked {
			rank := n.watchRank()
			assigned = rank < gtrank.ZoneWatchers
			standsIn, recheck = n.standIn.Decide(rank)
		}
		watches := (assigned || standsIn) && !n.drain.Begun()
		if watches && task == nil {
			n.Log.Info().Bool("standin", !assigned).Msg("watch: this node became a watcher of the store")
			task = n.startWatchTask(ctx)
		}
		if watches && assigned {
			task.listContact()
		}
		if !watches && task != nil {
			task.stop()
			task = nil
		}
		deadline := n.timer.After(recheck)
		select {
		case <-ctx.Done():
			deadline.Stop()
			if task != nil {
				task.stop()
			}
			return
		case <-ticker.C():
		case <-deadline.C():
		}
		deadline.Stop()
	}
}

// watchTask is a running goroutine that watches the store.
type watchTask struct {
	cancel context.CancelFunc
	done   chan struct{}
	// listContact keeps the node listed as a contact in the store until the task ends.
	// Only the first call has an effect.
	listContact func()
}

// startWatchTask starts watching the store until ctx ends or the task is stopped.
func (n *Node) startWatchTask(ctx context.Context) *watchTask {
	ctx, cancel := context.WithCancel(ctx)
	t := &watchTask{cancel: cancel, done: make(chan struct{})}
	t.listContact = sync.OnceFunc(func() { n.wg.Go(func() { n.keepContact(ctx) }) })
	n.wg.Go(func() {
		defer close(t.done)
		n.runWatchTask(ctx)
	})
	return t
}

// stop stops the task and waits until it has ended.
func (t *watchTask) stop() {
	t.cancel()
	<-t.done
}

// watchRank returns this node's rank, starting at 0, for the assignment of
// watchers within its zone.
func (n *Node) watchRank() int {
	return gtrank.Rank("watch", n.Settings.Node.Instance, n.table.ZoneMembers(n.Settings.Node.Zone))
}

// AcceptRank returns this node's rank, starting at 0, among the watchers of all zones:
// for accepting pushes, and for how often a watch is renewed.
func (n *Node) AcceptRank() int {
	var watchers []gtmember.Record
	for zone := range n.table.ZoneSizes() {
		ranked := gtrank.Ranked("watch", n.table.ZoneMembers(zone))
		watchers = append(watchers, ranked[:min(gtrank.ZoneWatchers, len(ranked))]...)
	}
	return gtrank.Rank("accept", n.Settings.Node.Instance, watchers)
}

// runWatchTask watches the configuration, and tells the stand-ins of its success, until
// ctx ends.
func (n *Node) runWatchTask(ctx context.Context) {
	notices := &watchNotices{changed: make(chan struct{}, 1)}
	n.wg.Go(func() { n.sendWatchNotices(ctx, notices) })
	if n.WatchConfig != nil {
		n.WatchConfig(ctx, notices.setSuccess)
		return
	}
	n.watchFolder(ctx, notices.setSuccess)
}

// watchFolder reads the operators' folder in the store on each watch event and each
// pollPeriod, and reconciles the active version with it, until ctx ends. It calls
// onResult with the success of each read.
func (n *Node) watchFolder(ctx context.Context, onResult func(ok bool)) {
	changed := make(chan struct{}, 1)
	period := pollPeriod
	if n.Settings.Account.StrictRevoke {
		period = strictPollPeriod
	}
	poll := n.timer.Every(period, 0.2)
	defer poll.Stop()
	failures := 0
	var watching bool
	for ctx.Err() == nil {
		asOf := n.SinceBootTime()
		state, err := n.configStore.Read(ctx)
		onResult(err == nil)
		if err == nil {
			if !watching {
				watching = true
				n.wg.Go(func() { n.watchChanges(ctx, state.Rev(), changed) })
			}
			err = n.reconcile(ctx, state)
			if gtaccept.Decide(state.View(), n.ActiveVersion()) == gtaccept.Nothing {
				n.ConfirmConfig(asOf)
			}
		}
		if err != nil && ctx.Err() == nil {
			failures++
			n.scope.Counter("store_failures").Inc(1)
			n.Log.Info().Err(err).Int("failures", failures).Msg("watch: store call failed")
			_ = n.timer.Sleep(ctx, storeBackoff(failures))
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

// storeBackoff returns the delay after the given number of failed calls of the
// store in a row.
func storeBackoff(failures int) time.Duration {
	return gttimer.Backoff(failures, storeBackoffBase, storeBackoffMax, rand.Float64())
}

// watchChanges keeps a store watch open for changes after a revision, and signals
// them on changed without blocking, until ctx ends.
func (n *Node) watchChanges(ctx context.Context, after int64, changed chan struct{}) {
	key, end := n.configStore.WatchRange()
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
			n.Log.Debug().Err(err).Msg("watch: store watch ended; opening it again")
			_ = n.timer.Sleep(ctx, storeBackoff(failures))
			// The store may have lost revisions, so the watch restarts at the
			// current one; polling finds changes that it misses.
			after = 0
			if s, err := n.configStore.Read(ctx); err == nil {
				after = s.Rev()
			}
		}
	}
}

// keepContact keeps this node's contact entry in the store, through which starting
// nodes find their first peers, until ctx ends. The entry is only a hint: an
// outdated one costs no more than a failed attempt to connect. During a store
// outage the retries are frequent enough to restore the entry within two seconds
// after the store has recovered.
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
			wait = contactRetryDelay
			if failures++; failures == 1 {
				n.Log.Warn().Err(err).Msg("watch: writing the contact entry to the store failed; retrying")
			}
		case failures > 0:
			n.Log.Info().Int("failures", failures).Msg("watch: contact entry restored")
			failures = 0
		}
		if !n.awaitContactTurn(ctx, time.Duration((0.8+0.4*rand.Float64())*float64(wait))) {
			return
		}
	}
}

// awaitContactTurn waits for a time, or until soon after the store has lost the entry. It
// returns false if ctx ends.
func (n *Node) awaitContactTurn(ctx context.Context, wait time.Duration) bool {
	t := n.timer.After(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C():
		return true
	case <-n.restores.contact:
		return n.timer.Sleep(ctx, rand.N(restoreSpread)) == nil
	}
}

// renewContact renews the lease of this node's contact entry, or else writes the
// entry with a new lease, whose ID it stores in lease.
func (n *Node) renewContact(ctx context.Context, lease *int64) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	if *lease != 0 && n.Store.KeepAlive(ctx, *lease) == nil {
		return nil
	}
	*lease = 0
	id, err := n.Store.Grant(ctx, contactTTL)
	if err != nil {
		return err
	}
	if err := n.configStore.PutContact(ctx, n.Settings.Node.Zone, n.Settings.Node.Instance, n.Settings.PeerAddress(), id); err != nil {
		return err
	}
	*lease = id
	return nil
}

// reconcile merges the stored states of moves and performs the one action that the
// state of the store requires: load, accept, refuse or restore a version. A write
// that loses a race against another writer is not an error.
func (n *Node) reconcile(ctx context.Context, state gtrepository.State) error {
	n.mergeMoves(state.Moves())
	active := n.holder.Current().Snapshot()
	action := gtaccept.Decide(state.View(), active)
	if action == gtaccept.Nothing {
		return nil
	}
	if action == gtaccept.Load {
		snapshot, err := n.configStore.Load(ctx, state.View().Record(), active)
		if err != nil {
			return err
		}
		return n.Install(snapshot)
	}
	if rank := min(n.AcceptRank(), maxDelayRank); rank > 0 {
		if err := n.timer.Sleep(ctx, gtaccept.AcceptDelay(rank)); err != nil {
			return err
		}
		reread, err := n.configStore.Read(ctx)
		if err != nil {
			return err
		}
		state, active = reread, n.holder.Current().Snapshot()
		if action = gtaccept.Decide(state.View(), active); action == gtaccept.Load || action == gtaccept.Nothing {
			return n.reconcile(ctx, state)
		}
	}
	err := n.applyAction(ctx, action, state, active)
	if errors.Is(err, gtrepository.ErrConflict) {
		n.Log.Debug().Msg("watch: another writer changed the store first")
		return nil
	}
	return err
}

// mergeMoves merges states of moves and announces those that are new.
func (n *Node) mergeMoves(moves []gtmove.State) {
	for _, m := range moves {
		if n.moves.Merge(m) {
			n.overlay.AnnounceMove(m)
		}
	}
}

// Move returns the configured move with the given ID, and whether there is one.
func (n *Node) Move(id string) (gtconfig.Move, bool) {
	for _, m := range n.ActiveConfig().Moves() {
		if m.ID() == id {
			return m, true
		}
	}
	return gtconfig.Move{}, false
}

// LoadMoves reads the states of moves from the store and merges them.
func (n *Node) LoadMoves(ctx context.Context) error {
	state, err := n.configStore.Read(ctx)
	if err != nil {
		return err
	}
	n.mergeMoves(state.Moves())
	return nil
}

// applyAction accepts or refuses a push, or restores a version in the store.
func (n *Node) applyAction(ctx context.Context, action gtaccept.Action, state gtrepository.State, active gtdelta.Snapshot) error {
	self := n.Settings.Node.Instance
	if action == gtaccept.Restore {
		n.Log.Error().Int64("store", state.View().Record().Version()).Int64("own", active.Version()).Msg("watch: store lost a version, restoring it")
		return n.configStore.Restore(ctx, state, active, self)
	}
	files, err := n.configStore.Files(ctx)
	if err != nil {
		return err
	}
	push := state.View().Head().Seq()
	if action == gtaccept.Renumber {
		n.Log.Error().Int64("version", active.Version()).Msg("watch: store holds other files under this version, accepting them as the next version")
		push = max(push, state.View().Record().Push())
	}
	if _, problems := n.mergeFiles(files); len(problems) > 0 {
		texts := gtfolder.FormatProblems(problems)
		n.Log.Warn().Int64("push", push).Str("first", texts[0]).Msg("watch: push refused")
		return n.configStore.RefusePush(ctx, state, self, texts)
	}
	next := gtdelta.NewSnapshot(active.Version()+1, push, files)
	if err := n.configStore.AcceptVersion(ctx, state, active, next, self); err != nil {
		return err
	}
	n.Log.Info().Int64("version", next.Version()).Int64("push", push).Msg("watch: push accepted")
	return n.Install(next)
}
