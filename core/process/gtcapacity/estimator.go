// Package gtcapacity learns at a node what its backend server handles: how fast the
// server is compared with the others of its service, up to which concurrency it does
// not slow down, and how much each further request slows it down.
//
// # Usage
//
//	estimator := &gtcapacity.Estimator{PausedSince: timer.PausedSince}
//	estimator.Observe("book", concurrency, latency, now)   // one response
//	estimator.SetReference("book", 110*time.Millisecond)   // as the service reports
//	estimator.Speed(); estimator.Capacity(); estimator.ServiceTime("book")
//
// All of it comes from latencies against concurrency on each route. Configured slots
// and weights have no influence. What was learned is lost at a restart.
//
// Calls estimates the time that the requests of a route spend in calls that the
// backend server makes through the same node. The caller of Observe subtracts it.
package gtcapacity

import (
	"math"
	"sync"
	"time"
)

const (
	// maxRoutes bounds the number of routes that are kept.
	maxRoutes = 256
	// minSamples is the number of responses from which anything is reported.
	minSamples = 20
	// routeMemory is the number of responses over which the service time of a route
	// is averaged. At a coefficient of variation of 1 the error is then 4%.
	routeMemory = 300
	// spreadMemory is the number of responses over which the variance is averaged.
	spreadMemory = 500
	// maxSample bounds the influence of one response, as a multiple of the mean.
	maxSample = 4.0
	// significantErrors is how many standard errors the speed must differ from 1 to
	// be reported.
	significantErrors = 2.0
	// minSpeed and maxSpeed bound the reported speed.
	minSpeed, maxSpeed = 0.1, 10.0
	// medianStep is the step by which the median of the concurrency follows the
	// samples.
	medianStep = 0.2
)

// Estimator learns from the responses of one backend server. Its state is a shard of
// its own, guarded by one lock.
type Estimator struct {
	// PausedSince reports whether this process was paused at any time after since.
	// Responses that span a process pause are ignored. It is set before use; nil means
	// that no pauses are detected.
	PausedSince func(since time.Time) bool

	mu       sync.Mutex
	routes   map[string]*route
	samples  int
	variance float64 // of the latency relative to the mean of its route
	median   float64 // of the concurrency
	change   changeDetector
	curve    curve
	changes  int
}

// route is what is known of the requests of one route.
type route struct {
	// mean is the service time in seconds at a concurrency that slows nothing down.
	mean    float64
	samples int
	// reference is the mean service time that the service reports, or 0.
	reference float64
}

// Observe records a response: its route, the number of requests that ran when the
// request began, itself included, and the time that the backend server took, without
// the time of calls that the request made to others.
func (e *Estimator) Observe(name string, concurrency int, latency time.Duration, now time.Time) {
	if latency <= 0 || concurrency < 1 || e.PausedSince != nil && e.PausedSince(now.Add(-latency)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.route(name)
	if r == nil {
		return
	}
	e.samples++
	if e.samples == 1 {
		e.median = float64(concurrency)
	}
	if float64(concurrency) > e.median {
		e.median += medianStep
	} else {
		e.median -= medianStep
	}
	if r.samples == 0 {
		r.mean = latency.Seconds() / e.curve.slowdown(concurrency)
	}
	sample := math.Min(latency.Seconds()/r.mean, maxSample)
	e.curve.add(concurrency, sample, e.variance)
	// A change of the speed shows at low concurrency, too. Samples at high concurrency
	// would make every burst look like one.
	if float64(concurrency) > e.median+1 {
		return
	}
	sample /= e.curve.slowdown(concurrency)
	r.samples++
	r.mean *= 1 + (sample-1)/float64(min(r.samples, routeMemory))
	if r.samples < minSamples {
		return
	}
	e.variance += ((sample-1)*(sample-1) - e.variance) / float64(min(e.samples, spreadMemory))
	if factor, lasting := e.change.add(sample, now); lasting {
		e.rescale(factor)
	}
}

// route returns the route with the given name, or nil if maxRoutes is reached.
func (e *Estimator) route(name string) *route {
	r := e.routes[name]
	if r == nil && len(e.routes) < maxRoutes {
		if e.routes == nil {
			e.routes = map[string]*route{}
		}
		r = &route{}
		e.routes[name] = r
	}
	return r
}

// rescale multiplies the service times of all routes by a factor after a lasting change
// of the server's speed. They are then averaged anew, so that an error of the factor
// does not last.
func (e *Estimator) rescale(factor float64) {
	e.changes++
	for _, r := range e.routes {
		r.mean *= factor
		r.samples = min(r.samples, minSamples)
	}
}

// SetReference sets the mean service time of a route over the instances of the service,
// as others report it. Zero means unknown.
func (e *Estimator) SetReference(name string, mean time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.routes[name]; r != nil {
		r.reference = mean.Seconds()
	}
}

// Speed returns the speed of the backend server. 1 is the mean of its service as
// reported by others. It is also 1 while nothing is known, and while the difference is
// not significant.
func (e *Estimator) Speed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum, samples := 0.0, 0
	for _, r := range e.routes {
		if r.reference > 0 && r.samples > 0 {
			sum += float64(r.samples) * r.mean / r.reference
			samples += r.samples
		}
	}
	if samples < minSamples {
		return 1
	}
	relative := sum / float64(samples)
	// The mean of a moving average over n samples has the variance of one over 2n.
	standardError := relative * math.Sqrt(e.variance/float64(samples))
	if math.Abs(relative-1) < significantErrors*standardError {
		return 1
	}
	return math.Min(math.Max(1/relative, minSpeed), maxSpeed)
}

// Capacity returns the concurrency that the backend server handles without slowing
// down, or 0 if no slowing down was seen.
func (e *Estimator) Capacity() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.curve.capacity()
}

// Slowdown returns by which part of the service time each request beyond Capacity slows
// the server down, or 0 if that was not seen.
func (e *Estimator) Slowdown() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.curve.slope
}

// ServiceTime returns the service time of a route at a concurrency that slows nothing
// down, or 0 if there are too few samples.
func (e *Estimator) ServiceTime(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[name]
	if r == nil || r.samples < minSamples {
		return 0
	}
	return time.Duration(r.mean * float64(time.Second))
}

// Routes calls fn with each route of which the service time is known, and its number of
// samples, which is bounded.
func (e *Estimator) Routes(fn func(name string, serviceTime time.Duration, samples int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.routes {
		if r.samples >= minSamples {
			fn(name, time.Duration(r.mean*float64(time.Second)), min(r.samples, routeMemory))
		}
	}
}

// Changes returns how often a lasting change of the speed was found.
func (e *Estimator) Changes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changes
}

// Forget forgets the service time of a route.
func (e *Estimator) Forget(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.routes, name)
}

// Reset forgets all that was learned. It is called when another process of the backend
// server has started.
func (e *Estimator) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routes, e.samples, e.variance, e.median = nil, 0, 0, 0
	e.change, e.curve = changeDetector{}, curve{}
}
