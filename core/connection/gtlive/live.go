// Package gtlive decides whether an open connection may carry a request. A
// connection can go silent for good while new ones work, and nobody is told;
// so a request that may not be repeated is sent only on a connection that has
// shown life a short time before.
//
// # Usage
//
//	live := &gtlive.State{Now: timer.Time}
//	live.Heard()
//	switch live.Check(repeatable) {
//	case gtlive.Use: ...
//	case gtlive.Ping: ...
//	case gtlive.Drop: ...
//	}
package gtlive

import (
	"sync"
	"time"
)

const (
	// Fresh is how long after the last byte a connection counts as alive.
	Fresh = 500 * time.Millisecond
	// FreshRepeatable is the same for requests that may be repeated.
	FreshRepeatable = 5 * time.Second
	// MaxIdle is how long an idle connection is kept.
	MaxIdle = 30 * time.Second
	// PingLimit is how long a ping may take.
	PingLimit = 300 * time.Millisecond
	// Beat is how often the serving node sends a sign of life while a request
	// is being worked on.
	Beat = 500 * time.Millisecond
	// Silence is how long a request in flight may go without a sign of life.
	Silence = 1800 * time.Millisecond
)

// Verdict says what to do with an idle connection.
type Verdict int

// The verdicts.
const (
	// Use means that the request may be sent at once.
	Use Verdict = iota
	// Ping means that the connection must answer a ping first.
	Ping
	// Drop means that the connection is too old to be worth a ping.
	Drop
)

// State is what is known of one connection's life.
type State struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	mu    sync.Mutex
	heard time.Time
}

// Heard records that a byte came in.
func (s *State) Heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = s.Now()
}

// Idle returns the time since the last byte.
func (s *State) Idle() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Now().Sub(s.heard)
}

// Check decides about the next request.
func (s *State) Check(repeatable bool) Verdict {
	idle := s.Idle()
	fresh := Fresh
	if repeatable {
		fresh = FreshRepeatable
	}
	switch {
	case idle <= fresh:
		return Use
	case idle <= MaxIdle:
		return Ping
	default:
		return Drop
	}
}
