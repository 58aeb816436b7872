package gtcanary

import "fmt"

// allRoutes stands for all routes in an alarm. No route has this name.
const allRoutes = "*"

// Alarm is the finding that the new version is worse than the old one.
type Alarm struct {
	route    string
	metric   string
	rate     float64
	baseline float64
	requests uint64
	counts   AlarmCounts
}

// AlarmCounts are the new version's outcomes on the route of an alarm.
type AlarmCounts struct {
	total, failed, timed, slow uint64
}

// Total returns the number of requests.
func (c AlarmCounts) Total() uint64 { return c.total }

// Failed returns the number of requests that failed.
func (c AlarmCounts) Failed() uint64 { return c.failed }

// Timed returns the number of requests whose latency was counted.
func (c AlarmCounts) Timed() uint64 { return c.timed }

// Slow returns the number of timed requests that were slow.
func (c AlarmCounts) Slow() uint64 { return c.slow }

// Counts returns the new version's outcomes on the route of the alarm.
func (a Alarm) Counts() AlarmCounts { return a.counts }

// String returns the metric, the route and the rates of both versions as text.
func (a Alarm) String() string {
	route := a.route
	switch route {
	case "":
		route = "other routes"
	case allRoutes:
		route = "all routes"
	}
	return fmt.Sprintf("%s on route %s: %.1f%% of %d requests, old version %.1f%%", a.metric, route, 100*a.rate, a.requests, 100*a.baseline)
}

// failureAlarm returns the alarm for failures on the route.
func (rs *routeStats) failureAlarm(route string) Alarm {
	return Alarm{
		route: route, metric: "failures", requests: rs.newTotal, counts: rs.counts(),
		rate: ratio(float64(rs.newFailed), float64(rs.newTotal)), baseline: ratio(rs.baselineFailed, rs.baselineTotal),
	}
}

// slownessAlarm returns the alarm for slow answers on the route.
func (rs *routeStats) slownessAlarm(route string) Alarm {
	return Alarm{
		route: route, metric: "slow answers", requests: rs.newTimed, counts: rs.counts(),
		rate: ratio(float64(rs.newSlow), float64(rs.newTimed)), baseline: ratio(rs.baselineSlow, rs.baselineTimed),
	}
}

// counts returns the new version's outcomes.
func (rs *routeStats) counts() AlarmCounts {
	return AlarmCounts{total: rs.newTotal, failed: rs.newFailed, timed: rs.newTimed, slow: rs.newSlow}
}
