// Package gtoffset converts readings of a peer's clock into those of the own one, so that
// the result is never too late, however long messages take.
//
// # Usage
//
//	sent := clock()                  // before the peer is asked for its clock
//	offset.Set(sent, reading)        // when it has answered
//	own, ok := offset.Convert(asOf, clock())
//
// The peer has read its clock after the question was sent. So a time on its clock was, on
// the own clock, no earlier than its distance from that reading tells, counted from the
// time of sending. The network time makes the result earlier and never later.
package gtoffset

import (
	"sync"
	"time"
)

const (
	// RefreshPeriod is how often a peer is asked for its clock.
	RefreshPeriod = 10 * time.Second
	// maxAge is how long an answer is used, as the rates of clocks differ.
	maxAge = 30 * time.Second
	// minGain is by how much a time must be later than what the peer has, to be worth
	// a message.
	minGain = 100 * time.Millisecond
)

// Peer holds what is known of a peer's clock, and of the latest time that it has told. Its
// zero value is ready for use, and safe for concurrent use.
type Peer struct {
	mu            sync.Mutex
	sent, reading time.Duration
	known         bool
	asOf          time.Duration
	told          bool
	asked         time.Duration
	hasAsked      bool
}

// ShouldAsk reports whether the peer is to be asked for its clock at now, and records that
// it is.
func (p *Peer) ShouldAsk(now, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasAsked && now-p.asked < period {
		return false
	}
	p.asked, p.hasAsked = now, true
	return true
}

// Set records a reading of the peer's clock, in response to a question that was sent at the
// given time of the own clock.
func (p *Peer) Set(sent, reading time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent, p.reading, p.known = sent, reading, true
}

// Convert returns the time of the own clock for a time of the peer's, and records that the
// peer has it. It returns false if no recent reading of the peer's clock is known.
func (p *Peer) Convert(asOf, now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known || now-p.sent > maxAge {
		return 0, false
	}
	own := p.sent + asOf - p.reading
	if !p.told || own > p.asOf {
		p.asOf, p.told = own, true
	}
	return own, true
}

// Lacks reports whether a time of the own clock is news to the peer, and records that it is
// sent to it.
func (p *Peer) Lacks(asOf time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told && asOf < p.asOf+minGain {
		return false
	}
	p.asOf, p.told = asOf, true
	return true
}
