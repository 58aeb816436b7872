package gtnode

import "runtime/debug"

const (
	// gcPercent lets the heap grow to several times what is live between two
	// collections. Live memory is small, and each collection costs the tail of
	// the latency.
	gcPercent = 800
	// memoryLimit is the size in bytes near which collections become as
	// frequent as they must.
	memoryLimit = 200 << 20
)

// TuneMemory sets the collector of this process to what a node needs.
func TuneMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
