package gtpipeline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strings"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

const (
	// headSlack is what net/http allows above the maximum size of a head.
	headSlack = 4096
	// minHeadBytes is how much of a request net/http waits for before it reads it. As many
	// line ends are tolerated before a request that follows a POST.
	minHeadBytes = 4
	// maxDiscardBytes is the maximum size of the rest of a body that is read and discarded
	// to keep the connection open, as in net/http.
	maxDiscardBytes = 256 << 10
	// alone is the size of a request that starts only once all ahead of it are answered.
	alone = math.MaxInt64
	// limitHeadLines names the limit on the lines of a head in reports.
	limitHeadLines = "lines"
	// lineEnd ends the lines behind a chunked body.
	lineEnd = "\r\n"
)

// errTrailer is the error of a body whose trailer is malformed or too long.
var errTrailer = errorx.IllegalFormat.New("malformed trailer of a chunked body")

// refusal is the response to a request that can't be served, after which the connection
// closes. It is what net/http answers.
type refusal struct {
	status int
	detail string
	limit  string // that was exceeded, as it is named in reports, or empty
}

// Error returns the status line and the detail.
func (r *refusal) Error() string {
	text := fmt.Sprintf("%d %s", r.status, http.StatusText(r.status))
	if r.detail != "" {
		text += ": " + r.detail
	}
	return text
}

// response returns the bytes of the response.
func (r *refusal) response() string {
	line, body := r.Error(), r.Error()
	if r.status == http.StatusNotImplemented {
		line, body = fmt.Sprintf("%d %s", r.status, http.StatusText(r.status)), r.detail
	}
	return "HTTP/1.1 " + line + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + body
}

func badRequest(detail string) *refusal {
	return &refusal{status: http.StatusBadRequest, detail: detail}
}

// readHead reads the head of a request, up to and including the empty line that ends it. An
// empty first line is returned as a head of its own.
// A head of more than maxLines lines is refused, unless that is 0.
func readHead(br *bufio.Reader, limit, maxLines int) ([]byte, error) {
	var head []byte
	lineStart, lines := 0, 0
	for {
		part, err := br.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > limit:
			return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge}
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return nil, malformedOr(err, head)
		}
		if line := head[lineStart:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return head, nil
		}
		lineStart = len(head)
		if lines++; maxLines > 0 && lines > maxLines {
			return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, limit: limitHeadLines}
		}
	}
}

// malformedOr returns the refusal of a head that is malformed as far as it has come, or err.
// net/http's server refuses it as soon as it has read so far.
func malformedOr(err error, head []byte) error {
	_, parseErr := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), failingReader{err})))
	if parseErr == nil || errors.Is(parseErr, err) || errors.Is(parseErr, io.ErrUnexpectedEOF) {
		return err
	}
	return refuseHead(parseErr)
}

// refuseHead returns the refusal of a head that http.ReadRequest can't parse.
func refuseHead(err error) *refusal {
	if isTransferEncoding(err) {
		return &refusal{status: http.StatusNotImplemented, detail: "Unsupported transfer encoding"}
	}
	return badRequest("")
}

// parseHead parses a head and makes the checks that net/http's server makes. The body of the
// request is empty.
func parseHead(head []byte) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	switch {
	case err != nil:
		return nil, refuseHead(err)
	case r.ProtoMajor != 1:
		return nil, &refusal{status: http.StatusHTTPVersionNotSupported, detail: "unsupported protocol version"}
	}
	r.Body = http.NoBody
	host, hasHost := r.Host, r.Host != ""
	if !hasHost || r.URL.Host != "" {
		host, hasHost = findHost(head)
	}
	if !hasHost && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect {
		return nil, badRequest("missing required Host header")
	}
	if hasHost && !httpguts.ValidHostHeader(host) {
		return nil, badRequest("malformed Host header")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, badRequest("invalid header name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, badRequest("invalid header value")
			}
		}
	}
	return r, nil
}

// isTransferEncoding reports whether http.ReadRequest failed because of the transfer encoding,
// for which it has no exported error.
func isTransferEncoding(err error) bool {
	return strings.HasPrefix(err.Error(), "unsupported transfer encoding") || strings.HasPrefix(err.Error(), "too many transfer encodings")
}

