package gtpipeline

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
)

// watchedConn is a connection that net/http serves. It follows the bytes that net/http reads,
// to find out whether bytes of a further request have arrived while one is served.
type watchedConn struct {
	net.Conn
	// cancel ends the context of all requests of the connection.
	cancel context.CancelFunc

	mu       sync.Mutex
	boundary boundary
	first    *firstWriter // of the request that is served, or nil
}

// NetConn returns the connection that is watched.
func (c *watchedConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.boundary.received(b[:n])
		c.notifyLocked()
	}
	return n, err
}

// begin tells that a request whose body has the given length (-1: unknown) is served from now
// on. It reports whether bytes of a further request are there already. If not, the writer
// of its response is told once they are and the body has been read.
func (c *watchedConn) begin(bodyLength int64, first *firstWriter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := c.boundary.begin(bodyLength)
	if !ahead {
		c.first = first
	}
	return ahead
}

// endBody tells that net/http has read the whole body of the request.
func (c *watchedConn) endBody() {
	c.mu.Lock()
	c.boundary.endBody()
	c.notifyLocked()
}

// becomeIdle tells that net/http waits for the next request.
func (c *watchedConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = nil
	c.boundary.becomeIdle()
}

// notifyLocked tells the writer of the response if a further request has begun to arrive, and
// unlocks.
func (c *watchedConn) notifyLocked() {
	var first *firstWriter
	if c.boundary.ahead() {
		first, c.first = c.first, nil
	}
	c.mu.Unlock()
	if first != nil {
		first.takeOver()
	}
}

// watchedBody tells its connection when the body of a request has been read.
type watchedBody struct {
	io.ReadCloser
	conn *watchedConn
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.endBody()
	}
	return n, err
}

// boundary finds where a request ends in the bytes that net/http reads. An error on its part
// only decides who serves the connection.
type boundary struct {
	phase  phase
	line   line
	begun  bool  // the head has begun; empty lines before it don't end it
	served bool  // a request is served
	read   bool  // its body has been read
	behind int64 // bytes read behind the head
	body   int64 // bytes of the body
}

// phase says where the next byte belongs.
type phase int

const (
	inHead     phase = iota // to the head of the next request
	behindHead              // behind the head of the current request
	lost                    // not known, as after a chunked body
)

// line is what is known of the current line of a head.
type line int

const (
	lineEmpty line = iota
	lineCR         // a carriage return
	lineText
)

// received follows bytes that net/http has read.
func (b *boundary) received(p []byte) {
	if b.phase == lost && !b.served {
		// net/http reads while it waits for a request, so it has no complete head.
		*b = boundary{begun: true}
	}
	if b.phase != inHead {
		b.behind += int64(len(p))
		return
	}
	if end := b.findHeadEnd(p); end >= 0 {
		b.phase, b.behind = behindHead, int64(len(p)-end)
	}
}

// findHeadEnd returns the index behind the empty line that ends the head, or -1.
func (b *boundary) findHeadEnd(p []byte) int {
	for i := 0; i < len(p); {
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			b.extendLine(p[i:])
			return -1
		}
		b.extendLine(p[i : i+n])
		i += n + 1
		if b.line == lineText {
			b.begun = true
		} else if b.begun {
			return i
		}
		b.line = lineEmpty
	}
	return -1
}

func (b *boundary) extendLine(p []byte) {
	switch {
	case len(p) == 0:
	case b.line == lineEmpty && len(p) == 1 && p[0] == '\r':
		b.line = lineCR
	default:
		b.line = lineText
	}
}

// begin tells that the handler of a request is called, and reports whether bytes of a
// further one have been read.
func (b *boundary) begin(bodyLength int64) bool {
	b.served, b.read = true, bodyLength == 0
	known := b.phase == behindHead && bodyLength >= 0
	if known {
		b.body = bodyLength
		return b.behind > bodyLength
	}
	// Where the position is lost, and nothing was read since net/http became idle, it had
	// this request in its buffer: the caller has sent it ahead.
	sentAhead := b.phase == lost && bodyLength == 0
	b.phase, b.behind, b.body = lost, 0, 0
	return sentAhead
}

// endBody tells that the body has been read.
func (b *boundary) endBody() {
	b.read = true
	if b.phase == lost {
		b.behind = 0
	}
}

// ahead reports whether bytes of a further request have been read behind the one that is
// served, whose body has been read.
func (b *boundary) ahead() bool { return b.served && b.read && b.behind > b.body }

// becomeIdle tells that the request is answered.
func (b *boundary) becomeIdle() {
	excess := b.behind - b.body
	switch {
	case b.phase == behindHead && b.served && excess == 0:
		*b = boundary{}
	case b.phase == behindHead && b.served && excess == 1:
		// A byte that net/http has read in the background.
		*b = boundary{begun: true, line: lineText}
	default:
		*b = boundary{phase: lost}
	}
}
