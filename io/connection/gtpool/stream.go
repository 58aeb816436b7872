package gtpool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/io/connection/gtsocket"
)

const (
	// WindowsField is the header field of the interim response by which a server that supports
	// pings asks for a body in windows. A server that reads bodies whole asks without it.
	WindowsField = "Gt-Windows"
	// earlyResponseTime is how long the sending of a body gets to end by itself once its
	// response has come, since the last write may have returned and not been noticed yet.
	earlyResponseTime = 50 * time.Millisecond
	// lastChunk ends a chunked body.
	lastChunk = "0\r\n\r\n"
)

// DoStream sends a request like Do, with a body that is forwarded in windows. To a server
// that supports pings the body is sent once the server asks for it; one that reads bodies
// whole gets it once all of it is in memory. If the response comes before the whole body was
// sent, the rest isn't sent, and the connection is closed with the response. If the body
// fails, the connection is closed at once, so that the body doesn't look complete to the
// server.
func (p *Pool) DoStream(ctx context.Context, addr, class string, req *http.Request, stream *gtstream.Body) (*http.Response, error) {
	c, err := p.get(ctx, addr, class, false)
	if err != nil {
		return nil, err
	}
	stream.Restart()
	unbind := c.bindContext(ctx)
	defer gtsocket.LiftUserTimeout(c.nc)()
	u := &upload{ctx: ctx, conn: c, stream: stream, isChunked: stream.Length() < 0, done: make(chan struct{})}
	stop := context.AfterFunc(ctx, u.stop)
	defer stop()
	resp, err := u.exchange(req)
	isSent := u.end(err == nil)
	if err != nil {
		unbind()
		c.close()
		if u.keepErr != nil {
			return nil, u.keepErr
		}
		if failure := stream.Failure(); failure != nil {
			return nil, failure
		}
		return nil, p.classify(ctx, c, err)
	}
	resp.Body = &body{
		ReadCloser: resp.Body, conn: c, unbind: unbind, ctx: ctx,
		reusable: isSent && !resp.Close && !req.Close, atEOF: resp.Body == http.NoBody || resp.ContentLength == 0,
	}
	return resp, nil
}

// upload is an exchange whose body is forwarded in windows. One goroutine sends the body while
// that of the exchange waits for the response.
type upload struct {
	ctx       context.Context
	conn      *conn
	stream    *gtstream.Body
	isChunked bool
	begun     bool
	keepErr   error         // that ended the reading of a body that is to be kept whole
	isSent    bool          // the whole body was written; valid once done is closed
	done      chan struct{} // closed when nothing more is sent
}

// exchange sends the request and reads the head of its response.
func (u *upload) exchange(req *http.Request) (*http.Response, error) {
	c := u.conn
	c.written = 0
	if err := u.writeHead(req); err != nil {
		return nil, err
	}
	if !c.pool.SupportsPing {
		u.begin()
	}
	c.expectKeepAlive = c.pool.SupportsPing
	c.expectHead, c.headBytes = true, 0
	defer func() { c.expectKeepAlive, c.expectHead = false, false }()
	for {
		resp, err := c.readHead(req)
		switch {
		case err != nil:
			return nil, err
		case resp == nil:
			continue
		case resp.StatusCode == http.StatusContinue && !u.begun:
			if resp.Header.Get(WindowsField) != "" {
				u.begin()
			} else if err := u.sendWhole(); err != nil {
				return nil, err
			}
			continue
		case isInterim(resp):
			continue
		}
		c.setReadDeadline(c.deadline)
		return resp, nil
	}
}

// headOnly is the body of a request of which net/http writes only the head: reading it fails.
type headOnly struct{ reached bool }

// Read fails, and tells that the head has been written.
func (h *headOnly) Read([]byte) (int, error) {
	h.reached = true
	return 0, io.ErrUnexpectedEOF
}

// Close does nothing.
func (*headOnly) Close() error { return nil }

// writeHead writes the head of the request.
func (u *upload) writeHead(req *http.Request) error {
	head := &headOnly{}
	req.Body, req.ContentLength = head, u.stream.Length()
	if u.isChunked {
		req.TransferEncoding = []string{"chunked"}
	}
	if u.conn.pool.SupportsPing {
		req.Header.Set("Expect", "100-continue")
	}
	if err := req.Write(u.conn.w); !head.reached {
		return gtkind.Wrap(err, gtkind.Internal, "write the head of a request")
	}
	return u.conn.w.Flush()
}

// begin sends the body from now on. If it fails, the connection is closed, which also ends the
// wait for the response. If the server does not take it, a response may be there to read.
func (u *upload) begin() {
	u.begun = true
	go func() {
		defer close(u.done)
		if u.forward() != nil && u.stream.Failure() != nil {
			_ = u.conn.nc.Close()
		}
	}()
}

// sendWhole reads the rest of the body into memory and sends all of it.
func (u *upload) sendWhole() error {
	u.begun = true
	defer close(u.done)
	if u.keepErr = u.stream.Keep(); u.keepErr != nil {
		return u.keepErr
	}
	return u.forward()
}

// forward sends the body to its end.
func (u *upload) forward() error {
	w := u.conn.w
	for {
		window, err := u.stream.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if u.isChunked {
			_, _ = fmt.Fprintf(w, "%x\r\n", len(window))
		}
		_, _ = w.Write(window)
		if u.isChunked {
			_, _ = io.WriteString(w, "\r\n")
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if u.isChunked {
		_, _ = io.WriteString(w, lastChunk)
	}
	err := w.Flush()
	u.isSent = err == nil
	return err
}

// stop ends the reading of the body. The deadline of the connection may pass before the
// context ends, which net/http cancels when a read times out.
func (u *upload) stop() {
	if u.ctx.Err() == context.DeadlineExceeded || u.conn.deadlinePassed() {
		u.stream.Expire()
	} else {
		u.stream.Stop()
	}
}

// end waits until nothing more is sent, and reports whether the whole body was. If the response
// has come before that, the rest is left unsent.
func (u *upload) end(hasResponse bool) bool {
	if !u.begun {
		return false
	}
	if hasResponse {
		timer := time.NewTimer(earlyResponseTime)
		defer timer.Stop()
		select {
		case <-u.done:
			return u.isSent
		case <-timer.C:
		}
	}
	u.stop()
	_ = u.conn.nc.SetWriteDeadline(pastDeadline)
	<-u.done
	return u.isSent
}
