package gtnode

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtcanary"
)

// sentReports records the reports that drivers get. A frozen driver takes none, which the
// sender notices after a timeout.
type sentReports struct {
	frozen string

	mu   sync.Mutex
	last map[string]uint64
}

func (s *sentReports) send(_ context.Context, to gtmember.Record, r gtcanary.Report) error {
	if to.Instance() == s.frozen {
		time.Sleep(3 * time.Second)
		return errors.New("no response")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[to.Instance()] = r.Total()
	return nil
}

func (s *sentReports) total(driver string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[driver]
}

// While the first driver was frozen, each report to it took its timeout, and the others
// got theirs after four of those.
func TestFrozenDriverHoldsNoReportUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		sent := &sentReports{frozen: "a", last: map[string]uint64{}}
		rp := &reporter{now: time.Now, send: sent.send, spawn: func(fn func()) { go fn() }}
		var drivers []gtmember.Record
		for _, name := range []string{"a", "b", "c"} {
			drivers = append(drivers, gtmember.NewRecord(name, "z", "", ""))
		}
		var counter gtcanary.OutcomeCounter
		start := time.Now()
		for time.Since(start) < 5*time.Second {
			counter.Add("r", gtcanary.NewOutcome(true, time.Millisecond))
			rp.report(t.Context(), drivers, counter.Report("i", "2"))
			time.Sleep(drivePeriod)
		}
		g.Expect(sent.total("b")).To(gomega.BeNumerically(">=", 16), "of 20 outcomes, one each period")
		g.Expect(sent.total("c")).To(gomega.BeNumerically(">=", 16))
		time.Sleep(3 * time.Second)
	})
}
