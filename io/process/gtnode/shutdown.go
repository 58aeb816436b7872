package gtnode

import (
	"context"
	"time"

	"godwittide/core/process/gtmember"
)

const (
	// inFlightCheckPeriod is the period at which a node that drains checks whether
	// requests are in flight.
	inFlightCheckPeriod = 50 * time.Millisecond
	// goneAnnounceTime is how long the overlay gets to send its last batch, with the
	// announcement that the node is gone.
	goneAnnounceTime = 100 * time.Millisecond
)

// shutDown drains the node: after LingerPeriod it announces that it is leaving. It
// then waits until RefusePeriod has passed and no request is in flight, but not
// beyond DrainTimeout, which starts with the shutdown, and stops the servers. Callers'
// requests whose deadline lies beyond that are refused from LingerPeriod on.
func (n *Node) shutDown(ctx context.Context) {
	n.Log.Info().Msg("node: draining")
	n.drain.Begin()
	drainTimeout := n.timer.After(n.drain.Left())
	defer drainTimeout.Stop()
	// The backend server may keep running and serve requests during the linger
	// period, so the node stays ready until that has passed.
	_ = n.timer.Sleep(ctx, time.Duration(n.Settings.Limit.LingerPeriod))
	n.setState(gtmember.Leaving)
	refuseUntil := n.timer.Time().Add(time.Duration(n.Settings.Limit.RefusePeriod))
	ticker := n.timer.Every(inFlightCheckPeriod, 0)
	defer ticker.Stop()
	for n.edge.InFlight()+n.hopHandler.InFlight() > 0 || n.timer.Time().Before(refuseUntil) {
		select {
		case <-ticker.C():
			continue
		case <-drainTimeout.C():
			n.Log.Warn().Int64("left", n.edge.InFlight()+n.hopHandler.InFlight()).Msg("node: drain timed out")
		}
		break
	}
	n.servers.shutdown(ctx, n.timer, n.drain.Left())
	n.setState(gtmember.Gone)
	_ = n.timer.Sleep(ctx, goneAnnounceTime)
	if err := n.tracer.Close(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("node: sending the last spans failed")
	}
}
