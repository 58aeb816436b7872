package gtnode

import (
	"time"

	"godwittide/core/process/gtcapacity"
	"godwittide/core/request/gtroute"
)

// observeServed passes a response of the backend server to the estimator, without the time
// of calls that the server made through this node.
func (n *Node) observeServed(route string, concurrency int, start, end time.Time) {
	switch own, finding := n.calls.Own(route, start, end); finding {
	case gtcapacity.Known:
		n.capacity.Observe(route, concurrency, own, end)
	case gtcapacity.Changed:
		n.capacity.Forget(route)
	case gtcapacity.Unknown:
	}
}

// learnedCapacity returns what was learned of the backend server. The service time of the
// route includes the calls that its requests make.
func (n *Node) learnedCapacity(route string) gtroute.Capacity {
	c := gtroute.NewCapacity(n.capacity.Speed(), n.capacity.Capacity(), n.capacity.Slowdown())
	if own := n.capacity.ServiceTime(route); own > 0 {
		c = c.WithServiceTime(own + n.calls.Nested(route))
	}
	return c
}
