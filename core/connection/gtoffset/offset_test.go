package gtoffset

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Whatever the delays of messages are, and wherever the two clocks start, a converted time
// is never later than the true one, and earlier by no more than the delays of the answer.
func TestConvertedTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		ownStart, peerStart := ms("own start", 1e6), ms("peer's start", 1e6)
		own := func(trueTime time.Duration) time.Duration { return trueTime + ownStart }
		peer := func(trueTime time.Duration) time.Duration { return trueTime + peerStart }
		asked := ms("asked", 10_000)
		there, back := ms("way there", 20_000), ms("way back", 5000)
		event := ms("event", 20_000)
		received := max(asked+there+back, event+ms("way of the message", 5000))
		var p Peer
		p.Set(own(asked), peer(asked+there))
		got, ok := p.Convert(peer(event), own(received))
		if !ok {
			if received-asked <= maxAge {
				t.Fatal("a recent reading was not used")
			}
			return
		}
		if got > own(event) || got < own(event)-there {
			t.Fatalf("converted to %s, want %s or up to %s earlier", got, own(event), there)
		}
	})
}

func TestOldReadingsAreNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Peer
	_, ok := p.Convert(time.Second, time.Second)
	g.Expect(ok).To(gomega.BeFalse())
	p.Set(0, time.Hour)
	_, ok = p.Convert(time.Hour, maxAge)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = p.Convert(time.Hour, maxAge+1)
	g.Expect(ok).To(gomega.BeFalse())
}

// Without this, two nodes would send each other the same time in each period.
func TestOnlyNewsIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Peer
	g.Expect(p.Lacks(time.Second)).To(gomega.BeTrue())
	g.Expect(p.Lacks(time.Second + minGain - 1)).To(gomega.BeFalse())
	g.Expect(p.Lacks(time.Second + minGain)).To(gomega.BeTrue())
	p.Set(0, 0)
	_, _ = p.Convert(5*time.Second, 6*time.Second)
	g.Expect(p.Lacks(5 * time.Second)).To(gomega.BeFalse())
	g.Expect(p.ShouldAsk(0, RefreshPeriod)).To(gomega.BeTrue())
	g.Expect(p.ShouldAsk(RefreshPeriod-1, RefreshPeriod)).To(gomega.BeFalse())
	g.Expect(p.ShouldAsk(RefreshPeriod, RefreshPeriod)).To(gomega.BeTrue())
}
