package gtnode

import (
	"context"
	"slices"
	"sync"
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
	// standbyDelay is the additional delay per rank before a driver writes a due
	// change, so that normally only the first-ranked one writes it.
	standbyDelay = 2 * time.Second
	// reportRetention is how long the last report of an instance is kept.
	reportRetention = 10 * time.Minute
	// maxReports bounds the number of instances whose last report is kept.
	maxReports = 16 << 10
)

// judges holds the judges of the active moves: pooled ones, fed by the reports of
// all instances, for the moves that this node may drive, and local ones, fed by
// the outcomes that this node observes itself.
type judges struct {
	now func() time.Time

	mu     sync.Mutex
	pooled map[string]*pooledJudge
	local  map[string]*gtcanary.Judge
	latest map[string]timedReport
}

// pooledJudge is the judge of one move that this node may drive. Its seq is the
// sequence number of the move's state at the last evaluation, and changeDueSince
// the time since which a change of the state is due, or zero.
type pooledJudge struct {
	judge          *gtcanary.Judge
	seq            int64
	changeDueSince time.Time
}

// timedReport is the last report of an instance and its time of arrival. A new
// judge starts with the last reports of all instances.
type timedReport struct {
	report gtcanary.Report
	at     time.Time
}

// addReport adds a report from an instance of the service to all pooled judges,
// and keeps it for judges that are created later.
func (j *judges) addReport(r gtcanary.Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.latest == nil {
		j.latest = map[string]timedReport{}
	}
	if _, known := j.latest[r.Instance()]; known || len(j.latest) < maxReports {
		j.latest[r.Instance()] = timedReport{r, j.now()}
	}
	for _, p := range j.pooled {
		p.judge.AddReport(r)
	}
}

// pooledJudge returns the pooled judge of a move, and creates it if necessary.
func (j *judges) pooledJudge(m gtconfig.Move) *pooledJudge {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pooled == nil {
		j.pooled = map[string]*pooledJudge{}
	}
	p := j.pooled[m.ID()]
	if p == nil {
		p = &pooledJudge{judge: &gtcanary.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtcanary.PooledThreshold}}
		for _, last := range j.latest {
			p.judge.AddReport(last.report)
		}
		j.pooled[m.ID()] = p
	}
	return p
}

// localJudge returns the local judge of a move, and creates it if necessary.
func (j *judges) localJudge(m gtconfig.Move) *gtcanary.Judge {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.local == nil {
		j.local = map[string]*gtcanary.Judge{}
	}
	judge := j.local[m.ID()]
	if judge == nil {
		judge = &gtcanary.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtcanary.LocalThreshold}
		j.local[m.ID()] = judge
	}
	return judge
}

// prune deletes the judges of moves whose IDs are not in active, and reports older
// than reportRetention.
func (j *judges) prune(active map[string]bool) {
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.pooled {
		if !active[id] {
			delete(j.pooled, id)
		}
	}
	for id := range j.local {
		if !active[id] {
			delete(j.local, id)
		}
	}
	for instance, last := range j.latest {
		if now.Sub(last.at) > reportRetention {
			delete(j.latest, instance)
		}
	}
}

// driveMoves reports this node's outcome counts to the drivers of its service's
// move, and drives the move if this node is one of them, until ctx ends.
func (n *Node) driveMoves(ctx context.Context) {
	ticker := n.timer.Every(drivePeriod, 0.1)
	defer ticker.Stop()
	var schedule gtcanary.ReportSchedule
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		cfg := n.holder.Current().Config()
		active := map[string]bool{}
		for _, m := range cfg.Moves() {
			if s, ok := n.moves.State(m.ID()); !ok || s.Phase() < gtmove.Done {
				active[m.ID()] = true
			}
		}
		n.judges.prune(active)
		m, ok := cfg.Move(n.Settings.Backend.Service)
		if !ok || !active[m.ID()] {
			continue
		}
		drivers := n.drivers(m)
		n.sendReport(ctx, drivers, &schedule)
		for rank, r := range drivers {
			if r.Instance() == n.Settings.Node.Instance {
				n.driveMove(ctx, m, rank)
			}
		}
	}
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
		for rank, r := range n.drivers(m) {
			if r.Instance() == n.Settings.Node.Instance {
				return rank
			}
		}
	}
	return -1
}

