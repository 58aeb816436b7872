package gtnode

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwittide/core/process/gtheartbeat"
	"godwittide/io/connection/gtwire"
)

const (
	// departureTTL is how long the store keeps a departure: heartbeats that were sent
	// before it don't arrive later than that.
	departureTTL = 2 * time.Minute
	// maxAcknowledgeDelay is how long the acknowledgement of a departure waits for the
	// store. The backend server waits a second for it.
	maxAcknowledgeDelay = 700 * time.Millisecond
)

// departures keeps which processes of the backend server announced their shutdown, where
// it outlives this process: in the node's record, which peers have, and in the store.
type departures struct {
	mu      sync.Mutex
	last    gtheartbeat.Process
	lastAt  time.Time     // when it announced its shutdown
	written chan struct{} // closed after the first attempt to write last to the store

	writeMu    sync.Mutex // held during a write
	lease      int64
	leaseStart time.Time
}

// set replaces the last process and the channel of its write, and reports whether it did.
// It leaves out a process that started before the last, with the same ID.
func (d *departures) set(p gtheartbeat.Process, now time.Time, written chan struct{}) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.ID() == p.ID() && p.StartMillis() <= d.last.StartMillis() {
		return false
	}
	d.last, d.lastAt, d.written = p, now, written
	return true
}

// lastWritten returns the channel that is closed after the first attempt to write the last
// departure to the store, or nil if there was none.
func (d *departures) lastWritten() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

// HandleLeaving processes an announcement that the backend server process with
// the given ID takes no new requests. If the latest heartbeat isn't from that
// process, the announcement takes effect with the next one that is. It returns once
// the announcement may be acknowledged.
func (n *Node) HandleLeaving(id string) {
	departed, last, known := n.Heartbeats.MarkLeaving(id)
	n.Log.Info().Str("backend", id).Bool("known", known).Msg("backend: departure announced")
	n.rememberDeparture(departed)
	if known {
		n.applyHeartbeat(last)
	} else {
		n.announceAgain()
	}
	n.awaitDeparture()
}

// announceAgain announces the node's own record with the state that it has.
func (n *Node) announceAgain() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.overlay.Announce(n.table.SetSelfState(n.table.Self().State()))
}

// rememberDeparture notes that a process of the backend server, and those with its ID
// that started before, announced their shutdown. Peers learn of it with the next change
// of the node's record. The store is written to in another thread.
func (n *Node) rememberDeparture(p gtheartbeat.Process) {
	written := make(chan struct{})
	if !n.departures.set(p, n.timer.Time(), written) {
		return
	}
	n.table.SetSelfDeparted(departedText(p), true)
	if n.configStore == nil {
		close(written)
		return
	}
	go n.storeDeparture(n.runCtx, p, written)
}

// awaitDeparture waits until the last departure is in the store. It gives up once an
// attempt to write it has failed or maxAcknowledgeDelay has passed: the peers know of it
// by then, and the store gets it later.
func (n *Node) awaitDeparture() {
	written := n.departures.lastWritten()
	if written == nil {
		return
	}
	timeout := n.timer.After(maxAcknowledgeDelay)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C():
		n.Log.Warn().Msg("backend: departure acknowledged before the store has it")
	}
}

// restoreDeparture writes the last departure to the store again, which has lost it, unless it no
// longer matters. It reports whether it does.
func (n *Node) restoreDeparture(ctx context.Context) bool {
	d := &n.departures
	d.mu.Lock()
	p, matters := d.last, !d.lastAt.IsZero() && n.timer.Time().Sub(d.lastAt) <= departureTTL
	d.mu.Unlock()
	if matters {
		d.writeMu.Lock()
		d.lease = 0
		d.writeMu.Unlock()
		n.wg.Go(func() { n.storeDeparture(ctx, p, make(chan struct{})) })
	}
	return matters
}

// storeDeparture writes a departure to the store, and closes written after the first
// attempt. It retries until ctx ends or the departure no longer matters.
func (n *Node) storeDeparture(ctx context.Context, p gtheartbeat.Process, written chan struct{}) {
	start := n.timer.Time()
	for failures := 1; ; failures++ {
		err := n.writeDeparture(ctx, p)
		if failures == 1 {
			close(written)
		}
		if err == nil {
			return
		}
		n.Log.Warn().Err(err).Str("backend", p.ID()).Msg("backend: writing a departure to the store failed; retrying")
		if n.timer.Sleep(ctx, storeBackoff(failures)) != nil || n.timer.Time().Sub(start) > departureTTL {
			return
		}
	}
}

// writeDeparture writes a departure to the store once, with the lease of the last one if
// that is recent.
func (n *Node) writeDeparture(ctx context.Context, p gtheartbeat.Process) error {
	d := &n.departures
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	if now := n.timer.Time(); d.lease == 0 || now.Sub(d.leaseStart) > departureTTL/2 {
		lease, err := n.Store.Grant(ctx, departureTTL+departureTTL/2)
		if err != nil {
			return err
		}
		d.lease, d.leaseStart = lease, now
	}
	err := n.configStore.PutDeparture(ctx, n.Settings.Node.Instance, p.ID(), encodeDeparture(p), d.lease)
	if err != nil {
		d.lease = 0
	}
	return err
}

// recallDepartures learns from the store which processes of the backend server announced
// their shutdown to earlier processes of this node, and then takes the backend server into
// use, if its heartbeats say so. It retries until ctx ends.
func (n *Node) recallDepartures(ctx context.Context) {
	if n.configStore == nil {
		return
	}
	for failures := 1; ; failures++ {
		texts, err := n.earlierDepartures(ctx)
		if err == nil {
			for _, text := range texts {
				n.handleDeparted(text)
			}
			break
		}
		n.Log.Debug().Err(err).Msg("backend: reading the departures from the store failed")
		if n.timer.Sleep(ctx, storeBackoff(failures)) != nil {
			return
		}
	}
	n.Heartbeats.FinishRecall()
	if last, ok := n.Heartbeats.Last(); ok && !n.Heartbeats.TimedOut() {
		n.applyReportedState(last)
	}
}

// handleDeparted processes what is remembered of a process of the backend server that
// announced its shutdown to an earlier process of this node. A heartbeat of that process
// may have been held up on its way.
func (n *Node) handleDeparted(text string) {
	p, ok := decodeDeparture(text)
	if !ok {
		return
	}
	n.table.SetSelfDeparted(departedText(p), false)
	if last, known := n.Heartbeats.MarkDeparted(p); known {
		n.applyHeartbeat(last)
	}
}

// encodeDeparture returns the text by which a process that announced its shutdown is
// remembered.
func encodeDeparture(p gtheartbeat.Process) string {
	return strconv.FormatInt(p.StartMillis(), 10) + " " + p.ID()
}

// decodeDeparture returns the process that a text of encodeDeparture names, and false if it
// names none.
func decodeDeparture(text string) (gtheartbeat.Process, bool) {
	start, id, _ := strings.Cut(text, " ")
	millis, err := strconv.ParseInt(start, 10, 64)
	return gtheartbeat.NewProcess(id, millis), err == nil && millis != 0 && id != ""
}

// departedText returns the text by which peers remember a process that announced its
// shutdown. It is empty if it would be too long for a record.
func departedText(p gtheartbeat.Process) string {
	text := encodeDeparture(p)
	if len(text) > gtwire.MaxNameBytes {
		return ""
	}
	return text
}
