package gtadmission

import "godwittide/core/version/gtconfig"

// Reason is why a request was refused, at once or after it had waited.
type Reason int

// The reasons.
const (
	// TooLong means that the expected wait was too long for a request without a target.
	TooLong Reason = iota
	// PastTarget means that the response would come after the target, and that no slot was
	// left for such requests.
	PastTarget
	// PastDeadline means that the response would come after the deadline.
	PastDeadline
	// QueueFull means that the queue had no place.
	QueueFull
	// Displaced means that a request of another sender took the place.
	Displaced
	// WarmingUp means that the rate limit of the warm-up was reached.
	WarmingUp
	// CallsRefused means that calls that the request would make are likely to be refused.
	CallsRefused
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason's name, as metrics and logs have it.
func (r Reason) String() string {
	return [ReasonCount]string{"toolong", "pasttarget", "pastdeadline", "queuefull", "displaced", "warmingup", "callsrefused"}[r]
}

// Counts are the numbers of requests by reason and class.
type Counts struct {
	waiting   [gtconfig.ClassCount]int
	refused   [ReasonCount][gtconfig.ClassCount]uint64
	dropped   [ReasonCount][gtconfig.ClassCount]uint64
	overflows uint64
}

// Waiting returns how many requests of a class wait now.
func (c Counts) Waiting(class gtconfig.Class) int { return c.waiting[class] }

// Refused returns how many requests of a class were refused at once.
func (c Counts) Refused(r Reason, class gtconfig.Class) uint64 { return c.refused[r][class] }

// Dropped returns how many requests of a class were refused after they had waited.
func (c Counts) Dropped(r Reason, class gtconfig.Class) uint64 { return c.dropped[r][class] }

// Overflows returns how many requests the backend server had no room for, as it reset their
// connection or never responded.
func (c Counts) Overflows() uint64 { return c.overflows }

// Counts returns the numbers of requests by reason and class.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	for i := range g.queues {
		q := &g.queues[i]
		for _, t := range q.returned {
			c.waiting[t.request.class]++
		}
		for _, f := range q.ring {
			for _, t := range f.tickets {
				c.waiting[t.request.class]++
			}
		}
	}
	return c
}

// Refused returns how many requests the gate has refused with the kind Full, at once or
// after they had waited.
func (g *Gate) Refused() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := uint64(0)
	for r := range ReasonCount {
		for class := range gtconfig.ClassCount {
			n += g.counts.refused[r][class] + g.counts.dropped[r][class]
		}
	}
	return n
}
