package gtpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"godwittide/core/connection/gtliveness"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtsocket"
	"godwittide/test/gtclock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// servePeer accepts connections on a network and calls respond for each request,
// with the number of earlier requests on the same connection. The connection is
// closed when respond returns false.
func servePeer(t *testing.T, network *gtpipe.Network, respond func(n int, w io.Writer, r *http.Request) bool) (addr string, conns *atomic.Int64) {
	t.Helper()
	ln, err := network.Listen(network.NewAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !respond(n, c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// writeOK writes a complete response and reports whether it succeeded.
func writeOK(w io.Writer) bool {
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func newPool(network *gtpipe.Network) *Pool {
	return &Pool{Dial: network.Dial, Now: time.Now, SupportsPing: true, MaxConns: 4}
}

func get(ctx context.Context, p *Pool, addr string, idempotent bool) (string, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/x", nil)
	resp, err := p.Do(ctx, addr, "normal", req, idempotent)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestConnectionIsReusedAndBounded(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, conns := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool { return writeOK(w) })
		p := newPool(network)
		defer p.Close()
		for range 5 {
			body, err := get(context.Background(), p, addr, true)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("ok"))
		}
		g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
		inUse := 0
		for range 6 {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
			resp, err := p.Do(context.Background(), addr, "normal", req, true)
			if err != nil {
				g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
				continue
			}
			inUse++
			defer resp.Body.Close()
		}
		g.Expect(inUse).To(gomega.Equal(4))
		g.Expect(p.OpenConns(addr)).To(gomega.Equal(4))
	})
}

// An idle connection whose server no longer responds must not carry a
// non-idempotent request: the ping fails, and a new connection is opened.
func TestUnresponsiveIdleConnectionIsReplaced(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		var unresponsive atomic.Bool
		var posts atomic.Int64
		addr, conns := servePeer(t, network, func(n int, w io.Writer, r *http.Request) bool {
			if unresponsive.Load() && n > 0 {
				return true // reads the request and never responds
			}
			if r.Method == http.MethodPost {
				posts.Add(1)
			}
			return writeOK(w)
		})
		p := newPool(network)
		defer p.Close()
		_, err := get(context.Background(), p, addr, false)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		unresponsive.Store(true)
		<-time.After(2 * gtliveness.FreshNonIdempotent)
		start := time.Now()
		_, err = get(context.Background(), p, addr, false)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
		g.Expect(posts.Load()).To(gomega.Equal(int64(2)))
		g.Expect(conns.Load()).To(gomega.Equal(int64(2)))
	})
}

// Each response refreshes the liveness of its connection, so a connection in
// frequent use is not pinged.
func TestBusyConnectionIsNotPinged(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		pings := 0
		addr, conns := servePeer(t, network, func(_ int, w io.Writer, r *http.Request) bool {
			if r.URL.Path != PingPath {
				return writeOK(w)
			}
			pings++
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
		p := newPool(network)
		defer p.Close()
		for range 10 {
			_, err := get(context.Background(), p, addr, false)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			<-time.After(gtliveness.FreshNonIdempotent / 2)
		}
		g.Expect(pings).To(gomega.BeZero())
		g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
	})
}

func TestKindsOfFailure(t *testing.T) {
	cases := map[string]struct {
		respond func(n int, w io.Writer, r *http.Request) bool
		want    gtkind.Kind
	}{
		"closed before the response": {func(int, io.Writer, *http.Request) bool { return false }, gtkind.ConnectionLost},
		"connection lost in the body": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		}, gtkind.ConnectionLost},
		"connection lost in a chunked body": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}, gtkind.ConnectionLost},
		"no response": {func(int, io.Writer, *http.Request) bool { return true }, gtkind.Unresponsive},
		"garbage": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		}, gtkind.ConnectionLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				addr, _ := servePeer(t, network, c.respond)
				p := newPool(network)
				defer p.Close()
				start := time.Now()
				_, err := get(context.Background(), p, addr, false)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(gtkind.Of(err).String()).To(gomega.Equal(c.want.String()), "%v", err)
				g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", gtliveness.KeepAliveTimeout))
				g.Expect(p.OpenConns(addr)).To(gomega.BeZero(), "the connection is closed")
			})
		})
	}
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr := network.NewAddress()
		p := newPool(network)
		_, err := get(context.Background(), p, addr, false)
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Refused))
		g.Expect(gtkind.Of(err).Row().Certainty()).To(gomega.Equal(gtkind.NotRun))
	})
}

