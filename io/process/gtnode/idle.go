package gtnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"godwittide/core/request/gtkind"
	"godwittide/io/request/gthop"
)

// noticeLimit bounds the time to write a few bytes into an empty buffer.
const noticeLimit = 10 * time.Millisecond

// endNotice is what a caller gets that sends a request in the moment in which its
// idle connection ends. A client that has sent none takes it for the end of the
// connection (RFC 9110, 15.5.9).
var endNotice = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
	gthop.HeaderKind + ": " + gtkind.Leaving.String() + "\r\n" + gthop.HeaderCertainty + ": " + gtkind.NotRun.String() + "\r\n\r\n")

// idleConns knows the connections of a server on which no request runs. A
// server that closes one in the moment in which a request arrives cuts that off,
// so those that hold bytes are left to be served.
type idleConns struct {
	// notice is sent on a connection before its end; nil means nothing. A
	// connection that has had no request yet is ended only with a notice.
	notice []byte

	mu    sync.Mutex
	conns map[net.Conn]bool // idle ones; false for those that were told the notice
}

// follow notes the state of a connection, as http.Server tells it.
func (i *idleConns) follow(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]bool{}
	}
	idle, known := i.conns[c]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(i.conns, c)
	case known && !idle: // told the notice: it stays at that
	case state == http.StateIdle, state == http.StateNew && i.notice != nil:
		i.conns[c] = true
	default:
		delete(i.conns, c)
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn puts a connection into the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// told says whether the caller of a request was told that nothing ran on its
// connection: then nothing may.
func (i *idleConns) told(r *http.Request) bool {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	i.mu.Lock()
	defer i.mu.Unlock()
	idle, known := i.conns[c]
	return known && !idle
}

// close closes the connections that hold no bytes, and returns how many it has
// left open.
func (i *idleConns) close() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	left := 0
	for c, idle := range i.conns {
		switch {
		case !idle:
			continue
		case pending(c):
			left++
			continue
		case i.notice == nil:
			delete(i.conns, c)
		default:
			i.conns[c] = false
			_ = c.SetWriteDeadline(time.Now().Add(noticeLimit))
			_, _ = c.Write(i.notice)
		}
		_ = c.Close()
	}
	return left
}

// pending says whether bytes have come in that nobody has read.
func pending(c net.Conn) bool {
	if b, ok := c.(*boundConn); ok {
		c = b.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	held := 0
	err = raw.Control(func(fd uintptr) { held, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && held > 0
}
