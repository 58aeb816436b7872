package gtnode

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/request/gthop"
)

const (
	// noticeWriteTimeout is the timeout for writing the notice. Its few bytes fit into
	// the empty send buffer, but the process may be short of processor time.
	noticeWriteTimeout = time.Second
	// headGracePeriod is how long the rest of a request's head may take while the
	// servers close.
	headGracePeriod = 500 * time.Millisecond
)

// closeNotice is the error response written to an idle connection before it is
// closed. A caller or node that sends a request at that moment receives it as the
// response; a client with no outstanding request treats it as the close of the
// connection (RFC 9110, 15.5.9).
var closeNotice = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
	gthop.HeaderKind + ": " + gtkind.Leaving.String() + "\r\n" + gthop.HeaderCertainty + ": " + gtkind.NotRun.String() + "\r\n\r\n")

// idleConns tracks the connections of a server, to close those that have no request in
// flight. Closing one just as a request arrives would lose the request, so connections
// with unread bytes are left open to be served.
type idleConns struct {
	// notice is written to a connection before it is closed; nil means none.
	notice []byte

	accepting atomic.Int64 // listeners that are served

	mu           sync.Mutex
	conns        map[net.Conn]connState
	takenOver    map[net.Conn]struct{} // from the HTTP server, which doesn't know them any more
	closing      bool                  // connections that become idle are closed
	closingSince time.Time
}

// connState is the state of a tracked connection.
type connState int

// The states.
const (
	connActive connState = iota
	connNew              // no request has come yet
	connIdle
	connNotified // the notice has been sent; it can't be withdrawn
)

// serve serves the connections of a listener until it is closed. The server's ConnState hook
// has to be set.
func (i *idleConns) serve(server *http.Server, ln net.Listener) error {
	i.accepting.Add(1)
	defer i.accepting.Add(-1)
	return server.Serve(ln)
}

// isAccepting reports whether a connection may have been accepted that is not tracked yet.
// Once the listener is closed, that ends when the server has seen its last connection.
func (i *idleConns) isAccepting() bool { return i.accepting.Load() > 0 }

// trackState records the state of a connection. It is the ConnState hook of
// http.Server.
func (i *idleConns) trackState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]connState{}
	}
	if state == http.StateIdle {
		resetReceived(c)
	}
	switch {
	case state == http.StateClosed:
		delete(i.conns, c)
	case state == http.StateHijacked:
		i.takeOverLocked(c)
	case i.conns[c] == connNotified:
	case state == http.StateIdle && i.closing && i.notice != nil:
		i.closeWithNotice(c)
	case state == http.StateNew:
		i.conns[c] = connNew
	case state == http.StateIdle:
		i.conns[c] = connIdle
	default:
		i.conns[c] = connActive
	}
}

// takeOverLocked tracks a connection that is taken over from the HTTP server while it serves a
// request. The caller holds the lock.
func (i *idleConns) takeOverLocked(c net.Conn) {
	if i.takenOver == nil {
		i.takenOver = map[net.Conn]struct{}{}
	}
	i.takenOver[c] = struct{}{}
	if i.conns[c] != connNotified {
		i.conns[c] = connActive
	}
}

// trackTakenOver records the state of a connection that was taken over from the HTTP server.
// As the server does not wait for such a connection, it is also tracked while it is in use.
func (i *idleConns) trackTakenOver(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case state == http.StateClosed:
		delete(i.conns, c)
		delete(i.takenOver, c)
	case i.conns[c] == connNotified:
	case state == http.StateIdle && i.closing && i.notice != nil:
		i.closeWithNotice(c)
	case state == http.StateIdle:
		i.conns[c] = connIdle
	default:
		i.conns[c] = connActive
	}
}

// takenOverCount returns the number of connections that were taken over and are open.
func (i *idleConns) takenOverCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.takenOver)
}

// closeTakenOver closes the connections that were taken over.
func (i *idleConns) closeTakenOver() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.takenOver {
		_ = c.Close()
	}
}

// wasNotified reports whether the notice has been sent on the connection of a
// request. The notice says that the request was not run, so it must not be run.
func (i *idleConns) wasNotified(r *http.Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.conns[gtsocket.Conn(r.Context())] == connNotified
}

// closeWhen wraps a handler so that it asks callers to close their connections once
// draining is true, and aborts requests on connections whose close notice has been sent.
func (i *idleConns) closeWhen(draining func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		endHead(r.Context())
		if i.wasNotified(r) {
			panic(http.ErrAbortHandler) // the request arrived while the notice was being sent
		}
		if draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// close closes the idle connections without unread bytes, and from then on each that
// becomes idle, if there is a notice. It returns the number of those that are to be waited
// for: with unread bytes, with a part of a request's head, or with a request in flight.
func (i *idleConns) close() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closing {
		i.closing, i.closingSince = true, time.Now()
	}
	left := 0
	for c, state := range i.conns {
		switch {
		case state == connNotified:
		case state == connActive || gtsocket.Peek(c) == gtsocket.Unread || i.awaitsHead(c, state):
			left++
		case i.notice == nil:
			delete(i.conns, c)
			_ = c.Close()
		default:
			i.closeWithNotice(c)
		}
	}
	return left
}

// awaitsHead reports whether the head of a request may still come on a new connection, or the
// rest of one on an idle connection: the HTTP server has read its beginning, but counts the
// connection as idle until the head is complete. The caller holds the lock.
func (i *idleConns) awaitsHead(c net.Conn, state connState) bool {
	if time.Since(i.closingSince) >= headGracePeriod {
		return false
	}
	lc, ok := c.(*limitConn)
	return state == connNew || ok && lc.hasReceived()
}

// closeWithNotice writes the notice to an idle connection and closes it. The caller holds
// the lock.
func (i *idleConns) closeWithNotice(c net.Conn) {
	i.conns[c] = connNotified
	_ = c.SetWriteDeadline(time.Now().Add(noticeWriteTimeout))
	_, _ = c.Write(i.notice)
	_ = c.Close()
}
