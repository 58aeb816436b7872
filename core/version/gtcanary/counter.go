// Package gtcanary counts the outcomes of requests by version, and compares a
// new version with the old one over the same time.
//
// # Usage
//
//	counter := &gtcanary.OutcomeCounter{} // one for each backend server
//	counter.Add("book", gtcanary.NewOutcome(failed, latency))
//	counter.Restart(startMillis)
//	report := counter.Report(instance, version)
//
//	judge := &gtcanary.Judge{Now: timer.Time, From: "1", To: "2", Threshold: gtcanary.PooledThreshold}
//	judge.AddReport(report) // at the driver of the move
//	if alarm, ok := judge.Alarm(); ok { ... }
//
// Each report holds all counts since the start of the instance, so a lost or
// repeated report does no harm.
//
// The judge runs three sequential tests for each route and for all of them together: on
// failures, on slow responses, and on the whole histogram of latencies. Each is a CUSUM
// test (Page, 1954): a cumulative sum of
// log-likelihood ratios of the new version's rate against the old version's at
// the same time. The threshold bounds the rate of false alarms; how soon a fault
// is detected depends on its size.
package gtcanary

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// LatencyBuckets is the number of latency buckets. The first ends at firstBucket;
	// the limit of each next one is higher by the factor bucketGrowth.
	LatencyBuckets = 96
	firstBucket    = 200 * time.Microsecond
	bucketGrowth   = 1.15
	// BatchSize is the number of outcomes that are worth a report of their own.
	BatchSize = 10
	// MaxRoutes is the maximum number of routes that are counted by name.
	MaxRoutes = 256
)

// Outcome is the result of one request at a backend server.
type Outcome struct {
	failed  bool
	latency time.Duration
	timed   bool
}

// NewOutcome returns the outcome of a request that succeeded or failed after the
// given latency.
func NewOutcome(failed bool, latency time.Duration) Outcome {
	return Outcome{failed: failed, latency: latency, timed: true}
}

// WithoutLatency returns a copy whose latency is not counted, for example
// because the backend server is warming up.
func (o Outcome) WithoutLatency() Outcome {
	o.timed = false
	return o
}

// Bucket returns the index of the latency bucket that d belongs to.
func Bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := int(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketGrowth)) + 1
	return min(i, LatencyBuckets-1)
}

// BucketLimit returns the upper limit of the latency bucket with index i.
func BucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(i)))
}

// Counts holds the outcomes that one instance has counted on one route since its
// start.
type Counts struct {
	total         uint64
	failed        uint64
	latencyCounts [LatencyBuckets]uint64
}

// NewCounts returns counts with the given fields, as decoded from a message.
func NewCounts(total, failed uint64, latencyCounts []uint64) Counts {
	c := Counts{total: total, failed: failed}
	copy(c.latencyCounts[:], latencyCounts)
	return c
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.total }

// Failed returns the number of requests that failed.
func (c Counts) Failed() uint64 { return c.failed }

// LatencyCounts returns the number of requests in each latency bucket. Failed
// and untimed requests are in none.
func (c Counts) LatencyCounts() []uint64 { return c.latencyCounts[:] }

// timed returns the number of requests whose latency was counted.
func (c Counts) timed() uint64 {
	var n uint64
	for _, v := range c.latencyCounts {
		n += v
	}
	return n
}

// since returns the outcomes that were counted after old. If a count is lower
// than in old, the instance is taken to have restarted and counted from zero, and
// all of c is returned.
func (c Counts) since(old Counts) Counts {
	if c.total < old.total || c.failed < old.failed {
		return c
	}
	d := Counts{total: c.total - old.total, failed: c.failed - old.failed}
	for i := range c.latencyCounts {
		if c.latencyCounts[i] < old.latencyCounts[i] {
			return c
		}
		d.latencyCounts[i] = c.latencyCounts[i] - old.latencyCounts[i]
	}
	return d
}

// Report holds the counts of one instance by route.
type Report struct {
	instance    string
	startMillis uint64
	version     string
	routes      map[string]Counts
}

// NewReport returns a report with the given fields, as decoded from a message.
func NewReport(instance string, startMillis uint64, version string, routes map[string]Counts) Report {
	return Report{instance: instance, startMillis: startMillis, version: version, routes: routes}
}

// Instance returns the instance that counted.
func (r Report) Instance() string { return r.instance }

// StartMillis returns the time at which the instance started, in milliseconds
// since the Unix epoch. It goes up with each restart.
func (r Report) StartMillis() uint64 { return r.startMillis }

// Version returns the version that the instance runs.
func (r Report) Version() string { return r.version }

// Routes returns the counts by route. The map is shared and must not be changed.
func (r Report) Routes() map[string]Counts { return r.routes }

// Total returns the number of requests on all routes.
func (r Report) Total() uint64 {
	var n uint64
	for _, c := range r.routes {
		n += c.total
	}
	return n
}

// isNewerThan reports whether r was made after old, another report of the same
// instance. Counts only grow between two starts.
func (r Report) isNewerThan(old Report) bool {
	if r.startMillis != old.startMillis {
		return r.startMillis > old.startMillis
	}
	return r.Total() > old.Total()
}

// OutcomeCounter counts outcomes, sharded by route. Its exported fields are set before
// use.
type OutcomeCounter struct {
	// OnBatch is called after each BatchSize outcomes; nil means that nothing is done.
	OnBatch func()

	pending     atomic.Int64
	counts      gtshard.Map[*Counts]
	mu          sync.Mutex
	routes      int
	startMillis uint64
}

// Add counts an outcome on a route. Once MaxRoutes routes are known, all further
// routes are counted together under the empty name.
func (oc *OutcomeCounter) Add(route string, o Outcome) {
	if !oc.admitRoute(route) {
		route = ""
	}
	oc.counts.Do(route, func(m map[string]*Counts) {
		c := m[route]
		if c == nil {
			c = &Counts{}
			m[route] = c
		}
		c.total++
		if o.failed {
			c.failed++
		} else if o.timed {
			c.latencyCounts[Bucket(o.latency)]++
		}
	})
	if oc.OnBatch != nil && oc.pending.Add(1)%BatchSize == 0 {
		oc.OnBatch()
	}
}

// admitRoute reports whether the route is counted under its own name. A route that
// is not known yet takes one of MaxRoutes places, if one is free.
func (oc *OutcomeCounter) admitRoute(route string) bool {
	if _, ok := oc.counts.Get(route); ok {
		return true
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if oc.routes >= MaxRoutes {
		return false
	}
	oc.routes++
	return true
}

// Restart sets all counts to zero, since the backend server has started or runs
// another version. The time is in milliseconds since the Unix epoch; if it is not
// after that of the last restart, the next millisecond is taken.
func (oc *OutcomeCounter) Restart(millis uint64) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.startMillis = max(millis, oc.startMillis+1)
	oc.routes = 0
	oc.counts.Each(func(m map[string]*Counts) { clear(m) })
}

// start returns the time of the last restart.
func (oc *OutcomeCounter) start() uint64 {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	return oc.startMillis
}

// Report returns a copy of all counts since the last restart, as the report of the
// given instance, which runs the given version.
func (oc *OutcomeCounter) Report(instance, version string) Report {
	r := Report{instance: instance, startMillis: oc.start(), version: version, routes: map[string]Counts{}}
	oc.counts.Each(func(m map[string]*Counts) {
		for route, c := range m {
			r.routes[route] = *c
		}
	})
	return r
}
