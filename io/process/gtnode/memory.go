package gtnode

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"godwittide/core/process/gtheap"
)

const (
	// gcPercent is the garbage collection target where memory is not limited. It
	// lets the heap grow to several times the live memory, which is small, since
	// each collection raises the tail latency.
	gcPercent = 800
	// gcPercentLimited is the garbage collection target where memory is limited. It bounds
	// small heaps; others are bounded by the soft memory limit, see gtheap.
	gcPercentLimited = 200
	// maxMemoryBytes is the upper bound of the Go runtime's soft memory limit, near
	// which it collects more often.
	maxMemoryBytes = 200 << 20
	// heapPercent is the percentage of the available memory that the soft memory
	// limit allows; stacks, kernel buffers and the program need the rest.
	heapPercent = 45
	// heapMargin is what the soft memory limit allows beyond the budget of bytes where the
	// available memory is not known: for the node's own tables, and garbage.
	heapMargin = 50 << 20
)

// TuneGC configures the garbage collector of this process for a node that may
// use the given number of bytes, where 0 means no limit, of which it holds up to budget bytes
// for others.
func TuneGC(available, budget int64) {
	if available == 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(min(maxMemoryBytes, budget+heapMargin))
		return
	}
	debug.SetGCPercent(gcPercentLimited)
	t := &heapTuner{maxBytes: min(maxMemoryBytes, available*heapPercent/100)}
	t.adjust()
	t.awaitCollection()
}

// heapTuner sets the soft memory limit of the process after each collection. Its methods
// are called by one goroutine at a time.
type heapTuner struct {
	maxBytes int64
	limit    int64
}

// awaitCollection has the limit adjusted after the next collection, and after each that
// follows. At rest, without collections, it costs nothing.
func (t *heapTuner) awaitCollection() {
	type sentinel struct{ _ [32]byte } // of its own, not in a block with other small objects
	runtime.AddCleanup(new(sentinel), func(t *heapTuner) {
		t.adjust()
		t.awaitCollection()
	}, t)
}

// adjust sets the limit for what is in use now.
func (t *heapTuner) adjust() {
	if limit := readUsage().Limit(t.maxBytes); limit != t.limit {
		t.limit = limit
		debug.SetMemoryLimit(limit)
	}
}

// readUsage reads the memory of the process.
func readUsage() gtheap.Usage {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return gtheap.NewUsage(value(0), value(1)-value(2)-value(3)-value(4))
}
