package gtnode

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"godwittide/core/process/gtheartbeat"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpool"
)

const (
	// probePeriod is the period at which the backend server is probed, or its
	// heartbeats are checked.
	probePeriod = 300 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = time.Second
	// maxProbeFailures is the number of consecutive failed probes after which the
	// backend server counts as down.
	maxProbeFailures = 3
)

// backendState is the state of the local backend server.
type backendState struct {
	mu            sync.Mutex
	state         gtmember.State
	readyAt       time.Time
	warmUpEnd     time.Time
	probeFailures int
}

// setState sets the state and reports whether it changed.
func (b *backendState) setState(s gtmember.State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == s {
		return false
	}
	b.state = s
	return true
}

func (b *backendState) currentState() gtmember.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// readyTime returns the time at which the backend server last became ready, or
// the zero time.
func (b *backendState) readyTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readyAt
}

func (b *backendState) resetProbeFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probeFailures = 0
}

// setWarmUpEnd sets the time until which the backend server is warming up.
func (b *backendState) setWarmUpEnd(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmUpEnd = at
}

func (b *backendState) warmUpEndTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.warmUpEnd
}

func (b *backendState) setReadyTime(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readyAt = at
}

func (n *Node) dialBackend(ctx context.Context, addr string) (net.Conn, error) {
	if n.DialBackend != nil {
		return n.DialBackend(ctx, addr)
	}
	d := net.Dialer{Timeout: gtpool.DialTimeout, KeepAlive: 15 * time.Second}
	return d.DialContext(ctx, "tcp", addr)
}

// maxBackendConns returns the number of connections to the backend server that its service
// allows, or 0 if the configuration sets none.
func (n *Node) maxBackendConns() int {
	service, _ := n.holder.Current().Config().Service(n.Settings.Backend.Service)
	return service.MaxConnections()
}

// backendConnLimit returns the number of connections to the backend server that its
// service allows, and fewer after the server was full, or 0 if there is no limit.
func (n *Node) backendConnLimit() int {
	configured, learned := n.maxBackendConns(), n.gate.ConnLimit()
	if configured == 0 || learned == 0 {
		return max(configured, learned)
	}
	return min(configured, learned)
}

// reportOverflows sets the gauge of requests that the backend server had no room for, and
// logs those since the last report.
func (n *Node) reportOverflows() {
	total := n.gate.Overflows()
	n.scope.Gauge("overflows").Update(float64(total))
	if d := total - n.overflows; d > 0 {
		n.Log.Warn().Uint64("requests", d).Int("limit", n.gate.Load("").Limit()).Msg("backend: full; requests were reset or got no response")
	}
	n.overflows = total
}

// initBackendState sets the initial state of the backend server: it probes the
// server once, or closes the admission gate until the first heartbeat.
func (n *Node) initBackendState(ctx context.Context) {
	if n.Heartbeats == nil {
		n.probe(ctx)
		return
	}
	n.gate.Close(gtkind.Down)
}

