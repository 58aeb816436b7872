package gtnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtsocket"
)

// slowListener accepts connections late, as a process does that is short of processor
// time.
type slowListener struct{ *net.TCPListener }

// Accept returns the next connection some time after it has come.
func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(50 * time.Millisecond)
	return l.TCPListener.Accept()
}

// A planned stop under load: a caller has opened a connection and sent its request, and
// the node has not accepted it yet when it stops. Closing the listener would reset it.
func TestStopServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return slowListener{ln.(*net.TCPListener)}
	}
	s := &servers{listeners: listeners{edge: listen(), hop: listen(), peer: listen()}}
	s.listeners.hopSocket = s.listeners.hop
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	s.edge, s.hop, s.admin = &http.Server{Handler: h, ConnState: s.edgeConns.trackState}, &http.Server{Handler: h, ConnState: s.hopConns.trackState}, &http.Server{}
	go func() { _ = s.edgeConns.serve(s.edge, s.listeners.edge) }()
	go func() { _ = s.hopConns.serve(s.hop, s.listeners.hop) }()
	var conns []net.Conn
	for _, ln := range []net.Listener{s.listeners.edge, s.listeners.hop} {
		for range 3 {
			c, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer c.Close()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			conns = append(conns, c)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := &gttimer.Service{}
	go timer.Run(ctx)
	s.shutdown(ctx, timer, 0)
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "connection %d", i)
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		resp.Body.Close()
	}
}

// stopStand has the servers of a node, and a caller with a request for them.
type stopStand struct {
	*servers
	conn net.Conn
}

// newStopStand returns servers that serve callers with a handler on the listener that wrap
// returns. The caller has sent its request.
func newStopStand(t *testing.T, h http.HandlerFunc, wrap func(*net.TCPListener) net.Listener, trackState func(*idleConns) func(net.Conn, http.ConnState)) stopStand {
	t.Helper()
	listen := func() *net.TCPListener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln.(*net.TCPListener)
	}
	s := &servers{listeners: listeners{edge: wrap(listen()), hop: listen(), peer: listen()}}
	s.listeners.hopSocket = s.listeners.hop
	s.edge, s.hop, s.admin = &http.Server{Handler: h, ConnState: trackState(&s.edgeConns)}, &http.Server{}, &http.Server{}
	go func() { _ = s.edgeConns.serve(s.edge, s.listeners.edge) }()
	c, err := net.Dial("tcp", s.listeners.edge.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, simpleRequest); err != nil {
		t.Fatal(err)
	}
	return stopStand{servers: s, conn: c}
}

// stop stops the servers as a node does, and checks that the request is served.
func (s stopStand) stop(t *testing.T) {
	t.Helper()
	timer := &gttimer.Service{}
	go timer.Run(t.Context())
	s.shutdown(t.Context(), timer, 0)
	s.close()
	expectServed(gomega.NewWithT(t), bufio.NewReader(s.conn))
}

func serveAtOnce(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }

func trackAtOnce(i *idleConns) func(net.Conn, http.ConnState) { return i.trackState }

// lateListener returns connections some time after it has accepted them.
type lateListener struct {
	*net.TCPListener
	accepted chan struct{}
}

// Accept returns the next connection.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		close(l.accepted)
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

// The node stops when a connection has left the queue of its listener, and the server has not
// seen it yet: neither the listener nor the tracked connections show it.
func TestStopServesAConnectionThatWasJustAccepted(t *testing.T) {
	accepted := make(chan struct{})
	s := newStopStand(t, serveAtOnce, func(ln *net.TCPListener) net.Listener { return lateListener{ln, accepted} }, trackAtOnce)
	<-accepted
	s.stop(t)
}

