package gthop

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtbudget"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtpool"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/process/gttrace"
)

const (
	// hopBodyBytes is the size of the bodies of these tests, over what sockets and buffers hold.
	hopBodyBytes = 12 << 20
	hopTimeout   = 10 * time.Second
	// hopReadTimeout is limit.slow of both nodes.
	hopReadTimeout = 2 * time.Second
)

// hops are two nodes and a backend server over loopback: a sender that forwards what it gets
// to the peer, and the peer beside the server. Fields that are set before start change them.
type hops struct {
	backend http.HandlerFunc
	slots   int
	// peer replaces the handler of the peer; send the sender's way of reading bodies.
	peer       http.Handler
	peerBudget *gtbudget.Budget
	readWhole  bool
	requests   *gtinflight.Table
	secure     bool // TLS between the nodes
	timeout    time.Duration

	edge, server string // addresses
	local        *LocalBackend
	pool         *gtpool.Pool
	backendConns sync.Map // of the backend server, by state

	mu       sync.Mutex
	sendErrs []error
}

func listen(t *testing.T, s *http.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ConnContext = gtsocket.WithConn
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

func (h *hops) start(t *testing.T) *hops {
	t.Helper()
	if h.slots == 0 {
		h.slots = 4
	}
	if h.timeout == 0 {
		h.timeout = hopTimeout
	}
	backend := &http.Server{Handler: h.backend}
	backend.ConnState = func(c net.Conn, s http.ConnState) { h.backendConns.Store(c.RemoteAddr().String(), s) }
	h.server = listen(t, backend)
	timer := &gttimer.Service{}
	go timer.Run(t.Context())
	newPool := func(ping bool) *gtpool.Pool {
		p := &gtpool.Pool{Dial: dialTCP, Now: time.Now, SupportsPing: ping, MaxConns: 200}
		t.Cleanup(p.Close)
		return p
	}
	h.local = &LocalBackend{
		Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "").WithBackend("s", "1", 1) }, ReadyAt: time.Now,
		Address: h.server, MaxBufferBytes: 1000, Pool: newPool(false), Gate: &gtadmission.Gate{Now: time.Now, Slots: h.slots, Fixed: true},
		Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{}, Trace: (&gttrace.Tracer{}).Start,
		CheckDown: func(context.Context) bool { return false }, OnCrash: func(gtdedup.Crash) {},
	}
	peer := &Handler{LocalBackend: h.local, Timer: timer, MaxBodyBytes: func() int { return 64 << 20 }, Budget: h.peerBudget, OnPanic: func(any) {}}
	go peer.Run(t.Context())
	if h.peer == nil {
		h.peer = peer
	}
	h.pool = newPool(true)
	hop := ""
	if h.secure {
		s := httptest.NewUnstartedServer(h.peer)
		s.Config.ConnContext, s.Config.ReadTimeout = gtsocket.WithConn, hopReadTimeout
		s.StartTLS()
		t.Cleanup(s.Close)
		hop = s.Listener.Addr().String()
		cfg := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		cfg.ServerName = "example.com"
		h.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := dialTCP(ctx, addr)
			if err != nil {
				return nil, err
			}
			return tls.Client(nc, cfg), nil
		}
	} else {
		hop = listen(t, &http.Server{Handler: h.peer, ReadTimeout: hopReadTimeout})
	}
	cl := &Client{Now: time.Now, Pool: h.pool, MaxBufferBytes: 1000, Trace: (&gttrace.Tracer{}).Start}
	h.edge = listen(t, &http.Server{ReadTimeout: hopReadTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := NewHold(nil, r)
		defer hold.Leave()
		deadline := time.Now().Add(h.timeout)
		reading := gtstream.Choose(false, false, r.ContentLength, gtstream.DefaultWholeBytes)
		if h.readWhole {
			reading = gtstream.Whole
		}
		entry := h.requests.Begin(gtinflight.Caller, r.RemoteAddr)
		defer entry.End()
		segments, stream, err := hold.OpenBody(r, entry, reading, 64<<20, gtstream.DefaultWholeBytes, deadline)
		if err != nil {
			WriteError(w, err)
			return
		}
		c := gtcall.New("mine", r.Method, r.URL.RequestURI()).WithHeader(ForwardableHeader(r.Header)).WithBodySegments(segments).WithStream(stream).
			WithRoute("s", "r", gtconfig.Normal).WithDeadline(deadline)
		resp, err := cl.Send(gtpool.WithGiveUp(r.Context(), func() bool { return false }), gtmember.NewRecord("i", "z", hop, hop), c)
		if err != nil && stream != nil {
			err = stream.Outcome(err)
		}
		h.mu.Lock()
		h.sendErrs = append(h.sendErrs, err)
		h.mu.Unlock()
		hold.EndBody(w)
		if err != nil {
			WriteError(w, err)
			return
		}
		hold.WriteResponse(w, resp)
	})})
	return h
}

