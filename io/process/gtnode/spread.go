package gtnode

import (
	"context"
	"math/rand/v2"
	"sync"

	"godwittide/core/process/gtmember"
)

const (
	// maxAsked bounds the nodes that are asked how far a version has got; of a
	// larger fleet a random part is asked.
	maxAsked = 256
	// askAtOnce bounds the questions under way.
	askAtOnce = 16
)

// spread asks the other nodes which version they have in force.
func (n *Node) spread(ctx context.Context) Spread {
	version := n.holder.Current().Set().Version()
	out := Spread{Version: version, Zones: map[string]ZoneStat{}}
	var alive []gtmember.Record
	for _, r := range n.table.All() {
		if r.Alive() {
			alive = append(alive, r)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	alive = alive[:min(len(alive), maxAsked)]
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, r := range alive {
		wg.Go(func() {
			slots <- struct{}{}
			has := n.overlay.VersionOf(ctx, r) >= version
			<-slots
			mu.Lock()
			defer mu.Unlock()
			z := out.Zones[r.Zone()]
			z.Asked++
			out.Asked++
			if has {
				z.Reached++
				out.Reached++
			}
			out.Zones[r.Zone()] = z
		})
	}
	wg.Wait()
	return out
}
