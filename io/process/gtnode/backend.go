package gtnode

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"godwittide/core/process/gtbeat"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpool"
)

const (
	// probeEvery is the period in which the backend server is looked for.
	probeEvery = 300 * time.Millisecond
	// probeLimit bounds one attempt to connect to it.
	probeLimit = time.Second
	// probeMisses is the number of attempts without an answer after which the
	// backend server counts as down.
	probeMisses = 3
)

// backend is what the node knows of its backend server.
type backend struct {
	mu     sync.Mutex
	state  gtmember.State
	ready  time.Time
	cold   time.Time
	misses int
}

// turn notes the state, and says whether it is another one than before.
func (b *backend) turn(s gtmember.State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == s {
		return false
	}
	b.state = s
	return true
}

func (b *backend) current() gtmember.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// readyTime returns when the backend server last became ready.
func (b *backend) readyTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (b *backend) reached() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses = 0
}

// setCold notes until when the backend server is cold.
func (b *backend) setCold(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold = until
}

func (b *backend) coldUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold
}

func (b *backend) setReady(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = at
}

func (n *Node) dialBackend(ctx context.Context, addr string) (net.Conn, error) {
	if n.DialBackend != nil {
		return n.DialBackend(ctx, addr)
	}
	d := net.Dialer{Timeout: gtpool.DialLimit, KeepAlive: 15 * time.Second}
	return d.DialContext(ctx, "tcp", addr)
}

// lookForBackend looks for the backend server once, at the start. One that
// sends heartbeats is waited for.
func (n *Node) lookForBackend(ctx context.Context) {
	if n.Beats == nil {
		n.probe(ctx)
		return
	}
	n.gate.Close(gtkind.Down)
}

// watchBackend follows whether the backend server takes connections, or sends
// heartbeats. Its health endpoint is not asked: what it says may lag or mislead.
func (n *Node) watchBackend(ctx context.Context) {
	look := func() { n.probe(ctx) }
	if n.Beats != nil {
		look = n.listenForBackend
	}
	tick := n.timer.Every(probeEvery, 0.1)
	defer tick.Stop()
	for {
		look()
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
		}
	}
}

// listenForBackend notices that heartbeats have stopped.
func (n *Node) listenForBackend() {
	if n.Beats.Silent() && n.backend.current() == gtmember.Ready {
		n.Log.Warn().Dur("silence", n.Beats.Silence).Msg("backend: no heartbeat")
		n.setState(gtmember.Down)
	}
}

// Beat takes in a heartbeat of the backend server. It returns once the node
// acts on it.
func (n *Node) Beat(b gtbeat.Beat) {
	last, news := n.Beats.Take(b)
	if !news {
		n.Log.Debug().Str("backend", b.ID()).Msg("backend: late heartbeat")
		return
	}
	n.obey(last)
}

// Leave takes in that the backend server with the given id takes no new
// requests.
func (n *Node) Leave(id string) {
	if last, known := n.Beats.Leave(id); known {
		n.obey(last)
	}
}

// obey acts on what the backend server says of itself.
func (n *Node) obey(b gtbeat.Beat) {
	n.backend.reached()
	n.gate.Resize(b.Slots())
	n.backend.setCold(n.timer.Time().Add(b.Cold()))
	n.chill()
	own := n.table.Self()
	changed := own.Version() != b.Version() || own.Slots() != b.Slots()
	if changed {
		n.table.TurnBackend(b.Version(), b.Slots(), own.State())
	}
	if b.Leaving() {
		n.setState(gtmember.Leaving)
		return
	}
	n.setState(gtmember.Ready)
	if changed {
		n.overlay.Announce(n.table.Self())
	}
}

// chill bounds the rate of requests for as long as the backend server is cold.
func (n *Node) chill() {
	service, _ := n.holder.Current().Config().Service(n.Settings.Backend.Service)
	n.gate.Chill(service.ColdRate(), n.backend.coldUntil().Sub(n.timer.Time()))
}

// probe connects to the backend server and sets the node's state. It says
// whether the backend server is there.
func (n *Node) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	conn, err := n.dialBackend(ctx, n.Settings.Backend.Address)
	if err == nil {
		_ = conn.Close()
		n.backend.reached()
		if n.Beats == nil {
			n.setState(gtmember.Ready)
		}
		return true
	}
	if !n.backend.missed(err) {
		return true
	}
	if n.table.Self().State() == gtmember.Ready {
		n.setState(gtmember.Down)
	}
	return false
}

// missed says whether a failed attempt to connect means that the backend
// server is down: at once if it was refused, or else after several in a row,
// since an attempt also takes long where processor time is short.
func (b *backend) missed(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses++
	return errors.Is(err, syscall.ECONNREFUSED) || b.misses >= probeMisses
}

// checkDown says whether the backend server refuses connections now.
func (n *Node) checkDown(ctx context.Context) bool { return !n.probe(ctx) }

// setState opens or closes the gate as the backend server or the node turns to
// a state, and tells the peers. That the server is down is told only as often
// as the damper allows; the gate refuses at once. A node that is leaving does
// not become ready again.
func (n *Node) setState(s gtmember.State) {
	n.selfMu.Lock()
	defer n.selfMu.Unlock()
	announced := n.table.Self().State()
	if n.leaving.Load() && s < announced {
		return
	}
	if n.backend.turn(s) {
		if s == gtmember.Ready {
			n.backend.setReady(n.timer.Time())
			n.gate.Cool()
		}
		n.gate.Close(n.closedKind(s))
		n.own.Forget(n.Settings.Backend.Address)
		n.Log.Info().Stringer("state", s).Msg("backend: state changed")
	}
	if announced == s || s == gtmember.Down && !n.damper.Allow() {
		return
	}
	n.overlay.Announce(n.table.Turn(s))
}

// closedKind returns the kind that the gate refuses with in a state, or None.
func (n *Node) closedKind(s gtmember.State) gtkind.Kind {
	switch {
	case s >= gtmember.Leaving:
		return gtkind.Leaving
	case s != gtmember.Ready:
		return gtkind.Down
	case n.Beats != nil && n.holder.Current().Set().Version() == 0:
		// How much a cold backend server bears stands in the configuration.
		return gtkind.NoConfig
	case n.holder.Current().Config().ZoneOut(n.Settings.Node.Zone):
		return gtkind.Leaving
	default:
		return gtkind.None
	}
}

// configured follows the configuration: how much a cold backend server bears, and
// the node's own availability zone as operators take it out and bring it back. Backend servers may have turned cold meanwhile.
func (n *Node) configured(wasOut, isOut bool) {
	n.selfMu.Lock()
	defer n.selfMu.Unlock()
	n.chill()
	if wasOut && !isOut {
		n.gate.Cool()
	}
	n.gate.Close(n.closedKind(n.backend.current()))
}
