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
)

// TuneGC configures the garbage collector of this process for a node that may
// use the given number of bytes; 0 means no limit.
func TuneGC(available int64) {
	if available == 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(maxMemoryBytes)
		return
	}
	debug.SetGCPercent(gcPercentLimited)
	debug.SetMemoryLimit(min(maxMemoryBytes, available*heapPercent/100))
}
