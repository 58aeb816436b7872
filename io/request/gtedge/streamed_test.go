package gtedge

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/core/version/gtcanary"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpool"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/process/gttrace"
	"godwittide/io/request/gthop"
)

const streamedBytes = 4 << 20

// listen serves h over loopback until the test ends and returns its address.
func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnContext: gtsocket.WithConn}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// startPeer starts a peer with a backend server that answers with the hash of the body. mayRun
// decides whether it runs a call.
func startPeer(t *testing.T, name string, mayRun func(gtcall.Call) error) gtmember.Record {
	backend := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		if _, err := io.Copy(sum, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
	}))
	pool := &gtpool.Pool{Dial: dialTCP, Now: time.Now, MaxConns: 10}
	t.Cleanup(pool.Close)
	timer := &gttimer.Service{}
	go timer.Run(t.Context())
	self := peerRecord(name, "")
	return peerRecord(name, listen(t, &gthop.Handler{
		Timer: timer, MaxBodyBytes: func() int { return 2 * streamedBytes }, OnPanic: func(any) {},
		LocalBackend: &gthop.LocalBackend{
			Now: time.Now, Self: func() gtmember.Record { return self }, ReadyAt: time.Now, Address: backend, MaxBufferBytes: 1000, Pool: pool, MayRun: mayRun,
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 10, Fixed: true}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Keys: &gtdedup.Keys{Now: time.Now}, HistoryKnown: func(string) bool { return true },
			Trace: (&gttrace.Tracer{}).Start, CheckDown: func(context.Context) bool { return false }, OnCrash: func(gtdedup.Crash) {},
		},
	}))
}

func peerRecord(name, addr string) gtmember.Record {
	return gtmember.NewRecord(name, "z", addr, addr).WithBackend("lending", "1", 10).WithState(gtmember.Ready)
}

// startOlderPeer starts a peer from before windows that reads each body whole and then refuses.
func startOlderPeer(t *testing.T, name string, refused *atomic.Int64) gtmember.Record {
	return peerRecord(name, listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		refused.Add(1)
		id, _, _ := strings.Cut(r.Header.Get(gthop.HeaderCall), "/")
		w.Header().Set(gthop.HeaderResponse, id+"/0/10/0/0/leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
}

// startEdge returns the address of an edge with the peers, and what it records of streams.
func startEdge(t *testing.T, peers ...gtmember.Record) (string, *atomic.Int64) {
	e := newEdge(t, &gtpipe.Network{}, peers)
	pool := &gtpool.Pool{Dial: dialTCP, Now: time.Now, SupportsPing: true, MaxConns: 10}
	t.Cleanup(pool.Close)
	e.Client.Pool = pool
	e.IDPrefix = "e-"
	e.MaxBodyBytes = func() int { return 2 * streamedBytes }
	e.HistoryKnown = func(string) bool { return true }
	streamed := &atomic.Int64{}
	e.OnStreamed = func(gtcall.Call, gtstream.Cause) { streamed.Add(1) }
	return listen(t, e), streamed
}

func post(g *gomega.WithT, edge string, body io.Reader, header http.Header) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+edge+"/lending/x", body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for k, v := range header {
		req.Header[k] = v
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func streamedBody() ([]byte, string) {
	b := bytes.Repeat([]byte("0123456789abcde\n"), streamedBytes/16)
	sum := sha256.Sum256(b)
	return b, hex.EncodeToString(sum[:])
}

// Guards against a body that is lost when the first node refuses its request, whether that node
// takes bodies in windows or whole.
func TestRefusedStreamGoesToAnotherNode(t *testing.T) {
	for _, older := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			g := gomega.NewWithT(t)
			var refused atomic.Int64
			serving := startPeer(t, "b", nil)
			var first gtmember.Record
			if older {
				first = startOlderPeer(t, "a", &refused)
			} else {
				first = startPeer(t, "a", func(gtcall.Call) error {
					refused.Add(1)
					return gtkind.New(gtkind.Leaving, "draining")
				})
			}
			body, want := streamedBody()
			for range 4 {
				edge, streamed := startEdge(t, first, serving)
				reader := io.Reader(bytes.NewReader(body))
				if chunked {
					reader = io.MultiReader(reader)
				}
				status, got := post(g, edge, reader, nil)
				g.Expect(status).To(gomega.Equal(http.StatusOK), got)
				g.Expect(got).To(gomega.Equal(want))
				if !older { // which makes the edge keep the body
					g.Eventually(streamed.Load).Should(gomega.Equal(int64(1)))
				}
			}
			g.Expect(refused.Load()).To(gomega.BeNumerically(">", 0), "older %v: no node refused, which shows nothing", older)
		}
	}
}

// Guards against a repeat of an idempotency key with another large body that gets the response
// to the first: bodies with a key are read whole, so that their hash is known.
func TestLargeBodyWithKeyIsComparedWithItsRepeat(t *testing.T) {
	g := gomega.NewWithT(t)
	edge, streamed := startEdge(t, startPeer(t, "a", nil))
	body, want := streamedBody()
	key := http.Header{gthop.HeaderIdempotencyKey: {"k1"}}
	for range 2 {
		status, got := post(g, edge, bytes.NewReader(body), key)
		g.Expect(status).To(gomega.Equal(http.StatusOK), got)
		g.Expect(got).To(gomega.Equal(want))
	}
	body[len(body)-1]++
	status, _ := post(g, edge, bytes.NewReader(body), key)
	g.Expect(status).To(gomega.Equal(http.StatusConflict))
	g.Expect(streamed.Load()).To(gomega.BeZero())
}
