package gtadmission

import (
	"math"
	"slices"
	"strconv"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// maxFlows is the number of senders with a queue of their own in each level. Further
	// senders share sharedFlows queues by the hash of their name.
	maxFlows    = 256
	sharedFlows = 64
	// minCost and maxCost bound the cost of a request, as a multiple of the mean service
	// time of its level.
	minCost, maxCost = 0.1, 10.0
	// shareTimeConstant is the time over which the served fraction of a sender is measured.
	shareTimeConstant = 10 * time.Second
	// minServedFraction is the fraction of a sender's requests that is served at least, as
	// a part of that of all requests of its level. The guarantee is a quarter; requests that
	// are refused after the decision take some of the rest.
	minServedFraction = 0.3
	// displaceRatio is how many times as much as another a sender must have been served for
	// its waiting request to lose its place to that one's.
	displaceRatio = 1.25
	// minOffered is the number of requests from which a served fraction is compared.
	minOffered = 4
	// runningTimeConstant is the time over which the running requests of a level are
	// averaged.
	runningTimeConstant = time.Second
)

// share is a decaying count of offered and served requests.
type share struct {
	offered, served float64
	updatedAt       time.Time
}

// decay reduces the counts by the time since the last update.
func (s *share) decay(now time.Time) {
	if dt := now.Sub(s.updatedAt); dt > 0 {
		f := math.Exp(-dt.Seconds() / shareTimeConstant.Seconds())
		s.offered *= f
		s.served *= f
	}
	s.updatedAt = now
}

// flow is the queue of one sender in a level.
type flow struct {
	name    string
	tickets []*Ticket // by the time that they are due
	deficit float64
	share   share
}

// queue holds the requests of one level that wait. Its senders share the level by deficit
// round robin: each gets the same service time, whatever it offers.
type queue struct {
	flows    map[string]*flow
	ring     []*flow   // the flows with waiting requests, in the order of their turns
	returned []*Ticket // requests that came back at the time that they were told
	waiting  int
	emptyAt  time.Time // when the queue was last empty
	credit   float64   // of the level's guaranteed share, in requests
	share    share
	running  int
	// meanRunning is the moving average of running.
	meanRunning float64
	// meanLatency is the moving average of the latency of the level's requests.
	meanLatency time.Duration
	// deviation is the moving average of how much longer than meanLatency requests take. Shorter
	// latencies don't raise it, as it would then be high after a server has become faster.
	deviation time.Duration
	seenAt    time.Time
}

// flow returns the flow of a request, and creates it if there is none.
func (q *queue) flow(name string, now time.Time) *flow {
	if f := q.flows[name]; f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = map[string]*flow{}
	}
	if len(q.flows) >= maxFlows {
		q.forgetIdle(now)
	}
	if len(q.flows) >= maxFlows {
		name = "# " + strconv.FormatUint(gtshard.Hash("flow", name)%sharedFlows, 10)
		if f := q.flows[name]; f != nil {
			return f
		}
	}
	f := &flow{name: name, share: share{updatedAt: now}}
	q.flows[name] = f
	return f
}

// forgetIdle deletes the flows without recent requests.
func (q *queue) forgetIdle(now time.Time) {
	for name, f := range q.flows {
		if f.share.decay(now); len(f.tickets) == 0 && f.share.offered < 1 {
			delete(q.flows, name)
		}
	}
}

// offer counts a request that arrived.
func (q *queue) offer(f *flow, now time.Time) {
	q.share.decay(now)
	f.share.decay(now)
	q.share.offered++
	f.share.offered++
	q.seenAt = now
}

// serve counts a request that was granted.
func (q *queue) serve(f *flow, now time.Time) {
	q.share.decay(now)
	f.share.decay(now)
	q.share.served++
	f.share.served++
}

// isUnderserved reports whether a flow gets a smaller part of its requests served than is
// guaranteed.
func (q *queue) isUnderserved(f *flow) bool {
	if f.share.offered < minOffered || q.share.offered < minOffered {
		return false
	}
	return f.share.served*q.share.offered < minServedFraction*q.share.served*f.share.offered
}

