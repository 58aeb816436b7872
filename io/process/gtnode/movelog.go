package gtnode

import (
	"strings"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtmove"
)

// loggedMove is what was last logged about the service's move.
type loggedMove struct {
	id      string
	drivers string
	seq     int64
	halted  bool
}

// logMove logs when the drivers of the service's move change, and this node's evidence
// about it when its state changes or it is halted.
func (n *Node) logMove(m gtconfig.Move, drivers []gtmember.Record, last *loggedMove) {
	names := make([]string, len(drivers))
	for i, d := range drivers {
		names[i] = d.Instance()
	}
	state, _ := n.moves.State(m.ID())
	_, halted := n.moves.Halt(m.ID())
	next := loggedMove{id: m.ID(), drivers: strings.Join(names, " "), seq: state.Seq(), halted: halted}
	if next == *last {
		return
	}
	if next.drivers != last.drivers || next.id != last.id {
		n.Log.Info().Str("move", m.Name()).Str("drivers", next.drivers).Int("rank", rankOf(n.Settings.Node.Instance, drivers)).Msg("move: drivers")
	}
	if next.seq != last.seq || next.halted != last.halted {
		r := n.report()
		n.Log.Info().Str("move", m.Name()).Int64("seq", state.Seq()).Bool("halted", halted).Str("backend", r.Version()).
			Uint64("requests", r.Total()).Object("omitted", &n.omissions).Msg("move: own evidence")
	}
	*last = next
}

// rankOf returns the rank of an instance among the drivers, or -1.
func rankOf(instance string, drivers []gtmember.Record) int {
	for rank, d := range drivers {
		if d.Instance() == instance {
			return rank
		}
	}
	return -1
}

// logFindings logs how complete a driver's evidence is when it writes a state.
func (n *Node) logFindings(m gtconfig.Move, rank int, next gtmove.State) {
	var ready []string
	for _, r := range n.table.ServiceMembers(m.Service()) {
		if r.State() == gtmember.Ready {
			ready = append(ready, r.Instance())
		}
	}
	reported, oldest := n.judges.reportAges(ready)
	n.scope.Gauge("report_age").Update(oldest.Seconds())
	n.Log.Info().Str("move", m.Name()).Int("rank", rank).Float64("share", next.Share()).Int("ready", len(ready)).Int("reported", reported).
		Int64("oldest", oldest.Milliseconds()).Msg("move: writing a state")
}
