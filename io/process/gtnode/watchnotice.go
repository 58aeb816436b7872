package gtnode

import (
	"context"
	"sync"
	"sync/atomic"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/process/gtstandin"
)

// watchNotices holds what a watcher tells the stand-ins of its zone.
type watchNotices struct {
	success atomic.Bool
	changed chan struct{}

	mu       sync.Mutex
	inFlight map[string]bool
}

// setSuccess sets whether the newest call of the store had success.
func (w *watchNotices) setSuccess(ok bool) {
	if w.success.Swap(ok) == ok {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// begin reports whether a notice may be sent to an instance: not while another waits for
// a link to it.
func (w *watchNotices) begin(instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight[instance] {
		return false
	}
	if w.inFlight == nil {
		w.inFlight = map[string]bool{}
	}
	w.inFlight[instance] = true
	return true
}

// end ends the sending of a notice.
func (w *watchNotices) end(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inFlight, instance)
}

// sendWatchNotices tells the stand-ins of the zone, at once and then periodically, that
// this node watches the store, while it does so with success. It returns when ctx ends.
func (n *Node) sendWatchNotices(ctx context.Context, w *watchNotices) {
	ticker := n.timer.Every(gtstandin.NoticePeriod, 0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		case <-w.changed:
		}
		if !w.success.Load() {
			continue
		}
		for _, to := range n.standIns() {
			if w.begin(to.Instance()) {
				n.wg.Go(func() {
					defer w.end(to.Instance())
					if err := n.overlay.SendWatching(ctx, to); err != nil {
						n.Log.Debug().Err(err).Str("instance", to.Instance()).Msg("watch: sending a notice to a stand-in failed")
					}
				})
			}
		}
	}
}

// standIns returns the stand-ins of the zone, but this node.
func (n *Node) standIns() []gtmember.Record {
	ranked := gtrank.Ranked("watch", n.table.ZoneMembers(n.Settings.Node.Zone))
	var out []gtmember.Record
	for _, r := range ranked[min(gtrank.ZoneWatchers, len(ranked)):min(gtrank.ZoneWatchers+gtrank.ZoneStandIns, len(ranked))] {
		if r.Instance() != n.Settings.Node.Instance {
			out = append(out, r)
		}
	}
	return out
}

// noteWatching records that an instance watches the store with success, if it ranks
// before this node in the same zone. A stand-in is not replaced by one behind it, since
// each of two would otherwise end because of the other.
func (n *Node) noteWatching(instance string) {
	r, ok := n.table.Get(instance)
	if !ok || r.Zone() != n.Settings.Node.Zone {
		return
	}
	if gtrank.Rank("watch", instance, n.table.ZoneMembers(r.Zone())) < n.watchRank() {
		n.standIn.Heard()
	}
}
