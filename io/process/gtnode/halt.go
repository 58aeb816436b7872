package gtnode

import (
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtmove"
)

// The judges that raise alarms, as logged.
const (
	pooledJudgeName = "pooled"
	localJudgeName  = "local"
)

// haltMove stops traffic to the new version of a move without writing to the
// store, on this node and on all peers.
func (n *Node) haltMove(m gtconfig.Move, reason string) {
	h := gtmove.NewHalt(m.ID(), n.Settings.Node.Instance, reason)
	if n.moves.AddHalt(h) {
		n.scope.Counter("halts").Inc(1)
		n.Log.Warn().Str("move", m.Name()).Str("reason", reason).Msg("move: new version halted")
		n.overlay.AnnounceHalt(h)
	}
}

// logHalt logs a halt that a peer sent.
func (n *Node) logHalt(h gtmove.Halt, peer string) {
	n.Log.Info().Str("id", h.ID()).Str("by", h.By()).Str("peer", peer).Str("reason", h.Reason()).Msg("move: halt received")
}

// logAlarm logs an alarm and the counts that it was raised on.
func (n *Node) logAlarm(m gtconfig.Move, judge string, a gtcanary.Alarm) {
	c := a.Counts()
	n.scope.Tagged(map[string]string{"judge": judge}).Counter("alarms").Inc(1)
	n.Log.Info().Str("move", m.Name()).Str("judge", judge).Uint64("requests", c.Total()).Uint64("failed", c.Failed()).
		Uint64("timed", c.Timed()).Uint64("slow", c.Slow()).Stringer("reason", a).Msg("move: alarm")
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
		if _, halted := n.moves.Halt(m.ID()); !halted {
			n.logAlarm(m, localJudgeName, a)
		}
		n.haltMove(m, a.String())
	}
}
