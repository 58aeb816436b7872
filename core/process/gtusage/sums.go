package gtusage

import (
	"cmp"
	"slices"
	"strconv"
	"sync/atomic"

	"godwittide/core/process/gtshard"
)

const (
	// MaxAccounts bounds the number of accounts of one process.
	MaxAccounts = 20_000
	// maxSources bounds the number of processes whose counts are kept.
	maxSources = 40_000
)

// Sums holds what a candidate knows of the counts of all processes.
type Sums struct {
	sources gtshard.Map[*source]
	// epoch is the epoch of the latest source.
	epoch atomic.Int64
}

// epochsPerMilli is the number of epochs for each millisecond between two starts of a
// candidate.
const epochsPerMilli = 1 << 20

// NewSums returns the sums of a candidate whose process started at a time, in
// milliseconds.
func NewSums(start int64) *Sums {
	s := &Sums{}
	s.epoch.Store(start * epochsPerMilli)
	return s
}

// source holds the counts of one process.
type source struct {
	// epoch differs from those of all other sources of this node and its earlier
	// processes.
	epoch    int64
	instance string
	start    int64
	names    []string
	windows  map[int64]*sourceWindow
}

type sourceWindow struct {
	cells map[int]cell
	final bool
}

type cell struct {
	count int
	seq   uint64
}

// Snapshot is all that is known of one process, for another candidate.
type Snapshot struct {
	instance string
	start    int64
	batch    Batch
}

// NewSnapshot returns a snapshot.
func NewSnapshot(instance string, start int64, b Batch) Snapshot { return Snapshot{instance, start, b} }

// Instance returns the instance of the process.
func (s Snapshot) Instance() string { return s.instance }

// Start returns the start time of the process.
func (s Snapshot) Start() int64 { return s.start }

// Batch returns the counts.
func (s Snapshot) Batch() Batch { return s.batch }

func sourceKey(instance string, start int64) string {
	return instance + " " + strconv.FormatInt(start, 36)
}

// Add adds a batch of a process. It returns the epoch of what is kept of that process, and
// false if the batch builds on names that aren't known here, as after a restart of this
// node; the sender then has to send all.
func (s *Sums) Add(instance string, start int64, b Batch) (epoch int64, ok bool) {
	key := sourceKey(instance, start)
	if _, known := s.sources.Get(key); !known && s.sources.Len() >= maxSources {
		return 0, false
	}
	s.update(instance, start, func(src *source) bool {
		if ok = src.learn(b); ok {
			src.add(b, func(old, n cell) bool { return n.seq >= old.seq })
			epoch = src.epoch
		}
		return ok
	})
	return epoch, ok
}

// Merge adds what another candidate knows of a process. Of two counts the higher holds,
// since their order isn't known; the process itself corrects them, if it runs.
func (s *Sums) Merge(v Snapshot) {
	s.update(v.instance, v.start, func(src *source) bool {
		b := v.batch
		if !src.learn(b) {
			return false
		}
		b.seq = 0
		src.add(b, func(old, n cell) bool { return n.count > old.count })
		return true
	})
}

// update changes a source, which it creates if there is none. A new one is kept if
// change returns true.
func (s *Sums) update(instance string, start int64, change func(src *source) bool) {
	key := sourceKey(instance, start)
	s.sources.Do(key, func(m map[string]*source) {
		src := m[key]
		if src == nil {
			src = &source{epoch: s.epoch.Add(1), instance: instance, start: start, windows: map[int64]*sourceWindow{}}
		}
		if change(src) {
			m[key] = src
		}
	})
}

// learn adds the names of a batch, and reports whether all numbers in it are known.
func (src *source) learn(b Batch) bool {
	size := max(len(src.names), b.base+len(b.names))
	if b.base < 0 || b.base > len(src.names) || size > MaxAccounts {
		return false
	}
	for _, w := range b.windows {
		if len(w.pairs)%2 != 0 {
			return false
		}
		for i := 0; i < len(w.pairs); i += 2 {
			if w.pairs[i] < 0 || w.pairs[i] >= size || w.pairs[i+1] < 0 {
				return false
			}
		}
	}
	if known := len(src.names) - b.base; known < len(b.names) {
		src.names = append(src.names, b.names[known:]...)
	}
	return true
}

