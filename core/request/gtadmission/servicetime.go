package gtadmission

import "time"

// serviceTimeWeight is the weight of the newest response in the service time of
// its route.
const serviceTimeWeight = 0.2

// updateServiceTime updates the moving average of a route's service time. The
// latency of a request that failed or got an error response is only a lower
// bound, so it may raise the average but not reduce it.
func (g *Gate) updateServiceTime(route string, latency time.Duration, result Result) {
	previous, known := g.serviceTimes[route]
	switch {
	case result == Shed, result == Overflowed, result != Succeeded && latency <= previous:
		return
	case !known && len(g.serviceTimes) >= maxRoutes:
		return
	case !known:
		previous = latency
	}
	if g.serviceTimes == nil {
		g.serviceTimes = map[string]time.Duration{}
	}
	g.serviceTimes[route] = previous + time.Duration(serviceTimeWeight*float64(latency-previous))
}
