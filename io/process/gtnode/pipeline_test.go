package gtnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/connection/gtsequence"
	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtpipeline"
	"godwittide/io/connection/gtsocket"
)

// pipelineStand is a server of callers whose connections may be taken over. Its handler waits
// for /slow until it is let go, and echoes the path.
type pipelineStand struct {
	servers  *servers
	listener *limitListener
	addr     string
	slow     chan struct{}
	draining atomic.Bool
	started  atomic.Int64
	left     atomic.Int64 // requests whose caller had left when they were let go
}

func newPipelineStand(t *testing.T, notice []byte) *pipelineStand {
	t.Helper()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	s := &pipelineStand{servers: &servers{listeners: listeners{edge: listen(), hop: listen(), peer: listen()}}, slow: make(chan struct{})}
	s.servers.listeners.hopSocket = s.servers.listeners.hop
	s.addr = s.servers.listeners.edge.Addr().String()
	conns := &s.servers.edgeConns
	conns.notice = notice
	h := conns.closeWhen(s.draining.Load, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.started.Add(1)
		if strings.HasPrefix(r.URL.Path, "/slow") {
			<-s.slow
		}
		if gtsocket.CallerLeft(r.Context()) {
			s.left.Add(1)
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	p := &gtpipeline.Server{
		Handler: h, Idempotent: func(r *http.Request) bool { return r.Method == http.MethodGet }, Draining: s.draining.Load,
		Limits:       gtsequence.Limits{Requests: 16, RequestBytes: 1 << 16, ResponseBytes: 1 << 16},
		MaxHeadBytes: 1 << 13, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		OnState: conns.trackTakenOver, OnWait: resetReceived,
	}
	s.servers.edge = &http.Server{Handler: p, ConnContext: p.ConnContext, ConnState: func(c net.Conn, state http.ConnState) {
		p.ConnState(c, state)
		conns.trackState(c, state)
	}}
	s.servers.hop, s.servers.admin = &http.Server{}, &http.Server{}
	s.listener = &limitListener{Listener: p.Listener(s.servers.listeners.edge), maxConns: func() int64 { return 9 }}
	go func() { _ = s.servers.edge.Serve(s.listener) }()
	t.Cleanup(s.servers.close)
	return s
}

// dial opens a connection and sends text.
func (s *pipelineStand) dial(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readPath reads a response and returns its body and whether it closes the connection.
func readPath(g *gomega.WithT, r *bufio.Reader) (string, bool) {
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(b), resp.Close
}

// A stop with five requests of one caller in flight: the HTTP server doesn't know the
// connection any more, and would close it under them.
func TestStopAnswersRequestsThatWereSentAhead(t *testing.T) {
	for _, notice := range [][]byte{nil, closeNotice} {
		g := gomega.NewWithT(t)
		s := newPipelineStand(t, notice)
		text := ""
		for i := range 5 {
			text += getRequest(fmt.Sprintf("/slow/%d", i))
		}
		_, r := s.dial(t, text+"POST /last HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		g.Eventually(s.started.Load, "10s").Should(gomega.Equal(int64(5)))
		ctx, cancel := context.WithCancel(context.Background())
		timer := &gttimer.Service{}
		go timer.Run(ctx)
		s.draining.Store(true)
		time.AfterFunc(50*time.Millisecond, func() { close(s.slow) })
		g.Expect(s.servers.shutdown(ctx, timer, 10*time.Second)).To(gomega.BeTrue())
		for i := range 5 {
			path, closes := readPath(g, r)
			g.Expect(path).To(gomega.Equal(fmt.Sprintf("/slow/%d", i)))
			g.Expect(closes).To(gomega.Equal(i == 4), "the last one tells that nothing behind it was read")
		}
		_, err := r.ReadByte()
		g.Expect(err).To(gomega.Equal(io.EOF))
		g.Expect(s.started.Load()).To(gomega.Equal(int64(5)))
		g.Expect(s.left.Load()).To(gomega.BeZero())
		g.Eventually(s.listener.open.Load, "10s").Should(gomega.BeZero())
		cancel()
	}
}

// A stop closes a connection that was taken over and is idle as it closes others: at once, with
// the notice if the callers know it. A request whose head is being read is served.
func TestStopClosesIdleConnectionsThatWereTakenOver(t *testing.T) {
	for _, notice := range [][]byte{nil, closeNotice} {
		g := gomega.NewWithT(t)
		s := newPipelineStand(t, notice)
		conns := &s.servers.edgeConns
		c, r := s.dial(t, getRequest("/a")+getRequest("/b"))
		for _, want := range []string{"/a", "/b"} {
			path, _ := readPath(g, r)
			g.Expect(path).To(gomega.Equal(want))
		}
		g.Expect(conns.takenOverCount()).To(gomega.Equal(1))
		g.Eventually(func() connState { state, _ := conns.only(); return state }, "10s").Should(gomega.Equal(connIdle))
		begin, rest := getRequest("/c")[:10], getRequest("/c")[10:]
		_, _ = io.WriteString(c, begin)
		g.Eventually(func() connState { state, _ := conns.only(); return state }, "10s").Should(gomega.Equal(connActive))
		g.Expect(conns.close()).To(gomega.Equal(1))
		_, _ = io.WriteString(c, rest)
		path, _ := readPath(g, r)
		g.Expect(path).To(gomega.Equal("/c"))
		g.Eventually(conns.close, "10s").Should(gomega.BeZero())
		if notice != nil {
			resp, err := http.ReadResponse(r, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
		}
		_, err := r.ReadByte()
		g.Expect(err).To(gomega.Equal(io.EOF))
		g.Eventually(conns.takenOverCount, "10s").Should(gomega.BeZero())
		g.Eventually(s.listener.open.Load, "10s").Should(gomega.BeZero())
	}
}

// A shutdown that has run out of time closes the connections that were taken over, too, and
// tells that some were in use.
func TestStopThatTimesOutClosesConnectionsThatWereTakenOver(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newPipelineStand(t, nil)
	_, r := s.dial(t, getRequest("/slow")+getRequest("/b"))
	g.Eventually(s.started.Load, "10s").Should(gomega.Equal(int64(2)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := &gttimer.Service{}
	go timer.Run(ctx)
	g.Expect(s.servers.shutdown(ctx, timer, 0)).To(gomega.BeFalse())
	s.servers.close()
	_, err := r.ReadByte()
	g.Expect(err).To(gomega.HaveOccurred())
	close(s.slow)
	g.Eventually(s.servers.edgeConns.takenOverCount, "10s").Should(gomega.BeZero())
}

// The hop looks at the socket right before it sends a request on. With requests sent ahead
// another goroutine reads that socket.
func TestCallerThatLeftIsSeenOnATakenOverConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newPipelineStand(t, nil)
	c, _ := s.dial(t, getRequest("/slow/a")+getRequest("/slow/b"))
	g.Eventually(s.started.Load, "10s").Should(gomega.Equal(int64(2)))
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	close(s.slow)
	g.Eventually(s.left.Load, "10s").Should(gomega.Equal(int64(2)))
}

// The metrics tell whether callers send ahead at all, and whether they reach the bound.
func TestPipelinesCountsRequestsAndDepth(t *testing.T) {
	g := gomega.NewWithT(t)
	var p pipelines
	for _, depth := range []int{2, 5, 3} {
		p.recordRequest(depth)
	}
	g.Expect(p.requests.Load()).To(gomega.Equal(int64(3)))
	g.Expect(p.deepest.Load()).To(gomega.Equal(int64(5)))
}