// net/http calls a connection active when it has read a head, and then drops the request if its
// Shutdown has begun meanwhile.
func TestStopServesARequestWhoseHeadWasJustRead(t *testing.T) {
	read := make(chan struct{})
	s := newStopStand(t, serveAtOnce, func(ln *net.TCPListener) net.Listener { return ln }, func(i *idleConns) func(net.Conn, http.ConnState) {
		return func(c net.Conn, state http.ConnState) {
			i.trackState(c, state)
			if state == http.StateActive {
				close(read)
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
	<-read
	s.stop(t)
}

// pausedListener is closed only after all the time that a shutdown has.
type pausedListener struct {
	*net.TCPListener
	closed chan struct{}
	once   *sync.Once
}

// Close closes the listener.
func (l pausedListener) Close() error {
	l.once.Do(func() {
		time.Sleep(minShutdownTime + 10*time.Millisecond)
		close(l.closed)
	})
	return l.TCPListener.Close()
}

// The process gets no processor time for all the time that a shutdown has. Requests that need
// a moment must not be cut off when it goes on.
func TestStopServesRequestsAfterAPauseOfTheProcess(t *testing.T) {
	closed, started := make(chan struct{}), make(chan struct{})
	h := func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-closed
		time.Sleep(5 * time.Millisecond)
		serveAtOnce(w, r)
	}
	s := newStopStand(t, h, func(ln *net.TCPListener) net.Listener { return pausedListener{ln, closed, &sync.Once{}} }, trackAtOnce)
	<-started
	s.stop(t)
}

// Peers go on sending requests on kept connections until the moment in which a node that
// stops closes them. Each request must be answered, or told that it has not run.
func TestStopCutsNoRequestOfAPeerOnAKeptConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return ln
	}
	for range 20 {
		s := &servers{listeners: listeners{edge: listen(), hop: listen(), peer: listen()}}
		s.listeners.hopSocket = s.listeners.hop
		s.hopConns.notice = closeNotice
		ran := make(map[string]bool)
		var draining atomic.Bool
		var mu sync.Mutex
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.URL.Path] = true
			_, _ = io.WriteString(w, "served")
		})
		s.edge, s.admin = &http.Server{Handler: h}, &http.Server{}
		s.hop = &http.Server{Handler: s.hopConns.closeWhen(draining.Load, h), ConnState: s.hopConns.trackState, ConnContext: gtsocket.WithConn}
		go func() { _ = s.edge.Serve(s.listeners.edge) }()
		go func() { _ = s.hopConns.serve(s.hop, s.listeners.hop) }()
		results := make([]string, 8)
		var wg sync.WaitGroup
		for i := range results {
			c, err := net.Dial("tcp", s.listeners.hop.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			wg.Go(func() {
				defer c.Close()
				results[i] = sendUntilClosed(c, i, func(path string) bool {
					mu.Lock()
					defer mu.Unlock()
					return ran[path]
				})
			})
		}
		time.Sleep(5 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		timer := &gttimer.Service{}
		go timer.Run(ctx)
		draining.Store(true)
		s.shutdown(ctx, timer, 0)
		wg.Wait()
		cancel()
		for _, result := range results {
			g.Expect(result).To(gomega.Or(gomega.Equal("not run"), gomega.Equal("told to close")))
		}
	}
}

// sendUntilClosed sends requests on a connection, one after the other, until the server
// closes it. It returns what became of the last one.
func sendUntilClosed(c net.Conn, client int, ran func(path string) bool) string {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		path := fmt.Sprintf("/%d/%d", client, n)
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", path); err != nil && r.Buffered() == 0 {
			// The notice may have come before the request was written.
			if resp, readErr := http.ReadResponse(r, nil); readErr != nil || resp.StatusCode != http.StatusRequestTimeout {
				return fmt.Sprintf("not written: %v, %v", err, readErr)
			}
			return "not run"
		}
		resp, err := http.ReadResponse(r, nil)
		switch {
		case err != nil:
			return fmt.Sprintf("cut off: %v", err)
		case resp.StatusCode == http.StatusRequestTimeout && !ran(path):
			return "not run"
		case resp.StatusCode != http.StatusOK:
			return resp.Status
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.Close {
			return "told to close"
		}
	}
}

// serveEdge serves callers on a listener of its own, with the connections tracked by conns.
func serveEdge(t *testing.T, conns *idleConns) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	server := &http.Server{Handler: h, ConnState: conns.trackState, ConnContext: gtsocket.WithConn}
	go func() { _ = server.Serve(&limitListener{Listener: ln, maxConns: func() int64 { return 9 }}) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), server.Close() })
	return c
}

// only returns the state of the only tracked connection, and whether bytes have been
// received on it.
func (i *idleConns) only() (state connState, received bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, s := range i.conns {
		return s, c.(*limitConn).hasReceived()
	}
	return connActive, false
}

// expectServed reads a response and checks that it is the handler's.
func expectServed(g *gomega.WithT, r *bufio.Reader) {
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
}

const simpleRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// A caller's next request on a kept connection arrives in two parts, and the node stops in
// between. The first part has left the socket, so that the connection looks idle.
func TestStopServesARequestWhoseHeadIsBeingRead(t *testing.T) {
	g := gomega.NewWithT(t)
	conns := &idleConns{}
	c := serveEdge(t, conns)
	r := bufio.NewReader(c)
	_, err := io.WriteString(c, simpleRequest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	expectServed(g, r)
	g.Eventually(func() connState { state, _ := conns.only(); return state }, "10s").Should(gomega.Equal(connIdle))
	_, err = io.WriteString(c, simpleRequest[:10])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool { _, received := conns.only(); return received }, "10s").Should(gomega.BeTrue())
	g.Expect(conns.close()).To(gomega.Equal(1))
	_, err = io.WriteString(c, simpleRequest[10:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	expectServed(g, r)
}

// A caller or peer has opened a connection and is about to send its first request, which a
// process short of processor time does late, when the node closes its servers (soak, seed
// 801). A client may not repeat a request that fails on a new connection.
func TestStopServesTheFirstRequestOfANewConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, notice := range [][]byte{nil, closeNotice} {
		conns := &idleConns{notice: notice}
		c := serveEdge(t, conns)
		g.Eventually(func() connState { state, _ := conns.only(); return state }, "10s").Should(gomega.Equal(connNew))
		g.Expect(conns.close()).To(gomega.Equal(1), "notice: %v", notice != nil)
		_, err := io.WriteString(c, simpleRequest)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		expectServed(g, bufio.NewReader(c))
	}
}
