// Package gtliveness decides whether an open connection may carry a request. A
// connection can stop delivering data without an error on either end, while new
// connections to the same address work. A non-idempotent request is therefore sent
// only on a connection that has received data, such as the response to a ping, a
// short time before.
//
// # Usage
//
//	liveness := &gtliveness.Liveness{Now: timer.Time}
//	liveness.Received()
//	switch liveness.Check(idempotent) {
//	case gtliveness.Use: ...
//	case gtliveness.Ping: ...
//	case gtliveness.Drop: ...
//	}
package gtliveness

import (
	"sync"
	"time"
)

const (
	// FreshNonIdempotent is how long after its last received byte a connection may
	// carry a non-idempotent request without a ping.
	FreshNonIdempotent = 500 * time.Millisecond
	// FreshIdempotent is the same for idempotent requests.
	FreshIdempotent = 5 * time.Second
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 30 * time.Second
	// PingTimeout is the timeout of a ping.
	PingTimeout = 300 * time.Millisecond
	// KeepAlivePeriod is the period of the keep-alives that the serving node sends
	// while a request is being processed.
	KeepAlivePeriod = 500 * time.Millisecond
	// KeepAliveTimeout is the keep-alive timeout of a request in flight: the
	// connection counts as lost if nothing is received for this long.
	KeepAliveTimeout = 1800 * time.Millisecond
)

// Verdict is the decision about an idle connection.
type Verdict int

// The verdicts.
const (
	// Use means that the request may be sent immediately.
	Use Verdict = iota
	// Ping means that a ping must succeed before the request is sent.
	Ping
	// Drop means that the connection has been idle for longer than
	// IdleTimeout: it is closed rather than pinged.
	Drop
)

// Liveness tracks when one connection last received data.
type Liveness struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time

	mu           sync.Mutex
	lastReceived time.Time
}

// Received records that data was received.
func (l *Liveness) Received() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = l.Now()
}

// Idle returns the time since data was last received.
func (l *Liveness) Idle() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Now().Sub(l.lastReceived)
}

// Check decides whether the connection may carry the next request.
func (l *Liveness) Check(idempotent bool) Verdict {
	idle := l.Idle()
	fresh := FreshNonIdempotent
	if idempotent {
		fresh = FreshIdempotent
	}
	switch {
	case idle <= fresh:
		return Use
	case idle <= IdleTimeout:
		return Ping
	default:
		return Drop
	}
}
