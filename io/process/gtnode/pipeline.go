package gtnode

import (
	"sync/atomic"
)

// pipelines counts the requests that callers send ahead.
type pipelines struct {
	requests atomic.Int64
	deepest  atomic.Int64 // since the gauges were updated
}

// recordRequest records a request that was read while others of its connection were not
// answered, with the number of them and itself.
func (p *pipelines) recordRequest(depth int) {
	p.requests.Add(1)
	for {
		deepest := p.deepest.Load()
		if int64(depth) <= deepest || p.deepest.CompareAndSwap(deepest, int64(depth)) {
			return
		}
	}
}

// updatePipelineMetrics reports the requests since the last call.
func (n *Node) updatePipelineMetrics() {
	n.scope.Counter("pipelined").Inc(n.pipelines.requests.Swap(0))
	n.scope.Gauge("pipeline_depth").Update(float64(n.pipelines.deepest.Swap(0)))
}

// logTakeOver logs that a caller sends requests ahead.
func (n *Node) logTakeOver(addr string) {
	n.Log.Debug().Str("from", addr).Msg("request: caller sends requests ahead")
}
