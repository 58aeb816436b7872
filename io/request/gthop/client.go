package gthop

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpool"
)

// Client sends calls to peers, which run them on their local backend servers.
// Its fields are set before use.
type Client struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Pool holds the connections to peers.
	Pool *gtpool.Pool
	// Dialect adapts the calls to the callers' protocol.
	Dialect Dialect
	// MaxBufferBytes is the size in bytes up to which a response is buffered; a
	// larger one is streamed.
	MaxBufferBytes int
	// Budget counts buffered responses as they are read. Nil means that they are not counted.
	Budget *gtbudget.Budget
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))
}

// Send sends a call to the instance and returns the response, or an error with a
// kind: the one that the peer reported, or that of the failed exchange. If the
// peer reported its load, the response holds it even with an error.
func (cl *Client) Send(ctx context.Context, to gtmember.Record, c gtcall.Call) (gtcall.Response, error) {
	if err := checkCaller(ctx, c, cl.Now()); err != nil {
		return gtcall.Response{}, err
	}
	req, err := newRequest(c, to.HopAddress())
	if err != nil {
		return gtcall.Response{}, err
	}
	gtinflight.FromContext(ctx).MoveTo(gtinflight.Working, to.Instance())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	ctx, end := cl.Trace(ctx, "hop", req.Header)
	cl.Dialect.encodeCall(req, c, to.Instance(), cl.Now())
	finish := func(err error) {
		end(err)
		cancel()
	}
	httpResp, err := do(ctx, cl.Pool, to.HopAddress(), req, c)
	if err != nil {
		finish(err)
		return gtcall.Response{}, err
	}
	return cl.receive(httpResp, c, to, finish)
}

// addedFields is the number of header fields that a hop usually adds to a call.
const addedFields = 4

// newRequest returns the HTTP request for a call to an address. Its header is a
// copy that shares the values with the call's, and the call's field Host becomes
// the request's host.
func newRequest(c gtcall.Call, addr string) (*http.Request, error) {
	req, err := http.NewRequest(c.Method(), "http://"+addr+c.Target(), nil)
	if err != nil {
		return nil, gtkind.Wrap(err, gtkind.BadRequest, "build the HTTP request")
	}
	req.Body, req.ContentLength = bodyReader(c.BodySegments())
	req.Header = make(http.Header, len(c.Header())+addedFields)
	maps.Copy(req.Header, c.Header())
	req.Host = req.Header.Get("Host")
	delete(req.Header, "Host")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	return req, nil
}

// bodyReader returns a reader of a body in segments, and the body's size. Of a bytes.Reader
// net/http writes the head and the body at once; of others it writes the head first.
func bodyReader(segments [][]byte) (io.ReadCloser, int64) {
	switch len(segments) {
	case 0:
		return http.NoBody, 0
	case 1:
		return io.NopCloser(bytes.NewReader(segments[0])), int64(len(segments[0]))
	}
	size := 0
	for _, b := range segments {
		size += len(b)
	}
	body := net.Buffers(slices.Clone(segments)) // which reading consumes
	return io.NopCloser(&body), int64(size)
}

// isCloseNotice reports whether a response is the notice that a node writes to an idle
// connection before it closes it. It has no metadata, and no request that comes after it
// runs.
func isCloseNotice(resp *http.Response) bool {
	h := resp.Header
	return resp.StatusCode == http.StatusRequestTimeout && h.Get(HeaderResponse) == "" && h.Get(HeaderKind) == gtkind.Leaving.String()
}

// receive returns the response to a call, or the error that the peer reported in
// it. It discards a mismatched response.
func (cl *Client) receive(httpResp *http.Response, c gtcall.Call, to gtmember.Record, finish func(error)) (gtcall.Response, error) {
	if isCloseNotice(httpResp) {
		err := gtkind.New(gtkind.Leaving, "instance %s closed the idle connection that the request was sent on", to.Instance())
		gtpool.Discard(httpResp)
		finish(err)
		return gtcall.Response{}, err
	}
	meta := decodeResponseMeta(httpResp.Header.Get(HeaderResponse))
	meta.load = withCapacity(meta.load, httpResp.Header.Get(HeaderCapacity))
	if meta.id != c.ID() {
		err := gtkind.New(gtkind.MismatchedResponse, "response from instance %s has request ID %.40q, expected %q", to.Instance(), meta.id, c.ID())
		gtpool.Discard(httpResp)
		finish(err)
		return gtcall.Response{}, err
	}
	resp, err := readResponse(httpResp, cl.MaxBufferBytes, cl.Budget, finish)
	if err != nil {
		return gtcall.Response{}.WithLoad(meta.load), err
	}
	if meta.kind == gtkind.None {
		return resp.WithLoad(meta.load), nil
	}
	if resp.Stream() != nil {
		resp.Stream().Close()
	}
	return gtcall.Response{}.WithLoad(meta.load), gtkind.New(meta.kind, "instance %s: %s", to.Instance(), resp.Body())
}
