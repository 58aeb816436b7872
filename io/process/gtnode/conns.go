package gtnode

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is the number of file descriptors that connections from outside may
	// not use: the node needs them for its backend server, other nodes, the store and files.
	reservedDescriptors = 256
	// maxHeadLines is the maximum number of lines of a head. net/http bounds its bytes only, and
	// a line of five bytes takes some hundred once it is parsed.
	maxHeadLines = 1000
	// maxEmptyLines is the maximum number of empty lines before a head.
	maxEmptyLines = 16
)

// errHead ends a connection whose head has too many lines.
var errHead = errorx.IllegalFormat.New("head of a request has too many lines")

// descriptors counts the connections of all listeners of a process against the descriptors that
// it may open.
type descriptors struct {
	once sync.Once
	max  int64
	open atomic.Int64
}

// openConnections counts the connections from outside. The limit is one of the process.
var openConnections descriptors

// add counts a connection and reports whether a descriptor is left for it.
func (d *descriptors) add() bool {
	d.once.Do(func() {
		var r unix.Rlimit
		d.max = 1 << 20
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < 1<<20 {
			d.max = max(int64(r.Cur)-reservedDescriptors, int64(r.Cur)/2)
		}
	})
	if d.open.Add(1) <= d.max {
		return true
	}
	d.open.Add(-1)
	return false
}

// fixedLimit returns a limit that does not change while the node runs.
func fixedLimit(n int) func() int64 { return func() int64 { return int64(n) } }

// limitListener limits the number of open connections, in total and for each address of the
// other end: it closes further ones at once.
type limitListener struct {
	net.Listener
	// maxConns returns the limit in total.
	maxConns func() int64
	// maxPerAddress is the limit for each address; 0 means none.
	maxPerAddress int
	// sparesOwn excepts connections from the machine itself from maxPerAddress, as any number of
	// nodes may run there.
	sparesOwn bool
	// guardsHeads bounds the lines of the heads of HTTP requests.
	guardsHeads bool
	// maxHeadBytes is the size of a head that the server of the listener refuses; 0 means that
	// its refusals are not reported.
	maxHeadBytes int64
	// headTime is the time that the server of the listener allows for a head.
	headTime time.Duration
	// report is called when a limit acts on a connection of an address. Nil means that this is
	// not reported.
	report func(limit, address string, value int64)
	// silentTimeout is how long a connection may stay open before its first byte; 0 means
	// until the read deadline that its server sets. A client may open connections before
	// it has requests for them. One that is closed just as its first request comes fails
	// that request, which a client does not send again if it is not idempotent.
	silentTimeout time.Duration
	open          atomic.Int64

	mu        sync.Mutex
	addresses map[string]int
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if address, ok := l.add(conn); ok {
			return &limitConn{Conn: conn, listener: l, address: address}, nil
		}
		_ = conn.Close()
	}
}

// add counts a connection, and returns the address that it counts for.
func (l *limitListener) add(conn net.Conn) (string, bool) {
	if !openConnections.add() {
		l.reportLimit(conn, limitDescriptors, openConnections.max)
		return "", false
	}
	if limit := l.maxConns(); l.open.Add(1) > limit {
		l.open.Add(-1)
		openConnections.open.Add(-1)
		l.reportLimit(conn, limitConnections, limit)
		return "", false
	}
	if l.maxPerAddress == 0 {
		return "", true
	}
	address, ok := addressOf(conn)
	if !ok || l.sparesOwn && isOwnMachine(conn, address) {
		return "", true
	}
	if !l.addAddress(address) {
		l.open.Add(-1)
		openConnections.open.Add(-1)
		l.reportLimit(conn, limitAddress, int64(l.maxPerAddress))
		return "", false
	}
	return address, true
}

// addAddress counts a connection for its address, and reports whether it is within the limit.
func (l *limitListener) addAddress(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses == nil {
		l.addresses = map[string]int{}
	}
	if l.addresses[address] >= l.maxPerAddress {
		return false
	}
	l.addresses[address]++
	return true
}

// addressOf returns the IP address of the other end of a connection.
func addressOf(conn net.Conn) (string, bool) {
	address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	return address, err == nil
}

// isOwnMachine reports whether a connection from an address comes from the machine itself.
func isOwnMachine(conn net.Conn, address string) bool {
	own, _, err := net.SplitHostPort(conn.LocalAddr().String())
	ip, parseErr := netip.ParseAddr(address)
	return err == nil && own == address || parseErr == nil && ip.Unmap().IsLoopback()
}

// reportLimit reports that a limit has acted on a connection.
func (l *limitListener) reportLimit(conn net.Conn, limit string, value int64) {
	if l.report == nil {
		return
	}
	address, ok := addressOf(conn)
	if !ok {
		address = conn.RemoteAddr().String()
	}
	l.report(limit, address, value)
}

