// Package gtthrottle decides at the node that a request starts from whether it is worth
// sending: whether servers of its service are likely to admit it, and whether a backend
// server may run a request whose calls to other services are likely to be refused.
//
// # Usage
//
//	throttle := &gtthrottle.Throttle{Now: timer.Time}
//	flow := gtthrottle.NewFlow(service, class, nested)
//	if wait, ok := throttle.Admit(flow, account, remaining); !ok { ... } // refuse with the wait
//	throttle.Record(gtthrottle.NewAnswer(flow, instance).WithRefusal(wait))
//
//	calls := &gtthrottle.Calls{Now: timer.Time}
//	calls.RecordRun()                    // a request began to run at the backend server
//	calls.RecordCall(service, refused)   // it called another service
//	share := calls.AdmittedShare()       // of requests whose calls are likely to be admitted
package gtthrottle

import (
	"math"
	"time"

	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

const (
	// memory is how long the refusal of a server counts.
	memory = 10 * time.Second
	// severalServers is the number of servers that must have refused before a node
	// throttles itself: one that is full is no reason not to send to the others.
	severalServers = 2
	// refusalFactor is applied to the share of requests that are sent when a server refuses
	// one, and growth is added to it with each answer that is no refusal. With these, servers
	// that are kept busy refuse 1 to 2 of 100 attempts; the goal is under 2.
	refusalFactor = 0.87
	growth        = 0.0002
	// cutInterval is the shortest time between two reductions of the share: refusals in quick
	// succession have one cause.
	cutInterval = 50 * time.Millisecond
	// spareGrowth is added for each second between two answers, of which maxGap counts at
	// most, while the mean load that servers report is below spareLoad of their limits, which
	// seldom is so while they are kept busy.
	spareGrowth = 0.3
	maxGap      = time.Second
	spareLoad   = 0.6
	// loadWeight is the weight of the newest load in that mean.
	loadWeight = 0.4
	// minShare is the share that is always sent.
	minShare = 0.05
	// minWait is the shortest time to wait, waitDivisor the divisor of the remaining time
	// that gives the longest: callers ignore longer ones.
	minWait     = 60 * time.Millisecond
	waitDivisor = 3
	// spreadStep is the step between the places of successive times to wait.
	spreadStep = math.Phi - 1
)

// Flow is the requests to one service that its servers treat alike.
type Flow struct {
	service string
	class   gtconfig.Class
	nested  bool
}

// NewFlow returns the requests of a class to a service. nested tells whether backend servers
// make them while they run others: these go first at the servers.
func NewFlow(service string, class gtconfig.Class, nested bool) Flow {
	return Flow{service: service, class: class, nested: nested}
}

func (f Flow) key() string {
	if f.nested {
		return f.service + " nested"
	}
	return f.service + " " + f.class.String()
}

// Answer is how a server answered an attempt: it admitted or refused it.
type Answer struct {
	flow     Flow
	instance string
	refused  bool
	wait     time.Duration
	load     gtroute.Load
	only     bool
}

// NewAnswer returns the answer of a server that admitted an attempt.
func NewAnswer(f Flow, instance string) Answer { return Answer{flow: f, instance: instance} }

// WithRefusal returns a copy of a server that refused the attempt, with the time to wait
// that it told, or 0.
func (a Answer) WithRefusal(wait time.Duration) Answer {
	a.refused, a.wait = true, wait
	return a
}

// WithLoad returns a copy with the load that the server reported.
func (a Answer) WithLoad(l gtroute.Load) Answer {
	a.load = l
	return a
}

// WithOnly returns a copy that records whether the server is the only one of its service.
func (a Answer) WithOnly(only bool) Answer {
	a.only = only
	return a
}

// Throttle throttles the requests that a node sends, by service and class. Its state is
// sharded by these.
type Throttle struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time

	flows     gtshard.Map[*flow]
	throttled gtshard.Map[uint64]
}

// flow is what a node knows of one service and class.
type flow struct {
	share      float64                 // of the requests that are sent
	last       [severalServers]refusal // of different servers
	senders    senders
	wait       time.Duration // told with the last refusal
	spread     float64
	refused    float64   // moving average of the share of answers that are refusals
	answeredAt time.Time // the last answer
	cutAt      time.Time // when the share was last lowered
	load       float64   // mean of what servers report, as a part of their limits
	usedAt     time.Time
}

