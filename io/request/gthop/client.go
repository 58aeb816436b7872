package gthop

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpool"
)

// Client sends calls to the nodes beside other backend servers. Its fields are
// set before use.
type Client struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Pool holds the connections to other nodes.
	Pool *gtpool.Pool
	// Dialect is how callers are spoken to.
	Dialect Dialect
	// Buffer is the size up to which an answer is held until it is whole.
	Buffer int
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))
}

// Send sends a call to the instance and returns the answer, or an error with a
// kind: the one that the other node named, or that of the failed exchange. An
// answer's load is valid with an error too.
func (cl *Client) Send(ctx context.Context, to gtmember.Record, c gtcall.Call) (gtcall.Answer, error) {
	req, err := newRequest(c, to.Hop())
	if err != nil {
		return gtcall.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	ctx, end := cl.Trace(ctx, "hop", req.Header)
	cl.Dialect.encodeCall(req, c, to.Instance(), cl.Now())
	finish := func(err error) {
		end(err)
		cancel()
	}
	resp, err := cl.Pool.Do(ctx, to.Hop(), c.Class().Lane(), req, c.Idempotent())
	if err != nil {
		finish(err)
		return gtcall.Answer{}, err
	}
	return cl.receive(resp, c, to, finish)
}

// hopRoom is the number of fields that a hop commonly adds to a call's header.
const hopRoom = 4

// newRequest returns the request of a call to an address. Its header is a copy
// that shares the values.
func newRequest(c gtcall.Call, addr string) (*http.Request, error) {
	req, err := http.NewRequest(c.Method(), "http://"+addr+c.Target(), bytes.NewReader(c.Body()))
	if err != nil {
		return nil, gtkind.Wrap(err, gtkind.BadRequest, "build the request")
	}
	req.Header = make(http.Header, len(c.Header())+hopRoom)
	maps.Copy(req.Header, c.Header())
	req.Host = req.Header.Get("Host")
	delete(req.Header, "Host")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

func (cl *Client) receive(resp *http.Response, c gtcall.Call, to gtmember.Record, finish func(error)) (gtcall.Answer, error) {
	told := decodeReply(resp.Header.Get(HeaderAnswer))
	if told.id != c.ID() {
		err := gtkind.New(gtkind.Crossed, "answer of %s has id %.40q, expected %q", to.Instance(), told.id, c.ID())
		gtpool.Discard(resp)
		finish(err)
		return gtcall.Answer{}, err
	}
	a, err := readAnswer(resp, cl.Buffer, finish)
	if err != nil {
		return gtcall.Answer{}.WithLoad(told.load), err
	}
	if told.kind == gtkind.None {
		return a.WithLoad(told.load), nil
	}
	if a.Stream() != nil {
		a.Stream().Close()
	}
	return gtcall.Answer{}.WithLoad(told.load), gtkind.New(told.kind, "instance %s: %s", to.Instance(), a.Body())
}
