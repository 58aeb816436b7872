package gtcanary

import (
	"math"
	"sync"
	"time"

	"godwittide/core/version/gtconfig"
)

const (
	// PooledThreshold is the log-likelihood ratio above which the driver of a
	// move, which has the reports of all instances, raises an alarm.
	PooledThreshold = 10
	// LocalThreshold is the same for a node that judges by the outcomes it has
	// observed itself. It is higher because any one of thousands of nodes can
	// raise a false alarm.
	LocalThreshold = 23
	// baselineHalfLife is the time after which the old version's outcomes have
	// half their weight.
	baselineHalfLife = 30 * time.Second
	// minFailureBaseline and minSlowBaseline are the rates of failures and of
	// slow responses that a new version may always have, however low the old
	// version's rates are.
	minFailureBaseline = 0.01
	minSlowBaseline    = 0.06
	// slowQuantile and slowFactor define a slow response: its latency is above
	// slowFactor times this quantile of the old version's latencies.
	slowQuantile = 0.9
	slowFactor   = 1.3
	// slowWeight scales down the sums of the slowness test. The limit for a slow
	// response is estimated from the old version's latencies, so the test is less
	// certain than that for failures.
	slowWeight = 0.8
	// minSlowSamples is the number of timed responses of the old version below
	// which slowness is not tested.
	minSlowSamples = 20
)

// routeStats holds the outcomes on one route and the state of its tests. The
// baseline counts are the old version's, weighted by age.
type routeStats struct {
	baselineTotal, baselineFailed float64
	baselineTimed, baselineSlow   float64
	baselineLatency               [LatencyBuckets]float64
	newTotal, newFailed           uint64
	newTimed, newSlow             uint64
	tests
}

// tests holds the state of the three tests.
type tests struct {
	failures, slowness cusum
	shift              shiftSums
}

// peak returns the highest sum of all tests. The sums on latencies are multiplied by
// weight.
func (t *tests) peak(weight float64) float64 {
	return math.Max(t.failures.peak(), weight*math.Max(t.slowness.peak(), t.shift.peak()))
}

// allRoutesFactor is the threshold for the sums of all routes, as a multiple of that for
// one: they hold many more responses. Uncertain limits for slow responses balance each
// other out there, so that these sums aren't scaled down.
const allRoutesFactor = 1.25

// Judge tests whether the new version of a service fails more often or is slower
// than the old one. Its exported fields are set before use.
type Judge struct {
	// Now returns the time of the timer service.
	Now func() time.Time
	// From and To are the old and the new version. If From is gtconfig.OtherVersions,
	// every version but To is the old one.
	From, To string
	// Threshold is the log-likelihood ratio above which an alarm is raised.
	Threshold float64

	mu           sync.Mutex
	lastReports  map[string]Report
	routes       map[string]*routeStats
	all          tests
	lastDecay    time.Time
	alarm        *Alarm
	stepRequests uint64
	stepCompared uint64
	oldTimed     uint64 // the old version's timed responses on all routes
	alarmLevel   float64
}

// AddReport adds the outcomes counted since the last report of r's instance.
// Reports from before the last known restart of the instance, those that are older
// than the last one, and those of versions that are not compared are ignored.
func (j *Judge) AddReport(r Report) {
	if !j.compares(r.version) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.decayElapsed()
	defer j.updateAlarmLevel()
	last, ok := j.lastReports[r.instance]
	if ok && !r.isNewerThan(last) {
		return
	}
	if !ok || last.startMillis != r.startMillis {
		last = Report{}
	}
	j.lastReports[r.instance] = r
	for route, c := range r.routes {
		j.addCounts(route, r.version, c.since(last.routes[route]))
	}
}

// Forget makes the next report of an instance count as that of a new start, whatever time
// of start it has.
func (j *Judge) Forget(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.lastReports, instance)
}

// compares reports whether the version is the old or the new one.
func (j *Judge) compares(version string) bool {
	return version == j.From || version == j.To || j.From == gtconfig.OtherVersions
}

