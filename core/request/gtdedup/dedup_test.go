package gtdedup

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func clock() (*time.Time, func() time.Time) {
	now := time.Unix(1000, 0)
	return &now, func() time.Time { return now }
}

// Guards against running a request twice. Callers send any sequence of first
// requests and resends, with varying outcomes; a key may be run again only if
// every node refused its earlier request without running it.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, now := clock()
		keys := &Keys{Now: now}
		var running *Entry
		settled := ""
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			releasedByAll := rapid.Bool().Draw(t, "released by all")
			entry, v := keys.Begin("k", 1, NewClaim(rapid.Bool().Draw(t, "resend"), rapid.Bool().Draw(t, "history known"), releasedByAll))
			if v == Run {
				if running != nil || settled == "done" || settled == "unknown" || settled == "released" && !releasedByAll {
					t.Fatalf("key ran again after outcome %q, running: %v", settled, running != nil)
				}
				running, settled = entry, ""
			}
			if v == Replay && settled != "done" || v == OutcomeUnknown && settled != "unknown" || v == Wait && running == nil {
				t.Fatalf("verdict %d after outcome %q", v, settled)
			}
			if running != nil && rapid.Bool().Draw(t, "settle") {
				settled = rapid.SampledFrom([]string{"done", "released", "unknown"}).Draw(t, "outcome")
				switch settled {
				case "done":
					running.SettleDone("answer", 6)
				case "released":
					running.SettleReleased()
				default:
					running.SettleUnknown()
				}
				running = nil
			}
		}
	})
}

func TestOneOfConcurrentRequestsRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := &Keys{Now: time.Now}
	var ran atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			entry, v := keys.Begin("k", 1, NewClaim(false, true, false))
			switch v {
			case Run:
				ran.Add(1)
				entry.SettleDone("a", 1)
			case Wait:
				<-entry.Settled()
			}
		})
	}
	wg.Wait()
	g.Expect(ran.Load()).To(gomega.Equal(int64(1)))
}

func TestKeysAreBoundedAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	at, now := clock()
	keys := &Keys{Now: now}
	for i := range MaxKeys {
		entry, v := keys.Begin(fmt.Sprint(i), 1, NewClaim(false, false, false))
		g.Expect(v).To(gomega.Equal(Run))
		entry.SettleUnknown()
	}
	_, v := keys.Begin("more", 1, NewClaim(false, false, false))
	g.Expect(v).To(gomega.Equal(Overflow))
	*at = at.Add(Window + time.Second)
	keys.Expire()
	g.Expect(keys.Len()).To(gomega.BeZero())
	_, v = keys.Begin("more", 1, NewClaim(true, false, false))
	g.Expect(v).To(gomega.Equal(HistoryUnknown))
	_, v = keys.Begin("other", 1, NewClaim(false, false, false))
	g.Expect(v).To(gomega.Equal(Run))
	_, v = keys.Begin("other", 2, NewClaim(false, false, false))
	g.Expect(v).To(gomega.Equal(Mismatch))
}

func TestCrashesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	at, now := clock()
	cs := &Crashes{Now: now}
	for i := range 100000 {
		cs.Record(uint64(i), true)
	}
	g.Expect(cs.Len()).To(gomega.BeNumerically("<=", 32*MaxCrashesPerShard))
	c := cs.Record(7, true)
	g.Expect(cs.IsBlocked(7)).To(gomega.Equal(c.Count() >= crashLimit))
	cs.Record(7, true)
	g.Expect(cs.IsBlocked(7)).To(gomega.BeTrue())
	cs.Forget(7)
	g.Expect(cs.IsBlocked(7)).To(gomega.BeFalse())
	cs.Record(8, false)
	g.Expect(cs.IsBlocked(8)).To(gomega.BeTrue())
	*at = at.Add(CrashWindow + time.Second)
	g.Expect(cs.IsBlocked(8)).To(gomega.BeFalse())
	g.Expect(cs.Merge(NewCrash(9, 2, false, now().Add(time.Hour)))).To(gomega.BeFalse(), "a peer can't block a request for longer than twice the window")
}

// A record that has expired says nothing, so that a new crash blocks the request
// on every node alike.
func TestExpiredCrashDoesNotHideANewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	at, now := clock()
	cs := &Crashes{Now: now}
	g.Expect(cs.Merge(NewCrash(7, 2, false, now().Add(CrashWindow)))).To(gomega.BeTrue())
	*at = at.Add(CrashWindow + time.Second)
	g.Expect(cs.IsBlocked(7)).To(gomega.BeFalse())
	g.Expect(cs.Merge(NewCrash(7, 2, false, now().Add(CrashWindow)))).To(gomega.BeTrue())
	g.Expect(cs.IsBlocked(7)).To(gomega.BeTrue())
}

// A request that runs for longer than Window keeps its key, and its response is
// counted only while it is kept.
func TestRunningRequestKeepsItsKey(t *testing.T) {
	g := gomega.NewWithT(t)
	at, now := clock()
	keys := &Keys{Now: now}
	entry, v := keys.Begin("k", 1, NewClaim(false, true, false))
	g.Expect(v).To(gomega.Equal(Run))
	*at = at.Add(Window + time.Second)
	keys.Expire()
	_, v = keys.Begin("k", 1, NewClaim(true, true, false))
	g.Expect(v).To(gomega.Equal(Wait), "the first request is still running")
	entry.SettleDone("answer", MaxResponseBytes)
	keys.Expire()
	g.Expect(keys.Len()).To(gomega.BeZero())
	for i := range MaxTotalResponseBytes / MaxResponseBytes {
		entry, _ := keys.Begin(fmt.Sprint(i), 1, NewClaim(false, true, false))
		entry.SettleDone("answer", MaxResponseBytes)
		g.Expect(entry.Response()).NotTo(gomega.BeNil(), "response %d is kept", i)
	}
}