// add stores the counts of a batch that replace earlier ones.
func (src *source) add(b Batch, replaces func(old, n cell) bool) {
	for _, w := range b.windows {
		sw := src.windows[w.window]
		if sw == nil {
			sw = &sourceWindow{cells: map[int]cell{}}
			src.windows[w.window] = sw
		}
		for i := 0; i < len(w.pairs); i += 2 {
			n := cell{w.pairs[i+1], b.seq}
			if old, ok := sw.cells[w.pairs[i]]; !ok || replaces(old, n) {
				sw.cells[w.pairs[i]] = n
			}
		}
		sw.final = sw.final || w.final
	}
}

// Counts returns the sums of a window, without accounts that have none.
func (s *Sums) Counts(window int64) map[string]int {
	out := map[string]int{}
	s.sources.Each(func(m map[string]*source) {
		for _, src := range m {
			if w := src.windows[window]; w != nil {
				for i, c := range w.cells {
					if c.count > 0 {
						out[src.names[i]] += c.count
					}
				}
			}
		}
	})
	return out
}

// Pending returns the instances that had requests in the window or the one before it
// and haven't declared the window complete. A process whose instance isn't alive, or
// has started anew, won't.
func (s *Sums) Pending(window int64, isAlive func(instance string) bool) []string {
	latest, pending := map[string]int64{}, map[string]int64{}
	s.sources.Each(func(m map[string]*source) {
		for _, src := range m {
			latest[src.instance] = max(latest[src.instance], src.start)
			if src.lacks(window) {
				pending[src.instance] = max(pending[src.instance], src.start)
			}
		}
	})
	var out []string
	for instance, start := range pending {
		if start == latest[instance] && isAlive(instance) {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}

// lacks reports whether counts of the window may still be on their way.
func (src *source) lacks(window int64) bool {
	if w := src.windows[window]; w != nil && (w.final || len(w.cells) > 0) {
		return !w.final
	}
	before := src.windows[window-1]
	return before != nil && len(before.cells) > 0
}

// AllStartedBy reports whether there are counts in a window, and all processes that have
// some started by a time.
func (s *Sums) AllStartedBy(window, start int64) bool {
	found, all := false, true
	s.sources.Each(func(m map[string]*source) {
		for _, src := range m {
			if w := src.windows[window]; w != nil && len(w.cells) > 0 {
				found, all = true, all && src.start <= start
			}
		}
	})
	return found && all
}

// Oldest returns the first window with counts, and whether there is one.
func (s *Sums) Oldest() (int64, bool) {
	oldest, ok := int64(0), false
	s.sources.Each(func(m map[string]*source) {
		for _, src := range m {
			for k, w := range src.windows {
				if len(w.cells) > 0 && (!ok || k < oldest) {
					oldest, ok = k, true
				}
			}
		}
	})
	return oldest, ok
}

// Snapshots returns all that is known, ordered by process.
func (s *Sums) Snapshots() []Snapshot {
	return s.snapshots(func(*source) bool { return true }, func(int64) bool { return true })
}

// SnapshotsOf returns the counts of one window of the processes that have counts in it and
// haven't declared it complete, ordered by process.
func (s *Sums) SnapshotsOf(window int64) []Snapshot {
	return s.snapshots(
		func(src *source) bool { return src.windows[window] != nil && !src.windows[window].final },
		func(k int64) bool { return k == window })
}

func (s *Sums) snapshots(hasSource func(*source) bool, hasWindow func(k int64) bool) []Snapshot {
	var out []Snapshot
	s.sources.Each(func(m map[string]*source) {
		for _, src := range m {
			if hasSource(src) {
				out = append(out, src.snapshot(hasWindow))
			}
		}
	})
	slices.SortFunc(out, func(a, b Snapshot) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.start, b.start))
	})
	return out
}

func (src *source) snapshot(hasWindow func(k int64) bool) Snapshot {
	b := Batch{names: slices.Clone(src.names)}
	for k, w := range src.windows {
		if !hasWindow(k) {
			continue
		}
		bw := BatchWindow{window: k, final: w.final}
		for i, c := range w.cells {
			bw.pairs = append(bw.pairs, i, c.count)
		}
		b.windows = append(b.windows, bw)
	}
	return Snapshot{src.instance, src.start, b}
}

// Prune deletes the counts of windows before the given one, and processes without any.
func (s *Sums) Prune(oldest int64) {
	s.sources.Each(func(m map[string]*source) {
		for key, src := range m {
			for k := range src.windows {
				if k < oldest {
					delete(src.windows, k)
				}
			}
			if len(src.windows) == 0 {
				delete(m, key)
			}
		}
	})
}
