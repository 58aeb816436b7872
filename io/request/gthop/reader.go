package gthop

import (
	"context"
	"time"

	"godwittide/io/connection/gtsocket"
)

const (
	// minReadBytes is how much of its response a receiver has to take in its time, once as much
	// has been read ahead for it as is allowed.
	minReadBytes = 4 << 10
	// callerReadTime is that time for a caller.
	callerReadTime = 10 * time.Second
	// peerReadTime is that time for another node, which takes no more than its caller does and
	// disconnects that itself. The receive buffer between nodes may have grown to megabytes, of
	// which TCP acknowledges nothing until a good part is read: a caller on a link of 64 kbit/s
	// takes 2.4 MB in this time.
	peerReadTime = 5 * time.Minute
	// bufferTime is what a receiver gets in addition on a socket. The machine of a caller that
	// reads 8 KB/s takes the usual receive buffer of 128 KiB at once, and no more until most of
	// it is read: up to 17 s were measured on loopback, where 10 s would disconnect it.
	bufferTime = 16 * time.Second
	// limitReader names this limit in reports.
	limitReader = "reader"
	// limitMemory names the budget of bytes in reports, when a holder is dropped.
	limitMemory = "memory"
)

// progress follows how much of what was written for it the receiver of a response takes.
type progress struct {
	ctx      context.Context // of the request, for its connection
	readTime time.Duration
	// bufferTime is added to it if the connection is a socket.
	bufferTime time.Duration
	// budgetBytes is the size of the budget, for reports.
	budgetBytes int64
	mark        time.Time // when the receiver had last taken minReadBytes, or had nothing to take
	markRead    int64
}

// isStalled reports whether the receiver has taken less than minReadBytes in its time. What it
// has taken is what its machine has acknowledged, as a piece may wait for long in the buffers of
// the kernel; of a connection that is not a socket it is what was written. While nothing is
// pending, the receiver can take nothing: its response waits for the one ahead of it.
func (p *progress) isStalled(now time.Time, written int64) bool {
	taken, pending, limit := written, true, p.readTime
	if d, ok := gtsocket.DeliveryOf(gtsocket.Conn(p.ctx)); ok {
		taken, pending, limit = d.Acknowledged(), d.IsPending(), limit+p.bufferTime
	}
	if p.mark.IsZero() || !pending || taken-p.markRead >= minReadBytes {
		p.mark, p.markRead = now, taken
	}
	return now.Sub(p.mark) >= limit
}
