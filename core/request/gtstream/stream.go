// Package gtstream decides which request bodies are forwarded in windows instead of being kept
// whole, and what a failure of such a body means: whether the request may be sent again, and
// with which error it ends.
//
// # Usage
//
//	switch gtstream.Choose(idempotent, hasKey, length, wholeBytes) {
//	case gtstream.Whole:   // read the whole body before the request is routed
//	case gtstream.Probed:  // read wholeBytes and one more byte; a shorter body is whole
//	case gtstream.Windows: // read the first window, and the rest while it is forwarded
//	}
//	body := gtstream.NewBody(length, now)
//
// A Body is the course of one such request at one node. Its function fields talk to the sender
// of the body; the package reads no socket.
package gtstream

import (
	"io"
	"sync"
	"time"

	"godwittide/core/request/gtkind"
)

const (
	// DefaultWholeBytes is the size up to which every body is read whole.
	DefaultWholeBytes = 256 << 10
	// WindowBytes is the size of a window, which is what a hop keeps of a body.
	WindowBytes = 64 << 10
	// StallTime is the time in which a body that holds one of the backend server's slots while
	// none is free moves minMoved bytes, or is dropped.
	StallTime = time.Second
	minMoved  = 4 << 10
)

// Reading is how a body is read.
type Reading int

// The ways to read a body.
const (
	// Whole means that the body is read to its end before its request is routed.
	Whole Reading = iota
	// Probed means that the body has an unknown length, which decides.
	Probed
	// Windows means that the body is read and forwarded in windows.
	Windows
)

// Choose returns how the body of a request is read. length is -1 if it is unknown. The body
// of an idempotent request is kept for a retry. That of a request with an idempotency key is
// kept because a repeat of the key with another body is refused, which needs the hash of the
// body before the request runs.
func Choose(idempotent, hasKey bool, length, wholeBytes int64) Reading {
	switch {
	case idempotent || hasKey:
		return Whole
	case length < 0:
		return Probed
	case length > wholeBytes:
		return Windows
	default:
		return Whole
	}
}

// Cause is why a body ended before it was complete.
type Cause int

// The causes.
const (
	// None means that the body has not failed.
	None Cause = iota
	// SenderLeft means that the sender closed the connection, or sent a malformed body.
	SenderLeft
	// DeadlinePassed means that the body had not arrived by the deadline.
	DeadlinePassed
	// TooLarge means that a body of unknown length exceeds the limit.
	TooLarge
	// DroppedForMemory means that the body made no progress while memory was short.
	DroppedForMemory
	// ShutDown means that this node shut down before the body had arrived.
	ShutDown
	// DroppedForSlot means that the body made no progress while no slot of the backend server
	// was free.
	DroppedForSlot
)

// String returns the cause as in error messages.
func (c Cause) String() string {
	switch c {
	case SenderLeft:
		return "its sender left, or sent a malformed body"
	case DeadlinePassed:
		return "it had not arrived before the deadline"
	case TooLarge:
		return "it is larger than the limit"
	case DroppedForMemory:
		return "it made no progress while memory was short"
	case ShutDown:
		return "this node shut down before it had arrived"
	case DroppedForSlot:
		return "it made no progress while the backend server had no free slot"
	default:
		return "no cause is known"
	}
}

// Name returns the cause as in metrics and logs.
func (c Cause) Name() string {
	switch c {
	case SenderLeft:
		return "sender"
	case DeadlinePassed:
		return "deadline"
	case TooLarge:
		return "size"
	case DroppedForMemory:
		return "memory"
	case ShutDown:
		return "shutdown"
	case DroppedForSlot:
		return "slot"
	default:
		return "none"
	}
}

// Body is a request body that is forwarded in windows. Its function fields are set before use.
// One goroutine forwards it at a time.
type Body struct {
	// Read returns the next window, which is valid until the next call, or io.EOF and no bytes
	// at the end. Another error means that the body failed with the returned cause.
	Read func() ([]byte, Cause, error)
	// Interrupt ends a Read that waits, and all further ones.
	Interrupt func()
	// Begin is called once, right before the first window is forwarded, or before the rest of
	// the body is read to be kept. It may be nil.
	Begin func(inWindows bool)
	// KeepAll reads the rest of the body and keeps it, for a receiver that reads it whole.
	// Afterwards Rewind makes Read begin anew.
	KeepAll func() error
	// Rewind makes Read begin with the first byte again, after KeepAll.
	Rewind func()

	length int64
	now    func() time.Time

	mu        sync.Mutex
	onEnd     func()
	taken     bool // a window has been forwarded that is not kept
	kept      bool // the whole body is in memory
	complete  bool // the last byte has been read
	stopped   bool
	cause     Cause
	reading   bool      // a window is being read
	readSince time.Time // of that window
	mark      time.Time // of the last progress, moved on by the time in which nothing was read
	pausedAt  time.Time
	waited    time.Duration // while windows were read
	moved     int64
	markMoved int64
}

// NewBody returns a body of the given length, or -1, whose first window is in memory.
func NewBody(length int64, now func() time.Time) *Body {
	t := now()
	return &Body{length: length, now: now, mark: t, pausedAt: t}
}

