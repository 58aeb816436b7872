package gtnode

import (
	"context"
	"sync"
	"time"

	"godwittide/core/process/gtduty"
	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtevidence"
	"godwittide/core/version/gtmove"
)

const (
	// driveEvery is the period in which evidence is reported and moves are
	// looked at.
	driveEvery = 250 * time.Millisecond
	// standbyEvery is the number of reports to the first driver for each one to
	// the others.
	standbyEvery = 4
	// standbyDelay is how long each next ranked driver leaves a due change to
	// the one before it.
	standbyDelay = 2 * time.Second
	// judgeKept is how long a judge without reports is kept.
	judgeKept = 10 * time.Minute
)

// judges keeps the judges of the moves: the pooled ones, of the moves that
// this node may drive, and the local ones, of what this node sees itself.
type judges struct {
	now func() time.Time

	mu     sync.Mutex
	pooled map[string]*driving
	local  map[string]*gtevidence.Judge
	latest map[string]heard
}

// driving is the work on one move.
type driving struct {
	judge *gtevidence.Judge
	seq   int64
	due   time.Time
}

// heard is the last report of an instance, kept so that a new judge starts
// with what is known.
type heard struct {
	report gtevidence.Report
	at     time.Time
}

// take takes in a report from an instance of the service.
func (j *judges) take(r gtevidence.Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.latest == nil {
		j.latest = map[string]heard{}
	}
	if len(j.latest) < 4096 {
		j.latest[r.Instance()] = heard{r, j.now()}
	}
	for _, d := range j.pooled {
		d.judge.Take(r)
	}
}

// drive returns the work on a move, begun if need be.
func (j *judges) drive(m gtconfig.Move) *driving {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pooled == nil {
		j.pooled = map[string]*driving{}
	}
	d := j.pooled[m.ID()]
	if d == nil {
		d = &driving{judge: &gtevidence.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtevidence.PooledThreshold}}
		for _, h := range j.latest {
			d.judge.Take(h.report)
		}
		j.pooled[m.ID()] = d
	}
	return d
}

func (j *judges) judgeLocal(m gtconfig.Move) *gtevidence.Judge {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.local == nil {
		j.local = map[string]*gtevidence.Judge{}
	}
	judge := j.local[m.ID()]
	if judge == nil {
		judge = &gtevidence.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtevidence.LocalThreshold}
		j.local[m.ID()] = judge
	}
	return judge
}

// keep forgets the judges of moves that are over or no longer configured, and
// old reports.
func (j *judges) keep(active map[string]bool) {
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
	for name, h := range j.latest {
		if now.Sub(h.at) > judgeKept {
			delete(j.latest, name)
		}
	}
}

// driveMoves reports evidence and drives moves until ctx ends.
func (n *Node) driveMoves(ctx context.Context) {
	tick := n.timer.Every(driveEvery, 0.1)
	defer tick.Stop()
	var reported uint64
	turn := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
		}
		cfg := n.holder.Current().Config()
		active := map[string]bool{}
		for _, m := range cfg.Moves() {
			if s, ok := n.board.State(m.ID()); !ok || s.Phase() < gtmove.Done {
				active[m.ID()] = true
			}
		}
		n.judges.keep(active)
		m, ok := cfg.Move(n.Settings.Backend.Service)
		if !ok || !active[m.ID()] {
			continue
		}
		drivers := n.drivers(m)
		// Those that stand by hear less often: they act late anyway.
		hear := drivers
		if turn++; turn%standbyEvery != 0 {
			hear = drivers[:min(1, len(drivers))]
		}
		reported = n.report(ctx, hear, reported)
		for rank, r := range drivers {
			if r.Instance() == n.Settings.Node.Instance {
				n.drive(ctx, m, rank)
			}
		}
	}
}

// drivers returns the instances that collect the evidence of a move, in rank.
func (n *Node) drivers(m gtconfig.Move) []gtmember.Record {
	ranked := gtduty.Ranked("move "+m.ID(), n.table.Service(m.Service()))
	return ranked[:min(gtduty.Drivers, len(ranked))]
}

