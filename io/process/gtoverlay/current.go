package gtoverlay

import (
	"context"
	"time"

	"godwittide/core/connection/gtoffset"
)

const (
	// sharePeriod is the period at which a node tells its linked peers until when its
	// configuration is known to have been current. Each hop makes the evidence older by
	// up to this time.
	sharePeriod = 400 * time.Millisecond
	// urgentAge is the age of the evidence from which on peers are asked for their clocks
	// more often, as an earlier answer may have been slow.
	urgentAge = 3 * time.Second
	// urgentRefreshPeriod is the period at which they are asked then.
	urgentRefreshPeriod = time.Second
)

// Current is the body of the "current" message: the sender's configuration, of this version
// or a higher one, had all changes that were acknowledged before AsOf. Clock is, in a
// response, the reading of the sender's clock. Times are readings of that clock in
// microseconds; 0 means none.
type Current struct {
	Clock   int64 `json:"t,omitempty"`
	AsOf    int64 `json:"a,omitempty"`
	Version int64 `json:"v,omitempty"`
}

// shareCurrent tells linked peers until when the configuration is known to have been
// current, if that is news to them, until ctx ends.
func (o *Overlay) shareCurrent(ctx context.Context) {
	ticker := o.Timer.Every(sharePeriod, 0.1)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		asOf, known := o.Current.AsOf()
		m := o.newCurrent()
		period := gtoffset.RefreshPeriod
		if age, ok := o.Current.Age(); !ok || age > urgentAge {
			period = urgentRefreshPeriod
		}
		for _, pl := range o.listLinks(false) {
			if !pl.sharesCurrent {
				continue
			}
			if pl.offset.ShouldAsk(o.Current.Clock(), period) {
				o.spawn(func() { o.askClock(ctx, pl) })
			}
			if known && pl.offset.Lacks(asOf) {
				pl.link.Notify("current", m)
			}
		}
	}
}

// newCurrent returns what this node knows, without its clock. The time is read before the
// version, which then has all changes until that time.
func (o *Overlay) newCurrent() Current {
	asOf, ok := o.Current.AsOf()
	if !ok {
		return Current{}
	}
	return Current{AsOf: asOf.Microseconds(), Version: o.Holder.Current().Snapshot().Version()}
}

// askClock asks a peer for the reading of its clock.
func (o *Overlay) askClock(ctx context.Context, pl *peerLink) {
	sent := o.Current.Clock()
	var m Current
	if err := pl.link.Call(ctx, "current", Current{}, &m); err != nil || m.Clock == 0 {
		return
	}
	pl.offset.Set(sent, time.Duration(m.Clock)*time.Microsecond)
	o.mergeCurrent(m, pl)
}

// serveCurrent handles a message of a peer, and returns what this node knows.
func (o *Overlay) serveCurrent(m Current, pl *peerLink) Current {
	if o.Current == nil {
		return Current{}
	}
	o.mergeCurrent(m, pl)
	response := o.newCurrent()
	response.Clock = o.Current.Clock().Microseconds()
	return response
}

// mergeCurrent confirms the own configuration by what a peer knows of its, unless the peer
// has a higher version.
func (o *Overlay) mergeCurrent(m Current, pl *peerLink) {
	if m.AsOf == 0 {
		return
	}
	asOf, ok := pl.offset.Convert(time.Duration(m.AsOf)*time.Microsecond, o.Current.Clock())
	if ok && o.Holder.Current().Snapshot().Version() >= m.Version {
		o.Current.Confirm(asOf)
	}
}
