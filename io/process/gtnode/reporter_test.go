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

// A driver that refused its reports was dialled after each ten responses, up to 20 times a
// second, and those on standby got as many reports as the first.
func TestBatchesAreReportedToTheFirstDriverWhileItTakesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		for _, refuses := range []bool{false, true} {
			calls := map[string]int{}
			var mu sync.Mutex
			send := func(_ context.Context, to gtmember.Record, _ gtcanary.Report) error {
				mu.Lock()
				defer mu.Unlock()
				calls[to.Instance()]++
				if refuses {
					return errors.New("connection refused")
				}
				return nil
			}
			rp := &reporter{now: time.Now, send: send, spawn: func(fn func()) { fn() }}
			drivers := []gtmember.Record{gtmember.NewRecord("a", "z", "", ""), gtmember.NewRecord("b", "z", "", "")}
			var counter gtcanary.OutcomeCounter
			for i := range 10 * int(time.Second/minReportInterval) {
				counter.Add("r", gtcanary.NewOutcome(true, time.Millisecond))
				if r := counter.Report("i", "2"); i%int(drivePeriod/minReportInterval) == 0 {
					rp.report(t.Context(), drivers, r)
				} else {
					rp.reportBatch(t.Context(), drivers, r)
				}
				time.Sleep(minReportInterval)
			}
			if refuses {
				g.Expect(calls["a"]).To(gomega.BeNumerically("<=", 10*int(time.Second/drivePeriod)))
			} else {
				g.Expect(calls["a"]).To(gomega.Equal(10 * int(time.Second/minReportInterval)))
			}
			g.Expect(calls["b"]).To(gomega.BeNumerically("<=", 11))
		}
	})
}
