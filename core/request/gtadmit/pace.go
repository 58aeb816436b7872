package gtadmit

import "time"

// paceWeight is the weight of the newest answer in a route's pace.
const paceWeight = 0.2

// pace moves a route's pace. A request that failed says at least that an answer
// takes as long.
func (g *Gate) pace(route string, latency time.Duration, result Result) {
	was, known := g.paces[route]
	switch {
	case result == Shed, result != Good && latency <= was:
		return
	case !known && len(g.paces) >= maxRoutes:
		return
	case !known:
		was = latency
	}
	if g.paces == nil {
		g.paces = map[string]time.Duration{}
	}
	g.paces[route] = was + time.Duration(paceWeight*float64(latency-was))
}
