package gtevidence

import (
	"fmt"
	"math"
	"sync"
	"time"

	"godwittide/core/version/gtconfig"
)

const (
	// PooledThreshold is the log-likelihood ratio at which the driver of a
	// move, who has the evidence of all, calls a version bad.
	PooledThreshold = 10
	// LocalThreshold is the same for a node that judges by what it sees alone.
	// It is higher, since any one of thousands of nodes may call.
	LocalThreshold = 23
	// halfLife is the time in which old evidence of the old version loses half
	// its weight.
	halfLife = 30 * time.Second
	// failureFloor and slowFloor are the rates that a version may always have,
	// however good the other is.
	failureFloor = 0.01
	slowFloor    = 0.06
	// slowQuantile and slowFactor set what is slow: so many times the latency
	// that the old version keeps for this part of its requests.
	slowQuantile = 0.9
	slowFactor   = 1.3
	// slowWeight lowers the sum of the slowness test: what is slow is an estimate
	// from the old version's latencies, which a failure is not.
	slowWeight = 0.8
	// slowNeeds is the number of timed answers of the old version without
	// which slowness is not judged.
	slowNeeds = 20
)

// alternatives are the excess rates that the test looks for.
var alternatives = [...]float64{0.04, 0.12, 0.35, 0.75}

// Alarm says why a version is called bad.
type Alarm struct {
	route  string
	metric string
	rate   float64
	base   float64
	count  uint64
}

// String returns the alarm with its route and figures.
func (a Alarm) String() string {
	route := a.route
	if route == "" {
		route = "other routes"
	}
	return fmt.Sprintf("%s on route %s: %.1f%% of %d requests, old version %.1f%%", a.metric, route, 100*a.rate, a.count, 100*a.base)
}

// track is the evidence of one route.
type track struct {
	oldTotal, oldFailed float64
	oldLatency          [Buckets]float64
	newTotal, newFailed uint64
	newTimed, newSlow   uint64
	failures, slowness  cusum
}

// cusum holds one sum for each alternative.
type cusum [len(alternatives)]float64

// Judge compares two versions. Its exported fields are set before use.
type Judge struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// From and To are the old and the new version; the old one may be
	// gtconfig.Others.
	From, To string
	// Threshold is the log-likelihood ratio that raises the alarm.
	Threshold float64

	mu     sync.Mutex
	last   map[string]Report
	routes map[string]*track
	at     time.Time
	alarm  *Alarm
	step   uint64
	doubt  float64
}

// Take takes in a report. Reports of other versions are ignored.
func (j *Judge) Take(r Report) {
	if !j.judges(r.version) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begin()
	defer j.weigh()
	old, ok := j.last[r.instance]
	if ok && old.incarnation > r.incarnation {
		return
	}
	if !ok || old.incarnation != r.incarnation || old.version != r.version {
		old = Report{}
	}
	j.last[r.instance] = r
	for route, c := range r.routes {
		j.add(route, r.version, c.since(old.routes[route]))
	}
}

// judges says whether a version is one of the two.
func (j *Judge) judges(version string) bool {
	return version == j.From || version == j.To || j.From == gtconfig.Others
}