// lateContext is a context whose timer fires late: its deadline passes without
// ending it.
type lateContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the deadline.
func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

func TestDeadlineIsNotReportedAsUnresponsive(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(int, io.Writer, *http.Request) bool { return true })
		p := newPool(network)
		defer p.Close()
		_, err := get(lateContext{context.Background(), time.Now().Add(200 * time.Millisecond)}, p, addr, false)
		g.Expect(gtkind.Of(err).String()).To(gomega.Equal(gtkind.Deadline.String()))
	})
}

// A cancellation takes effect at any moment of an exchange, also while a
// keep-alive moves the read deadline.
func TestCancellationIsNeverLost(t *testing.T) {
	const period, keepAlives = time.Microsecond, 1000
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			for range keepAlives {
				if _, err := fmt.Fprintf(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
				<-time.After(period)
			}
			return true
		})
		p := newPool(network)
		defer p.Close()
		for i := range keepAlives {
			ctx, cancel := context.WithCancel(context.Background())
			at := time.Duration(i) * period
			time.AfterFunc(at, cancel)
			start := time.Now()
			_, err := get(ctx, p, addr, false)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", at))
			cancel()
		}
	})
}

// Keep-alives let a slow response take longer than the keep-alive timeout, but
// not longer than the deadline.
func TestKeepAlives(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		ended := make(chan struct{})
		defer close(ended)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			for range 5 {
				select {
				case <-ended:
					return false
				case <-time.After(gtliveness.KeepAlivePeriod):
				}
				if _, err := fmt.Fprintf(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
			}
			return writeOK(w)
		})
		p := newPool(network)
		defer p.Close()
		body, err := get(context.Background(), p, addr, false)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = get(ctx, p, addr, false)
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Deadline))
	})
}

// A request at work on which keep-alives arrive must not be broken off before its
// deadline: once a keep-alive timeout would end after that, the one before must not stay
// in force (POSTs that ended with 502 "silent" around planned stops).
func TestKeepAlivesHoldUntilTheDeadline(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		var work time.Duration
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			for left := work; left > 0; left -= gtliveness.KeepAlivePeriod {
				<-time.After(min(left, gtliveness.KeepAlivePeriod))
				if _, err := fmt.Fprintf(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
			}
			return writeOK(w)
		})
		p := newPool(network)
		defer p.Close()
		for deadline := 100 * time.Millisecond; deadline < 6*time.Second; deadline += 100 * time.Millisecond {
			work = deadline - 10*time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			body, err := get(ctx, p, addr, false)
			cancel()
			g.Expect(err).NotTo(gomega.HaveOccurred(), "deadline %s", deadline)
			g.Expect(body).To(gomega.Equal("ok"))
		}
	})
}

// A peer that sends nothing for a while, short of processor time, may still run the
// request: unless the caller gives it up, the exchange goes on until its deadline.
func TestSilentExchangeGoesOnUnlessGivenUp(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		const work = 5 * time.Second
		ended := make(chan struct{})
		defer close(ended)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			select {
			case <-ended:
				return false
			case <-time.After(work):
				return writeOK(w)
			}
		})
		p := newPool(network)
		defer p.Close()
		asked := 0
		for _, c := range []struct {
			giveUpAt int
			deadline time.Duration
			want     gtkind.Kind
			after    time.Duration
		}{
			{1000, 2 * work, gtkind.None, work},
			{1000, work - 1, gtkind.Deadline, work - 1},
			{1, 2 * work, gtkind.Unresponsive, gtliveness.KeepAliveTimeout},
			{2, 2 * work, gtkind.Unresponsive, 2 * gtliveness.KeepAliveTimeout},
		} {
			asked = 0
			ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
			ctx = WithGiveUp(ctx, func() bool {
				asked++
				return asked >= c.giveUpAt
			})
			start := time.Now()
			_, err := get(ctx, p, addr, false)
			cancel()
			g.Expect(gtkind.Of(err).String()).To(gomega.Equal(c.want.String()), "%+v: %v", c, err)
			g.Expect(time.Since(start)).To(gomega.Equal(c.after), "%+v", c)
		}
	})
}

