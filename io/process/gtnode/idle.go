package gtnode

import (
	"net"
	"net/http"
	"sync"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/request/gthop"
)

// noticeWriteTimeout is the timeout for writing the notice; its few bytes fit into
// the empty send buffer.
const noticeWriteTimeout = 10 * time.Millisecond

// closeNotice is the error response written to an idle connection before it is
// closed. A caller that sends a request at that moment receives it as the
// response; a client with no outstanding request treats it as the close of the
// connection (RFC 9110, 15.5.9).
var closeNotice = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
	gthop.HeaderKind + ": " + gtkind.Leaving.String() + "\r\n" + gthop.HeaderCertainty + ": " + gtkind.NotRun.String() + "\r\n\r\n")

// idleConns tracks the connections of a server that have no request in flight.
// Closing one just as a request arrives would lose the request, so connections
// with unread bytes are left open to be served.
type idleConns struct {
	// notice is written to a connection before it is closed; nil means none. A
	// connection that has had no request yet is closed only with a notice.
	notice []byte

	mu    sync.Mutex
	conns map[net.Conn]bool // idle connections; false once the notice has been sent
}

// trackState records the state of a connection. It is the ConnState hook of
// http.Server.
func (i *idleConns) trackState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]bool{}
	}
	idle, known := i.conns[c]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(i.conns, c)
	case known && !idle: // the notice has been sent; it can't be withdrawn
	case state == http.StateIdle, state == http.StateNew && i.notice != nil:
		i.conns[c] = true
	default:
		delete(i.conns, c)
	}
}

// wasNotified reports whether the notice has been sent on the connection of a
// request. The notice says that the request was not run, so it must not be run.
func (i *idleConns) wasNotified(r *http.Request) bool {
	c := gtsocket.Conn(r.Context())
	i.mu.Lock()
	defer i.mu.Unlock()
	idle, known := i.conns[c]
	return known && !idle
}

// close closes the idle connections without unread bytes, and returns the number
// of those with unread bytes, which it leaves open.
func (i *idleConns) close() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	unread := 0
	for c, idle := range i.conns {
		switch {
		case !idle:
			continue
		case gtsocket.Peek(c) == gtsocket.Unread:
			unread++
			continue
		case i.notice == nil:
			delete(i.conns, c)
		default:
			i.conns[c] = false
			_ = c.SetWriteDeadline(time.Now().Add(noticeWriteTimeout))
			_, _ = c.Write(i.notice)
		}
		_ = c.Close()
	}
	return unread
}
