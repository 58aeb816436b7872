// Package gtheap decides up to which memory the runtime lets the heap grow before it
// collects garbage, so that the memory of a node stays near what is in use.
//
// # Usage
//
//	limit := gtheap.NewUsage(live, other).Limit(maxBytes) // after each collection
//
// A percentage alone does not do: with a low one a small heap is collected often, and with
// a high one a large heap has several times the memory that is in use.
package gtheap

const (
	// minHeadroom is how much garbage a small heap may hold. A node at 100 requests a
	// second allocates some 4 MB a second.
	minHeadroom = 8 << 20
	// headroomPercent is how much garbage a large heap may hold, as a percentage of what
	// is in use.
	headroomPercent = 50
	// stepBytes is the step in which limits differ, as each change stops all threads for a
	// moment.
	stepBytes = 1 << 20
)

// Usage is the memory of a process after a collection.
type Usage struct {
	live, other int64
}

// NewUsage returns the memory of a process: the bytes of the heap that are in use, and those
// that the runtime counts beside the heap, as stacks, its own tables and gaps between objects.
func NewUsage(live, other int64) Usage { return Usage{live: live, other: other} }

// Limit returns the soft memory limit for the time until the next collection. It is at most
// maxBytes.
func (u Usage) Limit(maxBytes int64) int64 {
	limit := u.other + u.live + max(minHeadroom, u.live*headroomPercent/100)
	return min((limit+stepBytes-1)/stepBytes*stepBytes, maxBytes)
}