func (l *limitListener) remove(address string) {
	l.open.Add(-1)
	openConnections.open.Add(-1)
	if address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[address]--; l.addresses[address] == 0 {
		delete(l.addresses, address)
	}
}

// limitConn is a connection that counts towards the limit of its listener. It remembers
// whether bytes have been received.
type limitConn struct {
	net.Conn
	listener *limitListener
	address  string
	once     sync.Once
	received atomic.Bool
	begun    atomic.Bool  // bytes have been received
	headTime atomic.Int64 // time for the first request from its first byte on, or 0
	restart  atomic.Bool  // the next byte begins a head
	inBody   atomic.Bool  // a request is served, so that what comes is no head, or one behind it
	head     headLines
	// headBytes is the size of the head that was last completed, until it is counted.
	headBytes atomic.Int64
}

// Read reads from the connection.
func (c *limitConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
		if d := c.headTime.Load(); !c.begun.Swap(true) && d > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(d)))
		}
		if c.listener.guardsHeads && !c.checkHead(b[:n]) {
			return 0, errHead
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.isInHead() {
		c.head.isLate = true
		c.ReportLimit(limitHeadTime, c.listener.headTime.Milliseconds())
	}
	return n, err
}

// isInHead reports whether a part of a head has been received, whose time has not ended yet.
func (c *limitConn) isInHead() bool {
	return c.listener.guardsHeads && !c.restart.Load() && !c.inBody.Load() && c.head.bytes > 0 && !c.head.isComplete && !c.head.isLate
}

// ReportLimit reports that a limit has acted on the connection.
func (c *limitConn) ReportLimit(limit string, value int64) {
	c.listener.reportLimit(c.Conn, limit, value)
}

// SetReadDeadline sets the read deadline. Before the first byte, the time until then begins
// with that byte, which has to come within the listener's silentTimeout.
func (c *limitConn) SetReadDeadline(t time.Time) error {
	left := time.Until(t)
	if c.listener.silentTimeout == 0 || c.begun.Load() || t.IsZero() || left <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	c.headTime.Store(int64(left))
	return c.Conn.SetReadDeadline(time.Now().Add(max(left, c.listener.silentTimeout)))
}

// checkHead counts the lines of the head in b, and reports whether it is within its bounds. Its
// size is bounded by the HTTP server, which refuses it once as much has been received.
func (c *limitConn) checkHead(b []byte) bool {
	if c.restart.Swap(false) {
		c.head = headLines{}
		c.inBody.Store(false)
	}
	if c.inBody.Load() || c.head.isComplete {
		return true
	}
	before := c.head.bytes
	ok := c.head.add(b)
	if c.head.isComplete {
		c.headBytes.Store(c.head.bytes)
	}
	switch limit := c.listener.maxHeadBytes; {
	case !ok && c.head.empty > maxEmptyLines:
		c.ReportLimit(limitEmptyLines, maxEmptyLines)
	case !ok:
		c.ReportLimit(limitHeadLines, maxHeadLines)
	case limit > 0 && !c.head.isComplete && before < limit+headSlack && c.head.bytes >= limit+headSlack:
		c.ReportLimit(limitHeadBytes, limit)
	}
	return ok
}

// hasReceived reports whether bytes have been received since the last call of
// resetReceived.
func (c *limitConn) hasReceived() bool { return c.received.Load() }

func (c *limitConn) resetReceived() {
	c.received.Store(false)
	c.restart.Store(true)
}

// resetReceived forgets that bytes have been received on a connection that waits for a request.
func resetReceived(c net.Conn) {
	if lc, ok := c.(*limitConn); ok {
		lc.resetReceived()
	}
}

// NetConn returns the connection that the limit is on.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and removes it from the listener's count.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.listener.remove(c.address) })
	return c.Conn.Close()
}

// headLines counts the lines of a head as it arrives.
type headLines struct {
	lines, empty, length int
	bytes                int64
	isComplete, isLate   bool
}

// add counts the lines in b, and reports whether the head is within its bounds so far.
func (h *headLines) add(b []byte) bool {
	if h.isComplete {
		return true
	}
	before := h.bytes
	h.bytes += int64(len(b))
	for i, c := range b {
		switch {
		case c == '\r':
		case c != '\n':
			h.length++
		case h.length > 0:
			h.lines, h.length = h.lines+1, 0
			if h.lines > maxHeadLines {
				return false
			}
		case h.lines > 0:
			h.isComplete = true
			h.bytes = before + int64(i) + 1
			return true
		default:
			if h.empty++; h.empty > maxEmptyLines {
				return false
			}
		}
	}
	return true
}