// lastKind returns the kind of the sender's only attempt once it has ended.
func (h *hops) lastKind(g *gomega.WithT) gtkind.Kind {
	g.Eventually(func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.sendErrs)
	}, hopTimeout).Should(gomega.Equal(1))
	return gtkind.Of(h.sendErrs[0])
}

func (h *hops) post(body io.Reader) (*http.Response, string, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * hopTimeout}
	resp, err := client.Post("http://"+h.edge+"/x", "", body)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func testBody() []byte {
	return bytes.Repeat([]byte("0123456789abcde\n"), hopBodyBytes/16)
}

// hashed is a backend server that answers with the hash of the body.
func hashed(w http.ResponseWriter, r *http.Request) {
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
}

func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// bodies are the ways in which a body is sent.
var bodies = map[string]func(b []byte) io.Reader{
	"length":  func(b []byte) io.Reader { return bytes.NewReader(b) },
	"chunked": func(b []byte) io.Reader { return io.MultiReader(bytes.NewReader(b)) },
}

// Guards against a body that is changed or cut off on its way, and connections that are not
// reused after it.
func TestStreamedBodyArrivesBitForBit(t *testing.T) {
	for name, reader := range bodies {
		for _, size := range []int{hopBodyBytes, gtstream.DefaultWholeBytes + 1, gtstream.DefaultWholeBytes, 10} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := (&hops{backend: hashed, secure: size == hopBodyBytes}).start(t)
				b := testBody()[:size]
				for range 2 {
					resp, got, err := h.post(reader(b))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
					g.Expect(got).To(gomega.Equal(hashOf(b)))
				}
				g.Expect(h.local.Pool.OpenConns(h.server)).To(gomega.Equal(1))
				g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }).Should(gomega.BeZero())
			})
		}
	}
}

// Guards against a truncated body that looks complete to the backend server when its sender
// leaves in the middle.
func TestBodyThatIsCutOffNeverLooksComplete(t *testing.T) {
	for i, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n", hopBodyBytes), "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
		fmt.Sprintf("Content-Length: %d\r\n\r\n", hopBodyBytes), "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(framing[:7], func(t *testing.T) {
			g := gomega.NewWithT(t)
			read := make(chan error, 1)
			h := (&hops{secure: i >= 2, backend: func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				read <- err
			}}).start(t)
			conn, err := net.Dial("tcp", h.edge)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\n"+framing)
			_, _ = conn.Write(make([]byte, 600<<10))
			_ = conn.Close()
			g.Eventually(read, hopTimeout).Should(gomega.Receive(&err))
			g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
			g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.Canceled))
			g.Eventually(func() int { return h.local.Pool.OpenConns(h.server) }, hopTimeout).Should(gomega.BeZero())
			g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }).Should(gomega.BeZero())
		})
	}
}