// Add takes in one outcome that this node saw itself.
func (j *Judge) Add(route, version string, o Outcome) {
	if !j.judges(version) {
		return
	}
	c := Counts{total: 1}
	if o.failed {
		c.failed = 1
	} else if o.timed {
		c.latency[Bucket(o.latency)] = 1
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begin()
	j.add(route, version, c)
	j.weigh()
}

func (j *Judge) begin() {
	now := j.Now()
	if j.routes == nil {
		j.routes, j.last, j.at = map[string]*track{}, map[string]Report{}, now
	}
	passed := now.Sub(j.at)
	if passed < time.Second {
		return
	}
	j.at = now
	j.decay(math.Exp2(-float64(passed) / float64(halfLife)))
}

// decay lets the old version's evidence fade, but never below what is needed
// to compare with after its last request.
func (j *Judge) decay(f float64) {
	for _, t := range j.routes {
		if t.oldTotal*f < 2*slowNeeds {
			continue
		}
		t.oldTotal *= f
		t.oldFailed *= f
		for i := range t.oldLatency {
			t.oldLatency[i] *= f
		}
	}
}

func (j *Judge) add(route, version string, c Counts) {
	if c.total == 0 {
		return
	}
	t := j.routes[route]
	if t == nil {
		t = &track{}
		j.routes[route] = t
	}
	if version != j.To {
		t.addOld(c)
		return
	}
	j.step += c.total
	t.newTotal += c.total
	t.newFailed += c.failed
	base := math.Max(failureFloor, upper(t.oldFailed, t.oldTotal))
	if t.failures.add(c.failed, c.total, base) > j.Threshold {
		j.raise(route, "failures", float64(t.newFailed)/float64(t.newTotal), ratio(t.oldFailed, t.oldTotal), t.newTotal)
	}
	j.addSlow(route, t, c)
}

func (t *track) addOld(c Counts) {
	t.oldTotal += float64(c.total)
	t.oldFailed += float64(c.failed)
	for i, n := range c.latency {
		t.oldLatency[i] += float64(n)
	}
}

func (j *Judge) addSlow(route string, t *track, c Counts) {
	limit, timed := t.slowLimit()
	if timed < slowNeeds {
		return
	}
	slow, total := above(c.latency, limit)
	t.newTimed += total
	t.newSlow += slow
	var oldSlow float64
	for i := limit; i < Buckets; i++ {
		oldSlow += t.oldLatency[i]
	}
	base := math.Max(slowFloor, upper(oldSlow, timed))
	if slowWeight*t.slowness.add(slow, total, base) > j.Threshold {
		j.raise(route, "slow answers", float64(t.newSlow)/float64(t.newTimed), ratio(oldSlow, timed), t.newTimed)
	}
}

// slowLimit returns the first bucket that counts as slow, and how many timed
// answers of the old version it was worked out from.
func (t *track) slowLimit() (int, float64) {
	timed := 0.0
	for _, n := range t.oldLatency {
		timed += n
	}
	sum := 0.0
	for i, n := range t.oldLatency {
		if sum += n; sum >= slowQuantile*timed {
			return min(Bucket(time.Duration(slowFactor*float64(BucketLimit(i))))+1, Buckets-1), timed
		}
	}
	return Buckets - 1, timed
}

func above(latency [Buckets]uint64, limit int) (slow, total uint64) {
	for i, n := range latency {
		total += n
		if i >= limit {
			slow += n
		}
	}
	return slow, total
}

// upper returns an upper estimate of a rate that is not zero for few samples.
func upper(hits, total float64) float64 {
	p := (hits + 1) / (total + 2)
	return math.Min(0.9, p+math.Sqrt(p*(1-p)/(total+2)))
}

func ratio(hits, total float64) float64 {
	if total == 0 {
		return 0
	}
	return hits / total
}

// add adds hits out of total against the base rate, and returns the largest
// sum.
func (s *cusum) add(hits, total uint64, base float64) float64 {
	for i, excess := range alternatives {
		q := base + excess*(1-base)
		llr := float64(hits)*math.Log(q/base) + float64(total-hits)*math.Log((1-q)/(1-base))
		s[i] = math.Max(0, s[i]+llr)
	}
	return s.top()
}

func (s *cusum) top() float64 {
	top := 0.0
	for _, v := range s {
		top = math.Max(top, v)
	}
	return top
}

func (j *Judge) raise(route, metric string, rate, base float64, count uint64) {
	if j.alarm == nil {
		j.alarm = &Alarm{route: route, metric: metric, rate: rate, base: base, count: count}
	}
}

// Alarm returns why the new version is called bad, and whether it is.
func (j *Judge) Alarm() (Alarm, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.alarm == nil {
		return Alarm{}, false
	}
	return *j.alarm, true
}

// weigh works out how near the evidence is to an alarm.
func (j *Judge) weigh() {
	j.doubt = 0
	for _, t := range j.routes {
		j.doubt = max(j.doubt, t.failures.top()/j.Threshold, slowWeight*t.slowness.top()/j.Threshold)
	}
}

// Doubt returns how near the evidence against the new version is to an alarm:
// 0 is not at all, 1 is an alarm.
func (j *Judge) Doubt() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doubt
}

// StartStep begins to count anew what the new version has answered.
func (j *Judge) StartStep() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.step = 0
}

// Answered returns how many requests the new version has had in this step.
func (j *Judge) Answered() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.step
}

// Traffic says whether either version has had a request on any route.
func (j *Judge) Traffic() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.routes) > 0
}
