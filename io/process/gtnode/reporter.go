package gtnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtcanary"
)

const (
	// reportRefresh is the time after which a driver is sent a report without new counts,
	// from which it knows that there are none.
	reportRefresh = time.Second
	// maxReportAge is the age of the last report of an instance of the new version beyond
	// which the share is not raised.
	maxReportAge = 3 * time.Second
)

// reporter sends the outcome counts of the local backend server to the drivers of its
// service's move. A driver that doesn't take its report holds up no other.
type reporter struct {
	log   zerolog.Logger
	send  func(ctx context.Context, to gtmember.Record, r gtcanary.Report) error
	spawn func(fn func())
	now   func() time.Time

	mu       sync.Mutex
	schedule gtcanary.ReportSchedule
	inFlight map[string]bool
	sentAt   map[string]time.Time
}

// report sends a report to those of the drivers, which are ordered by rank, that are due
// for it. A failed report is sent again in the driver's next round.
func (rp *reporter) report(ctx context.Context, drivers []gtmember.Record, r gtcanary.Report) {
	for _, to := range rp.begin(drivers, r) {
		rp.spawn(func() { rp.sendTo(ctx, to, r) })
	}
}

// begin returns the drivers to send the report to: those that are due, or were sent none
// for reportRefresh, and have no report under way.
func (rp *reporter) begin(drivers []gtmember.Record, r gtcanary.Report) []gtmember.Record {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.inFlight == nil {
		rp.inFlight, rp.sentAt = map[string]bool{}, map[string]time.Time{}
	}
	now := rp.now()
	names := make([]string, len(drivers))
	for i, d := range drivers {
		names[i] = d.Instance()
	}
	rp.schedule.Keep(names)
	due := rp.schedule.Due(names, r)
	var out []gtmember.Record
	for _, d := range drivers {
		refresh := now.Sub(rp.sentAt[d.Instance()]) >= reportRefresh
		if (refresh || slices.Contains(due, d.Instance())) && !rp.inFlight[d.Instance()] {
			rp.inFlight[d.Instance()] = true
			out = append(out, d)
		}
	}
	return out
}

// sendTo sends a report to one driver.
func (rp *reporter) sendTo(ctx context.Context, to gtmember.Record, r gtcanary.Report) {
	err := rp.send(ctx, to, r)
	rp.mu.Lock()
	defer rp.mu.Unlock()
	delete(rp.inFlight, to.Instance())
	if err != nil {
		rp.log.Debug().Err(err).Str("driver", to.Instance()).Msg("move: sending the report to a driver failed")
		return
	}
	rp.schedule.Sent(to.Instance(), r)
	rp.sentAt[to.Instance()] = rp.now()
}
