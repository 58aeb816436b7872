package gtmetric

import (
	"github.com/uber-go/tally/v4"

	"godwittide/core/request/gtinflight"
)

// RecordInFlight sets the gauges of the requests in flight, one for each origin and stage.
func RecordInFlight(scope tally.Scope, c gtinflight.Counts) {
	c.Each(func(o gtinflight.Origin, s gtinflight.Stage, n int) {
		tags := map[string]string{"origin": o.String(), "stage": s.String()}
		scope.Tagged(tags).Gauge("inflight").Update(float64(n))
	})
}
