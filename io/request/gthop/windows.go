package gthop

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/io/connection/gtsocket"
)

// windows reads a request body that is forwarded in windows. The goroutine that forwards the
// body uses it, except for the fields under the lock.
type windows struct {
	hold     *Hold
	r        *http.Request
	entry    *gtinflight.Entry
	limit    int
	deadline time.Time
	stream   *gtstream.Body
	unsent   [][]byte // read and not forwarded
	current  []byte   // forwarded last; its memory is used for the next window
	all      [][]byte // the whole body, once it is kept
	size     int      // bytes read
	ended    bool

	mu       sync.Mutex
	extended bool
	stopped  bool
}

// OpenBody returns the body of a request: whole, in segments, or as a stream whose first window
// has been read. A body with at most whole bytes is whole. Until the stream is forwarded, it
// fails like ReadBody. deadline also bounds the reading of the stream.
func (h *Hold) OpenBody(r *http.Request, entry *gtinflight.Entry, reading gtstream.Reading, limit, whole int, deadline time.Time) ([][]byte, *gtstream.Body, error) {
	upTo := gtstream.WindowBytes
	switch reading {
	case gtstream.Whole:
		segments, err := h.ReadBody(r, entry, limit, deadline)
		return segments, nil, err
	case gtstream.Probed:
		upTo = whole + 1
	default:
	}
	segments, ended, err := h.readUpTo(r, entry, limit, upTo, deadline)
	if err != nil || ended {
		return segments, nil, err
	}
	return nil, h.newStream(r, entry, limit, deadline, segments), nil
}

// OpenPeerBody returns the stream of a body that a peer sends in windows, none of which has
// been read. It reserves one window.
func (h *Hold) OpenPeerBody(r *http.Request, entry *gtinflight.Entry, limit int, deadline time.Time) (*gtstream.Body, error) {
	if r.ContentLength > int64(limit) {
		return nil, gtkind.New(gtkind.TooLarge, "request body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	h.joinBody()
	if err := h.awaitRoom(r.Context(), gtstream.WindowBytes, nil); err != nil {
		return nil, errNoRoom
	}
	h.body.Complete()
	return h.newStream(r, entry, limit, deadline, nil), nil
}

// newStream returns the stream of a body of which the given segments have been read.
func (h *Hold) newStream(r *http.Request, entry *gtinflight.Entry, limit int, deadline time.Time, segments [][]byte) *gtstream.Body {
	w := &windows{hold: h, r: r, entry: entry, limit: limit, deadline: deadline, unsent: segments, stream: gtstream.NewBody(r.ContentLength, time.Now)}
	for _, b := range segments {
		w.size += len(b)
	}
	w.stream.Read, w.stream.Interrupt, w.stream.KeepAll, w.stream.Rewind = w.read, w.interrupt, w.keepAll, w.rewind
	h.stream = w.stream
	entry.BeginStream(func() { w.stream.Drop(gtstream.ShutDown) })
	return w.stream
}

// read returns the next window.
func (w *windows) read() ([]byte, gtstream.Cause, error) {
	if len(w.unsent) > 0 {
		if w.all == nil {
			w.hold.body.Release(int64(cap(w.current)))
		}
		w.current, w.unsent = w.unsent[0], w.unsent[1:]
		return w.current, gtstream.None, nil
	}
	if w.ended {
		return nil, gtstream.None, io.EOF
	}
	if w.current == nil {
		w.current = make([]byte, gtstream.WindowBytes)
	}
	w.extendDeadline()
	b := w.current[:cap(w.current)]
	n, err := w.fill(b)
	w.size += n
	switch {
	case err != nil && err != io.EOF:
		return nil, w.causeOf(err), err
	case w.size > w.limit:
		return nil, gtstream.TooLarge, errTooLarge
	case err == io.EOF:
		w.ended = true
		w.stream.MarkComplete()
		if n == 0 {
			return nil, gtstream.None, io.EOF
		}
	}
	return b[:n], gtstream.None, nil
}

// errTooLarge ends the reading of a body that exceeds the limit.
var errTooLarge = errors.New("request body exceeds the limit")

// fill reads into b until it is full or the body ends.
func (w *windows) fill(b []byte) (int, error) {
	w.hold.body.Resume()
	defer w.hold.body.Complete()
	filled := 0
	for filled < len(b) {
		n, err := w.r.Body.Read(b[filled:])
		w.hold.body.Moved(n)
		w.stream.Moved(n)
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// extendDeadline lets the body be read until the deadline of its request, in place of the
// server's timeout for reading a request: the backend server may read it slowly.
func (w *windows) extendDeadline() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.extended && !w.stopped {
		gtsocket.SetReadDeadline(w.r.Context(), w.deadline)
	}
	w.extended = true
}

// interrupt ends a read that waits, and all further ones.
func (w *windows) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	gtsocket.InterruptRead(w.r.Context())
}

// causeOf returns why the body could not be read.
func (w *windows) causeOf(err error) gtstream.Cause {
	switch {
	case w.hold.body.IsDropped():
		return gtstream.DroppedForMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return gtstream.DeadlinePassed
	default:
		return gtstream.SenderLeft
	}
}

// keepAll reads the rest of a body of which nothing has been forwarded. Like ReadBody it is
// interrupted by a shutdown.
func (w *windows) keepAll() error {
	w.entry.BeginReading(w.interrupt)
	err := w.readRest()
	if !w.entry.EndReading() && err != nil {
		return gtkind.New(gtkind.Leaving, "this node shuts down before the request body has arrived")
	}
	return err
}

func (w *windows) readRest() error {
	w.extendDeadline()
	segments := w.unsent
	for !w.ended {
		if err := w.hold.awaitRoom(w.r.Context(), segmentBytes, nil); err != nil {
			return errNoRoom
		}
		b := make([]byte, segmentBytes)
		n, err := w.fill(b)
		w.size += n
		switch {
		case err == io.EOF:
			w.ended = true
		case err != nil && w.hold.body.IsDropped():
			return errNoRoom
		case errors.Is(err, os.ErrDeadlineExceeded):
			return gtkind.New(gtkind.Expired, "deadline passed before the request body has arrived")
		case err != nil:
			return gtkind.Wrap(err, gtkind.BadRequest, "read the request body")
		}
		if w.size > w.limit {
			return gtkind.New(gtkind.TooLarge, "request body is larger than %d bytes", w.limit)
		}
		if n > 0 {
			segments = append(segments, b[:n])
		}
	}
	w.all = segments
	w.rewind()
	return nil
}

// rewind makes read begin with the first byte again.
func (w *windows) rewind() { w.unsent, w.current = slices.Clone(w.all), nil }
