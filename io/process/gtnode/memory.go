package gtnode

import "runtime/debug"

const (
	// gcPercent lets the heap grow to several times what is live between two
	// collections. Live memory is small, and each collection costs the tail of
	// the latency.
	gcPercent = 800
	// gcPercentShared is the same on a machine whose memory is shared out.
	gcPercentShared = 200
	// memoryLimit is the size in bytes near which collections become as
	// frequent as they must.
	memoryLimit = 200 << 20
	// memoryPart is the part of the memory that is given, in percent, which the
	// heap may take: stacks, buffers of the kernel and the program need the rest.
	memoryPart = 45
)

// TuneMemory sets the collector of this process to what a node needs, on a
// machine that gives it so many bytes; 0 means enough.
func TuneMemory(given int64) {
	if given == 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimit)
		return
	}
	debug.SetGCPercent(gcPercentShared)
	debug.SetMemoryLimit(min(memoryLimit, given*memoryPart/100))
}