// watchBackend periodically checks that the backend server accepts connections,
// or sends heartbeats, until ctx ends. It doesn't use the server's health
// endpoint, whose response may be outdated or wrong.
func (n *Node) watchBackend(ctx context.Context) {
	check := func() { n.probe(ctx) }
	if n.Heartbeats != nil {
		check = n.checkHeartbeat
	}
	ticker := n.timer.Every(probePeriod, 0.1)
	defer ticker.Stop()
	for {
		check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

// checkHeartbeat marks the backend server as down after a heartbeat timeout.
func (n *Node) checkHeartbeat() {
	if n.Heartbeats.TimedOut() && n.backend.currentState() == gtmember.Ready {
		n.Log.Warn().Dur("silence", n.Heartbeats.Timeout).Msg("backend: no heartbeat")
		n.setState(gtmember.Down)
	}
}

// HandleHeartbeat processes a heartbeat of the backend server. It returns once
// the node has applied it and it may be acknowledged; an outdated heartbeat is ignored.
func (n *Node) HandleHeartbeat(h gtheartbeat.Heartbeat) {
	last, newer := n.Heartbeats.Observe(h)
	if !newer {
		n.Log.Debug().Str("backend", h.ID()).Msg("backend: late heartbeat")
		return
	}
	n.applyHeartbeat(last)
	if last.Leaving() {
		n.awaitDeparture()
	}
}

// applyHeartbeat updates the admission gate, the node's own record and its state
// from a heartbeat.
func (n *Node) applyHeartbeat(h gtheartbeat.Heartbeat) {
	n.backend.resetProbeFailures()
	n.gate.Resize(h.Slots())
	n.backend.setWarmUpEnd(n.timer.Time().Add(h.WarmUp()))
	n.limitWarmUpRate()
	self := n.table.Self()
	changed := self.Version() != h.Version() || self.Slots() != h.Slots()
	if self.Version() != h.Version() {
		n.outcomes.Restart(uint64(n.timer.Time().UnixMilli()))
		n.capacity.Reset()
	}
	if changed {
		n.table.SetSelfBackend(h.Version(), h.Slots(), self.State())
	}
	n.applyReportedState(h)
	if changed {
		n.overlay.Announce(n.table.Self())
	}
}

// applyReportedState applies the state that a heartbeat reports. While the node doesn't
// know whether the process announced its shutdown before this node started, it doesn't
// take the backend server into use.
func (n *Node) applyReportedState(h gtheartbeat.Heartbeat) {
	switch {
	case h.Leaving():
		n.rememberDeparture(h.Process())
		n.setState(gtmember.Leaving)
	case n.Heartbeats.Admits():
		n.setState(gtmember.Ready)
	default:
		n.recallOnce.Do(func() {
			n.Log.Info().Str("backend", h.ID()).Msg("backend: waits until earlier departures are known")
			go n.recallDepartures(n.runCtx)
		})
	}
}

// limitWarmUpRate limits the rate of requests while the backend server is warming
// up, to the rate configured for its service.
func (n *Node) limitWarmUpRate() {
	service, _ := n.holder.Current().Config().Service(n.Settings.Backend.Service)
	n.gate.LimitWarmUpRate(service.WarmUpRate(), n.backend.warmUpEndTime().Sub(n.timer.Time()))
}

// probe connects to the backend server and updates the node's state. It reports
// whether the server counts as up. If the node monitors heartbeats, a successful
// probe doesn't make the server ready; only a heartbeat does.
func (n *Node) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := n.dialBackend(ctx, n.Settings.Backend.Address)
	if err == nil {
		_ = conn.Close()
		n.backend.resetProbeFailures()
		if n.Heartbeats == nil {
			n.setState(gtmember.Ready)
		}
		return true
	}
	if !n.backend.countProbeFailure(err) {
		return true
	}
	if n.table.Self().State() == gtmember.Ready {
		n.setState(gtmember.Down)
	}
	return false
}

// countProbeFailure counts a failed probe and reports whether the backend server
// counts as down: at once if it refused the connection, otherwise after
// maxProbeFailures in a row, since a probe also times out if the CPU is
// overloaded.
func (b *backendState) countProbeFailure(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probeFailures++
	return errors.Is(err, syscall.ECONNREFUSED) || b.probeFailures >= maxProbeFailures
}

// probeDown probes the backend server and reports whether it counts as down.
func (n *Node) probeDown(ctx context.Context) bool { return !n.probe(ctx) }

// setState applies a new state of the backend server or the node: it opens or
// closes the admission gate at once and announces the state to the peers. The
// state down is announced only as often as downDamper allows. A node that is
// leaving does not become ready again.
func (n *Node) setState(s gtmember.State) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	announced := n.table.Self().State()
	if n.drain.Begun() && s < announced {
		return
	}
	if n.backend.setState(s) {
		if s == gtmember.Ready {
			n.backend.setReadyTime(n.timer.Time())
			n.gate.Reset()
		}
		n.gate.Close(n.gateRefusal(s))
		n.backendPool.CloseIdle(n.Settings.Backend.Address)
		n.Log.Info().Stringer("state", s).Msg("backend: state changed")
	}
	if announced == s || s == gtmember.Down && !n.downDamper.Allow() {
		return
	}
	n.overlay.Announce(n.table.SetSelfState(s))
}

// gateRefusal returns the error kind with which the admission gate refuses
// requests in a state, or None if it admits them.
func (n *Node) gateRefusal(s gtmember.State) gtkind.Kind {
	switch {
	case s >= gtmember.Leaving:
		return gtkind.Leaving
	case s != gtmember.Ready:
		return gtkind.Down
	case n.Heartbeats != nil && n.holder.Current().Snapshot().Version() == 0:
		// The rate limit during warm-up is part of the configuration.
		return gtkind.NoConfig
	case n.holder.Current().Config().IsZoneDrained(n.Settings.Node.Zone):
		return gtkind.Leaving
	default:
		return gtkind.None
	}
}

// applyConfig applies a new configuration to the admission gate: the rate limit
// during warm-up, and whether the node's own availability zone is drained. When
// the zone is no longer drained, the gate starts again with a low concurrency
// limit, since backend servers without traffic may need to warm up again.
func (n *Node) applyConfig(wasDrained, isDrained bool) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.limitWarmUpRate()
	if wasDrained && !isDrained {
		n.gate.Reset()
	}
	n.gate.Close(n.gateRefusal(n.backend.currentState()))
}
