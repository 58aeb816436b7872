package gthop

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtcanary"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpool"
	"godwittide/io/process/gttrace"
	"godwittide/test/gtclock"
)

// newPool returns a pool that is closed at the end of the test.
func newPool(t *testing.T, network *gtpipe.Network, ping bool) *gtpool.Pool {
	pool := &gtpool.Pool{Dial: network.Dial, Now: time.Now, SupportsPing: ping, MaxConns: 4}
	t.Cleanup(pool.Close)
	return pool
}

// serve starts a server with the given handler and returns its address.
func serve(t *testing.T, network *gtpipe.Network, h http.HandlerFunc) string {
	t.Helper()
	ln, err := network.Listen(network.NewAddress())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// sendTo sends a call to a peer that runs the given handler.
func sendTo(t *testing.T, network *gtpipe.Network, h http.HandlerFunc) (gtcall.Response, *gtpool.Pool, string, error) {
	t.Helper()
	addr := serve(t, network, h)
	pool := newPool(t, network, true)
	cl := &Client{Now: time.Now, Pool: pool, MaxBufferBytes: 1000, Trace: (&gttrace.Tracer{}).Start}
	c := gtcall.New("mine", "GET", "/x").WithDeadline(time.Now().Add(time.Second))
	resp, err := cl.Send(context.Background(), gtmember.NewRecord("i", "z", addr, addr), c)
	return resp, pool, addr, err
}

// A mismatched response must not be delivered, and its connection must be
// closed.
func TestMismatchedResponseIsDiscarded(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		for _, id := range []string{"another", ""} {
			resp, pool, addr, err := sendTo(t, network, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderResponse, encodeResponseMeta(responseMeta{id: id}))
				_, _ = io.WriteString(w, "response to another request")
			})
			g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.MismatchedResponse))
			g.Expect(resp.Body()).To(gomega.BeEmpty())
			g.Expect(pool.OpenConns(addr)).To(gomega.BeZero())
		}
	})
}

// A truncated response is an error: at once if it fits into the buffer, and at
// the end of the stream if it doesn't.
func TestTruncatedResponseIsAnError(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		for _, size := range []int{100, 100000} {
			resp, _, _, err := sendTo(t, network, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderResponse, encodeResponseMeta(responseMeta{id: "mine"}))
				_, _ = io.WriteString(w, strings.Repeat("x", size))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			if size < 1000 {
				g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.ConnectionLost))
				continue
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.ReadAll(resp.Stream())
			g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.ConnectionLost))
			w := httptest.NewRecorder()
			g.Expect(func() { WriteResponse(w, resp) }).To(gomega.PanicWith(http.ErrAbortHandler), "the caller's connection is closed")
		}
	})
}

// A connection is reused after its response was read to the end, with a
// Content-Length or chunked.
func TestCompleteResponseReturnsItsConnection(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		for _, size := range []int{0, 1, 500, 1000} {
			for _, chunked := range []bool{false, true} {
				resp, pool, addr, err := sendTo(t, network, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(HeaderResponse, encodeResponseMeta(responseMeta{id: "mine"}))
					if !chunked {
						w.Header().Set("Content-Length", strconv.Itoa(size))
					}
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
					_, _ = io.WriteString(w, strings.Repeat("x", size))
				})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.Body()).To(gomega.HaveLen(size))
				g.Expect(pool.OpenConns(addr)).To(gomega.Equal(1), "size %d, chunked %v", size, chunked)
			}
		}
	})
}

// Attempts of one call may run concurrently, so that none may write to the
// header that they share.
func TestAttemptDoesNotModifyTheCall(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		var got string
		addr := serve(t, network, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Get("Traceparent") })
		b := &LocalBackend{
			Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "") }, ReadyAt: time.Now,
			Address: addr, MaxBufferBytes: 1000, Pool: newPool(t, network, false),
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 1}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Trace: func(ctx context.Context, _ string, h http.Header) (context.Context, func(error)) {
				h.Set("Traceparent", "span")
				return ctx, func(error) {}
			},
		}
		header := http.Header{"Accept": {"x"}}
		c := gtcall.New("mine", "GET", "/x").WithDeadline(time.Now().Add(time.Second)).WithHeader(header).WithIdempotent(true)
		_, err := b.Run(context.Background(), c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal("span"))
		g.Expect(header).To(gomega.Equal(http.Header{"Accept": {"x"}}))
	})
}

// An error response of a peer keeps its kind.
func TestPeerErrorKeepsItsKind(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		_, _, _, err := sendTo(t, network, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderResponse, encodeResponseMeta(responseMeta{id: "mine", kind: gtkind.Full, load: gtroute.NewLoad(3, 4)}))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "no room")
		})
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
		g.Expect(gtkind.Detail(err)).To(gomega.ContainSubstring("no room"))
	})
}

// A node that stops closes an idle connection in the moment in which a request is on its
// way: its notice says that the request has not run, so that it may be sent to another
// node, also if it must not run twice.
func TestCloseNoticeMeansNotRun(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		for kind, want := range map[string]gtkind.Kind{"leaving": gtkind.Leaving, "": gtkind.MismatchedResponse} {
			_, pool, addr, err := sendTo(t, network, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.Header().Set(HeaderKind, kind)
				w.WriteHeader(http.StatusRequestTimeout)
			})
			g.Expect(gtkind.Of(err)).To(gomega.Equal(want))
			g.Expect(pool.OpenConns(addr)).To(gomega.BeZero())
		}
		g.Expect(gtkind.Leaving.Row().Certainty()).To(gomega.Equal(gtkind.NotRun))
		g.Expect(gtkind.Leaving.Row().RetryElsewhere()).To(gomega.BeTrue())
	})
}
