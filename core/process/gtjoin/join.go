// Package gtjoin decides what a node that has just started asks the store, so that
// a fleet that starts at once asks it little more than a single node does.
//
// # Usage
//
//	sleep(gtjoin.LoadDelay(rand.Float64()))
//	... // read the configuration once, if peers have not told of one
//	sleep(gtjoin.Delay(rand.Float64()))
//	switch gtjoin.Decide(gtjoin.NewView(joined, hasConfig)) {
//	case gtjoin.Claim: ... // watch the store and be a contact for the others
//	case gtjoin.Load: ...  // read the configuration once
//	}
//
// Before the delay a node looks for contacts in the store, by a read that may be
// outdated and costs little. The delays of many nodes are exponentially distributed,
// as in the suppression of multicast feedback: the first one ends well before most
// others, whatever their number, and its node becomes the contact that the others
// find.
package gtjoin

import (
	"math"
	"time"
)

const (
	// MaxDelay is the longest delay.
	MaxDelay = time.Second
	// spread is the exponent of the distribution. The first of up to e^spread nodes
	// is not closely followed by others.
	spread = 10
)

// Delay returns how long a node waits for others before it claims to be a contact;
// random is a number in [0,1).
func Delay(random float64) time.Duration {
	share := math.Log1p(random*math.Expm1(spread)) / spread
	return time.Duration(share * float64(MaxDelay))
}

const (
	// minLoadDelay is the time that peers get to tell a node of their configuration.
	minLoadDelay = 30 * time.Millisecond
	// loadDelaySpread is the time over which the reads of many nodes are spread.
	loadDelaySpread = 100 * time.Millisecond
)

// LoadDelay returns how long a node waits for a configuration from its peers before it
// reads one from the store, which may be outdated; random is a number in [0,1). It is
// short, as callers wait when all nodes have started again: none of them has one.
func LoadDelay(random float64) time.Duration {
	return minLoadDelay + time.Duration(random*float64(loadDelaySpread))
}

// Action is what a node does at the end of its delay.
type Action int

// The actions.
const (
	// Nothing means that the node has joined its peers and has a configuration.
	Nothing Action = iota
	// Load means that the node has joined its peers, but none of them has told it of a
	// configuration: all of them may have just started. It reads the configuration
	// once.
	Load
	// Claim means that no peer has answered: the node watches the store and is a
	// contact for the others until it knows its rank among them.
	Claim
)

// View is what the node knows at the end of its delay.
type View struct {
	joined    bool
	hasConfig bool
}

// NewView returns a view. joined tells that a peer has answered, hasConfig that the
// node has a configuration.
func NewView(joined, hasConfig bool) View { return View{joined: joined, hasConfig: hasConfig} }

// Decide returns the action for a view.
func Decide(v View) Action {
	switch {
	case !v.joined:
		return Claim
	case !v.hasConfig:
		return Load
	default:
		return Nothing
	}
}
