package gtadmission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// An outlook that differs from what Enter does misleads operators, and one that takes a
// place, a token or a count changes what it tells of.
func TestOutlookIsWhatEnterDoes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 4, Fixed: true}
	gate.LimitWarmUpRate(100, 45*time.Millisecond)
	first, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	now = now.Add(100 * time.Millisecond)
	first.Done("r", 100*time.Millisecond, Succeeded)
	seen := map[string]int{}
	for i := range 40 {
		if i == 20 {
			now = now.Add(2 * MaxWait) // the queue is no burst any more
		}
		if i == 30 {
			gate.Close(gtkind.Leaving)
		}
		class, deadline := gtconfig.Class(i%2), now.Add(time.Duration(50+50*(i%7))*time.Millisecond)
		before, refused := gate.Load("r"), gate.Refused()
		var runs bool
		var outlook error
		for range 3 {
			runs, _, outlook = gate.Outlook(class, deadline)
		}
		g.Expect(gate.Load("r")).To(gomega.Equal(before))
		g.Expect(gate.Refused()).To(gomega.Equal(refused))
		ticket, err := gate.Enter(class, time.Time{}, deadline)
		g.Expect(gtkind.Of(outlook)).To(gomega.Equal(gtkind.Of(err)), "request %d", i)
		if err != nil {
			g.Expect(outlook.Error()).To(gomega.Equal(err.Error()))
			seen[gtkind.Of(err).String()]++
			continue
		}
		granted := false
		select {
		case <-ticket.Decided():
			granted = true
			seen["run"]++
		default:
			seen["wait"]++
		}
		g.Expect(runs).To(gomega.Equal(granted), "request %d", i)
	}
	g.Expect(seen).To(gomega.HaveLen(4), "run, wait, full and leaving: %v", seen)
}

// Asking while the backend server warms up must not use up its rate.
func TestOutlookTakesNoTokenOfTheWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 4, Fixed: true}
	gate.LimitWarmUpRate(10, time.Minute)
	for range 5 {
		runs, _, err := gate.Outlook(gtconfig.Normal, now.Add(time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(runs).To(gomega.BeTrue())
	}
	_, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, wait, err := gate.Outlook(gtconfig.Normal, now.Add(time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
	g.Expect(wait).To(gomega.Equal(100 * time.Millisecond))
}
