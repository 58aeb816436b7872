package gtpipeline

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// maxUnsentBytes is how much of a body is kept until the head of the response is written. If
// that is all, the head has its length, as with net/http.
const maxUnsentBytes = 2048

// response writes the response to one request. What is written before its turn is kept within
// the limits of the connection; then it goes to the caller as it comes.
type response struct {
	conn   *conn
	number uint64
	// isHead, and whether the caller asks for the close, or not to close with HTTP/1.0.
	isHead, asksClose, asksKeep bool
	minor                       int // of the protocol's version
	body                        *body
	header                      http.Header
	done                        chan struct{} // closed once the handler has returned
	reserved                    int64         // of the process\'s budget; guarded by the lock of the connection

	// lock holds a token while the following fields are in use. It is held while the caller
	// reads slowly, and so is no mutex.
	lock       chan struct{}
	raw        string // the whole response to a request that was refused
	status     int    // 0 until WriteHeader
	sent       http.Header
	length     int64 // the field Content-Length, or -1
	written    int64
	kept       []byte
	wantsFlush bool
	headSent   bool
	chunked    bool
	closes     bool
	finished   bool
	aborted    bool
}

func newResponse(c *conn, r *http.Request, header http.Header) *response {
	return &response{
		conn: c, isHead: r.Method == http.MethodHead, asksClose: r.Close, asksKeep: !r.Close && r.ProtoMinor == 0, minor: r.ProtoMinor,
		header: header, length: -1, done: make(chan struct{}), lock: make(chan struct{}, 1),
	}
}

func (r *response) acquire() { r.lock <- struct{}{} }
func (r *response) release() { <-r.lock }

// Header returns the header that WriteHeader writes.
func (r *response) Header() http.Header { return r.header }

// WriteHeader sets the status. An interim response (1xx) is written if it is the turn of this
// response, and left out otherwise.
func (r *response) WriteHeader(status int) {
	r.acquire()
	defer r.release()
	switch {
	case r.finished || r.status != 0:
	case status >= 100 && status < 200 && status != http.StatusSwitchingProtocols:
		if r.conn.isFront(r.number) {
			r.writeInterim(status, r.header)
		}
	default:
		r.setStatus(status)
	}
}

// writeInterim writes an interim response.
func (r *response) writeInterim(status int, h http.Header) {
	w := r.conn.bw
	r.writeStatusLine(status)
	_ = h.WriteSubset(w, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
	_, _ = w.WriteString("\r\n")
	_ = w.Flush()
}

// writeContinue tells the caller to send the body.
func (r *response) writeContinue() {
	r.acquire()
	defer r.release()
	if r.status == 0 && r.conn.isFront(r.number) {
		r.writeInterim(http.StatusContinue, nil)
	}
}

func (r *response) setStatus(status int) {
	r.status, r.sent = status, r.header.Clone()
	if r.sent == nil {
		r.sent = http.Header{}
	}
	if v := r.sent.Get("Content-Length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil && n >= 0 {
			r.length = n
		} else {
			r.sent.Del("Content-Length")
		}
	}
}

// Write writes a part of the body. It waits while the response can neither be kept nor be
// written to the caller.
func (r *response) Write(p []byte) (int, error) {
	r.acquire()
	defer r.release()
	if r.finished {
		return 0, http.ErrHijacked
	}
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	switch {
	case len(p) == 0:
		return 0, nil
	case !bodyAllowed(r.status):
		return 0, http.ErrBodyNotAllowed
	}
	r.written += int64(len(p))
	if r.length != -1 && r.written > r.length {
		return 0, http.ErrContentLength
	}
	for !r.conn.isFront(r.number) {
		kept, err := r.conn.keep(r, len(p))
		if err != nil {
			return 0, err
		}
		if kept {
			r.kept = append(r.kept, p...)
			return len(p), nil
		}
		r.release()
		r.conn.awaitFront(r.number)
		r.acquire()
	}
	r.kept = append(r.kept, p...)
	if len(r.kept) > maxUnsentBytes {
		return len(p), r.flush()
	}
	return len(p), nil
}

// Flush writes what is kept to the caller, now or as soon as it is the turn of this response.
func (r *response) Flush() {
	r.acquire()
	defer r.release()
	if r.finished {
		return
	}
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	r.wantsFlush = true
	if r.conn.isFront(r.number) {
		_ = r.flush()
	}
}