// sendReport sends the node's outcome counts to the drivers that are due for them. A
// failed report is sent again in the driver's next round.
func (n *Node) sendReport(ctx context.Context, drivers []gtmember.Record, schedule *gtcanary.ReportSchedule) {
	self := n.table.Self()
	r := n.outcomes.Report(self.Instance(), self.Version())
	names := make([]string, len(drivers))
	for i, d := range drivers {
		names[i] = d.Instance()
	}
	schedule.Keep(names)
	due := schedule.Due(names, r)
	for i, to := range drivers {
		if !slices.Contains(due, names[i]) {
			continue
		}
		if err := n.overlay.SendReport(ctx, to, r); err != nil {
			n.Log.Debug().Err(err).Str("driver", to.Instance()).Msg("move: sending the report to a driver failed")
			continue
		}
		schedule.Sent(names[i], r)
	}
}

// driveMove evaluates a move and writes its next state, if a change is due. Drivers
// with a rank above 0 delay the change, unless it lowers the share of traffic. If
// a rollback can't be written to the store, the move is halted on this node and
// all peers instead.
func (n *Node) driveMove(ctx context.Context, m gtconfig.Move, rank int) {
	if n.SaveMove == nil && n.configStore == nil || n.drain.Begun() {
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
	if p.changeDueSince.IsZero() {
		p.changeDueSince = now
	}
	if next.Share() >= state.Share() && now.Sub(p.changeDueSince) < time.Duration(rank)*standbyDelay {
		return
	}
	save := n.SaveMove
	if save == nil {
		save = n.configStore.PutMove
	}
	written, err := save(ctx, next)
	if err != nil {
		n.Log.Info().Err(err).Str("move", m.Name()).Msg("move: writing the next state to the store failed")
		if next.Phase() == gtmove.RolledBack {
			n.haltMove(m, next.Reason())
		}
		return
	}
	if n.moves.Merge(written) {
		n.Log.Info().Str("move", m.Name()).Stringer("phase", written.Phase()).Float64("share", written.Share()).Str("reason", written.Reason()).Msg("move: new state")
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
		reason = a.String()
	}
	if h, ok := n.moves.Halt(m.ID()); ok {
		reason = "found by " + h.By() + ": " + h.Reason()
	}
	return gtmove.Advance(state, m, gtmove.NewFindings(reason, p.judge.AlarmLevel(), p.judge.StepRequests(), p.judge.HasTraffic(), newReady, oldReady), now)
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

// haltMove stops traffic to the new version of a move without writing to the
// store, on this node and on all peers.
func (n *Node) haltMove(m gtconfig.Move, reason string) {
	h := gtmove.NewHalt(m.ID(), n.Settings.Node.Instance, reason)
	if n.moves.AddHalt(h) {
		n.Log.Warn().Str("move", m.Name()).Str("reason", reason).Msg("move: new version halted")
		n.overlay.AnnounceHalt(h)
	}
}

// recordOutcome adds the outcome of an attempt to the local judge of the service's
// move, and halts the move if the judge raises an alarm.
func (n *Node) recordOutcome(service, route, version string, o gtcanary.Outcome) {
	m, ok := n.holder.Current().Config().Move(service)
	if !ok {
		return
	}
	if s, ok := n.moves.State(m.ID()); !ok || s.Phase() >= gtmove.Done {
		return
	}
	judge := n.judges.localJudge(m)
	judge.AddOutcome(route, version, o)
	if a, ok := judge.Alarm(); ok {
		n.haltMove(m, a.String())
	}
}