// AddOutcome adds one outcome that this node observed. Outcomes of versions
// that are not compared are ignored.
func (j *Judge) AddOutcome(route, version string, o Outcome) {
	if !j.compares(version) {
		return
	}
	c := Counts{total: 1}
	if o.failed {
		c.failed = 1
	} else if o.timed {
		c.latencyCounts[Bucket(o.latency)] = 1
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.decayElapsed()
	j.addCounts(route, version, c)
	j.updateAlarmLevel()
}

// decayElapsed decays the old version's outcomes by the time since the last
// decay, at most once a second. It sets up the judge on first use.
func (j *Judge) decayElapsed() {
	now := j.Now()
	if j.routes == nil {
		j.routes, j.lastReports, j.lastDecay = map[string]*routeStats{}, map[string]Report{}, now
	}
	elapsed := now.Sub(j.lastDecay)
	if elapsed < time.Second {
		return
	}
	j.lastDecay = now
	j.decay(math.Exp2(-float64(elapsed) / float64(baselineHalfLife)))
}

// decay multiplies the weight of the old version's outcomes by factor. It leaves
// enough of them for a comparison after the old version's last request.
func (j *Judge) decay(factor float64) {
	for _, rs := range j.routes {
		if rs.baselineTotal*factor < 2*minSlowSamples {
			continue
		}
		rs.baselineTotal *= factor
		rs.baselineFailed *= factor
		for i := range rs.baselineLatency {
			rs.baselineLatency[i] *= factor
		}
	}
}

// addCounts adds outcomes of the old version to the baseline, and tests those of
// the new version against it.
func (j *Judge) addCounts(route, version string, c Counts) {
	if c.total == 0 {
		return
	}
	rs := j.routes[route]
	if rs == nil {
		rs = &routeStats{}
		j.routes[route] = rs
	}
	if version != j.To {
		rs.addBaseline(c)
		j.oldTimed += c.timed()
		return
	}
	j.stepRequests += c.total
	rs.newTotal += c.total
	rs.newFailed += c.failed
	baseline := math.Max(minFailureBaseline, upperRate(rs.baselineFailed, rs.baselineTotal))
	ratios := likelihoodRatios(c.failed, c.total, baseline)
	if rs.failures.add(ratios) > j.Threshold {
		j.raise(rs.failureAlarm(route))
	}
	if j.all.failures.add(ratios) > allRoutesFactor*j.Threshold {
		j.raise(j.sum().failureAlarm(allRoutes))
	}
	j.stepCompared += c.failed + j.testSlowness(route, rs, c)
}

func (rs *routeStats) addBaseline(c Counts) {
	rs.baselineTotal += float64(c.total)
	rs.baselineFailed += float64(c.failed)
	for i, n := range c.latencyCounts {
		rs.baselineLatency[i] += float64(n)
	}
}

// testSlowness tests the latencies in c, counted for the new version, against the
// baseline, and returns how many are evidence: also those on a route with few requests, once
// the old version's latencies are known on others.
func (j *Judge) testSlowness(route string, rs *routeStats, c Counts) uint64 {
	firstSlow, baselineTimed := rs.slowBucket()
	if baselineTimed < minSlowSamples && j.oldTimed >= minSlowSamples {
		return c.timed()
	}
	if baselineTimed < minSlowSamples {
		return 0
	}
	slow, total := countSlow(c.latencyCounts, firstSlow)
	rs.newTimed += total
	rs.newSlow += slow
	rs.baselineTimed, rs.baselineSlow = baselineTimed, 0
	for i := firstSlow; i < LatencyBuckets; i++ {
		rs.baselineSlow += rs.baselineLatency[i]
	}
	baseline := math.Max(minSlowBaseline, upperRate(rs.baselineSlow, baselineTimed))
	ratios := likelihoodRatios(slow, total, baseline)
	if slowWeight*rs.slowness.add(ratios) > j.Threshold {
		j.raise(rs.slownessAlarm(route))
	}
	if j.all.slowness.add(ratios) > allRoutesFactor*j.Threshold {
		j.raise(j.sum().slownessAlarm(allRoutes))
	}
	if baselineTimed >= minShiftSamples {
		j.testShift(route, rs, c, baselineTimed)
	}
	return total
}

// testShift tests the whole histogram of the latencies in c, counted for the new version,
// against the baseline.
func (j *Judge) testShift(route string, rs *routeStats, c Counts, baselineTimed float64) {
	ratios := rs.shiftRatios(c.latencyCounts, baselineTimed)
	if slowWeight*rs.shift.add(ratios) > j.Threshold {
		j.raise(rs.slownessAlarm(route))
	}
	if j.all.shift.add(ratios) > allRoutesFactor*j.Threshold {
		j.raise(j.sum().slownessAlarm(allRoutes))
	}
}

// sum returns the outcomes of all routes.
func (j *Judge) sum() *routeStats {
	all := &routeStats{}
	for _, rs := range j.routes {
		all.baselineTotal += rs.baselineTotal
		all.baselineFailed += rs.baselineFailed
		all.baselineTimed += rs.baselineTimed
		all.baselineSlow += rs.baselineSlow
		all.newTotal += rs.newTotal
		all.newFailed += rs.newFailed
		all.newTimed += rs.newTimed
		all.newSlow += rs.newSlow
	}
	return all
}

// slowBucket returns the index of the first latency bucket that counts as slow,
// and the weight of the old version's timed responses from which it is computed.
func (rs *routeStats) slowBucket() (int, float64) {
	timed := 0.0
	for _, n := range rs.baselineLatency {
		timed += n
	}
	cumulative := 0.0
	for i, n := range rs.baselineLatency {
		if cumulative += n; cumulative >= slowQuantile*timed {
			return min(Bucket(time.Duration(slowFactor*float64(BucketLimit(i))))+1, LatencyBuckets-1), timed
		}
	}
	return LatencyBuckets - 1, timed
}

// countSlow returns the number of responses from bucket firstSlow on, and of all.
func countSlow(latencyCounts [LatencyBuckets]uint64, firstSlow int) (slow, total uint64) {
	for i, n := range latencyCounts {
		total += n
		if i >= firstSlow {
			slow += n
		}
	}
	return slow, total
}

// raise records an alarm unless there is one already.
func (j *Judge) raise(a Alarm) {
	if j.alarm == nil {
		j.alarm = &a
	}
}

// Alarm returns the first alarm against the new version, and whether there is
// one.
func (j *Judge) Alarm() (Alarm, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.alarm == nil {
		return Alarm{}, false
	}
	return *j.alarm, true
}

// updateAlarmLevel sets the alarm level to the highest sum of all tests as a
// fraction of the threshold.
func (j *Judge) updateAlarmLevel() {
	j.alarmLevel = j.all.peak(1) / (allRoutesFactor * j.Threshold)
	for _, rs := range j.routes {
		j.alarmLevel = max(j.alarmLevel, rs.peak(slowWeight)/j.Threshold)
	}
}

// AlarmLevel returns the alarm level, which is how near the evidence against
// the new version is to an alarm: 0 is not at all, above 1 is an alarm.
func (j *Judge) AlarmLevel() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.alarmLevel
}

// StartStep resets the numbers that StepRequests and StepCompared return.
func (j *Judge) StartStep() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stepRequests, j.stepCompared = 0, 0
}

// StepRequests returns the number of requests that the new version has finished
// since the last StartStep.
func (j *Judge) StepRequests() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stepRequests
}

// StepCompared returns the number of requests of the new version since the last
// StartStep that are evidence: they failed, or their latency was counted while the old
// version's latencies were known.
func (j *Judge) StepCompared() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stepCompared
}

// HasBaseline reports whether the old version's latencies are known.
func (j *Judge) HasBaseline() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.oldTimed >= minSlowSamples
}

// HasTraffic reports whether either version has had a request on any route.
func (j *Judge) HasTraffic() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.routes) > 0
}
