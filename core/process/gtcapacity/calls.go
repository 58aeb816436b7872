package gtcapacity

import (
	"math"
	"sync"
	"time"
)

const (
	// callMemory is the number of ended calls that are kept.
	callMemory = 256
	// nestedMemory is the number of requests over which the time in calls is averaged.
	// The calls of concurrent requests are noise; with 200 the error was half of the
	// server's own time where calls take three times as long as that.
	nestedMemory = 2000
	// nestedErrors is how many standard errors the time in calls must differ from 0 to
	// be used.
	nestedErrors = 3.0
	// minNestedPart is the part of the latency from which the time in calls is used.
	minNestedPart = 0.1
	// maxNestedError is the standard error of the time in calls, as a part of the server's
	// own time, up to which that is known.
	maxNestedError = 0.15
	// minOwnPart is the least part of a latency that is taken for the server's own.
	minOwnPart = 0.05
)

// Calls estimates how much of the latency of a route's requests the backend server
// spends waiting for calls that it makes to others through the same node. Nothing tells
// which request a call belongs to, or whether it belongs to one at all: other callers on
// the machine may use the same node. So the calls that began and ended while a request
// ran are compared with those in a window of the same length that ended when the request
// began. Calls that have nothing to do with the request are as likely in both. Calls that
// a request makes in parallel count in full, so its own time is then underestimated, on
// all servers of the service alike.
//
// Its state is a shard of its own, guarded by one lock.
type Calls struct {
	mu     sync.Mutex
	ended  [callMemory]call
	count  int
	routes map[string]*nested
}

// Finding is what is known of a backend server's own part of a latency.
type Finding int

// The findings.
const (
	// Unknown means that the part is not known: the calls of the time are not all kept, or
	// their mean is not known well enough.
	Unknown Finding = iota
	// Known means that it is known.
	Known
	// Changed means that the route was found to make calls, or to make none, other than
	// before. What was learned of the route is then wrong.
	Changed
)

// call is a call that the node took at its edge and that has ended.
type call struct{ start, end time.Time }

// nested is the moving average of the time in calls of a route's requests, in seconds.
type nested struct {
	mean     float64
	variance float64
	latency  float64
	samples  int
	// makesCalls reports whether the time in calls was significant at the last request.
	makesCalls bool
	// interval is the mean time between two requests.
	interval float64
	endedAt  time.Time
}

// Ended records a call that the node took at its edge.
func (c *Calls) Ended(start, end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[c.count%callMemory] = call{start, end}
	c.count++
}

// Own returns the part of the latency of a request of a route, which ran from start to
// end, that is the backend server's own, and what that means. While nothing shows that
// the requests of the route make calls, it is the whole latency: to wait for certainty
// takes minutes, and the requests of a route make the same calls on all servers.
func (c *Calls) Own(name string, start, end time.Time) (time.Duration, Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	latency := end.Sub(start)
	if latency <= 0 {
		return 0, Unknown
	}
	if c.count == 0 {
		return latency, Known
	}
	during, before, complete := c.enclosed(start, end)
	r := c.route(name)
	if !complete || r == nil {
		return 0, Unknown
	}
	r.add((during - before).Seconds(), latency.Seconds(), end)
	nested := r.time()
	if (nested > 0) != r.makesCalls {
		r.makesCalls = nested > 0
		return 0, Changed
	}
	if nested > 0 && !r.precise() {
		return 0, Unknown
	}
	own := latency.Seconds() - nested
	return time.Duration(math.Max(own, minOwnPart*latency.Seconds()) * float64(time.Second)), Known
}

// Nested returns the mean time in calls of a route's requests, or 0 if it is not
// significant.
func (c *Calls) Nested(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[name]
	if r == nil {
		return 0
	}
	return time.Duration(r.time() * float64(time.Second))
}

// route returns the average of the route with the given name, or nil if maxRoutes is
// reached.
func (c *Calls) route(name string) *nested {
	r := c.routes[name]
	if r == nil && len(c.routes) < maxRoutes {
		if c.routes == nil {
			c.routes = map[string]*nested{}
		}
		r = &nested{}
		c.routes[name] = r
	}
	return r
}

// enclosed returns the total time of the calls within a request that ran from start to
// end, and of those within the window of the same length before it. It is false if calls
// of that time are no longer kept. The time that is covered by calls would be no measure:
// beside the calls of concurrent requests, those of one more hardly show in it.
func (c *Calls) enclosed(start, end time.Time) (during, before time.Duration, complete bool) {
	windowStart := start.Add(start.Sub(end))
	if oldest := c.ended[c.count%callMemory]; c.count >= callMemory && oldest.end.After(windowStart) {
		return 0, 0, false
	}
	for i := 1; i <= min(c.count, callMemory); i++ {
		k := c.ended[(c.count-i)%callMemory]
		if k.end.Before(windowStart) {
			break
		}
		switch {
		case !k.start.Before(start) && !k.end.After(end):
			during += k.end.Sub(k.start)
		case !k.start.Before(windowStart) && !k.end.After(start):
			before += k.end.Sub(k.start)
		}
	}
	return during, before, true
}

// add adds a request with its time in calls, its latency and its end.
func (r *nested) add(inCalls, latency float64, end time.Time) {
	r.samples++
	weight := 1 / float64(min(r.samples, nestedMemory))
	d := inCalls - r.mean
	r.mean += weight * d
	r.variance += weight * (d*d - r.variance)
	r.latency += weight * (latency - r.latency)
	if r.samples > 1 {
		r.interval += weight * (math.Max(0, end.Sub(r.endedAt).Seconds()) - r.interval)
	}
	r.endedAt = end
}

// standardError returns the standard error of the mean. Requests that run at the same time
// have the same calls of others within them, so only one of them counts.
func (r *nested) standardError() float64 {
	concurrent := 1.0
	if r.interval > 0 {
		concurrent += r.latency / r.interval
	}
	return math.Sqrt(r.variance * concurrent / float64(min(r.samples, nestedMemory)))
}

// precise reports whether the time in calls is known well enough for the server's own time.
func (r *nested) precise() bool {
	return r.standardError() <= maxNestedError*(r.latency-r.time())
}

// time returns the mean time in calls, or 0 if it is not significant.
func (r *nested) time() float64 {
	if r.samples < minSamples || r.mean < nestedErrors*r.standardError() || r.mean < minNestedPart*r.latency {
		return 0
	}
	return r.mean
}
