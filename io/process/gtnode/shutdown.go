package gtnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtinflight"
)

const (
	// inFlightCheckPeriod is the period at which a node that drains checks whether
	// requests are in flight.
	inFlightCheckPeriod = 50 * time.Millisecond
	// goneAnnounceTime is how long the overlay gets to send its last batch, with the
	// announcement that the node is gone.
	goneAnnounceTime = 100 * time.Millisecond
	// bodyGracePeriod is how long the body of a request that arrives late in a shutdown may
	// take.
	bodyGracePeriod = 500 * time.Millisecond
	// maxInFlightLines is the maximum number of log lines that name requests that
	// outlast the drain.
	maxInFlightLines = 20
)

// shutDown drains the node: after LingerPeriod it announces that it is leaving. It
// then waits until RefusePeriod has passed and no request is in flight, but not
// beyond DrainTimeout, which starts with the shutdown, and stops the servers. Callers'
// requests whose deadline lies beyond that are refused from LingerPeriod on, and those
// whose body has not arrived after RefusePeriod.
func (n *Node) shutDown(ctx context.Context) {
	n.Log.Info().Msg("node: draining")
	begun, before := n.timer.Time(), n.requests.Outcomes()
	n.drain.Begin(n.timer.EarliestArrival())
	drainTimeout := n.timer.After(n.drain.Left())
	defer drainTimeout.Stop()
	// The backend server may keep running and serve requests during the linger
	// period, so the node stays ready until that has passed.
	_ = n.timer.Sleep(ctx, time.Duration(n.Settings.Limit.LingerPeriod))
	n.setState(gtmember.Leaving)
	refuseUntil := n.timer.Time().Add(time.Duration(n.Settings.Limit.RefusePeriod))
	ticker := n.timer.Every(inFlightCheckPeriod, 0)
	defer ticker.Stop()
	for n.requests.Len() > 0 || n.timer.Time().Before(refuseUntil) {
		select {
		case now := <-ticker.C():
			if !now.Before(refuseUntil) {
				n.requests.InterruptReading(now.Add(-bodyGracePeriod))
			}
			continue
		case now := <-drainTimeout.C():
			n.logDrainTimeout()
			n.requests.InterruptReading(now)
			n.requests.StopStreams()
		}
		break
	}
	left := 0
	if !n.servers.shutdown(ctx, n.timer, n.drain.Left()) {
		left = n.requests.Len()
	}
	n.logDrained(begun, n.requests.Outcomes().Since(before), left)
	n.servers.close()
	n.flushUsage(ctx)
	n.setState(gtmember.Gone)
	_ = n.timer.Sleep(ctx, goneAnnounceTime)
	if err := n.tracer.Close(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("node: sending the last spans failed")
	}
}

// logDrainTimeout logs the requests that are still in flight when the drain has timed out,
// the oldest first.
func (n *Node) logDrainTimeout() {
	n.Log.Warn().Int("left", n.requests.Len()).Msg("node: drain timed out")
	now := n.timer.Time()
	for _, r := range n.requests.Oldest(maxInFlightLines) {
		inFlightFields(n.Log.Warn(), r, now).Msg("request: in flight as the drain timed out")
	}
}

// inFlightFields adds what is known about a request in flight to a log line.
func inFlightFields(e *zerolog.Event, r gtinflight.Request, now time.Time) *zerolog.Event {
	e = e.Str("request", r.ID()).Str("route", r.Route()).Stringer("origin", r.Origin()).Str("from", r.From()).
		Stringer("stage", r.Stage()).Str("instance", r.Instance()).Int64("age", now.Sub(r.Began()).Milliseconds())
	if !r.Deadline().IsZero() {
		e = e.Int64("left", r.Deadline().Sub(now).Milliseconds())
	}
	return e
}

// logDrained logs how long the drain took and what the requests that ended in it ended
// with. The connections of those that are left are about to be closed.
func (n *Node) logDrained(begun time.Time, ended gtinflight.Outcomes, left int) {
	cut := ended.Of(gtinflight.Cut) + int64(left)
	n.Log.Info().Int64("ms", n.timer.Time().Sub(begun).Milliseconds()).Int64("answered", ended.Of(gtinflight.Answered)).
		Int64("refused", ended.Of(gtinflight.Refused)).Int64("failed", ended.Of(gtinflight.Failed)).
		Int64("abandoned", ended.Of(gtinflight.Abandoned)).Int64("cut", cut).Msg("node: drained")
}
