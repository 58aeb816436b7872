package gtduties

import (
	"context"
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtusage"
	"godwittide/io/connection/gtwire"
)

// sendPeriodically sends new counts to the receivers in turn until ctx ends.
func (d *Duties) sendPeriodically(ctx context.Context) {
	ticker := d.Timer.Every(turnPeriod, 0)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
			d.sendTurn(ctx, turn)
			if turn%gtusage.TurnsPerCycle != 0 {
				continue
			}
			d.learnFromOthers(ctx)
			oldest := d.oldestKept()
			d.counter.Prune(oldest)
			d.sums.Prune(oldest)
		}
	}
}

// oldestKept returns the first window whose counts are kept.
func (d *Duties) oldestKept() int64 {
	return d.Timing.Windows().At(d.clock.Time().Add(-d.Timing.Retention()))
}

// Flush sends all new counts and waits until they have arrived or ctx ends.
func (d *Duties) Flush(ctx context.Context) {
	for _, done := range d.send(ctx, d.prepareToSend()) {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// prepareToSend returns the receivers, after it has noted who they are.
func (d *Duties) prepareToSend() []gtmember.Record {
	receivers := d.receivers()
	names := make([]string, len(receivers))
	for i, r := range receivers {
		names[i] = r.Instance()
	}
	d.outbox.Keep(names)
	d.noteReceiving(slices.Contains(names, d.Self))
	return receivers
}

// sendTurn sends new counts to the receivers whose turn it is. Counts for this node itself
// cost no message: they are added at every second turn.
func (d *Duties) sendTurn(ctx context.Context, turn int) {
	receivers := d.prepareToSend()
	var due, others []gtmember.Record
	for _, r := range receivers {
		switch {
		case r.Instance() != d.Self:
			others = append(others, r)
		case turn%2 == 0:
			due = append(due, r)
		}
	}
	for _, i := range gtusage.Turn(turn, len(others)) {
		due = append(due, others[i])
	}
	d.send(ctx, due)
}

// send sends new counts to each of the receivers that no message is on the way to. It
// returns a channel for each message that is closed when that has ended.
func (d *Duties) send(ctx context.Context, receivers []gtmember.Record) []chan struct{} {
	if len(receivers) == 0 {
		return nil
	}
	cells := d.counter.Cells()
	if len(cells) == 0 {
		return nil
	}
	var sent []chan struct{}
	for _, to := range receivers {
		if !d.claim(to.Instance()) {
			continue
		}
		done := make(chan struct{})
		sent = append(sent, done)
		d.wg.Go(func() {
			defer close(done)
			defer d.release(to.Instance())
			d.sendTo(ctx, to, cells)
		})
	}
	return sent
}

// noteReceiving notes whether this node is sent the counts of all nodes.
func (d *Duties) noteReceiving(receiving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !receiving:
		d.receivingSince = time.Time{}
	case d.receivingSince.IsZero():
		d.receivingSince = d.clock.Time()
	}
}

func (d *Duties) claim(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[instance] {
		return false
	}
	d.inFlight[instance] = true
	return true
}

func (d *Duties) release(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, instance)
}

// sendTo sends new counts to one receiver, and all counts if it lacks earlier ones.
func (d *Duties) sendTo(ctx context.Context, to gtmember.Record, cells []gtusage.Cell) {
	name := to.Instance()
	for range 2 {
		b, ok := d.outbox.Next(name, cells, d.Timing.Windows().At(d.clock.Time()))
		if !ok {
			return
		}
		response, err := d.deliver(ctx, to, gtwire.FromBatch(d.Start, b))
		if err != nil {
			d.Log.Debug().Err(err).Str("candidate", name).Msg("usage: sending counts to a candidate failed")
			return
		}
		if response.Holder != "" {
			d.nameHolder(response.Holder)
		}
		if response.Epoch == 0 {
			d.outbox.Reset(name)
		} else if d.outbox.Acked(name, b, response.Epoch) {
			return
		}
	}
}

// deliver sends a message to an instance, which may be this one.
func (d *Duties) deliver(ctx context.Context, to gtmember.Record, m gtwire.Usage) (gtwire.UsageResponse, error) {
	if to.Instance() == d.Self {
		return d.Serve(d.Self, m)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return d.Send(ctx, to, m)
}
