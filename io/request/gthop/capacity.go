package gthop

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// The units of the numbers in HeaderCapacity.
const (
	speedUnit       = 0.01
	concurrencyUnit = 0.1
	slowdownUnit    = 0.01
	elapsedUnit     = 100 * time.Microsecond
	// maxCapacityNumber bounds each of them. The largest service time has less.
	maxCapacityNumber = 1 << 24
)

// setCapacity sets HeaderCapacity to the learned capacity in a load and the time since
// the request arrived, unless nothing is learned.
func setCapacity(h http.Header, l gtroute.Load, elapsed time.Duration) {
	if l.Capacity().IsKnown() {
		h.Set(HeaderCapacity, encodeCapacity(l.Capacity(), elapsed))
	}
}

// encodeCapacity returns a capacity and the time from the arrival of a request to its
// response as speed/concurrency/slow-down/service time/elapsed time, in units of 0.01,
// 0.1, 0.01, 1 ms and 0.1 ms.
func encodeCapacity(c gtroute.Capacity, elapsed time.Duration) string {
	numbers := []float64{
		c.Speed() / speedUnit, c.Concurrency() / concurrencyUnit, c.Slowdown() / slowdownUnit,
		float64(c.ServiceTime() / time.Millisecond), float64(elapsed / elapsedUnit),
	}
	b := make([]byte, 0, 32)
	for i, n := range numbers {
		if i > 0 {
			b = append(b, '/')
		}
		b = strconv.AppendInt(b, int64(math.Round(min(max(n, 0), maxCapacityNumber))), 10)
	}
	return string(b)
}

// withCapacity returns the load with the capacity and elapsed time in text, or the load
// itself if the text is missing or malformed. Numbers after the known ones are ignored.
func withCapacity(l gtroute.Load, text string) gtroute.Load {
	var n [5]float64
	parts := strings.SplitN(text, "/", len(n)+1)
	if len(parts) < len(n) {
		return l
	}
	for i := range n {
		v, err := strconv.Atoi(parts[i])
		if err != nil || v < 0 || v > maxCapacityNumber {
			return l
		}
		n[i] = float64(v)
	}
	serviceTime := time.Duration(n[3]) * time.Millisecond
	if n[0] < 1 || serviceTime > gtconfig.MaxTimeout {
		return l
	}
	c := gtroute.NewCapacity(n[0]*speedUnit, n[1]*concurrencyUnit, n[2]*slowdownUnit).WithServiceTime(serviceTime)
	return l.WithCapacity(c).WithElapsed(time.Duration(n[4]) * elapsedUnit)
}
