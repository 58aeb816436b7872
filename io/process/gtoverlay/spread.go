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

// pending is a membership record that waits to be sent, and the links on which
// peers have told it, which need not hear it back.
type pending struct {
	record gtwire.Record
	told   []*entry
}

// spread tells facts to all linked peers but one. Membership records wait for
// a moment, so that many that come at once go in one message.
func (o *Overlay) spread(f Facts, but *entry) {
	if len(f.Members) > 0 {
		o.queue(f.Members, but)
		f.Members = nil
	}
	if f.empty() {
		return
	}
	b, err := json.Marshal(f)
	if err != nil {
		return
	}
	for _, e := range o.list(false) {
		if e != but {
			e.link.Notify("facts", json.RawMessage(b))
		}
	}
}

// queue keeps membership records for the next batch.
func (o *Overlay) queue(list []gtwire.Record, from *entry) {
	for _, r := range list {
		o.batch.Do(r.Instance, func(m map[string]pending) {
			p := pending{record: r}
			if from != nil {
				p.told = []*entry{from}
			}
			m[r.Instance] = p
		})
	}
	select {
	case o.due <- struct{}{}:
	default:
	}
}

// toldBy notes that a peer has told a record that is no news here.
func (o *Overlay) toldBy(r gtwire.Record, from *entry) {
	o.batch.Do(r.Instance, func(m map[string]pending) {
		if p, ok := m[r.Instance]; ok && p.record == r {
			p.told = append(p.told, from)
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
		case <-o.due:
		}
		if o.Timer.Wait(ctx, batchTime/2+rand.N(batchTime)) != nil {
			return
		}
		o.flush()
	}
}

// flush sends each peer the records of the batch that it has not told itself.
func (o *Overlay) flush() {
	var batch []pending
	o.batch.Each(func(m map[string]pending) {
		for _, p := range m {
			batch = append(batch, p)
		}
		clear(m)
	})
	for _, e := range o.list(false) {
		var f Facts
		for _, p := range batch {
			if !slices.Contains(p.told, e) {
				f.Members = append(f.Members, p.record)
			}
		}
		if !f.empty() {
			e.link.Notify("facts", f)
		}
	}
}

// Announce spreads a membership record.
func (o *Overlay) Announce(r gtmember.Record) {
	o.spread(Facts{Members: records([]gtmember.Record{r})}, nil)
}

// AnnounceVersion tells the peers which version is in force here.
func (o *Overlay) AnnounceVersion() {
	set := o.Holder.Current().Snapshot()
	o.spread(Facts{Version: set.Version(), Sum: set.Checksum()}, nil)
}

// AnnounceMove spreads the state of a move.
func (o *Overlay) AnnounceMove(s gtmove.State) {
	o.spread(Facts{Moves: []gtwire.Move{gtwire.FromMove(s)}}, nil)
}

// AnnounceHalt spreads the finding that the new version of a move is bad.
func (o *Overlay) AnnounceHalt(h gtmove.Halt) {
	o.spread(Facts{Halts: []gtwire.Halt{gtwire.FromHalt(h)}}, nil)
}

// AnnounceCrash spreads a request that was in flight at a crash.
func (o *Overlay) AnnounceCrash(c gtdedup.Crash) {
	o.spread(Facts{Crashes: []gtwire.Crash{gtwire.FromCrash(c, o.Timer.Time())}}, nil)
}