// Length returns the length of the body, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Next returns the next window, or io.EOF at the end. Another error has the kind Canceled, as
// the failure is no evidence about the backend server.
func (b *Body) Next() ([]byte, error) {
	if b.begin() && b.Begin != nil {
		b.Begin(true)
	}
	b.setReading(true)
	window, cause, err := b.Read()
	b.setReading(false)
	switch err {
	case nil:
		return window, nil
	case io.EOF:
		b.MarkComplete()
		return nil, io.EOF
	default:
		return nil, b.fail(cause)
	}
}

// fail records the cause of a failure and returns its error. After a Stop, a read that fails
// has been interrupted, unless the sender has left: the context of its request, whose end stops
// the body, may end before the read that noticed it returns.
func (b *Body) fail(cause Cause) error {
	defer b.end() // which takes the lock, and so runs after the lock is free
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cause == None && (!b.stopped || cause == SenderLeft) {
		b.cause = cause
	}
	return b.failureLocked()
}

// NotifyEnd sets what is called when nothing more of the body is read, possibly more than once.
func (b *Body) NotifyEnd(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onEnd = fn
}

// end tells that nothing more is read.
func (b *Body) end() {
	b.mu.Lock()
	fn := b.onEnd
	b.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// begin marks the body as taken and reports whether it was not before.
func (b *Body) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept || b.taken {
		return false
	}
	b.taken = true
	return true
}

// setReading tells whether a window is being read. Only that time counts as stalled: while a
// window is written, the sender of the body can't do anything.
func (b *Body) setReading(reading bool) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if reading {
		b.mark, b.readSince = b.mark.Add(now.Sub(b.pausedAt)), now
	} else {
		b.pausedAt = now
		b.waited += now.Sub(b.readSince)
	}
	b.reading = reading
}

// Waited returns how long the sender of the body was waited for since the first window was
// forwarded. That time is not the backend server's.
func (b *Body) Waited() time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waited
}

// Cause returns why the body ended early, or None.
func (b *Body) Cause() Cause {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cause
}

// Moved tells that n bytes of the body have arrived.
func (b *Body) Moved(n int) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.moved += int64(n)
	if b.moved-b.markMoved >= minMoved {
		b.mark, b.markMoved = now, b.moved
	}
}

// IsStalled reports whether the body is waited for and made no progress for StallTime.
func (b *Body) IsStalled() bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading && now.Sub(b.mark) >= StallTime
}

// MarkComplete tells that the last byte has been read.
func (b *Body) MarkComplete() {
	b.mu.Lock()
	b.complete = true
	b.mu.Unlock()
	b.end()
}

// IsComplete reports whether the body was read to its end, so that its connection may carry
// another request.
func (b *Body) IsComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// CanBeSentAgain reports whether all of the body is at hand still, so that another attempt may
// send it.
func (b *Body) CanBeSentAgain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.taken && !b.stopped
}

// WasForwarded reports whether a window has been forwarded.
func (b *Body) WasForwarded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken && !b.kept
}

// Keep reads the rest of the body and keeps it.
func (b *Body) Keep() error {
	b.mu.Lock()
	kept := b.kept
	b.mu.Unlock()
	if kept {
		return nil
	}
	if b.Begin != nil {
		b.Begin(false)
	}
	err := b.KeepAll()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.stopped = true
		return err
	}
	b.kept, b.complete = true, true
	return nil
}

// IsKept reports whether the whole body is in memory.
func (b *Body) IsKept() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept
}

// Restart makes Next begin with the first byte for another attempt.
func (b *Body) Restart() {
	b.mu.Lock()
	kept := b.kept
	b.mu.Unlock()
	if kept {
		b.Rewind()
	}
}

// Stop ends the forwarding: a Next that waits fails. It does nothing once the body is complete.
func (b *Body) Stop() { b.stop(None) }

// Expire ends the forwarding because the deadline has passed. That is the cause only if the
// sender of the body is waited for, and not the receiver.
func (b *Body) Expire() {
	b.mu.Lock()
	cause := None
	if b.reading {
		cause = DeadlinePassed
	}
	b.mu.Unlock()
	b.stop(cause)
}

// Drop ends the forwarding for a cause.
func (b *Body) Drop(cause Cause) { b.stop(cause) }

func (b *Body) stop(cause Cause) {
	b.mu.Lock()
	ends := !b.complete && !b.stopped && b.cause == None
	if ends {
		b.stopped, b.cause = true, cause
	}
	b.mu.Unlock()
	if ends {
		b.Interrupt()
		b.end()
	}
}

// failureLocked returns the error of a body that has ended early.
func (b *Body) failureLocked() error {
	if b.cause == None {
		return gtkind.New(gtkind.Canceled, "the request body was no longer wanted")
	}
	return gtkind.New(gtkind.Canceled, "the request body was cut off: %s", b.cause)
}

// Failure returns the error of a body that failed by itself, or nil.
func (b *Body) Failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cause == None {
		return nil
	}
	return b.failureLocked()
}

// Outcome returns the error that the caller gets for an attempt that failed with err. Attempts
// whose body failed end as Canceled, so that they count neither against the backend server nor
// against its version. To a caller that is still there, a deadline is a deadline, and all else
// may have run.
func (b *Body) Outcome(err error) error {
	if gtkind.Of(err) != gtkind.Canceled {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	detail := gtkind.Detail(err)
	switch {
	case b.cause == SenderLeft, b.cause == None && b.complete:
		return err
	case b.cause == DeadlinePassed:
		return gtkind.Wrap(err, gtkind.Deadline, "%s", detail)
	default:
		return gtkind.Wrap(err, gtkind.ConnectionLost, "%s", detail)
	}
}