// findHost returns the field Host of a head, which http.ReadRequest removes.
func findHost(head []byte) (string, bool) {
	lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	_, _ = lines.ReadLine()
	h, _ := lines.ReadMIMEHeader()
	if len(h["Host"]) == 0 {
		return "", false
	}
	return h["Host"][0], true
}

// requestSize returns what a request takes ahead of its turn. One whose body has an unknown
// size, or waits for an interim response, starts alone: interim responses go in order, too.
func requestSize(r *http.Request, headBytes int) int64 {
	if r.ContentLength < 0 || r.ContentLength > 0 && expectsContinue(r) {
		return alone
	}
	return r.ContentLength + min(int64(headBytes), alone-r.ContentLength)
}

// body is the body of a request, which its handler reads from the connection. Only the
// handler's goroutine uses it, until done is closed.
type body struct {
	br       *bufio.Reader
	src      io.Reader // of the data
	left     int64     // bytes, or -1 if the body is chunked
	interim  func()    // writes the interim response that the caller waits for, or nil
	err      error     // that ended it: io.EOF once it is complete
	closed   bool
	complete atomic.Bool
	done     chan struct{}
}

// newBody returns the body of a request, or nil if it has none.
func newBody(br *bufio.Reader, r *http.Request) *body {
	b := &body{br: br, left: r.ContentLength, done: make(chan struct{})}
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength < 0:
		b.src = httputil.NewChunkedReader(br)
	default:
		b.src = io.LimitReader(br, r.ContentLength)
	}
	return b
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.closed:
		return 0, http.ErrBodyReadAfterClose
	case b.err != nil:
		return 0, b.err
	case b.interim != nil:
		b.interim()
		b.interim = nil
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
		if err == nil && b.left == 0 {
			err = io.EOF
		}
	}
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && b.left > 0:
		err = io.ErrUnexpectedEOF
	case err == io.EOF && b.left < 0:
		err = b.readTrailer()
	}
	b.end(err)
	return n, err
}

// readTrailer reads the lines behind the last chunk, and returns io.EOF at their end. It
// accepts what net/http accepts: an empty line, or fields that the buffer holds.
func (b *body) readTrailer() error {
	end, err := b.br.Peek(len(lineEnd))
	switch {
	case string(end) == lineEnd:
		_, _ = b.br.Discard(len(lineEnd))
		return io.EOF
	case len(end) < len(lineEnd):
		return errTrailer
	case err != nil:
		return err
	}
	for n := 2 * len(lineEnd); !bytes.HasSuffix(end, []byte(lineEnd+lineEnd)); n++ {
		if end, err = b.br.Peek(n); err != nil {
			return errTrailer
		}
	}
	if _, err := textproto.NewReader(b.br).ReadMIMEHeader(); err != nil {
		return err
	}
	return io.EOF
}

// Close stops the handler's reading.
func (b *body) Close() error {
	b.closed = true
	return nil
}

// discard reads the rest of the body after its handler has returned, if that is small.
func (b *body) discard() {
	if b.err != nil {
		return
	}
	if b.interim != nil || b.left >= maxDiscardBytes {
		b.end(http.ErrBodyReadAfterClose)
		return
	}
	buf := make([]byte, 4096)
	for total := 0; b.err == nil; {
		n, _ := b.read(buf)
		if total += n; total > maxDiscardBytes && b.err == nil {
			b.end(http.ErrBodyReadAfterClose)
		}
	}
}

func (b *body) end(err error) {
	if b.err != nil {
		return
	}
	b.err = err
	b.complete.Store(err == io.EOF)
	close(b.done)
}

// bytesBody is a body that has been read already.
type bytesBody struct {
	io.Reader
}

// newBytesBody returns a body of the given bytes, or one that fails with err.
func newBytesBody(b []byte, err error) bytesBody {
	if err != nil {
		return bytesBody{io.MultiReader(bytes.NewReader(b), failingReader{err})}
	}
	return bytesBody{bytes.NewReader(b)}
}

// Close does nothing.
func (bytesBody) Close() error { return nil }

// failingReader is a reader that fails with an error.
type failingReader struct{ err error }

// Read returns the error.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
