package gtthrottle

import (
	"math"
	"sync"
	"time"
)

const (
	// callsMemory is the time constant of the ratio of calls to requests.
	callsMemory = 10 * time.Second
	// callsPeriod is the time between two changes of the share of requests that are admitted.
	callsPeriod = 250 * time.Millisecond
	// minCallsShare is the share that is always admitted, so that the end of a shortage is
	// found out.
	minCallsShare = 0.1
	// callsRecovery is the factor by which the share grows in a period without refusals,
	// and callsStep what is added to it.
	callsRecovery = 1.05
	callsStep     = 0.01
	// minCalls is the decayed number of calls below which a service is forgotten.
	minCalls = 0.05
	// maxCallsRefused is the number of refused calls for each request up to which the share
	// grows.
	maxCallsRefused = 0.02
	// maxCalledServices bounds the number of services whose calls are counted.
	maxCalledServices = 256
)

// Calls learns how many calls to other services the requests of the local backend server
// make, and how many of those are refused. A request whose call is refused fails, so that
// what was done for it is wasted.
type Calls struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time

	mu        sync.Mutex
	runs      float64 // requests that ran, decaying
	called    map[string]float64
	recent    map[string]calls // in the current period
	periodEnd time.Time
	decayedAt time.Time
	share     float64 // 0 means that it was never lowered
}

// calls counts the calls to one service.
type calls struct{ made, refused int }

// RecordRun records a request that began to run at the local backend server.
func (c *Calls) RecordRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
	c.runs++
}

// RecordCall records a call of the local backend server to a service, and whether it was
// refused in the end.
func (c *Calls) RecordCall(service string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
	if c.called[service] == 0 && len(c.called) >= maxCalledServices {
		return
	}
	c.called[service]++
	n := c.recent[service]
	n.made++
	if refused {
		n.refused++
	}
	c.recent[service] = n
}

// AdmittedShare returns the share of requests whose calls are likely to be admitted.
func (c *Calls) AdmittedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
	return c.share
}

// update decays the sums and closes the period if it has ended.
func (c *Calls) update() {
	now := c.Now()
	if c.called == nil {
		c.called, c.recent = map[string]float64{}, map[string]calls{}
		c.share, c.periodEnd, c.decayedAt = 1, now.Add(callsPeriod), now
	}
	if now.Before(c.periodEnd) {
		return
	}
	c.closePeriod()
	c.periodEnd = now.Add(callsPeriod)
	decay := math.Exp(-now.Sub(c.decayedAt).Seconds() / callsMemory.Seconds())
	c.decayedAt = now
	c.runs *= decay
	for s := range c.called {
		if c.called[s] *= decay; c.called[s] < minCalls {
			delete(c.called, s)
		}
	}
	clear(c.recent)
}

// closePeriod lowers the share by the calls that a request is expected to have refused, or
// raises it if none was.
func (c *Calls) closePeriod() {
	refused := 0.0
	for s, n := range c.recent {
		if c.runs > 0 {
			refused += min(1, c.called[s]/c.runs) * float64(n.refused) / float64(n.made)
		}
	}
	if refused > maxCallsRefused {
		c.share = max(minCallsShare, c.share*(1-min(0.5, refused)))
		return
	}
	c.share = min(1, c.share*callsRecovery+callsStep)
}
