package gtadmission

import (
	"testing"
	"time"

	"godwittide/core/version/gtconfig"
)

// BenchmarkGate measures what the gate adds to a request while 100 others are in flight.
func BenchmarkGate(b *testing.B) {
	gate := &Gate{Now: time.Now, Slots: 200, Fixed: true}
	deadline := time.Now().Add(time.Hour)
	inFlight := make([]*Ticket, 100)
	for i := range inFlight {
		inFlight[i], _ = gate.Enter(gtconfig.Normal, deadline)
		inFlight[i].Sent("r", func() {})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t, _ := gate.Enter(gtconfig.Normal, deadline)
		t.Sent("r", func() {})
		i %= len(inFlight)
		inFlight[i].Done("r", time.Millisecond, Succeeded)
		inFlight[i] = t
	}
}
