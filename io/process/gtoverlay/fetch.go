package gtoverlay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtfetch"
	"godwittide/io/connection/gtwire"
)

// VersionID identifies the active version of a node. It is the request of the
// "fetch" method, which asks for the versions after it, and the response to
// "version".
type VersionID struct {
	Version  int64  `json:"v"`
	Checksum string `json:"vs"`
}

// FetchResponse is the response to "fetch": the deltas after the version of the
// request, or a whole snapshot if they are not available. It is empty if there is
// no higher version.
type FetchResponse struct {
	Deltas   []gtwire.Delta   `json:"d,omitempty"`
	Snapshot *gtwire.Snapshot `json:"set,omitempty"`
}

// versionsAfter returns the versions after the one that a peer has, as deltas if
// they are still held.
func (o *Overlay) versionsAfter(f VersionID) FetchResponse {
	if deltas, ok := o.Holder.DeltasSince(f.Version, f.Checksum); ok {
		var out FetchResponse
		for _, d := range deltas {
			out.Deltas = append(out.Deltas, gtwire.FromDelta(d))
		}
		return out
	}
	snapshot := o.Holder.Current().Snapshot()
	if snapshot.Version() <= f.Version {
		return FetchResponse{}
	}
	m := gtwire.FromSnapshot(snapshot)
	return FetchResponse{Snapshot: &m}
}

// fetchFrom fetches a version that a peer has announced, from it or from other peers.
func (o *Overlay) fetchFrom(pl *peerLink, version int64) {
	o.fetches.Announced(pl.key(), version)
	o.fetchNext()
}

// fetchNext starts the next fetch, if one is due, in its own goroutine. Another one is
// started when it ends, and when it takes long.
func (o *Overlay) fetchNext() {
	var linked []string
	for _, pl := range o.listLinks(false) {
		linked = append(linked, pl.key())
	}
	peer, ok := o.fetches.Next(o.Holder.Current().Snapshot().Version(), linked)
	if !ok {
		return
	}
	pl, ok := o.links.Get(peer)
	if !ok { // the link has ended since the peer announced the version
		o.fetches.Ended(peer)
		o.fetchNext()
		return
	}
	ended := make(chan struct{})
	o.spawn(func() {
		defer close(ended)
		err := o.fetch(pl)
		o.fetches.Ended(peer)
		if err != nil {
			o.Log.Info().Err(err).Str("peer", pl.instance).Msg("overlay: fetching a version from a peer failed")
		}
		o.fetchNext()
	})
	o.spawn(func() {
		patience := o.Timer.After(gtfetch.Patience)
		defer patience.Stop()
		select {
		case <-ended:
		case <-o.ctx.Done():
		case <-patience.C():
			o.fetchNext()
		}
	})
}

func (o *Overlay) fetch(pl *peerLink) error {
	snapshot := o.Holder.Current().Snapshot()
	heard := o.fetches.Heard()
	var response FetchResponse
	if err := pl.link.Call(o.ctx, "fetch", VersionID{Version: snapshot.Version(), Checksum: snapshot.Checksum()}, &response); err != nil {
		return err
	}
	next, err := applyFetched(snapshot, response)
	if err != nil {
		// The deltas can't be applied to the local version: fetch the whole snapshot.
		if err := pl.link.Call(o.ctx, "fetch", VersionID{}, &response); err != nil {
			return err
		}
		if next, err = applyFetched(gtdelta.NewSnapshot(0, 0, nil), response); err != nil {
			return err
		}
	}
	if next.Version() <= snapshot.Version() {
		return errorx.IllegalState.New("peer has no version above %d", snapshot.Version())
	}
	return o.Install(next, gtdelta.NewArrival(pl.instance, heard, o.Timer.Time()))
}

func applyFetched(snapshot gtdelta.Snapshot, f FetchResponse) (gtdelta.Snapshot, error) {
	if f.Snapshot != nil {
		return f.Snapshot.Decode()
	}
	for _, m := range f.Deltas {
		next, err := m.Decode().Apply(snapshot)
		if err != nil {
			return snapshot, err
		}
		snapshot = next
	}
	return snapshot, nil
}

// SendReport sends a report to an instance, over the overlay link if there is
// one, or else over a direct link. It does not wait for a response.
func (o *Overlay) SendReport(ctx context.Context, to gtmember.Record, r gtcanary.Report) error {
	if to.Instance() == o.Table.Self().Instance() {
		o.OnReport(r)
		return nil
	}
	pl, err := o.linkTo(ctx, to)
	if err != nil {
		return err
	}
	pl.link.Notify("report", gtwire.FromReport(r))
	return nil
}

// SendWatching sends word to an instance that this node watches the store with success.
// It does not wait for a response.
func (o *Overlay) SendWatching(ctx context.Context, to gtmember.Record) error {
	pl, err := o.linkTo(ctx, to)
	if err != nil {
		return err
	}
	pl.link.Notify("watching", struct{}{})
	return nil
}

// SendUsage sends counts of accounts to an instance, or asks it for what it knows of them,
// over the overlay link if there is one and otherwise over a direct link, which stays
// open.
func (o *Overlay) SendUsage(ctx context.Context, to gtmember.Record, m gtwire.Usage) (gtwire.UsageResponse, error) {
	var response gtwire.UsageResponse
	pl, err := o.linkTo(ctx, to)
	if err != nil {
		return response, err
	}
	err = pl.link.Call(ctx, "usage", m, &response)
	return response, err
}

// recallTimeout bounds the time that a peer takes to read departures from the store.
const recallTimeout = 2 * time.Second

// Recall is the response to an instance that asks for the departures of its backend server.
type Recall struct {
	Departed []string `json:"departed"`
}

// AskDepartures asks an instance to read from the store which processes of this node's backend
// server announced their shutdown, and returns their texts.
func (o *Overlay) AskDepartures(ctx context.Context, to gtmember.Record) ([]string, error) {
	pl, err := o.linkTo(ctx, to)
	if err != nil {
		return nil, err
	}
	if !pl.recalls {
		return nil, errorx.UnsupportedOperation.New("instance %q reads no departures for others", to.Instance())
	}
	var response Recall
	err = pl.link.Call(ctx, "recall", struct{}{}, &response)
	return response.Departed, err
}

// ActiveVersionOf asks an instance for the number of its active version. It
// returns -1 if the instance doesn't respond.
func (o *Overlay) ActiveVersionOf(ctx context.Context, r gtmember.Record) int64 {
	if r.Instance() == o.Table.Self().Instance() {
		return o.Holder.Current().Snapshot().Version()
	}
	pl, err := o.linkTo(ctx, r)
	if err != nil {
		return -1
	}
	var response VersionID
	if err := pl.link.Call(ctx, "version", struct{}{}, &response); err != nil {
		return -1
	}
	return response.Version
}

// linkTo returns a link to an instance: the overlay link, or else a direct link,
// which is opened if there is none.
func (o *Overlay) linkTo(ctx context.Context, r gtmember.Record) (*peerLink, error) {
	keys := []string{r.Instance(), "to " + r.Instance()}
	for _, key := range keys {
		if pl, ok := o.links.Get(key); ok {
			pl.lastUsed.Set(o.Timer.Time())
			return pl, nil
		}
	}
	if err := o.connect(ctx, r.PeerAddress(), r.Instance(), true); err != nil {
		return nil, err
	}
	for _, key := range keys {
		if pl, ok := o.links.Get(key); ok {
			return pl, nil
		}
	}
	return nil, errorx.IllegalState.New("link to instance %q was closed right after it was opened", r.Instance())
}
