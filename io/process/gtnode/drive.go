package gtnode

import (
	"context"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtmove"
)

const (
	// drivePeriod is the period at which outcome counts are reported and moves are
	// evaluated.
	drivePeriod = 250 * time.Millisecond
	// minReportInterval is the minimum time between two reports of a busy instance of
	// the new version, which doesn't wait for the period.
	minReportInterval = 50 * time.Millisecond
	// standbyDelay is the additional delay per rank before a driver writes a due
	// change, so that normally only the first-ranked one writes it.
	standbyDelay = 2 * time.Second
	// oldVersionAbsence is how long the old version may have no ready instance, as all of
	// them restart, before the move goes on without it.
	oldVersionAbsence = 10 * time.Second
)

// driveMoves reports this node's outcome counts to the drivers of its service's
// move, and drives the move if this node is one of them, until ctx ends. An alarm, and
// a batch of responses of the new version, don't wait for the next period.
func (n *Node) driveMoves(ctx context.Context) {
	ticker := n.timer.Every(drivePeriod, 0.1)
	defer ticker.Stop()
	var logged loggedMove
	var lastReport time.Time
	for {
		due, batch := false, false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
			due = true
		case <-n.judges.batches:
			batch = n.timer.Time().Sub(lastReport) >= minReportInterval
		case <-n.judges.raised:
		}
		m, ok := n.activeMove()
		n.judges.reportsBatches.Store(ok && n.table.Self().Version() == m.To())
		if !ok {
			continue
		}
		drivers := n.drivers(m)
		if due {
			n.logMove(m, drivers, &logged)
		}
		switch {
		case due:
			lastReport = n.timer.Time()
			n.reporter.report(ctx, drivers, n.report())
		case batch:
			lastReport = n.timer.Time()
			n.reporter.reportBatch(ctx, drivers, n.report())
		}
		if rank := rankOf(n.Settings.Node.Instance, drivers); rank >= 0 {
			n.driveMove(ctx, m, rank)
		}
	}
}

// activeMove returns the move of the node's service, and whether there is one that has
// not ended. It deletes the judges of all moves that have ended.
func (n *Node) activeMove() (gtconfig.Move, bool) {
	cfg := n.holder.Current().Config()
	active := map[string]bool{}
	for _, m := range cfg.Moves() {
		if s, ok := n.moves.State(m.ID()); !ok || s.Phase() < gtmove.Done {
			active[m.ID()] = true
		}
	}
	n.judges.prune(active)
	m, ok := cfg.Move(n.Settings.Backend.Service)
	return m, ok && active[m.ID()]
}

// drivers returns the instances that collect the reports about a move and write
// its state, by rank.
func (n *Node) drivers(m gtconfig.Move) []gtmember.Record {
	ranked := gtrank.Ranked("move "+m.ID(), n.table.ServiceMembers(m.Service()))
	return ranked[:min(gtrank.MoveDrivers, len(ranked))]
}

// DriverRank returns this node's rank among the drivers of the move with the
// given name, starting at 0, or -1 if it is none of them.
func (n *Node) DriverRank(name string) int {
	for _, m := range n.holder.Current().Config().Moves() {
		if m.Name() != name {
			continue
		}
		return rankOf(n.Settings.Node.Instance, n.drivers(m))
	}
	return -1
}

// report returns the node's outcome counts.
func (n *Node) report() gtcanary.Report {
	self := n.table.Self()
	return n.outcomes.Report(self.Instance(), self.Version())
}

// driveMove evaluates a move and has its next state written, if a change is due. A
// version that is rolled back is halted on this node and all peers first, since the
// write may take long. Drivers with a rank above 0 delay the write. A node that is
// stopping writes nothing but rollbacks.
func (n *Node) driveMove(ctx context.Context, m gtconfig.Move, rank int) {
	if n.SaveMove == nil && n.configStore == nil {
		return
	}
	p := n.judges.pooledJudge(m)
	now := n.timer.Time()
	state, known := n.moves.State(m.ID())
	if state.Seq() != p.seq {
		p.seq = state.Seq()
		p.judge.StartStep()
	}
	next, changed := n.nextMoveState(m, p, state, known, now)
	if !changed {
		p.changeDueSince = time.Time{}
		return
	}
	switch {
	case next.Phase() == gtmove.RolledBack:
		n.haltMove(m, next.Reason())
	case n.drain.Begun():
		return
	}
	if p.changeDueSince.IsZero() {
		p.changeDueSince = now
	}
	if now.Sub(p.changeDueSince) < time.Duration(rank)*standbyDelay || !p.writing.CompareAndSwap(false, true) {
		return
	}
	n.logFindings(m, rank, next)
	n.wg.Go(func() {
		defer p.writing.Store(false)
		n.writeMove(ctx, m, next)
	})
}

