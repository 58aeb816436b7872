package gtnode

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
)

const (
	// recallSyncWait is how long a node that starts waits for the members of its zone,
	// before it reads earlier departures from the store itself.
	recallSyncWait = 200 * time.Millisecond
	// recallSyncCheck is the period in which it looks for them.
	recallSyncCheck = 50 * time.Millisecond
	// recallAskTimeout bounds the time until a watcher's response.
	recallAskTimeout = 600 * time.Millisecond
	// recallGather is how long a read waits for others that ask at the same time, as the
	// heartbeats of backend servers may be in step. Without it all but the first wait for the
	// second read.
	recallGather = 20 * time.Millisecond
	// minRecallPeriod is the least time between two reads for others, so that the reads
	// while a zone starts are bounded whatever its size: 150 a second in 15 zones, of 200
	// that the store allows. With 200 ms backend servers were in use 0.18 s later.
	minRecallPeriod = 100 * time.Millisecond
)

// recallReads reads the departures of backend servers for other instances. All that ask
// before a read begins share it, since a read that had begun before they asked might lack
// a departure. A read of one instance's departures costs less than one of all.
type recallReads struct {
	readOne func(ctx context.Context, instance string) ([]string, error)
	readAll func(ctx context.Context) (map[string][]string, error)
	// sleep waits for a time.
	sleep func(ctx context.Context, d time.Duration) error

	mu      sync.Mutex
	next    *recallRead
	running bool
}

// recallRead is one read, and the instances that have asked for it.
type recallRead struct {
	instances map[string]bool
	done      chan struct{}
	texts     map[string][]string
	err       error
}

// read returns the texts of the departures of an instance's backend server, from a read of
// the store that begins after this call. The reads end with runCtx.
func (r *recallReads) read(ctx, runCtx context.Context, instance string) ([]string, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &recallRead{instances: map[string]bool{}, done: make(chan struct{})}
	}
	mine := r.next
	mine.instances[instance] = true
	if !r.running {
		r.running = true
		go r.run(runCtx)
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.texts[instance], mine.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run performs the reads that are asked for, until there are none.
func (r *recallReads) run(ctx context.Context) {
	for {
		_ = r.sleep(ctx, recallGather)
		r.mu.Lock()
		current := r.next
		r.next = nil
		r.running = current != nil
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.texts, current.err = r.perform(ctx, current.instances)
		close(current.done)
		_ = r.sleep(ctx, minRecallPeriod-recallGather)
	}
}

func (r *recallReads) perform(ctx context.Context, instances map[string]bool) (map[string][]string, error) {
	if len(instances) > 1 {
		return r.readAll(ctx)
	}
	out := map[string][]string{}
	for instance := range instances {
		texts, err := r.readOne(ctx, instance)
		if err != nil {
			return nil, err
		}
		out[instance] = texts
	}
	return out, nil
}

// serveRecall returns the stored departures of an instance's backend server to a peer.
func (n *Node) serveRecall(ctx context.Context, instance string) ([]string, error) {
	if n.configStore == nil {
		return nil, errorx.RejectedOperation.New("this node has no store")
	}
	return n.recalls.read(ctx, n.runCtx, instance)
}

// earlierDepartures returns the stored departures of the own backend server. A watcher of
// the zone reads them for all nodes that start beside it; if none responds, this node reads
// them itself.
func (n *Node) earlierDepartures(ctx context.Context) ([]string, error) {
	if texts, err := n.askDepartures(ctx); err == nil {
		return texts, nil
	}
	return n.configStore.Departures(ctx, n.Settings.Node.Instance)
}

// askDepartures asks the first watcher of the zone other than this node for them.
func (n *Node) askDepartures(ctx context.Context) ([]string, error) {
	for waited := time.Duration(0); !n.overlay.HasSynced(); waited += recallSyncCheck {
		if waited >= recallSyncWait {
			return nil, errorx.TimeoutElapsed.New("no peer is known yet")
		}
		if err := n.timer.Sleep(ctx, recallSyncCheck); err != nil {
			return nil, err
		}
	}
	var others []gtmember.Record
	for _, r := range n.table.ZoneMembers(n.Settings.Node.Zone) {
		if r.Instance() != n.Settings.Node.Instance {
			others = append(others, r)
		}
	}
	first := gtrank.First("watch", 1, others)
	if len(first) == 0 {
		return nil, errorx.IllegalState.New("no other instance of the zone is known")
	}
	ctx, cancel := context.WithTimeout(ctx, recallAskTimeout)
	defer cancel()
	return n.overlay.AskDepartures(ctx, first[0])
}
