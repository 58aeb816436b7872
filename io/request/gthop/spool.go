package gthop

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/core/request/gtcall"
	"godwittide/io/connection/gtsocket"
)

const (
	// spoolReadBytes is the size of the pieces in which a stream is read.
	spoolReadBytes = 32 << 10
	// defaultSpoolBytes is the maximum size of what is read of a stream and not written yet,
	// where there is no budget.
	defaultSpoolBytes = 4 << 20
	// spoolShare is the share of the budget that one spool may take, as its divisor.
	spoolShare = 4
	// stallTime is how long a receiver may take nothing while the budget has no room for more of
	// its response. The slot at the backend server is not free until then. While only its spool
	// is full, it may be on a slow link and is waited for, unless another holder finds no room.
	stallTime = gtbudget.StallTime
)

// WriteResponse writes a response without a budget.
func WriteResponse(w http.ResponseWriter, resp gtcall.Response) { (*Hold)(nil).WriteResponse(w, resp) }

// WriteResponse writes a response. If its stream fails, WriteResponse panics with
// http.ErrAbortHandler, which closes the connection, so that the receiver
// doesn't take the truncated response as complete.
func (h *Hold) WriteResponse(w http.ResponseWriter, resp gtcall.Response) {
	header := w.Header()
	for k, v := range resp.Header() {
		header[k] = v
	}
	if resp.Size() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.Size(), 10))
	}
	w.WriteHeader(resp.Status())
	var holder *gtbudget.Holder
	interrupt, spoolBytes := func() {}, defaultSpoolBytes
	reader := progress{ctx: context.Background(), readTime: callerReadTime, bufferTime: bufferTime}
	if h != nil {
		interrupt = func() { gtsocket.InterruptWrite(h.ctx) }
		reader.ctx, reader.readTime = h.ctx, h.readTime
	}
	if h != nil && h.budget != nil {
		spoolBytes, reader.budgetBytes = int(h.budget.Bytes/spoolShare), h.budget.Bytes
		holder = h.budget.JoinResponse(func() {
			h.reportDrop()
			interrupt()
		})
		defer holder.Leave()
	}
	if resp.Stream() == nil {
		holder.Charge(int64(len(resp.Body())))
		_, _ = w.Write(resp.Body())
		return
	}
	if resp.Stream() == http.NoBody {
		return
	}
	s := &spool{reader: reader, maxBytes: spoolBytes, stream: resp.Stream(), holder: holder, interrupt: interrupt, changed: make(chan struct{}, 1), room: make(chan struct{}, 1), stopped: make(chan struct{})}
	if !s.copyTo(w) {
		panic(http.ErrAbortHandler)
	}
}

// spool keeps what has been read of a stream until it is written, so that a receiver that
// takes the response slowly does not hold the slot at the backend server.
type spool struct {
	reader    progress // used by the goroutine that reads
	maxBytes  int
	stream    io.ReadCloser
	holder    *gtbudget.Holder
	interrupt func()        // ends a write that waits for the receiver
	changed   chan struct{} // gets a value when pieces or err have changed
	room      chan struct{} // gets a value when a piece has been written
	stopped   chan struct{} // closed when nothing more is written

	mu      sync.Mutex
	pieces  [][]byte
	kept    int // bytes in pieces, and in the one that is being written
	written int64
	err     error
}

// copyTo writes the stream to w, which it flushes after each piece, so that the receiver gets
// the parts of a stream as they arrive. It reports whether the whole stream was written.
func (s *spool) copyTo(w http.ResponseWriter) bool {
	var wg sync.WaitGroup
	wg.Go(s.read)
	defer wg.Wait()
	defer s.stream.Close() // which ends a read that waits
	defer close(s.stopped)
	flusher, _ := w.(http.Flusher)
	for {
		piece, err := s.next()
		if err != nil {
			return err == io.EOF
		}
		if _, err := w.Write(piece); err != nil {
			return false
		}
		if flusher != nil {
			flusher.Flush()
		}
		s.holder.Moved(len(piece))
		s.holder.Release(int64(cap(piece)))
		s.mu.Lock()
		s.kept -= cap(piece)
		s.written += int64(len(piece))
		s.mu.Unlock()
		notify(s.room)
	}
}

// next waits for the next piece. At the end of the stream it returns the error that ended it.
func (s *spool) next() ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.pieces) > 0 {
			piece := s.pieces[0]
			s.pieces[0] = nil
			s.pieces = s.pieces[1:]
			s.mu.Unlock()
			return piece, nil
		}
		err := s.err
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
		<-s.changed
	}
}

// read reads the stream to its end, or until nothing more is written.
func (s *spool) read() {
	for {
		if !s.awaitRoom() {
			s.end(http.ErrAbortHandler)
			return
		}
		b := make([]byte, spoolReadBytes)
		n, err := s.stream.Read(b)
		s.mu.Lock()
		if n > 0 {
			s.pieces = append(s.pieces, b[:n])
			s.kept += len(b)
		}
		s.mu.Unlock()
		if n == 0 {
			s.holder.Release(spoolReadBytes)
		}
		if err != nil {
			s.end(err)
			return
		}
		notify(s.changed)
	}
}

// end records the error that ended the stream. Its slot is given back at once, if it was read
// to its end.
func (s *spool) end(err error) {
	if err == io.EOF {
		_ = s.stream.Close()
	}
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	notify(s.changed)
}

// reportDrop reports that the budget has dropped a body or a response.
func (h *Hold) reportDrop() {
	gtsocket.ReportLimit(gtsocket.Conn(h.ctx), limitMemory, h.budget.Bytes)
}

// disconnectSlow disconnects a receiver that takes less of its response than it has to while the
// spool is full, so that it does not hold the slot at the backend server. It reports whether it
// did so.
func (s *spool) disconnectSlow(written int64) bool {
	if !s.reader.isStalled(time.Now(), written) {
		return false
	}
	gtsocket.ReportLimit(gtsocket.Conn(s.reader.ctx), limitReader, s.reader.readTime.Milliseconds())
	s.interrupt()
	return true
}

// awaitRoom reserves the next piece. It reports whether there is one to be read: the receiver is
// disconnected if it takes nothing while the budget has no room, or less than it has to while the
// spool is full.
func (s *spool) awaitRoom() bool {
	ticker := time.NewTicker(roomPeriod)
	defer ticker.Stop()
	var shortSince time.Time // since when the budget has had no room; zero: it has
	s.reader.mark = time.Time{}
	for {
		s.mu.Lock()
		isEmpty, isFull, written := s.kept == 0, s.kept+spoolReadBytes > s.maxBytes, s.written
		s.mu.Unlock()
		switch {
		case s.holder.IsDropped():
			return false
		case isFull:
			shortSince = time.Time{}
			if s.disconnectSlow(written) {
				return false
			}
		case isEmpty: // as the writer needs one piece at least
			s.holder.Charge(spoolReadBytes)
			return true
		default:
			switch s.holder.Reserve(spoolReadBytes) {
			case gtbudget.Granted:
				return true
			case gtbudget.Dropped:
				return false
			default:
			}
			now := time.Now()
			if shortSince.IsZero() {
				shortSince = now
			}
			if now.Sub(shortSince) >= stallTime {
				gtsocket.ReportLimit(gtsocket.Conn(s.reader.ctx), limitMemory, s.reader.budgetBytes)
				s.interrupt()
				return false
			}
		}
		select {
		case <-s.stopped:
			return false
		case <-s.room:
			shortSince = time.Time{}
		case <-ticker.C:
		}
	}
}

// notify puts a value into a channel that holds one at most.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
