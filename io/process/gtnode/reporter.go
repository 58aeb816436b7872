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
	failed   map[string]bool      // drivers that didn't take their last report
	begunAt  map[string]time.Time // time of the last report to a driver, taken or not
}

// report sends a report to those of the drivers, which are ordered by rank, that are due
// for it. A failed report is sent again in the driver's next round.
func (rp *reporter) report(ctx context.Context, drivers []gtmember.Record, r gtcanary.Report) {
	for _, to := range rp.begin(drivers, r) {
		rp.spawn(func() { rp.sendTo(ctx, to, r) })
	}
}

// reportBatch sends a report between two rounds to the first of the drivers, unless that
// didn't take its last one.
func (rp *reporter) reportBatch(ctx context.Context, drivers []gtmember.Record, r gtcanary.Report) {
	if len(drivers) > 0 && rp.beginBatch(drivers[0], r) {
		rp.spawn(func() { rp.sendTo(ctx, drivers[0], r) })
	}
}

// begin returns the drivers to send the report to: those that are due, or were sent none
// for reportRefresh, and have no report under way.
func (rp *reporter) begin(drivers []gtmember.Record, r gtcanary.Report) []gtmember.Record {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	names := make([]string, len(drivers))
	for i, d := range drivers {
		names[i] = d.Instance()
	}
	rp.schedule.Keep(names)
	due := rp.schedule.Due(names, r)
	var out []gtmember.Record
	for _, d := range drivers {
		refresh := rp.now().Sub(rp.begunAt[d.Instance()]) >= reportRefresh
		if (refresh || slices.Contains(due, d.Instance())) && rp.claim(d) {
			out = append(out, d)
		}
	}
	return out
}

func (rp *reporter) beginBatch(driver gtmember.Record, r gtcanary.Report) bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return !rp.failed[driver.Instance()] && rp.schedule.IsNew(driver.Instance(), r) && rp.claim(driver)
}

// claim notes that a report to a driver is under way, and returns false if there is one
// already. The caller holds the lock.
func (rp *reporter) claim(driver gtmember.Record) bool {
	if rp.inFlight == nil {
		rp.inFlight, rp.failed, rp.begunAt = map[string]bool{}, map[string]bool{}, map[string]time.Time{}
	}
	if rp.inFlight[driver.Instance()] {
		return false
	}
	rp.inFlight[driver.Instance()], rp.begunAt[driver.Instance()] = true, rp.now()
	return true
}

// sendTo sends a report to one driver.
func (rp *reporter) sendTo(ctx context.Context, to gtmember.Record, r gtcanary.Report) {
	err := rp.send(ctx, to, r)
	rp.mu.Lock()
	defer rp.mu.Unlock()
	delete(rp.inFlight, to.Instance())
	rp.failed[to.Instance()] = err != nil
	if err != nil {
		rp.log.Debug().Err(err).Str("driver", to.Instance()).Msg("move: sending the report to a driver failed")
		return
	}
	rp.schedule.Sent(to.Instance(), r)
}
