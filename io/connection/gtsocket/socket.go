// Package gtsocket looks at the socket of a connection without reading from it: whether
// bytes are waiting there, or the other end has closed it.
//
// # Usage
//
//	server.ConnContext = gtsocket.WithConn
//	if gtsocket.CallerLeft(r.Context()) { return } // nobody waits for the response
//
// The HTTP server reports a closed connection by canceling the request's context, but
// in another goroutine and some time later: after a process pause, or while the
// process is short of processor time, a request would be sent on before. A look at the
// socket is a single system call.
package gtsocket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what is known about a connection.
type State int

// The states.
const (
	// Unknown means that the connection is not a socket, or can't be looked at.
	Unknown State = iota
	// Quiet means that the connection is open and no byte is waiting.
	Quiet
	// Unread means that bytes are waiting to be read.
	Unread
	// Closed means that the other end has closed or reset the connection.
	Closed
)

// Peek returns the state of a connection. It does not block, also while another
// goroutine reads from the connection.
func Peek(c net.Conn) State {
	sc, ok := socket(c)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Unread
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		default:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// HasPending reports whether connections wait to be accepted at a listener. They are
// reset when it is closed. It returns false if that can't be determined.
func HasPending(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// socket returns the socket of a connection, which TLS or another wrapper with a method
// NetConn may hide.
func socket(c net.Conn) (syscall.Conn, bool) {
	for {
		if sc, ok := c.(syscall.Conn); ok {
			return sc, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = wrapper.NetConn()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext
// hook of http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection of the request that a context belongs to, or nil.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// InterruptRead ends the reads of the connection of the request that a context belongs to.
func InterruptRead(ctx context.Context) {
	if c := Conn(ctx); c != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets until when the connection of the request that a context belongs to is
// read.
func SetReadDeadline(ctx context.Context, t time.Time) {
	if c := Conn(ctx); c != nil {
		_ = c.SetReadDeadline(t)
	}
}

// InterruptWrite ends the writes of the connection of the request that a context belongs to.
func InterruptWrite(ctx context.Context) {
	if c := Conn(ctx); c != nil {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Delivery is how far what was written to a connection has been delivered.
type Delivery struct {
	acknowledged int64
	pending      bool
}

// Acknowledged returns the number of bytes that the other end has acknowledged.
func (d Delivery) Acknowledged() int64 { return d.acknowledged }

// IsPending reports whether written bytes have not been acknowledged yet.
func (d Delivery) IsPending() bool { return d.pending }

// DeliveryOf returns how far what was written to a connection has been delivered. It returns
// false if the connection is not a TCP socket.
func DeliveryOf(c net.Conn) (Delivery, bool) {
	if c == nil {
		return Delivery{}, false
	}
	sc, ok := socket(c)
	if !ok {
		return Delivery{}, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Delivery{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return Delivery{}, false
	}
	return Delivery{acknowledged: int64(info.Bytes_acked), pending: info.Unacked > 0 || info.Notsent_bytes > 0}, true
}

// ReportLimit reports that a limit of the given value has acted on a connection, if its listener
// takes such reports.
func ReportLimit(c net.Conn, limit string, value int64) {
	if r, ok := c.(interface{ ReportLimit(string, int64) }); ok {
		r.ReportLimit(limit, value)
	}
}

// CallerLeft reports whether the context has ended, or the caller of its request has
// closed the connection.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := Conn(ctx)
	return c != nil && Peek(c) == Closed
}
