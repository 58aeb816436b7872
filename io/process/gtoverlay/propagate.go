package gtoverlay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtwire"
)

// pendingRecord is a membership record that waits for the next batch, and the
// links on which it was received, to which it is not sent back.
type pendingRecord struct {
	record       gtwire.Record
	receivedFrom []*peerLink
}

// propagate sends facts to all linked peers except one. Membership records are
// batched, since many change at once.
func (o *Overlay) propagate(f Facts, except *peerLink) {
	if len(f.Members) > 0 {
		o.enqueue(f.Members, except)
		f.Members = nil
	}
	if f.isEmpty() {
		return
	}
	b, err := json.Marshal(f)
	if err != nil {
		return
	}
	for _, pl := range o.listLinks(false) {
		if pl != except {
			pl.link.Notify("facts", json.RawMessage(b))
		}
	}
}

// enqueue adds membership records to the next batch. The link that they came
// from may be nil.
func (o *Overlay) enqueue(list []gtwire.Record, from *peerLink) {
	for _, r := range list {
		o.batch.Do(r.Instance, func(m map[string]pendingRecord) {
			p := pendingRecord{record: r}
			if from != nil {
				p.receivedFrom = []*peerLink{from}
			}
			m[r.Instance] = p
		})
	}
	select {
	case o.batchReady <- struct{}{}:
	default:
	}
}

// noteSender records that a peer sent a record that is already known here, so
// that a pending copy is not sent to that peer.
func (o *Overlay) noteSender(r gtwire.Record, from *peerLink) {
	o.batch.Do(r.Instance, func(m map[string]pendingRecord) {
		if p, ok := m[r.Instance]; ok && p.record == r {
			p.receivedFrom = append(p.receivedFrom, from)
			m[r.Instance] = p
		}
	})
}

// flushBatches sends batches until ctx ends.
func (o *Overlay) flushBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.batchReady:
		}
		if o.Timer.Sleep(ctx, batchDelay/2+rand.N(batchDelay)) != nil {
			return
		}
		o.flush()
	}
}

// flush sends each peer the records of the batch that it did not send itself.
func (o *Overlay) flush() {
	var batch []pendingRecord
	o.batch.Each(func(m map[string]pendingRecord) {
		for _, p := range m {
			batch = append(batch, p)
		}
		clear(m)
	})
	for _, pl := range o.listLinks(false) {
		var f Facts
		for _, p := range batch {
			if !slices.Contains(p.receivedFrom, pl) {
				f.Members = append(f.Members, p.record)
			}
		}
		if !f.isEmpty() {
			pl.link.Notify("facts", f)
		}
	}
}

// Announce propagates a membership record.
func (o *Overlay) Announce(r gtmember.Record) {
	o.propagate(Facts{Members: wireRecords([]gtmember.Record{r})}, nil)
}

// AnnounceVersion propagates the number and checksum of the active version.
func (o *Overlay) AnnounceVersion() {
	snapshot := o.Holder.Current().Snapshot()
	o.propagate(Facts{Version: snapshot.Version(), Checksum: snapshot.Checksum()}, nil)
}

// AnnounceMove propagates the state of a move.
func (o *Overlay) AnnounceMove(s gtmove.State) {
	o.propagate(Facts{Moves: []gtwire.Move{gtwire.FromMove(s)}}, nil)
}

// AnnounceHalt propagates the halt of a move whose new version is faulty.
func (o *Overlay) AnnounceHalt(h gtmove.Halt) {
	o.propagate(Facts{Halts: []gtwire.Halt{gtwire.FromHalt(h)}}, nil)
}

// AnnounceCrash propagates a request that was in flight when a backend server
// crashed.
func (o *Overlay) AnnounceCrash(c gtdedup.Crash) {
	o.propagate(Facts{Crashes: []gtwire.Crash{gtwire.FromCrash(c, o.Timer.Time())}}, nil)
}
