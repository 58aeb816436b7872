package gtoverlay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtsummary"
	"godwittide/io/connection/gtwire"
)

// summaryDelay is the mean time for which summaries are collected into one message. Each
// delay is 0.5 to 1.5 times as long, at random, so that most summaries have arrived on a
// link before they would be sent back on it.
const summaryDelay = 150 * time.Millisecond

// pendingSummary is a summary, as text, that waits for the next message, and the links on
// which it was received, to which it is not sent back.
type pendingSummary struct {
	text         string
	isZone       bool
	receivedFrom []*peerLink
}

// mergeSummaries merges summaries and passes those that were new to the peers of the zone.
// Those of instances in other zones, of the own zone and of the own instance are ignored.
func (o *Overlay) mergeSummaries(f Facts, from *peerLink) error {
	if o.Summaries == nil {
		return nil
	}
	for _, text := range f.Instances {
		i, err := gtwire.DecodeInstance(text)
		if err != nil {
			return err
		}
		r, ok := o.Table.Get(i.Name())
		if !ok || r.Zone() != o.Table.Self().Zone() || i.Name() == o.Table.Self().Instance() {
			continue
		}
		isNew := o.Summaries.MergeInstance(i)
		if isNew && o.OnSummary != nil {
			o.OnSummary(i)
		}
		o.passOn(i.Name(), pendingSummary{text: text}, isNew, from)
	}
	for _, text := range f.Zones {
		z, err := gtwire.DecodeZone(text)
		if err != nil {
			return err
		}
		if z.Name() == o.Table.Self().Zone() {
			continue
		}
		key := z.Name() + " " + strconv.FormatUint(uint64(z.Sender()), 10)
		o.passOn(key, pendingSummary{text: text, isZone: true}, o.Summaries.MergeZone(z), from)
	}
	return nil
}

// passOn adds a summary that was new to the next message. One that was known is not sent
// back to the peer that it came from.
func (o *Overlay) passOn(key string, p pendingSummary, isNew bool, from *peerLink) {
	o.summaries.Do(key, func(m map[string]pendingSummary) {
		if isNew {
			p.receivedFrom = []*peerLink{from}
			m[key] = p
		} else if known, ok := m[key]; ok && known.text == p.text {
			known.receivedFrom = append(known.receivedFrom, from)
			m[key] = known
		}
	})
	if isNew {
		o.wakeSummaries()
	}
}

func (o *Overlay) wakeSummaries() {
	select {
	case o.summariesReady <- struct{}{}:
	default:
	}
}

// AnnounceInstance passes the summary of the own instance to the peers of the zone.
func (o *Overlay) AnnounceInstance(i gtsummary.Instance) {
	o.Summaries.MergeInstance(i)
	o.summaries.Do(i.Name(), func(m map[string]pendingSummary) {
		m[i.Name()] = pendingSummary{text: gtwire.EncodeInstance(i)}
	})
	o.wakeSummaries()
}

// SendZone sends the summary of the own zone, as text, to an instance of another zone, over
// the overlay link if there is one, or else over a direct link.
func (o *Overlay) SendZone(ctx context.Context, to gtmember.Record, text string) error {
	pl, err := o.linkTo(ctx, to)
	if err != nil {
		return err
	}
	pl.link.Notify("facts", Facts{Zones: []string{text}})
	return nil
}

// flushSummaries sends pending summaries until ctx ends.
func (o *Overlay) flushSummaries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.summariesReady:
		}
		if o.Timer.Sleep(ctx, summaryDelay/2+rand.N(summaryDelay)) != nil {
			return
		}
		o.flushPendingSummaries()
	}
}

// flushPendingSummaries sends each peer of the zone the summaries that it did not send
// itself.
func (o *Overlay) flushPendingSummaries() {
	var pending []pendingSummary
	o.summaries.Each(func(m map[string]pendingSummary) {
		for _, p := range m {
			pending = append(pending, p)
		}
		clear(m)
	})
	for _, pl := range o.listLinks(false) {
		if pl.zone != o.Table.Self().Zone() {
			continue
		}
		var f Facts
		for _, p := range pending {
			switch {
			case slices.Contains(p.receivedFrom, pl):
			case p.isZone:
				f.Zones = append(f.Zones, p.text)
			default:
				f.Instances = append(f.Instances, p.text)
			}
		}
		if f.isEmpty() {
			continue
		}
		if b, err := json.Marshal(f); err == nil {
			pl.link.Notify("facts", json.RawMessage(b))
		}
	}
}