// insert adds a ticket that waits.
func (q *queue) insert(t *Ticket) {
	q.waiting++
	if t.returned {
		q.returned = append(q.returned, t)
		return
	}
	f := t.flow
	if len(f.tickets) == 0 {
		q.ring = append(q.ring, f)
	}
	i, _ := slices.BinarySearchFunc(f.tickets, t.request.due(), func(o *Ticket, d time.Time) int {
		if o.request.due().After(d) {
			return 1
		}
		return -1
	})
	f.tickets = slices.Insert(f.tickets, i, t)
}

// remove removes a ticket, and reports whether it waited.
func (q *queue) remove(t *Ticket) bool {
	if i := slices.Index(q.returned, t); i >= 0 {
		q.returned = slices.Delete(q.returned, i, i+1)
		q.waiting--
		return true
	}
	i := slices.Index(t.flow.tickets, t)
	if i < 0 {
		return false
	}
	t.flow.tickets = slices.Delete(t.flow.tickets, i, i+1)
	q.waiting--
	if len(t.flow.tickets) == 0 {
		t.flow.deficit = 0
		q.ring = slices.DeleteFunc(q.ring, func(f *flow) bool { return f == t.flow })
	}
	return true
}

// pick removes and returns the next ticket that fits, or nil if there is none: one that
// came back as it was told, then one of a sender that gets less than is guaranteed, then
// by deficit round robin. The cost of a ticket is relative to the level's mean.
func (q *queue) pick(fits func(*Ticket) bool, cost func(*Ticket) float64) *Ticket {
	if t := firstFit(q.returned, fits); t != nil {
		q.remove(t)
		return t
	}
	for _, f := range q.ring {
		if len(q.ring) > 1 && q.isUnderserved(f) {
			if t := firstFit(f.tickets, fits); t != nil {
				q.remove(t)
				return t
			}
		}
	}
	for skipped := 0; skipped < len(q.ring); {
		f := q.ring[0]
		t := firstFit(f.tickets, fits)
		if t != nil {
			if c := cost(t); f.deficit >= c {
				f.deficit -= c
				q.remove(t)
				return t
			}
			f.deficit++
			skipped = 0
		} else {
			skipped++
		}
		copy(q.ring, q.ring[1:])
		q.ring[len(q.ring)-1] = f
	}
	return nil
}

func firstFit(tickets []*Ticket, fits func(*Ticket) bool) *Ticket {
	for _, t := range tickets {
		if fits(t) {
			return t
		}
	}
	return nil
}

// displaceable returns the most recent waiting ticket of the sender that was served most, if
// that was clearly more than f and it isn't underserved; otherwise nil. The queue is short,
// so that the senders in it at one time don't show who asks for more than its part.
func (q *queue) displaceable(f *flow, now time.Time) *Ticket {
	most := f
	for _, o := range q.ring {
		o.share.decay(now)
		if o.share.served > most.share.served {
			most = o
		}
	}
	if most == f || most.share.served < displaceRatio*f.share.served+1 || q.isUnderserved(most) {
		return nil
	}
	return slices.MaxFunc(most.tickets, func(a, b *Ticket) int { return a.since.Compare(b.since) })
}

// ahead returns how many of the waiting requests of the level are served before a further
// one of the flow: by turns, each other flow has no more of them than this one.
func (q *queue) ahead(f *flow) int {
	n := len(q.returned)
	for _, o := range q.ring {
		n += min(len(o.tickets), len(f.tickets)+1)
	}
	return n
}

// lost calls drop for each waiting ticket for which isLost reports true.
func (q *queue) lost(isLost func(*Ticket) bool, drop func(*Ticket)) {
	if q.waiting == 0 {
		return
	}
	lost := appendMatching(nil, q.returned, isLost)
	for _, f := range q.ring {
		lost = appendMatching(lost, f.tickets, isLost)
	}
	for _, t := range lost {
		q.remove(t)
		drop(t)
	}
}

func appendMatching(out, list []*Ticket, match func(*Ticket) bool) []*Ticket {
	for _, t := range list {
		if match(t) {
			out = append(out, t)
		}
	}
	return out
}
