package gtoverlay

import (
	"context"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtdelta"
	"godwittide/io/connection/gtwire"
)

// Fetch asks for the versions after the one that the sender has.
type Fetch struct {
	Version int64  `json:"v"`
	Sum     string `json:"vs"`
}

// Fetched is the answer: deltas that lead on from there, or a whole set.
type Fetched struct {
	Deltas []gtwire.Delta   `json:"d,omitempty"`
	Set    *gtwire.Snapshot `json:"set,omitempty"`
}

// fetched returns the versions after the one that a peer has.
func (o *Overlay) fetched(f Fetch) Fetched {
	if deltas, ok := o.Holder.DeltasSince(f.Version, f.Sum); ok {
		var out Fetched
		for _, d := range deltas {
			out.Deltas = append(out.Deltas, gtwire.FromDelta(d))
		}
		return out
	}
	set := o.Holder.Current().Snapshot()
	if set.Version() <= f.Version {
		return Fetched{}
	}
	m := gtwire.FromSnapshot(set)
	return Fetched{Set: &m}
}

// fetchFrom gets a higher version from a peer, in a thread of its own; while
// one is being fetched, no other is.
func (o *Overlay) fetchFrom(e *entry, version int64) {
	if version > o.fetchWant.Load() {
		o.fetchWant.Store(version)
	}
	if !o.fetching.CompareAndSwap(false, true) {
		return
	}
	o.spawn(func() {
		err := o.fetch(e)
		o.fetching.Store(false)
		if err != nil {
			o.Log.Info().Err(err).Str("peer", e.instance).Msg("overlay: version was not fetched")
			return
		}
		if o.fetchWant.Load() > o.Holder.Current().Snapshot().Version() {
			o.fetchFrom(e, 0)
		}
	})
}

func (o *Overlay) fetch(e *entry) error {
	set := o.Holder.Current().Snapshot()
	var answer Fetched
	if err := e.link.Call(o.ctx, "fetch", Fetch{Version: set.Version(), Sum: set.Checksum()}, &answer); err != nil {
		return err
	}
	next, err := follow(set, answer)
	if err != nil {
		// A delta that does not fit: ask for the whole set instead.
		if err := e.link.Call(o.ctx, "fetch", Fetch{}, &answer); err != nil {
			return err
		}
		if next, err = follow(gtdelta.NewSnapshot(0, 0, nil), answer); err != nil {
			return err
		}
	}
	if next.Version() <= set.Version() {
		return errorx.IllegalState.New("peer has no version above %d", set.Version())
	}
	return o.Install(next)
}

func follow(set gtdelta.Snapshot, f Fetched) (gtdelta.Snapshot, error) {
	if f.Set != nil {
		return f.Set.Value()
	}
	for _, m := range f.Deltas {
		next, err := m.Value().Apply(set)
		if err != nil {
			return set, err
		}
		set = next
	}
	return set, nil
}

// Report sends what was counted here to an instance, over the overlay if there
// is a link, or else beside it.
func (o *Overlay) Report(ctx context.Context, to gtmember.Record, r gtcanary.Report) error {
	if to.Instance() == o.Table.Self().Instance() {
		o.Reported(r)
		return nil
	}
	e, err := o.direct(ctx, to)
	if err != nil {
		return err
	}
	e.link.Notify("report", gtwire.FromReport(r))
	return nil
}

// VersionOf asks an instance which version it has in force. It returns -1 if
// the instance can't be asked.
func (o *Overlay) VersionOf(ctx context.Context, r gtmember.Record) int64 {
	if r.Instance() == o.Table.Self().Instance() {
		return o.Holder.Current().Snapshot().Version()
	}
	e, err := o.direct(ctx, r)
	if err != nil {
		return -1
	}
	var answer Fetch
	if err := e.link.Call(ctx, "version", struct{}{}, &answer); err != nil {
		return -1
	}
	return answer.Version
}

// direct returns a link to an instance: one of the overlay, or else one beside
// it, which is opened if need be.
func (o *Overlay) direct(ctx context.Context, r gtmember.Record) (*entry, error) {
	keys := []string{r.Instance(), "to " + r.Instance()}
	for _, key := range keys {
		if e, ok := o.links.Get(key); ok {
			e.used.Store(o.Timer.Time().UnixNano())
			return e, nil
		}
	}
	if err := o.connect(ctx, r.PeerAddress(), r.Instance(), true); err != nil {
		return nil, err
	}
	for _, key := range keys {
		if e, ok := o.links.Get(key); ok {
			return e, nil
		}
	}
	return nil, errorx.IllegalState.New("link to %q has ended", r.Instance())
}