// writeMove writes the state of a move to the store, and announces the state that is
// stored afterwards.
func (n *Node) writeMove(ctx context.Context, m gtconfig.Move, next gtmove.State) {
	save := n.SaveMove
	if save == nil {
		save = n.configStore.PutMove
	}
	start := n.timer.Time()
	written, err := save(ctx, next)
	took := n.timer.Time().Sub(start)
	n.scope.Timer("move_write").Record(took)
	if err != nil {
		n.Log.Info().Err(err).Str("move", m.Name()).Int64("ms", took.Milliseconds()).Msg("move: writing the next state to the store failed")
		return
	}
	if n.moves.Merge(written) {
		n.Log.Info().Str("move", m.Name()).Stringer("phase", written.Phase()).Float64("share", written.Share()).Str("reason", written.Reason()).Int64("ms", took.Milliseconds()).Msg("move: new state")
		n.overlay.AnnounceMove(written)
	}
}

// nextMoveState returns the next state of a move, and whether it differs from the
// current one. A move starts once an instance of the new version is ready.
func (n *Node) nextMoveState(m gtconfig.Move, p *pooledJudge, state gtmove.State, known bool, now time.Time) (gtmove.State, bool) {
	newReady, oldReady := n.countReadyInstances(m)
	if !known {
		if newReady == 0 {
			return state, false
		}
		return gtmove.InitialState(m, n.reverseMoveState(m), now), true
	}
	reason := ""
	if a, ok := p.judge.Alarm(); ok {
		if !p.alarmLogged {
			p.alarmLogged = true
			n.logAlarm(m, pooledJudgeName, a)
		}
		reason = a.String()
	}
	if h, ok := n.moves.Halt(m.ID()); ok {
		reason = "found by " + h.By() + ": " + h.Reason()
	}
	doubt := n.doubt(m, p, oldReady)
	compared := p.judge.StepCompared()
	if oldReady == 0 && !p.judge.HasBaseline() {
		compared = p.judge.StepRequests()
	}
	f := gtmove.NewFindings(reason, p.judge.AlarmLevel(), compared, p.judge.HasTraffic(), newReady, oldReady).WithDoubt(doubt)
	return gtmove.Advance(state, m, f, now)
}

// doubt returns why the evidence of a move is incomplete, or "". Once it is complete for
// the first time, the step is counted anew: the first reports hold what came before.
func (n *Node) doubt(m gtconfig.Move, p *pooledJudge, oldReady int) string {
	doubt := ""
	now := n.timer.Time()
	if oldReady > 0 || p.oldReadyAt.IsZero() {
		p.oldReadyAt = now
	}
	if oldReady == 0 && now.Sub(p.oldReadyAt) < oldVersionAbsence {
		doubt = "no server of the old version is ready for now"
	} else if instance := n.judges.silent(n.readyInstances(m, m.To()), m.To()); instance != "" {
		doubt = "no recent report of " + instance
	}
	if doubt == "" && !p.complete {
		p.complete = true
		p.judge.StartStep()
	}
	if doubt != p.doubt {
		p.doubt = doubt
		n.Log.Info().Str("move", m.Name()).Str("reason", doubt).Msg("move: evidence")
	}
	return doubt
}

// readyInstances returns the ready instances of a move's service that run a version.
func (n *Node) readyInstances(m gtconfig.Move, version string) []string {
	var names []string
	for _, r := range n.table.ServiceMembers(m.Service()) {
		if r.State() == gtmember.Ready && r.Version() == version {
			names = append(names, r.Instance())
		}
	}
	return names
}

// countReadyInstances returns the number of ready instances of the new version of a
// move, and of the old one.
func (n *Node) countReadyInstances(m gtconfig.Move) (newReady, oldReady int) {
	for _, r := range n.table.ServiceMembers(m.Service()) {
		if r.State() != gtmember.Ready {
			continue
		}
		switch {
		case r.Version() == m.To():
			newReady++
		case m.IsFrom(r.Version()):
			oldReady++
		}
	}
	return newReady, oldReady
}

// reverseMoveState returns the state of the latest move in the opposite direction,
// or nil if there is none. There is one if the operators have replaced a move that
// was under way by its reverse.
func (n *Node) reverseMoveState(m gtconfig.Move) *gtmove.State {
	var found *gtmove.State
	for _, s := range n.moves.States() {
		if gtmove.IsReverse(s.ID(), m) && (found == nil || s.Updated().After(found.Updated())) {
			found = &s
		}
	}
	return found
}
