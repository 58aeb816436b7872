package gtnode

import (
	"context"
	"math/rand/v2"
	"sync"

	"godwittide/core/process/gtmember"
)

const (
	// maxQueriedNodes is the maximum number of nodes that are asked for their
	// version; of a larger fleet, a random sample is asked.
	maxQueriedNodes = 256
	// maxConcurrentQueries is the maximum number of nodes asked at the same time.
	maxConcurrentQueries = 16
)

// queryPropagation asks nodes of the fleet for their version and counts those that
// have this node's active version or a higher one. A node that doesn't respond
// counts as not reached.
func (n *Node) queryPropagation(ctx context.Context) Propagation {
	version := n.holder.Current().Snapshot().Version()
	result := Propagation{Version: version, Zones: map[string]ZonePropagation{}}
	var alive []gtmember.Record
	for _, r := range n.table.All() {
		if r.Alive() {
			alive = append(alive, r)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = alive[:min(len(alive), maxQueriedNodes)]
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, r := range alive {
		wg.Go(func() {
			slots <- struct{}{}
			reached := n.overlay.ActiveVersionOf(ctx, r) >= version
			<-slots
			mu.Lock()
			defer mu.Unlock()
			z := result.Zones[r.Zone()]
			z.Asked++
			result.Asked++
			if reached {
				z.Reached++
				result.Reached++
			}
			result.Zones[r.Zone()] = z
		})
	}
	wg.Wait()
	return result
}
