package gtusage

import (
	"cmp"
	"slices"
	"sync"
)

// Batch is what one message says about the counts of one process. Accounts are
// numbered in the order in which the process first counted them, since the same names
// in each message would be most of its bytes. Counts are cumulative.
type Batch struct {
	// seq rises with each batch of the process. Of two counts for the same cell that
	// with the higher seq holds, since a count may be lowered.
	seq uint64
	// base is the number of names that the receiver is taken to know, names those that
	// follow.
	base    int
	names   []string
	windows []BatchWindow
}

// BatchWindow holds the counts of one window, as pairs of an account's number and its
// count. Final tells that the window has ended and all counts are in this and earlier
// batches.
type BatchWindow struct {
	window int64
	pairs  []int
	final  bool
}

// NewBatch returns a batch.
func NewBatch(seq uint64, base int, names []string, windows []BatchWindow) Batch {
	return Batch{seq, base, names, windows}
}

// NewBatchWindow returns the counts of a window.
func NewBatchWindow(window int64, pairs []int, final bool) BatchWindow {
	return BatchWindow{window, pairs, final}
}

// Seq returns the sequence number.
func (b Batch) Seq() uint64 { return b.seq }

// Base returns the number of names that the receiver is taken to know.
func (b Batch) Base() int { return b.base }

// Names returns the names with the numbers from Base on.
func (b Batch) Names() []string { return b.names }

// Windows returns the windows in order.
func (b Batch) Windows() []BatchWindow { return b.windows }

// Window returns the number of the window.
func (w BatchWindow) Window() int64 { return w.window }

// Pairs returns pairs of an account's number and its count.
func (w BatchWindow) Pairs() []int { return w.pairs }

// Final reports whether the window's counts are complete.
func (w BatchWindow) Final() bool { return w.final }

// Outbox decides what a node sends to each receiver: what is new since the last batch
// that the receiver acknowledged.
type Outbox struct {
	start int64

	mu        sync.Mutex
	seq       uint64
	names     []string
	numbers   map[string]int
	receivers map[string]*receiver
}

// receiver is what a receiver has acknowledged.
type receiver struct {
	// epoch identifies what the receiver has kept of this process; 0 if not known yet.
	epoch int64
	named int
	acked map[int64]map[int]int // count by number, by window
	// unsure holds the seq of the last batch with a count by number, by window, while
	// that isn't acknowledged: it may still arrive, so the count is sent again even if it
	// is back at the one acknowledged before.
	unsure map[int64]map[int]uint64
	final  map[int64]bool
}

func newReceiver() *receiver {
	return &receiver{acked: map[int64]map[int]int{}, unsure: map[int64]map[int]uint64{}, final: map[int64]bool{}}
}

// NewOutbox returns the outbox of a process that started at a time, which distinguishes
// it from other processes of the same node.
func NewOutbox(start int64) *Outbox {
	return &Outbox{start: start, numbers: map[string]int{}, receivers: map[string]*receiver{}}
}

// Start returns the start time of the process.
func (o *Outbox) Start() int64 { return o.start }

// Keep forgets all receivers but the given ones. One that is added again is sent all
// counts.
func (o *Outbox) Keep(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.receivers {
		if !slices.Contains(names, name) {
			delete(o.receivers, name)
		}
	}
}

// Reset forgets what a receiver has acknowledged.
func (o *Outbox) Reset(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.receivers, name)
}

// Next returns the batch for a receiver, and false if there is nothing new. Windows
// before current have ended.
func (o *Outbox) Next(name string, cells []Cell, current int64) (Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.receivers[name]
	if r == nil {
		r = newReceiver()
		o.receivers[name] = r
	}
	windows := map[int64]*BatchWindow{}
	at := func(k int64) *BatchWindow {
		if windows[k] == nil {
			windows[k] = &BatchWindow{window: k}
		}
		return windows[k]
	}
	live := map[int64]bool{}
	for _, c := range cells {
		live[c.window] = true
		i := o.number(c.account)
		n, acked := r.acked[c.window][i]
		if _, unsure := r.unsure[c.window][i]; !acked || unsure || n != c.count {
			at(c.window).pairs = append(at(c.window).pairs, i, c.count)
			r.noteSent(c.window, i, o.seq+1)
		}
	}
	for k := range live {
		// A window after one with counts is also declared complete, so that a candidate
		// doesn't wait for counts that there aren't.
		for _, ended := range []int64{k, k + 1} {
			if ended < current && !r.final[ended] {
				at(ended).final = true
			}
		}
	}
	r.prune(live)
	if len(windows) == 0 {
		return Batch{}, false
	}
	o.seq++
	b := Batch{seq: o.seq, base: r.named, names: slices.Clone(o.names[r.named:])}
	for _, w := range windows {
		b.windows = append(b.windows, *w)
	}
	slices.SortFunc(b.windows, func(x, y BatchWindow) int { return cmp.Compare(x.window, y.window) })
	return b, true
}

// number returns the number of an account. The caller holds the lock.
func (o *Outbox) number(account string) int {
	i, ok := o.numbers[account]
	if !ok {
		i = len(o.names)
		o.names = append(o.names, account)
		o.numbers[account] = i
	}
	return i
}

func (r *receiver) noteSent(window int64, i int, seq uint64) {
	if r.unsure[window] == nil {
		r.unsure[window] = map[int]uint64{}
	}
	r.unsure[window][i] = seq
}

// prune forgets windows that are no longer counted, and whose window before isn't.
func (r *receiver) prune(live map[int64]bool) {
	for k := range r.acked {
		if !live[k] {
			delete(r.acked, k)
		}
	}
	for k := range r.unsure {
		if !live[k] {
			delete(r.unsure, k)
		}
	}
	for k := range r.final {
		if !live[k] && !live[k-1] {
			delete(r.final, k)
		}
	}
}

// Acked records that a receiver has taken a batch, with the epoch that Sums.Add returned
// there. It returns false if the receiver has lost earlier batches since, as after its
// restart: it is then sent all counts.
func (o *Outbox) Acked(name string, b Batch, epoch int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.receivers[name]
	if r == nil {
		return true
	}
	if r.epoch != 0 && r.epoch != epoch {
		delete(o.receivers, name)
		return false
	}
	r.epoch = epoch
	r.named = max(r.named, b.base+len(b.names))
	for _, w := range b.windows {
		if r.acked[w.window] == nil {
			r.acked[w.window] = map[int]int{}
		}
		for i := 0; i+1 < len(w.pairs); i += 2 {
			r.acked[w.window][w.pairs[i]] = w.pairs[i+1]
			if r.unsure[w.window][w.pairs[i]] <= b.seq {
				delete(r.unsure[w.window], w.pairs[i])
			}
		}
		if w.final {
			r.final[w.window] = true
		}
	}
	return true
}