// takeTurn writes what has been kept before the turn of this response.
func (r *response) takeTurn() {
	r.acquire()
	defer r.release()
	if r.wantsFlush || len(r.kept) > maxUnsentBytes {
		_ = r.flush()
	}
}

// abort tells that the handler has panicked, so that the response is incomplete.
func (r *response) abort() {
	r.acquire()
	defer r.release()
	r.aborted = true
}

// finish tells that the handler has returned.
func (r *response) finish() {
	if r.body != nil {
		r.body.discard()
	}
	r.acquire()
	defer r.release()
	r.finished = true
	close(r.done)
}

// complete writes what is left of the response, whose handler has returned, and reports
// whether the connection closes after it.
func (r *response) complete() bool {
	r.acquire()
	defer r.release()
	switch {
	case r.aborted:
		return true
	case r.raw != "":
		_, _ = r.conn.bw.WriteString(r.raw)
		_ = r.conn.bw.Flush()
		return true
	}
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	err := r.flush()
	if r.chunked && err == nil {
		_, _ = r.conn.bw.WriteString("0\r\n\r\n")
		err = r.conn.bw.Flush()
	}
	truncated := r.length != -1 && !r.isHead && bodyAllowed(r.status) && r.written != r.length
	return r.closes || err != nil || truncated
}

// flush writes what is kept to the caller, the head before it. It is the turn of this
// response.
func (r *response) flush() error {
	w := r.conn.bw
	if !r.headSent {
		r.headSent = true
		r.writeHead()
	}
	if len(r.kept) > 0 && !r.isHead {
		if r.chunked {
			_, _ = fmt.Fprintf(w, "%x\r\n", len(r.kept))
		}
		_, _ = w.Write(r.kept)
		if r.chunked {
			_, _ = w.WriteString("\r\n")
		}
	}
	r.kept = nil
	return w.Flush()
}

// writeHead writes the status line and the header, with the fields that net/http adds, in its
// order.
func (r *response) writeHead() {
	h := r.sent
	allowed := bodyAllowed(r.status)
	var added []string
	add := func(name, value string) { added = append(added, name+": "+value+"\r\n") }
	if _, ok := h["Date"]; !ok {
		add("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	hasEncoding := h.Get("Transfer-Encoding") != ""
	if r.finished && allowed && r.length == -1 && !hasEncoding && (!r.isHead || r.written > 0) {
		r.length = r.written
		add("Content-Length", strconv.FormatInt(r.length, 10))
	}
	asksClose := r.asksClose || r.body != nil && !r.body.complete.Load() ||
		httpguts.HeaderValuesContainsToken(h["Connection"], "close")
	switch {
	case !allowed:
		if r.status == http.StatusNotModified {
			h.Del("Content-Type")
		}
		h.Del("Content-Length")
	case r.isHead || r.length != -1:
	case r.minor == 0 || h.Get("Transfer-Encoding") == "identity":
		asksClose = true
	default:
		r.chunked = true
	}
	h.Del("Transfer-Encoding")
	_, hasConnection := h["Connection"]
	keeps := r.asksKeep && !asksClose && (r.isHead || r.length != -1 || !allowed)
	asksClose = asksClose || r.minor == 0 && !keeps
	if _, ok := h["Content-Type"]; allowed && !ok && !hasEncoding && len(r.kept) > 0 && h.Get("Content-Encoding") == "" {
		add("Content-Type", http.DetectContentType(r.kept))
	}
	r.closes = r.conn.closesAfter(r.number, asksClose)
	if r.closes != httpguts.HeaderValuesContainsToken(h["Connection"], "close") {
		h.Del("Connection")
		if r.closes && r.minor > 0 {
			add("Connection", "close")
		}
	}
	if !r.closes && keeps && !hasConnection {
		add("Connection", "keep-alive")
	}
	if r.chunked {
		add("Transfer-Encoding", "chunked")
	}
	r.writeStatusLine(r.status)
	_ = h.Write(r.conn.bw)
	_, _ = r.conn.bw.WriteString(strings.Join(added, "") + "\r\n")
}

func (r *response) writeStatusLine(status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	_, _ = fmt.Fprintf(r.conn.bw, "HTTP/1.%d %03d %s\r\n", min(r.minor, 1), status, text)
}

// bodyAllowed reports whether a response with a status has a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
