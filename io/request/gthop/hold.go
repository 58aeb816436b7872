package gthop

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/io/connection/gtsocket"
)

const (
	// firstSegmentBytes and segmentBytes are the sizes of the segments in which a body is read.
	firstSegmentBytes = 16 << 10
	segmentBytes      = 64 << 10
	// roomTime is the longest time that a body waits, with the socket unread, for room in the
	// budget before it is refused.
	roomTime = 2 * time.Second
	// roomPeriod is the period at which a body or response that waits for room asks again.
	roomPeriod = 100 * time.Millisecond
)

// errNoRoom ends the reading of a body for which the budget has no room.
var errNoRoom = gtkind.New(gtkind.Full, "this node has no memory for the request body now")

// Hold is what one request holds of the budget of bytes. Only the goroutine of its request uses
// it. A nil Hold holds without a bound.
type Hold struct {
	budget *gtbudget.Budget
	ctx    context.Context // of the request, for its connection
	body   *gtbudget.Holder
	stream *gtstream.Body // of a body that is forwarded in windows, or nil
	waited bool           // for room, while the body was read
	// readTime is the time in which the receiver of the response takes minReadBytes at least.
	readTime time.Duration
}

// NewHold returns the hold of a request. A nil budget has no bound.
func NewHold(b *gtbudget.Budget, r *http.Request) *Hold {
	return &Hold{budget: b, ctx: r.Context(), readTime: callerReadTime}
}

// Leave gives everything back. Further calls have no effect.
func (h *Hold) Leave() { h.body.Leave() }

// EndBody gives back what the body held, before the response is written. The connection of a
// body that was dropped is closed after the response, as its reads have been interrupted. So
// is that of a body that was not read to its end: the rest is not read.
func (h *Hold) EndBody(w http.ResponseWriter) {
	if h.body.IsDropped() || h.stream != nil && !h.stream.IsComplete() {
		w.Header().Set("Connection", "close")
	}
	h.Leave()
}

// ReadBody returns the body of a request in segments. It fails with TooLarge if the body has
// more than limit bytes, with Expired if the whole body has not arrived before the deadline,
// with Leaving if a shutdown interrupts it, with Full if there is no room for it in the budget,
// and with BadRequest if it can't be read. A zero deadline means none.
func (h *Hold) ReadBody(r *http.Request, entry *gtinflight.Entry, limit int, deadline time.Time) ([][]byte, error) {
	b, _, err := h.readUpTo(r, entry, limit, math.MaxInt, deadline)
	return b, err
}

// readUpTo reads a body like ReadBody, but only until it has upTo bytes. It reports whether
// the body has ended.
func (h *Hold) readUpTo(r *http.Request, entry *gtinflight.Entry, limit, upTo int, deadline time.Time) ([][]byte, bool, error) {
	if r.ContentLength > int64(limit) {
		return nil, false, gtkind.New(gtkind.TooLarge, "request body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, true, nil
	}
	h.joinBody()
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() { close(stopped) })
	entry.BeginReading(func() {
		stop()
		gtsocket.InterruptRead(r.Context())
	})
	if !deadline.IsZero() {
		defer time.AfterFunc(time.Until(deadline), entry.Interrupt).Stop()
	}
	b, size, ended, err := h.readSegments(r, limit, upTo, stopped)
	h.body.Complete()
	interrupted := !entry.EndReading()
	switch {
	case interrupted && !deadline.IsZero() && !time.Now().Before(deadline):
		return nil, false, gtkind.New(gtkind.Expired, "deadline passed before the request body has arrived")
	case interrupted:
		return nil, false, gtkind.New(gtkind.Leaving, "this node shuts down before the request body has arrived")
	case h.body.IsDropped(), err == errNoRoom, h.waited && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, false, errNoRoom
	case err != nil:
		return nil, false, gtkind.Wrap(err, gtkind.BadRequest, "read the request body")
	case size > limit:
		return nil, false, gtkind.New(gtkind.TooLarge, "request body is larger than %d bytes", limit)
	default:
		return b, ended, nil
	}
}

// joinBody joins the budget for the body. One that is dropped is no longer read.
func (h *Hold) joinBody() {
	h.body = h.budget.Join(func() {
		h.reportDrop()
		gtsocket.InterruptRead(h.ctx)
	})
}

// readSegments reads a body to its end, to one byte above limit, or to upTo bytes. It reserves
// each segment before it is read, and reports whether the body has ended.
func (h *Hold) readSegments(r *http.Request, limit, upTo int, stopped <-chan struct{}) ([][]byte, int, bool, error) {
	expected := limit + 1
	if r.ContentLength > 0 {
		expected = int(r.ContentLength)
	}
	var segments [][]byte
	size := 0
	for next := firstSegmentBytes; size < min(expected, upTo); next = segmentBytes {
		n := min(next, min(expected, upTo)-size)
		if err := h.awaitRoom(r.Context(), int64(n), stopped); err != nil {
			return nil, 0, false, err
		}
		b := make([]byte, n)
		filled, err := h.fill(r.Body, b)
		size += filled
		if filled > 0 {
			segments = append(segments, b[:filled])
		}
		if err == io.EOF {
			return segments, size, true, nil
		}
		if err != nil {
			return nil, 0, false, err
		}
	}
	if size > limit {
		return nil, size, false, nil
	}
	if size < expected {
		return segments, size, false, nil
	}
	// Reading up to the end tells the server that the request is complete.
	var b [1]byte
	if _, err := io.ReadFull(r.Body, b[:]); err != io.EOF {
		return nil, 0, false, err
	}
	return segments, size, true, nil
}

// fill reads into b until it is full or the body ends.
func (h *Hold) fill(body io.Reader, b []byte) (int, error) {
	filled := 0
	for filled < len(b) {
		n, err := body.Read(b[filled:])
		h.body.Moved(n)
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// awaitRoom reserves n bytes for the body.
func (h *Hold) awaitRoom(ctx context.Context, n int64, stopped <-chan struct{}) error {
	verdict := h.body.Reserve(n)
	if verdict == gtbudget.Granted {
		return nil
	}
	h.waited = true
	timeout := time.NewTimer(roomTime)
	defer timeout.Stop()
	ticker := time.NewTicker(roomPeriod)
	defer ticker.Stop()
	for verdict == gtbudget.Short {
		select {
		case <-h.body.Freed():
		case <-ticker.C:
		case <-timeout.C:
			return errNoRoom
		case <-stopped:
			return errNoRoom
		case <-ctx.Done():
			return ctx.Err()
		}
		verdict = h.body.Reserve(n)
	}
	if verdict == gtbudget.Dropped {
		return errNoRoom
	}
	return nil
}
