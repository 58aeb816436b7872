package gtdelta

import "time"

// FromStore names the store as the source of a version.
const FromStore = "store"

// Arrival tells how a version reached this node, for logs and metrics.
type Arrival struct {
	from   string
	heard  time.Time
	loaded time.Time
}

// NewArrival returns the arrival of a version whose files came from an instance, or
// FromStore. The node heard of the version, or of a lower one that it then fetched, and had
// its files at these times.
func NewArrival(from string, heard, loaded time.Time) Arrival {
	return Arrival{from: from, heard: heard, loaded: loaded}
}

// From returns the instance that the files came from, or FromStore.
func (a Arrival) From() string { return a.from }

// FetchTime returns the time from the first word of the version until its files were here.
func (a Arrival) FetchTime() time.Duration { return a.loaded.Sub(a.heard) }

// Loaded returns the time at which the files were here.
func (a Arrival) Loaded() time.Time { return a.loaded }
