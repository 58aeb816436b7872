// Package gtevidence collects what requests say of a version, and judges a new
// version against the old one over the same time.
//
// # Usage
//
//	ledger := &gtevidence.Ledger{}                 // beside each backend server
//	ledger.Add("book", gtevidence.NewOutcome(failed, latency))
//	report := ledger.Report(instance, incarnation, version)
//
//	judge := &gtevidence.Judge{Now: timer.Time, From: "1", To: "2", Threshold: gtevidence.PooledThreshold}
//	judge.Take(report)                             // at the driver of the move
//	if alarm, ok := judge.Alarm(); ok { ... }
//
// A ledger only counts up, so a report that is lost or repeated does no harm.
// The judge runs a sequential test for each route, once on failures and once
// on slowness: a cumulative sum of log-likelihood ratios (Page, 1954) of what
// the new version does against what the old one does at the same time. The
// threshold bounds false alarms; the size of each fault bounds the delay.
package gtevidence

import (
	"math"
	"sync"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// Buckets is the number of latency buckets; they grow by bucketGrowth from
	// firstBucket.
	Buckets      = 96
	firstBucket  = 200 * time.Microsecond
	bucketGrowth = 1.15
	// MaxRoutes bounds the routes in a ledger.
	MaxRoutes = 256
)

// Outcome is what came of one request at the backend server.
type Outcome struct {
	failed  bool
	latency time.Duration
	timed   bool
}

// NewOutcome returns the outcome of a request that was answered or failed.
func NewOutcome(failed bool, latency time.Duration) Outcome {
	return Outcome{failed: failed, latency: latency, timed: true}
}

// Untimed returns a copy whose latency does not count, as while the backend
// server warms up.
func (o Outcome) Untimed() Outcome {
	o.timed = false
	return o
}

// Bucket returns the latency bucket of d.
func Bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := int(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketGrowth)) + 1
	return min(i, Buckets-1)
}

// BucketLimit returns the upper limit of a bucket.
func BucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(i)))
}

// Counts is what one instance counted on one route since its start.
type Counts struct {
	total   uint64
	failed  uint64
	latency [Buckets]uint64
}

// NewCounts returns counts as decoded from a message.
func NewCounts(total, failed uint64, latency []uint64) Counts {
	c := Counts{total: total, failed: failed}
	copy(c.latency[:], latency)
	return c
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.total }

// Failed returns the number of requests that failed.
func (c Counts) Failed() uint64 { return c.failed }

// Latency returns the number of timed requests in each bucket.
func (c Counts) Latency() []uint64 { return c.latency[:] }

// since returns what was counted after old. An instance that has restarted
// counts from zero.
func (c Counts) since(old Counts) Counts {
	if c.total < old.total || c.failed < old.failed {
		return c
	}
	d := Counts{total: c.total - old.total, failed: c.failed - old.failed}
	for i := range c.latency {
		if c.latency[i] < old.latency[i] {
			return c
		}
		d.latency[i] = c.latency[i] - old.latency[i]
	}
	return d
}

// Report is what one instance counted, by route.
type Report struct {
	instance    string
	incarnation uint64
	version     string
	routes      map[string]Counts
}

// NewReport returns a report as decoded from a message.
func NewReport(instance string, incarnation uint64, version string, routes map[string]Counts) Report {
	return Report{instance: instance, incarnation: incarnation, version: version, routes: routes}
}

// Instance returns the instance that counted.
func (r Report) Instance() string { return r.instance }

// Incarnation tells one start of the instance from the next.
func (r Report) Incarnation() uint64 { return r.incarnation }

// Version returns the version that the instance runs.
func (r Report) Version() string { return r.version }

// Routes returns the counts by route. The map is shared.
func (r Report) Routes() map[string]Counts { return r.routes }

// Ledger counts outcomes, sharded by route.
type Ledger struct {
	counts gtshard.Map[*Counts]
	mu     sync.Mutex
	routes int
}

// Add counts an outcome on a route. Beyond MaxRoutes, new routes are counted
// together under an empty name.
func (l *Ledger) Add(route string, o Outcome) {
	if !l.known(route) {
		route = ""
	}
	l.counts.Do(route, func(m map[string]*Counts) {
		c := m[route]
		if c == nil {
			c = &Counts{}
			m[route] = c
		}
		c.total++
		if o.failed {
			c.failed++
		} else if o.timed {
			c.latency[Bucket(o.latency)]++
		}
	})
}

func (l *Ledger) known(route string) bool {
	if _, ok := l.counts.Get(route); ok {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes >= MaxRoutes {
		return false
	}
	l.routes++
	return true
}

// Report returns what was counted so far.
func (l *Ledger) Report(instance string, incarnation uint64, version string) Report {
	r := Report{instance: instance, incarnation: incarnation, version: version, routes: map[string]Counts{}}
	l.counts.Each(func(m map[string]*Counts) {
		for route, c := range m {
			r.routes[route] = *c
		}
	})
	return r
}