// Guards against a response that waits for the rest of its body, and against a connection on
// which the server would take that rest for another request.
func TestServerThatRespondsEarly(t *testing.T) {
	for _, name := range []string{"length", "chunked", "length by TLS", "chunked by TLS"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var mu sync.Mutex
			requests := 0
			h := (&hops{secure: strings.HasSuffix(name, "TLS"), backend: func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				requests++
				mu.Unlock()
				_ = http.NewResponseController(w).EnableFullDuplex()
				_, _ = io.ReadFull(r.Body, make([]byte, 1000))
				w.WriteHeader(http.StatusForbidden)
				_, _ = io.WriteString(w, "early")
			}}).start(t)
			pr, pw := io.Pipe()
			go func() { // the caller never sends the rest
				_, _ = pw.Write(testBody()[:600<<10])
			}()
			client := http.Client{Timeout: hopTimeout}
			req, _ := http.NewRequest(http.MethodPost, "http://"+h.edge+"/x", pr)
			if strings.HasPrefix(name, "length") {
				req.ContentLength = hopBodyBytes
			}
			resp, err := client.Do(req)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			_ = pw.Close()
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusForbidden))
			g.Expect(string(b)).To(gomega.Equal("early"))
			g.Expect(resp.Close).To(gomega.BeTrue(), "the rest of the body would be taken for another request")
			g.Eventually(func() int { return h.local.Pool.OpenConns(h.server) }, hopTimeout).Should(gomega.BeZero())
			g.Expect(requests).To(gomega.Equal(1))
		})
	}
}

// Guards against a refusal that reads, or forwards, the body, or holds the response back.
func TestRefusedBodyIsNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs sync.Map
	h := (&hops{backend: func(http.ResponseWriter, *http.Request) { runs.Store("run", true) }}).start(t)
	h.local.MayRun = func(gtcall.Call) error { return gtkind.New(gtkind.Leaving, "draining") }
	// The caller sends the first window and nothing more.
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() { _, _ = pw.Write(testBody()[:gtstream.WindowBytes]) }()
	req, _ := http.NewRequest(http.MethodPost, "http://"+h.edge+"/x", pr)
	req.ContentLength = hopBodyBytes
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get(HeaderCertainty)).To(gomega.Equal("not run"))
	g.Expect(resp.Close).To(gomega.BeTrue())
	_, ran := runs.Load("run")
	g.Expect(ran).To(gomega.BeFalse())
	g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.Leaving))
}

// Guards against the timeout for reading a request, which must not cut off a body that the
// backend server reads slowly.
func TestSlowServerGetsTheWholeBody(t *testing.T) {
	for name, reader := range bodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			h := (&hops{backend: func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(2 * hopReadTimeout)
				hashed(w, r)
			}}).start(t)
			resp, got, err := h.post(reader(testBody()))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), got)
			g.Expect(got).To(gomega.Equal(hashOf(testBody())))
		})
	}
}

// Guards against a body that outlives the deadline of its request.
func TestDeadlineBoundsAStreamedBody(t *testing.T) {
	g := gomega.NewWithT(t)
	read := make(chan error, 1)
	h := (&hops{timeout: 3 * time.Second, backend: func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	}}).start(t)
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() { _, _ = pw.Write(testBody()[:600<<10]) }()
	resp, got, err := h.post(pr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout), got)
	g.Expect(resp.Header.Get(HeaderCertainty)).To(gomega.Equal("unknown"))
	g.Eventually(read, hopTimeout).Should(gomega.Receive(&err))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(h.local.Outcomes.Report("i", "1").Routes()).To(gomega.BeEmpty(), "the caller's delay is no evidence about the version")
	g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }, hopTimeout).Should(gomega.BeZero())
}

// Guards against an answer that promises "not run", and a retry, when the server or the node
// beside it dies in the middle of a body.
func TestServerThatDiesInTheMiddle(t *testing.T) {
	die := func(r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 100<<10))
		panic(http.ErrAbortHandler)
	}
	for name, h := range map[string]*hops{
		"server": {backend: func(_ http.ResponseWriter, r *http.Request) { die(r) }},
		"node": {backend: hashed, peer: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			(&keepAlive{w: w}).askForBody(true)
			die(r)
		})},
	} {
		for framing, reader := range bodies {
			t.Run(name+" "+framing, func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := (&hops{backend: h.backend, peer: h.peer}).start(t)
				resp, got, err := h.post(reader(testBody()))
				if err == nil { // else the caller met the reset of a connection that it still wrote to
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), got)
				}
				g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.ConnectionLost))
				g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }, hopTimeout).Should(gomega.BeZero())
			})
		}
	}
}

