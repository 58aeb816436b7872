package gtduties

import (
	"context"
	"slices"
	"sync"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/io/connection/gtwire"
)

// handOver asks the other receivers for all counts that they know, and merges them. This
// finds those of nodes that have ended before this node was sent counts. If of is not 0, it
// asks only for those of that window which may have reached only one of them.
func (d *Duties) handOver(ctx context.Context, of int64) {
	var wg sync.WaitGroup
	for _, to := range d.receivers() {
		if to.Instance() != d.Self {
			wg.Go(func() { d.learnFrom(ctx, to, of) })
		}
	}
	wg.Wait()
}

// learnFrom does the same with one receiver, and reports whether it has answered.
func (d *Duties) learnFrom(ctx context.Context, to gtmember.Record, of int64) bool {
	response, err := d.deliver(ctx, to, gtwire.Usage{All: true, Of: of})
	if err != nil {
		d.Log.Debug().Err(err).Str("candidate", to.Instance()).Msg("usage: asking a candidate for its counts failed")
		return false
	}
	if err := d.mergeHandOver(response); err != nil {
		d.Log.Warn().Err(err).Str("candidate", to.Instance()).Msg("usage: counts of a candidate can't be used")
	}
	return true
}

// learnFromOthers asks each of the other receivers once for all that it knows, from the
// time on at which this node is sent counts. A receiver that starts anew thus holds the
// counts of ended processes as soon as it knows its peers, so that the others may end.
func (d *Duties) learnFromOthers(ctx context.Context) {
	others := slices.DeleteFunc(d.receivers(), func(r gtmember.Record) bool { return r.Instance() == d.Self })
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.asked {
		if d.receivingSince.IsZero() || !isAmong(others, name) {
			delete(d.asked, name)
		}
	}
	if d.receivingSince.IsZero() {
		return
	}
	for _, to := range others {
		if d.asked[to.Instance()] {
			continue
		}
		d.asked[to.Instance()] = true
		d.wg.Go(func() {
			if !d.learnFrom(ctx, to, 0) {
				d.mu.Lock()
				defer d.mu.Unlock()
				delete(d.asked, to.Instance())
			}
		})
	}
}

func (d *Duties) mergeHandOver(m gtwire.UsageResponse) error {
	for _, source := range m.Sources {
		v, err := source.Decode()
		if err != nil {
			return errorx.Decorate(err, "decode the counts of instance %.40q", source.Instance)
		}
		d.sums.Merge(v)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if since := m.SinceTime(); m.Since != 0 && !d.receivingSince.IsZero() && since.Before(d.receivingSince) {
		d.receivingSince = since
	}
	return nil
}

// isKnown reports whether the counts of a window are known as far as their nodes still
// send them: this node or those that handed over to it were sent all since its start, or
// all processes that have counts in it were running then.
func (d *Duties) isKnown(window int64) bool {
	start := d.Timing.Windows().Start(window)
	d.mu.Lock()
	since := d.receivingSince
	d.mu.Unlock()
	return !since.IsZero() && !since.After(start) || d.sums.AllStartedBy(window, start.UnixMilli())
}
