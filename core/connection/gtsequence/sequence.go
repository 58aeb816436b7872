// Package gtsequence decides about the requests that a caller has sent on one connection
// without waiting for the responses (pipelining): which may start, whose response is written
// next, after which response the connection closes, and how much may be kept meanwhile.
//
// # Usage
//
//	s := gtsequence.New(gtsequence.Limits{Requests: 16, RequestBytes: 256 << 10, ResponseBytes: 1 << 20})
//	if s.MayRead() { head := read() }
//	if s.MayStart(idempotent, size) { n := s.Start(idempotent, size) }
//	if s.IsFront(n) { write(n, s.Closes(n, asked, draining)) }
//	s.Answer(n, closes)
//
// A request is only known here once it has started. One that has been read and may not start
// yet is kept by the reader, which reads nothing behind it.
package gtsequence

// Limits bounds what one connection may hold.
type Limits struct {
	// Requests is the maximum number of requests that have started and are not answered.
	Requests int
	// RequestBytes is the maximum size of the requests that have started ahead of their turn.
	RequestBytes int64
	// ResponseBytes is the maximum size of the responses that wait for their turn.
	ResponseBytes int
}

// request is a request that has started and is not answered.
type request struct {
	idempotent bool
	size       int64 // of the request
	kept       int   // bytes of its response that wait
}

// Sequence is the state of one connection. It has no lock: the connection is its own shard,
// and its user holds the connection's lock.
type Sequence struct {
	limits  Limits
	front   uint64 // number of the oldest request that is not answered
	started []request
	size    int64 // of the requests started ahead of their turn
	kept    int
	stopped bool // no further request starts
	ended   bool // no further response is written
}

// New returns the state of a connection on which no request has started.
func New(limits Limits) *Sequence { return &Sequence{limits: limits} }

// Len returns the number of requests that have started and are not answered.
func (s *Sequence) Len() int { return len(s.started) }

// MayRead reports whether the next request may be read. A request behind a non-idempotent one
// can't start before that is answered, so it is left unread.
func (s *Sequence) MayRead() bool {
	return !s.stopped && len(s.started) < s.limits.Requests && s.allIdempotent()
}

// MayStart reports whether a request that has been read may start. A request that is not
// idempotent, or too large to be kept ahead of its turn, starts once all ahead of it are
// answered. Without that the sender could not repeat a non-idempotent request when the
// connection closes before its response.
func (s *Sequence) MayStart(idempotent bool, size int64) bool {
	switch {
	case s.stopped:
		return false
	case len(s.started) == 0:
		return true
	default:
		return idempotent && s.MayRead() && size <= s.limits.RequestBytes-s.size
	}
}

// Start adds a request that may start, and returns its number.
func (s *Sequence) Start(idempotent bool, size int64) uint64 {
	if len(s.started) == 0 {
		size = 0 // not ahead of its turn
	}
	s.started = append(s.started, request{idempotent: idempotent, size: size})
	s.size += size
	return s.front + uint64(len(s.started)) - 1
}

// IsFront reports whether the response to a request is the next to be written.
func (s *Sequence) IsFront(n uint64) bool { return !s.ended && len(s.started) > 0 && n == s.front }

// Keep reports whether bytes of the response to a request may be kept until its turn, and
// counts them if so.
func (s *Sequence) Keep(n uint64, bytes int) bool {
	if s.ended || bytes > s.limits.ResponseBytes-s.kept {
		return false
	}
	s.kept += bytes
	s.started[n-s.front].kept += bytes
	return true
}

// Closes reports whether the response to the request at the front tells the caller that the
// connection closes. asked means that the request or its handler asked for that. A node that
// drains asks with every response; the last of the requests that have started then carries it,
// so that all of them are answered.
func (s *Sequence) Closes(n uint64, asked, draining bool) bool {
	if asked {
		s.stopped = true
		if !draining {
			return true
		}
	}
	return s.stopped && n == s.front+uint64(len(s.started))-1
}

// Answer removes the request at the front, whose response has been written. If its response
// closes the connection, the others are not answered any more.
func (s *Sequence) Answer(closes bool) {
	r := s.started[0]
	s.started = s.started[1:]
	s.front++
	s.size -= r.size
	s.kept -= r.kept
	if closes {
		s.End()
	}
}

// Stop lets no further request start.
func (s *Sequence) Stop() { s.stopped = true }

// Stopped reports whether no further request starts.
func (s *Sequence) Stopped() bool { return s.stopped }

// End drops the requests that are not answered. No further response is written.
func (s *Sequence) End() { s.stopped, s.ended, s.started = true, true, nil }

// Ended reports whether no further response is written: the connection closes.
func (s *Sequence) Ended() bool { return s.ended || s.stopped && len(s.started) == 0 }

func (s *Sequence) allIdempotent() bool {
	for _, r := range s.started {
		if !r.idempotent {
			return false
		}
	}
	return true
}
