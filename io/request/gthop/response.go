package gthop

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind         string `json:"kind"`
	Certainty    string `json:"certainty"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"wait,omitempty"`
}

// WriteError writes the error response for err: the status, the header fields
// and the body that follow from its kind.
func WriteError(w http.ResponseWriter, err error) {
	k := gtkind.Of(err)
	row := k.Row()
	b, _ := json.Marshal(ErrorBody{Kind: row.Name(), Certainty: row.Certainty().String(), Detail: gtkind.Detail(err), RetryAfterMS: row.RetryAfter().Milliseconds()})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(HeaderKind, row.Name())
	h.Set(HeaderCertainty, row.Certainty().String())
	if row.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.Itoa(int((row.RetryAfter()+time.Second-1)/time.Second)))
	}
	w.WriteHeader(row.Status())
	_, _ = w.Write(b)
}

// readResponse returns a response with a buffered body if that has at most limit
// bytes, and with a stream otherwise. It calls onClose once, when the body has
// been read or the stream closed, with the error that ended it, or nil. What is
// buffered counts in the budget while it is read.
func readResponse(resp *http.Response, limit int, budget *gtbudget.Budget, onClose func(error)) (gtcall.Response, error) {
	header := ForwardableHeader(resp.Header)
	size := resp.ContentLength
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		err := resp.Body.Close()
		onClose(nil)
		return gtcall.NewStreamResponse(resp.StatusCode, header, http.NoBody, size), err
	}
	if size > int64(limit) {
		return gtcall.NewStreamResponse(resp.StatusCode, header, &streamBody{ReadCloser: resp.Body, onClose: onClose}, size), nil
	}
	b, err := readUpTo(resp.Body, size, limit, budget)
	if err != nil {
		resp.Body.Close()
		onClose(err)
		if gtkind.Of(err) == gtkind.Internal {
			err = gtkind.Wrap(err, gtkind.ConnectionLost, "read the response body")
		}
		return gtcall.Response{}, err
	}
	if len(b) > limit {
		return gtcall.NewStreamResponse(resp.StatusCode, header, &streamBody{ReadCloser: resp.Body, prefix: b, onClose: onClose}, size), nil
	}
	resp.Body.Close()
	onClose(nil)
	return gtcall.NewResponse(resp.StatusCode, header, b), nil
}

// readUpTo reads a body of the given size. A body of unknown size (-1) is read
// to its end or to one byte above limit.
func readUpTo(r io.Reader, size int64, limit int, budget *gtbudget.Budget) ([]byte, error) {
	if size < 0 {
		counted := &countedReader{Reader: io.LimitReader(r, int64(limit)+1), budget: budget}
		defer counted.release()
		return io.ReadAll(counted)
	}
	budget.Hold(size)
	defer budget.Hold(-size)
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}

// countedReader counts in the budget what is read.
type countedReader struct {
	io.Reader
	budget *gtbudget.Budget
	held   int64
}

// Read reads and counts.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.held += int64(n)
	c.budget.Hold(int64(n))
	return n, err
}

// release gives back what was counted.
func (c *countedReader) release() { c.budget.Hold(-c.held) }

// streamBody is the body of a response that is too large to buffer: the prefix
// that has been read already, and the rest, which is read from the connection.
type streamBody struct {
	io.ReadCloser
	prefix  []byte
	readErr error
	onClose func(error)
	closed  bool
}

func (s *streamBody) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.readErr = err
	}
	return n, err
}

func (s *streamBody) Close() error {
	err := s.ReadCloser.Close()
	if !s.closed {
		s.closed = true
		s.onClose(s.readErr)
	}
	return err
}
