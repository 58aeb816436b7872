package gtnode

import (
	"context"
	"time"

	"godwittide/core/process/gtduty"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtusage"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtduties"
)

const (
	// dutySettleTime is how long after its first digest exchange, and dutyAloneTime how long
	// after its start without one, a node takes its rank among the candidates for granted.
	// Nodes that start together would otherwise all ask the store.
	dutySettleTime = time.Second
	dutyAloneTime  = 5 * time.Second
	// usageFlushTime bounds the sending of the last counts of a node that stops.
	usageFlushTime = 300 * time.Millisecond
)

// buildDuties creates the duties, if there is an address to report to and a store.
func (n *Node) buildDuties() {
	cfg := n.Settings.Duty
	if cfg.Address == "" || n.Store == nil {
		return
	}
	if n.Wall == nil {
		n.Wall = time.Now
	}
	report := n.ReportUsage
	if report == nil {
		client := &gtduties.Client{Address: cfg.Address, Holder: n.Settings.Node.Instance}
		client.Init()
		report = client.Report
	}
	terms := gtduty.NewTerms(time.Duration(cfg.Lease), cfg.Fenced)
	n.duties = &gtduties.Duties{
		Timer: n.timer, Wall: n.Wall, Uptime: n.SinceBootTime, Log: n.Log, Scope: n.scope,
		Self: n.Settings.Node.Instance, Start: n.startTime.UnixMilli(), Terms: terms,
		Timing: gtusage.NewTiming(gtusage.NewWindows(time.Duration(cfg.Window)), time.Duration(cfg.Late), terms.Takeover()),
		Store:  n.Store, Prefix: n.Settings.Store.Prefix, Rate: n.dutyRate, Call: report,
		Members: n.table.All, MaySettle: n.knowsFleet, IsGone: n.isGone, HasAccounts: n.hasAccounts,
		MayTake: func() bool { return !n.drain.Begun() }, Send: n.overlay.SendUsage,
	}
	n.duties.Init()
	n.localBackend.OnBegin, n.overlay.OnUsage = n.duties.Begin, n.duties.Serve
}

// knowsFleet reports whether this node has heard from peers of the other nodes for
// dutySettleTime, or has found no peer.
func (n *Node) knowsFleet() bool {
	now := n.timer.Time()
	if !n.overlay.HasSynced() {
		return now.Sub(n.startTime) >= dutyAloneTime
	}
	if n.syncedAt.Time().IsZero() {
		n.syncedAt.Set(now)
	}
	return now.Sub(n.syncedAt.Time()) >= dutySettleTime
}

// isGone reports whether an instance is unknown or has ended.
func (n *Node) isGone(instance string) bool {
	r, ok := n.table.Get(instance)
	return !ok || r.State() == gtmember.Gone
}

// flushUsage sends the last counts of this node.
func (n *Node) flushUsage(ctx context.Context) {
	if n.duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageFlushTime)
	defer cancel()
	n.duties.Flush(ctx)
}

// dutyStatuses returns the state of each duty.
func (n *Node) dutyStatuses(ctx context.Context) []gtwire.DutyStatus {
	if n.duties == nil {
		return []gtwire.DutyStatus{}
	}
	return []gtwire.DutyStatus{n.duties.Status(ctx)}
}