// Guards against a body that is lost, or forwarded in windows, to a node from before windows:
// it asks for the body without the field, reads it whole and refuses only then.
func TestOlderNodeGetsTheWholeBody(t *testing.T) {
	for name, reader := range bodies {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := make(chan string, 1)
			h := (&hops{backend: hashed, peer: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, err := io.ReadAll(r.Body)
				if err != nil {
					t.Error(err)
				}
				got <- hashOf(b)
				time.Sleep(100 * time.Millisecond)
				w.Header().Set(HeaderResponse, encodeResponseMeta(responseMeta{id: "mine"}))
				_, _ = io.WriteString(w, "old")
			})}).start(t)
			resp, answer, err := h.post(reader(testBody()))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), answer)
			g.Expect(answer).To(gomega.Equal("old"))
			g.Expect(<-got).To(gomega.Equal(hashOf(testBody())))
		})
	}
}

// Guards against a node that refuses, or cuts off, what a sender from before windows sends.
func TestOlderSenderIsServed(t *testing.T) {
	for name, reader := range bodies {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := (&hops{backend: hashed, readWhole: true}).start(t)
			resp, got, err := h.post(reader(testBody()))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), got)
			g.Expect(got).To(gomega.Equal(hashOf(testBody())))
		})
	}
}

// Guards against a request whose first window finds no memory and that runs anyway, or waits
// for ever.
func TestFirstWindowWaitsForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := &gtbudget.Budget{Bytes: 1 << 20, Now: time.Now}
	g.Expect(budget.TryReserve(1 << 20)).To(gomega.BeTrue())
	var runs sync.Map
	h := (&hops{peerBudget: budget, backend: func(w http.ResponseWriter, r *http.Request) {
		runs.Store("run", true)
		hashed(w, r)
	}}).start(t)
	start := time.Now()
	_, _, _ = h.post(bytes.NewReader(testBody()))
	g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.Full))
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", roomTime))
	_, ran := runs.Load("run")
	g.Expect(ran).To(gomega.BeFalse())
	time.AfterFunc(roomTime/4, func() { budget.Release(1 << 20) })
	resp, got, err := h.post(bytes.NewReader(testBody()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), got)
}

// Guards against a crowd that takes all slots of the backend server with bodies that stop short
// of their end.
func TestStalledBodyLosesItsSlotWhenNoneIsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	var errs []error
	begun, release := make(chan struct{}), make(chan struct{})
	h := (&hops{slots: 2, timeout: 30 * time.Second, backend: func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			close(begun)
			<-release
			return
		}
		_, err := io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		errs = append(errs, err)
	}}).start(t)
	conn, err := net.Dial("tcp", h.edge)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, _ = conn.Write(make([]byte, 1<<20-1))
	busy := func() int { return h.local.Gate.Load("r").Busy() }
	g.Eventually(busy, hopTimeout).Should(gomega.Equal(1))
	g.Consistently(busy, 3*gtstream.StallTime/2).Should(gomega.Equal(1), "a slot is free")
	c := gtcall.New("other", http.MethodGet, "/x").WithRoute("s", "r", gtconfig.Normal).WithDeadline(time.Now().Add(time.Minute))
	go func() { _, _ = h.local.Run(context.Background(), c) }()
	g.Eventually(begun, hopTimeout).Should(gomega.BeClosed())
	g.Eventually(busy, hopTimeout).Should(gomega.Equal(1))
	close(release)
	g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.ConnectionLost))
	g.Eventually(func() error {
		mu.Lock()
		defer mu.Unlock()
		return errors.Join(errs...)
	}).Should(gomega.MatchError(io.ErrUnexpectedEOF))
	answer := make([]byte, 100)
	_ = conn.SetReadDeadline(time.Now().Add(hopTimeout))
	n, _ := conn.Read(answer)
	g.Expect(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 502 ")).To(gomega.BeTrue(), string(answer[:n]))
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Guards against a crowd that stops short of its bodies and takes the slots of requests that
// have arrived: with one slot, no body may be on its way in it. It is read whole, and arrives.
func TestBodyWithoutPermitIsReadWhole(t *testing.T) {
	for name, reader := range bodies {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := (&hops{slots: 1, backend: hashed}).start(t)
			pr, pw := io.Pipe()
			go func() {
				_, _ = io.Copy(pw, reader(testBody()[:hopBodyBytes/2]))
				g.Consistently(func() int { return h.local.Gate.Load("r").Busy() }, "300ms").Should(gomega.BeZero())
				_, _ = pw.Write(testBody()[hopBodyBytes/2:])
				_ = pw.Close()
			}()
			resp, got, err := h.post(pr)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), got)
			g.Expect(got).To(gomega.Equal(hashOf(testBody())))
		})
	}
}