// starvedConn is a connection whose process gets no processor time until its first read
// deadline has passed: the read fails, although bytes have come.
type starvedConn struct {
	net.Conn
	starved bool
}

// Read fails once with a timeout when bytes are waiting.
func (c *starvedConn) Read(b []byte) (int, error) {
	if !c.starved {
		c.starved = true
		for gtsocket.Peek(c.Conn) != gtsocket.Unread {
			time.Sleep(time.Millisecond)
		}
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// NetConn returns the connection.
func (c *starvedConn) NetConn() net.Conn { return c.Conn }

// A read deadline that passed while this process was short of processor time says
// nothing about the peer: the response may have come.
func TestResponseThatCameWhileThisProcessWasStarvedIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	p := &Pool{Now: time.Now, SupportsPing: true, MaxConns: 4, Dial: func(_ context.Context, addr string) (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		return &starvedConn{Conn: c}, err
	}}
	defer p.Close()
	body, err := get(context.Background(), p, server.Listener.Addr().String(), true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("ok"))
}

// With IsMismatched, a late response to an earlier request is discarded and the
// matching one after it is returned. Without it, the mismatched response is
// returned.
func TestMismatchedResponseIsDiscarded(t *testing.T) {
	const id = "X-Id"
	isMismatched := func(req *http.Request, resp *http.Response) bool { return resp.Header.Get(id) != req.Header.Get(id) }
	for _, check := range []bool{true, false} {
		gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
			g := gomega.NewWithT(t)
			addr, conns := servePeer(t, network, func(_ int, w io.Writer, r *http.Request) bool {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 3\r\n\r\nold")
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nnew", r.Header.Get(id))
				return true
			})
			p := &Pool{Dial: network.Dial, Now: time.Now, MaxConns: 5, MaxReuseIdle: time.Second}
			if check {
				p.IsMismatched = isMismatched
			}
			defer p.Close()
			for range 3 {
				req, _ := http.NewRequest("POST", "http://"+addr, nil)
				req.Header.Set(id, "mine")
				resp, err := p.Do(context.Background(), addr, "", req, false)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				b, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				g.Expect(string(b) == "new").To(gomega.Equal(check))
			}
			if check {
				g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
			}
		})
	}
}

// An idle connection to a server that sends nothing between responses is reused,
// unless it was closed or has unread bytes.
func TestIdleConnectionIsChecked(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\n\r\n"
	for _, c := range []struct {
		name       string
		extra      string
		keepOpen   bool
		want       int64
		idempotent bool
		maxIdle    time.Duration // of a backend server; 0 means a node
	}{
		{"idle", "", true, 1, false, time.Minute},
		{"unread bytes", extra, true, 2, false, time.Minute},
		{"closed", "", false, 2, false, time.Minute},
		{"idle node", "", true, 1, true, 0},
		{"unread bytes of a node", extra, true, 2, true, 0},
		{"closed by a node that has restarted", "", false, 2, true, 0},
		{"closed by a node that has restarted, POST", "", false, 2, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer ln.Close()
			var conns atomic.Int64
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					conns.Add(1)
					go func() {
						defer nc.Close()
						r := bufio.NewReader(nc)
						for {
							if _, err := http.ReadRequest(r); err != nil {
								return
							}
							_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
							if c.extra != "" {
								time.Sleep(10 * time.Millisecond)
								_, _ = nc.Write([]byte(c.extra))
							}
							if !c.keepOpen {
								return
							}
						}
					}()
				}
			}()
			p := &Pool{
				Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				},
				Now: time.Now, MaxConns: 5, MaxReuseIdle: c.maxIdle, SupportsPing: c.maxIdle == 0,
			}
			defer p.Close()
			for range 2 {
				req, _ := http.NewRequest("POST", "http://x/", nil)
				resp, err := p.Do(context.Background(), ln.Addr().String(), "", req, c.idempotent)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				resp.Body.Close()
				idle := p.popIdle(ln.Addr().String(), "")
				g.Expect(idle).NotTo(gomega.BeNil())
				if c.want > 1 {
					g.Eventually(idle.isReusable).Should(gomega.BeFalse())
				}
				p.pushIdle(idle)
			}
			g.Expect(conns.Load()).To(gomega.Equal(c.want))
		})
	}
}