// Drives returns this node's rank among the drivers of the move with the given
// name, or -1.
func (n *Node) Drives(name string) int {
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

// report sends the node's counts to the drivers, if there is news.
func (n *Node) report(ctx context.Context, drivers []gtmember.Record, reported uint64) uint64 {
	self := n.table.Self()
	r := n.ledger.Report(self.Instance(), uint64(n.started.UnixMilli()), self.Version())
	var total uint64
	for _, c := range r.Routes() {
		total += c.Total()
	}
	if total == reported {
		return reported
	}
	for _, to := range drivers {
		if err := n.overlay.Report(ctx, to, r); err != nil {
			n.Log.Debug().Err(err).Str("driver", to.Instance()).Msg("move: report was not sent")
			total = reported
		}
	}
	return total
}

// drive looks at a move and writes its next state down.
func (n *Node) drive(ctx context.Context, m gtconfig.Move, rank int) {
	if n.SaveMove == nil && n.vault == nil || n.leaving.Load() {
		return
	}
	d := n.judges.drive(m)
	now := n.timer.Time()
	state, known := n.board.State(m.ID())
	if state.Seq() != d.seq {
		d.seq = state.Seq()
		d.judge.StartStep()
	}
	next, changed := n.nextState(m, d, state, known, now)
	if !changed {
		d.due = time.Time{}
		return
	}
	if d.due.IsZero() {
		d.due = now
	}
	if next.Share() >= state.Share() && now.Sub(d.due) < time.Duration(rank)*standbyDelay {
		return
	}
	save := n.SaveMove
	if save == nil {
		save = n.vault.PutMove
	}
	written, err := save(ctx, next)
	if err != nil {
		n.Log.Info().Err(err).Str("move", m.Name()).Msg("move: state was not written")
		if next.Phase() == gtmove.TakenBack {
			n.halt(m, next.Reason())
		}
		return
	}
	if n.board.Merge(written) {
		n.Log.Info().Str("move", m.Name()).Stringer("phase", written.Phase()).Float64("share", written.Share()).Str("reason", written.Reason()).Msg("move: new state")
		n.overlay.AnnounceMove(written)
	}
}

func (n *Node) nextState(m gtconfig.Move, d *driving, state gtmove.State, known bool, now time.Time) (gtmove.State, bool) {
	ready, old := n.countReady(m)
	if !known {
		if ready == 0 {
			return state, false
		}
		return gtmove.Start(m, n.reversed(m), now), true
	}
	reason := ""
	if a, ok := d.judge.Alarm(); ok {
		reason = a.String()
	}
	if h, ok := n.board.Halted(m.ID()); ok {
		reason = "found by " + h.By() + ": " + h.Reason()
	}
	return gtmove.Advance(state, m, gtmove.NewFindings(reason, d.judge.Doubt(), d.judge.Answered(), d.judge.Traffic(), ready, old), now)
}

func (n *Node) countReady(m gtconfig.Move) (ready, old int) {
	for _, r := range n.table.Service(m.Service()) {
		if r.State() != gtmember.Ready {
			continue
		}
		switch {
		case r.Version() == m.To():
			ready++
		case m.IsFrom(r.Version()):
			old++
		}
	}
	return ready, old
}

// reversed returns the state of the move in the other direction, if the
// operators have replaced one that was under way.
func (n *Node) reversed(m gtconfig.Move) *gtmove.State {
	var found *gtmove.State
	for _, s := range n.board.States() {
		if gtmove.IsReverse(s.ID(), m) && (found == nil || s.Stepped().After(found.Stepped())) {
			found = &s
		}
	}
	return found
}

// halt takes a version back without the store: here and at all peers.
func (n *Node) halt(m gtconfig.Move, reason string) {
	h := gtmove.NewHalt(m.ID(), n.Settings.Node.Instance, reason)
	if n.board.Halt(h) {
		n.Log.Warn().Str("move", m.Name()).Str("reason", reason).Msg("move: new version halted")
		n.overlay.AnnounceHalt(h)
	}
}

// observed feeds what this node sees of a version to its local judge.
func (n *Node) observed(service, route, version string, o gtevidence.Outcome) {
	m, ok := n.holder.Current().Config().Move(service)
	if !ok {
		return
	}
	if s, ok := n.board.State(m.ID()); !ok || s.Phase() >= gtmove.Done {
		return
	}
	judge := n.judges.judgeLocal(m)
	judge.Add(route, version, o)
	if a, bad := judge.Alarm(); bad {
		n.halt(m, a.String())
	}
}