// noteLoad records the load that a server reports.
func (f *flow) noteLoad(l gtroute.Load) {
	if l.Limit() > 0 {
		f.load += loadWeight * (float64(l.Busy())/float64(l.Limit()) - f.load)
	}
}

// refusal is the last refusal of one server.
type refusal struct {
	instance string
	at       time.Time
}

func (t *Throttle) withFlow(of Flow, fn func(*flow, time.Time)) {
	now := t.Now()
	k := of.key()
	t.flows.Do(k, func(m map[string]*flow) {
		f := m[k]
		if f == nil {
			f = &flow{share: 1, load: 1}
			m[k] = f
		}
		f.usedAt = now
		fn(f, now)
	})
}

// Admit reports whether a request of a sender, which is a client account or else a calling
// service, is sent. If not, it returns after which time its caller
// is to come back.
func (t *Throttle) Admit(of Flow, sender string, remaining time.Duration) (time.Duration, bool) {
	wait, ok := time.Duration(0), true
	t.withFlow(of, func(f *flow, now time.Time) {
		if f.senders.admits(sender, f.share, now) {
			return
		}
		wait, ok = f.nextWait(remaining), false
	})
	if !ok {
		k := of.class.String()
		t.throttled.Do(k, func(m map[string]uint64) { m[k]++ })
	}
	return wait, ok
}

// severalRefuse reports whether several servers have refused within the memory.
func (f *flow) severalRefuse(now time.Time) bool {
	for _, r := range f.last {
		if r.instance == "" || now.Sub(r.at) > memory {
			return false
		}
	}
	return true
}

// nextWait returns the time to wait for the next caller: the one that servers told, spread
// so that the callers don't come back at once.
func (f *flow) nextWait(remaining time.Duration) time.Duration {
	_, f.spread = math.Modf(f.spread + spreadStep)
	longest := max(minWait, remaining/waitDivisor)
	wait := max(minWait, f.wait)
	return min(longest, wait+time.Duration(f.spread*float64(wait)))
}

// Record records the answer to an attempt.
func (t *Throttle) Record(a Answer) {
	t.withFlow(a.flow, func(f *flow, now time.Time) {
		f.noteLoad(a.load)
		gap := now.Sub(f.answeredAt)
		f.answeredAt = now
		switch {
		case a.refused:
			f.wait = a.wait
			f.noteRefusal(refusal{a.instance, now}, a.only)
			if f.severalRefuse(now) && now.Sub(f.cutAt) >= cutInterval {
				f.share, f.cutAt = max(minShare, f.share*refusalFactor), now
			}
		case f.load < spareLoad:
			f.share = min(1, f.share+max(growth, spareGrowth*min(gap, maxGap).Seconds()))
		default:
			f.share = min(1, f.share+growth)
		}
	})
}

// noteRefusal keeps the refusal with the latest ones of other servers. That of the only
// server counts as those of several.
func (f *flow) noteRefusal(r refusal, only bool) {
	oldest := 0
	for i := range f.last {
		if f.last[i].instance == r.instance && !only {
			f.last[i] = r
			return
		}
		if f.last[i].at.Before(f.last[oldest].at) {
			oldest = i
		}
		if only {
			f.last[i] = r
		}
	}
	f.last[oldest] = r
}

// IsThrottling reports whether requests of the flow are throttled now, so
// that a request that one server refused isn't worth sending to another.
func (t *Throttle) IsThrottling(of Flow) bool {
	throttling := false
	t.withFlow(of, func(f *flow, _ time.Time) { throttling = f.share < 1 })
	return throttling
}

// Throttled returns how many requests of a class were not sent.
func (t *Throttle) Throttled(class gtconfig.Class) uint64 {
	n, _ := t.throttled.Get(class.String())
	return n
}

// Expire forgets the services that get no requests.
func (t *Throttle) Expire() {
	now := t.Now()
	t.flows.Each(func(m map[string]*flow) {
		for k, f := range m {
			if now.Sub(f.usedAt) > 2*memory {
				delete(m, k)
			}
		}
	})
}
