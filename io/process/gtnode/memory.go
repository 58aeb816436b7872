package gtnode

import "runtime/debug"

const (
	// gcPercent is the garbage collection target where memory is not limited. It
	// lets the heap grow to several times the live memory, which is small, since
	// each collection raises the tail latency.
	gcPercent = 800
	// gcPercentLimited is the garbage collection target where memory is limited.
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
	debug.SetMemoryLimit(min(maxMemoryBytes, available*heapPercent/100))
}
