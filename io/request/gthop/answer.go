package gthop

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

// Problem is the body of an answer that the system itself made.
type Problem struct {
	Kind      string `json:"kind"`
	Certainty string `json:"certainty"`
	Detail    string `json:"detail"`
	Wait      int64  `json:"wait,omitempty"`
}

// WriteError answers with the status, the header fields and the body that the
// table of kinds gives for err.
func WriteError(w http.ResponseWriter, err error) {
	k := gtkind.Of(err)
	row := k.Row()
	b, _ := json.Marshal(Problem{Kind: row.Name(), Certainty: row.Certainty().String(), Detail: gtkind.Detail(err), Wait: row.Wait().Milliseconds()})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(HeaderKind, row.Name())
	h.Set(HeaderCertainty, row.Certainty().String())
	if row.Wait() > 0 {
		h.Set("Retry-After", strconv.Itoa(int((row.Wait()+time.Second-1)/time.Second)))
	}
	w.WriteHeader(row.Status())
	_, _ = w.Write(b)
}

// WriteAnswer passes an answer on. If its stream breaks off, the connection is
// cut by a panic with http.ErrAbortHandler, so that the answer is not taken
// for whole.
func WriteAnswer(w http.ResponseWriter, a gtcall.Answer) {
	h := w.Header()
	for k, v := range a.Header() {
		h[k] = v
	}
	if a.Size() >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Size(), 10))
	}
	w.WriteHeader(a.Status())
	if a.Stream() == nil {
		_, _ = w.Write(a.Body())
		return
	}
	defer a.Stream().Close()
	if err := copyFlushing(w, a.Stream()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readAnswer reads an answer: whole up to limit bytes, as a stream beyond.
// Over is called once when the body has ended, with the error that cut it.
func readAnswer(resp *http.Response, limit int, over func(error)) (gtcall.Answer, error) {
	header := Clean(resp.Header)
	size := resp.ContentLength
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		err := resp.Body.Close()
		over(nil)
		return gtcall.NewStream(resp.StatusCode, header, http.NoBody, size), err
	}
	if size > int64(limit) {
		return gtcall.NewStream(resp.StatusCode, header, &stream{ReadCloser: resp.Body, over: over}, size), nil
	}
	b, err := readUpTo(resp.Body, size, limit)
	if err != nil {
		resp.Body.Close()
		over(err)
		if gtkind.Of(err) == gtkind.Internal {
			err = gtkind.Wrap(err, gtkind.Cut, "read the answer's body")
		}
		return gtcall.Answer{}, err
	}
	if len(b) > limit {
		return gtcall.NewStream(resp.StatusCode, header, &stream{ReadCloser: resp.Body, first: b, over: over}, size), nil
	}
	resp.Body.Close()
	over(nil)
	return gtcall.NewAnswer(resp.StatusCode, header, b), nil
}

// readUpTo reads a body of a known size, or one of unknown size (-1) to its end
// or to one byte above the limit.
func readUpTo(r io.Reader, size int64, limit int) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(io.LimitReader(r, int64(limit)+1))
	}
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}

// stream is the rest of a large answer.
type stream struct {
	io.ReadCloser
	first []byte
	err   error
	over  func(error)
	done  bool
}

func (s *stream) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	if !s.done {
		s.done = true
		s.over(s.err)
	}
	return err
}