// Guards against the time of a slow sender in what is learned of the backend server, and
// against a streamed request that is not counted as one that ran.
func TestTimeOfASlowSenderIsNotTheServers(t *testing.T) {
	g := gomega.NewWithT(t)
	h := (&hops{backend: hashed}).start(t)
	var mu sync.Mutex
	var begun, notRun int
	var served time.Duration
	var status int
	h.local.OnBegin = func(gtcall.Call) func() {
		mu.Lock()
		defer mu.Unlock()
		begun++
		return func() { notRun++ }
	}
	h.local.ReadyAt = func() time.Time { return time.Now().Add(-time.Hour) }
	h.local.OnServed = func(_ string, _ int, start, end time.Time) {
		mu.Lock()
		defer mu.Unlock()
		served = end.Sub(start)
	}
	h.local.OnResult = func(_ gtcall.Call, s int, _ error, _ time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		status = s
	}
	const pause = 1500 * time.Millisecond
	b := testBody()
	pr, pw := io.Pipe()
	go func() {
		_, _ = pw.Write(b[:hopBodyBytes/2])
		time.Sleep(pause)
		_, _ = pw.Write(b[hopBodyBytes/2:])
		_ = pw.Close()
	}()
	resp, got, err := h.post(pr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), got)
	g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }).Should(gomega.BeZero())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(begun).To(gomega.Equal(1))
	g.Expect(notRun).To(gomega.BeZero())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(served).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", pause)))
}

// Guards against a stop at whose end a body that is still on its way looks complete, or its
// caller gets a reset in place of an answer.
func TestStopCutsOffABodyOnItsWay(t *testing.T) {
	g := gomega.NewWithT(t)
	read := make(chan error, 1)
	h := (&hops{requests: &gtinflight.Table{Now: time.Now}, backend: func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	}}).start(t)
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() { _, _ = pw.Write(testBody()[:600<<10]) }()
	go func() {
		g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }, hopTimeout).Should(gomega.Equal(1))
		h.requests.InterruptReading(time.Now())
		g.Consistently(read, "200ms").ShouldNot(gomega.Receive(), "its request runs")
		h.requests.StopStreams()
	}()
	resp, got, err := h.post(pr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), got)
	g.Eventually(read, hopTimeout).Should(gomega.Receive(&err))
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a stop that waits for a body which is read whole, and against an answer to
// its caller that doesn't say that the request has not run.
func TestStopInterruptsABodyWithoutPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	h := (&hops{slots: 1, requests: &gtinflight.Table{Now: time.Now}, backend: hashed}).start(t)
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() { _, _ = pw.Write(testBody()[:600<<10]) }()
	stop := time.AfterFunc(time.Second, func() { h.requests.InterruptReading(time.Now()) })
	defer stop.Stop()
	resp, got, err := h.post(pr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), got)
	g.Expect(resp.Header.Get(HeaderCertainty)).To(gomega.Equal("not run"))
	g.Expect(h.lastKind(g)).To(gomega.Equal(gtkind.Leaving))
}
