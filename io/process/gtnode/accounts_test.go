package gtnode

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtsettings"
)

// A time of day that is set back must not make old evidence look new, and one that is set
// forward must not make new evidence look old.
func TestEvidenceIgnoresTheTimeOfDay(t *testing.T) {
	g := gomega.NewWithT(t)
	timeOfDay := time.Unix(1_000_000, 0) // without a reading of the steady clock
	sinceBoot := time.Hour
	n := &Node{Settings: gtsettings.Default(), SinceBoot: func() time.Duration { return sinceBoot }}
	n.Settings.Account.StrictRevoke = true
	n.timer = &gttimer.Service{Now: func() time.Time { return timeOfDay }}
	n.startTime = n.timer.Time()
	n.buildTables()
	g.Expect(n.isCurrent()).To(gomega.BeFalse(), "no evidence yet")
	n.ConfirmConfig(n.SinceBootTime())
	timeOfDay = timeOfDay.Add(time.Hour)
	sinceBoot += 4 * time.Second
	g.Expect(n.isCurrent()).To(gomega.BeTrue())
	timeOfDay = timeOfDay.Add(-2 * time.Hour)
	sinceBoot += time.Second
	g.Expect(n.isCurrent()).To(gomega.BeFalse())
	n.Settings.Account.StrictRevoke = false
	g.Expect(n.isCurrent()).To(gomega.BeTrue())
}
