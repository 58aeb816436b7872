package gtpipe

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferSize is the number of unread bytes in one direction of a connection at
// which writers block.
const bufferSize = 1 << 20

// Pair returns the two ends of a new connection between the addresses a and b.
func Pair(a, b net.Addr) (net.Conn, net.Conn) {
	aToB, bToA := newStream(), newStream()
	return &conn{local: a, remote: b, in: bToA, out: aToB}, &conn{local: b, remote: a, in: aToB, out: bToA}
}

// stream is one direction of a connection.
type stream struct {
	mu              sync.Mutex
	buf             []byte
	changed         chan struct{} // closed and replaced on each change of state
	writerClosed    bool          // the writer's end is closed
	readerClosed    bool          // the reader's end is closed
	wroteAfterClose bool          // a write was discarded since the reader's end was closed
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// notifyChange wakes up waiting readers and writers. The caller holds the lock.
func (s *stream) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tryRead reads the available bytes. If there are none, it returns a channel that
// is closed on the next change.
func (s *stream) tryRead(b []byte) (n int, wait <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readerClosed:
		return 0, nil, net.ErrClosed
	case len(s.buf) > 0:
		n = copy(b, s.buf)
		s.buf = s.buf[n:]
		s.notifyChange()
		return n, nil, nil
	case s.writerClosed:
		return 0, nil, io.EOF
	default:
		return 0, s.changed, nil
	}
}

// tryWrite writes as many bytes as fit into the buffer. If none fit, it returns a
// channel that is closed on the next change. The first write after the reader has
// closed its end is discarded without an error; later ones fail with EPIPE.
func (s *stream) tryWrite(b []byte) (n int, wait <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.writerClosed:
		return 0, nil, net.ErrClosed
	case s.readerClosed && s.wroteAfterClose:
		return 0, nil, os.NewSyscallError("write", syscall.EPIPE)
	case s.readerClosed:
		s.wroteAfterClose = true
		return len(b), nil, nil
	}
	n = min(len(b), bufferSize-len(s.buf))
	if n == 0 {
		return 0, s.changed, nil
	}
	s.buf = append(s.buf, b[:n]...)
	s.notifyChange()
	return n, nil, nil
}

// closeWriter closes the writer's end. The reader still gets the buffered bytes.
func (s *stream) closeWriter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writerClosed {
		s.writerClosed = true
		s.notifyChange()
	}
}

// closeReader closes the reader's end and drops the buffered bytes.
func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readerClosed {
		s.readerClosed, s.buf = true, nil
		s.notifyChange()
	}
}

// conn is one end of a connection.
type conn struct {
	local, remote net.Addr
	in, out       *stream
	reads, writes deadline
}

// Read waits until it can read at least one byte, unless b is empty.
func (c *conn) Read(b []byte) (int, error) {
	for {
		expired, isExpired := c.reads.check()
		if isExpired {
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		}
		n, changed, err := c.in.tryRead(b)
		switch {
		case err == io.EOF:
			return 0, io.EOF
		case err != nil:
			return 0, c.opError("read", err)
		case n > 0 || len(b) == 0:
			return n, nil
		}
		select {
		case <-changed:
		case <-expired:
		}
	}
}

// Write writes all of b. It blocks while the buffer is full.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		expired, isExpired := c.writes.check()
		if isExpired {
			return written, c.opError("write", os.ErrDeadlineExceeded)
		}
		n, changed, err := c.out.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, c.opError("write", err)
		}
		if written == len(b) {
			return written, nil
		}
		if n > 0 {
			continue
		}
		select {
		case <-changed:
		case <-expired:
		}
	}
}

// opError wraps an error as the net package does.
func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "pipe", Source: c.local, Addr: c.remote, Err: err}
}

// Close closes this end. The other end can still read what was written before.
func (c *conn) Close() error {
	c.out.closeWriter()
	c.in.closeReader()
	c.reads.stop()
	c.writes.stop()
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadline of pending and future reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.reads.set(t)
	c.writes.set(t)
	return nil
}

// SetReadDeadline sets the deadline of pending and future reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.reads.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of pending and future writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writes.set(t)
	return nil
}

// deadline is the deadline of pending and future reads or writes. It may be changed
// while they wait.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	timer   *time.Timer
	expired chan struct{}
}

// check returns a channel that is closed when the deadline expires, and reports
// whether it has expired. It checks both the channel and the clock, since the
// timer may fire slightly late, or early if the clock is set back.
func (d *deadline) check() (expired <-chan struct{}, isExpired bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.channel()
	return c, isClosed(c) || !d.at.IsZero() && !time.Now().Before(d.at)
}

// channel returns the current channel, and creates it on first use. The caller
// holds the lock.
func (d *deadline) channel() chan struct{} {
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}

// set changes the deadline. The zero time means no deadline.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopTimer()
	d.at = t
	if isClosed(d.channel()) {
		d.expired = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	expired := d.expired
	if remaining := time.Until(t); remaining > 0 {
		d.timer = time.AfterFunc(remaining, func() { close(expired) })
		return
	}
	close(expired)
}

// stop releases the timer without changing the deadline.
func (d *deadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopTimer()
}

// stopTimer stops the timer. If the timer has already fired, it waits until the
// timer's function has closed the channel, so that the function can't run later.
func (d *deadline) stopTimer() {
	if d.timer != nil && !d.timer.Stop() {
		<-d.channel()
	}
	d.timer = nil
}

// isClosed reports whether a channel that is only ever closed has been closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
