package gtera

import "sync"

// Latest holds the latest era of the store that this process knows of. Its exported field is
// set before use.
type Latest struct {
	// OnRise is called with each era that follows a known one, and with that one. It must
	// not block.
	OnRise func(from, to int64)

	mu    sync.Mutex
	era   int64
	known bool
}

// See records that the store was seen in an era. It reports whether the era is outdated, as a
// later one is known.
func (l *Latest) See(era int64) (outdated bool) {
	l.mu.Lock()
	from, rose := l.era, l.known && era > l.era
	outdated = l.known && era < l.era
	if !outdated {
		l.era, l.known = era, true
	}
	l.mu.Unlock()
	if rose && l.OnRise != nil {
		l.OnRise(from, era)
	}
	return outdated
}

// Era returns the latest era, and whether one is known.
func (l *Latest) Era() (era int64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era, l.known
}
