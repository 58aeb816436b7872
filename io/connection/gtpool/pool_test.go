package gtpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"godwittide/core/connection/gtlive"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer serves connections on a network with a function that is given each
// request.
func peer(t *testing.T, network *gtpipe.Network, answer func(n int, w io.Writer, r *http.Request) bool) (addr string, conns *atomic.Int64) {
	t.Helper()
	ln, err := network.Listen(network.Address())
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
					if !answer(n, c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

func whole(w io.Writer) bool {
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func newPool(network *gtpipe.Network) *Pool {
	return &Pool{Dial: network.Dial, Now: time.Now, Ping: true, Max: 4}
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
		addr, conns := peer(t, network, func(_ int, w io.Writer, _ *http.Request) bool { return whole(w) })
		p := newPool(network)
		defer p.Close()
		for range 5 {
			body, err := get(context.Background(), p, addr, true)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("ok"))
		}
		g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
		held := 0
		for range 6 {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
			resp, err := p.Do(context.Background(), addr, "normal", req, true)
			if err != nil {
				g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
				continue
			}
			held++
			defer resp.Body.Close()
		}
		g.Expect(held).To(gomega.Equal(4))
		g.Expect(p.Open(addr)).To(gomega.Equal(4))
	})
}

// An idle connection that has gone silent must not carry a request that may
// not be repeated; it is pinged, given up, and a new one is opened.
func TestSilentIdleConnectionIsNotTrusted(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		var silent atomic.Bool
		var posts atomic.Int64
		addr, conns := peer(t, network, func(n int, w io.Writer, r *http.Request) bool {
			if silent.Load() && n > 0 {
				return true // takes the request and never answers
			}
			if r.Method == http.MethodPost {
				posts.Add(1)
			}
			return whole(w)
		})
		p := newPool(network)
		defer p.Close()
		_, err := get(context.Background(), p, addr, false)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		silent.Store(true)
		<-time.After(2 * gtlive.Fresh)
		start := time.Now()
		_, err = get(context.Background(), p, addr, false)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
		g.Expect(posts.Load()).To(gomega.Equal(int64(2)))
		g.Expect(conns.Load()).To(gomega.Equal(int64(2)))
	})
}

// A connection that is in use shows life with each answer, and is not pinged.
func TestBusyConnectionIsNotPinged(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		pings := 0
		addr, conns := peer(t, network, func(_ int, w io.Writer, r *http.Request) bool {
			if r.URL.Path != PingTarget {
				return whole(w)
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
			<-time.After(gtlive.Fresh / 2)
		}
		g.Expect(pings).To(gomega.BeZero())
		g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
	})
}

func TestKindsOfFailure(t *testing.T) {
	cases := map[string]struct {
		answer func(n int, w io.Writer, r *http.Request) bool
		want   gtkind.Kind
	}{
		"closed before the answer": {func(int, io.Writer, *http.Request) bool { return false }, gtkind.Cut},
		"cut in the body": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		}, gtkind.Cut},
		"cut in a chunked body": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}, gtkind.Cut},
		"silent": {func(int, io.Writer, *http.Request) bool { return true }, gtkind.Silent},
		"garbage": {func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		}, gtkind.Cut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				addr, _ := peer(t, network, c.answer)
				p := newPool(network)
				defer p.Close()
				start := time.Now()
				_, err := get(context.Background(), p, addr, false)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(gtkind.Of(err).String()).To(gomega.Equal(c.want.String()), "%v", err)
				g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", gtlive.Silence))
				g.Expect(p.Open(addr)).To(gomega.BeZero(), "the connection is gone")
			})
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr := network.Address()
		p := newPool(network)
		_, err := get(context.Background(), p, addr, false)
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Refused))
		g.Expect(gtkind.Of(err).Row().Certainty()).To(gomega.Equal(gtkind.NotRun))
	})
}

// tardy is a context whose timer is late: its deadline has passed before it
// says so.
type tardy struct {
	context.Context
	limit time.Time
}

// Deadline returns the limit.
func (t tardy) Deadline() (time.Time, bool) { return t.limit, true }

func TestDeadlineIsNotSilence(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := peer(t, network, func(int, io.Writer, *http.Request) bool { return true })
		p := newPool(network)
		defer p.Close()
		_, err := get(tardy{context.Background(), time.Now().Add(200 * time.Millisecond)}, p, addr, false)
		g.Expect(gtkind.Of(err).String()).To(gomega.Equal(gtkind.Deadline.String()))
	})
}

// A caller may go away at any moment of an exchange, also at that of a sign of
// life.
func TestCancellationIsNeverLost(t *testing.T) {
	const beat, beats = time.Microsecond, 1000
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := peer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			for range beats {
				if _, err := fmt.Fprintf(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
				<-time.After(beat)
			}
			return true
		})
		p := newPool(network)
		defer p.Close()
		for i := range beats {
			ctx, cancel := context.WithCancel(context.Background())
			at := time.Duration(i) * beat
			time.AfterFunc(at, cancel)
			start := time.Now()
			_, err := get(ctx, p, addr, false)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", at))
			cancel()
		}
	})
}

// Signs of life keep a slow answer from counting as silent, and the deadline
// ends the wait all the same.
func TestSignsOfLife(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		over := make(chan struct{})
		defer close(over)
		addr, _ := peer(t, network, func(_ int, w io.Writer, _ *http.Request) bool {
			for range 5 {
				select {
				case <-over:
					return false
				case <-time.After(gtlive.Beat):
				}
				if _, err := fmt.Fprintf(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
			}
			return whole(w)
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

// An answer to an earlier request that comes late is passed over, and the own
// one after it is found. Without that, the request has an unknown outcome.
func TestLateAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	const id = "X-Id"
	foreign := func(req *http.Request, resp *http.Response) bool { return resp.Header.Get(id) != req.Header.Get(id) }
	for _, known := range []bool{true, false} {
		gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
			g := gomega.NewWithT(t)
			addr, conns := peer(t, network, func(_ int, w io.Writer, r *http.Request) bool {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 3\r\n\r\nold")
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nnew", r.Header.Get(id))
				return true
			})
			p := &Pool{Dial: network.Dial, Now: time.Now, Max: 5, Quiet: time.Second}
			if known {
				p.Foreign = foreign
			}
			defer p.Close()
			for range 3 {
				req, _ := http.NewRequest("POST", "http://"+addr, nil)
				req.Header.Set(id, "mine")
				resp, err := p.Do(context.Background(), addr, "", req, false)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				b, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				g.Expect(string(b) == "new").To(gomega.Equal(known))
			}
			if known {
				g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
			}
		})
	}
}

// An idle connection to a server that sends nothing between answers is used
// again, but not once it was closed or has stray bytes on it.
func TestIdleConnectionIsLookedAt(t *testing.T) {
	for _, c := range []struct {
		name string
		then string
		keep bool
		want int64
	}{{"quiet", "", true, 1}, {"stray bytes", "HTTP/1.1 200 OK\r\n\r\n", true, 2}, {"closed", "", false, 2}} {
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
							if c.then != "" {
								time.Sleep(10 * time.Millisecond)
								_, _ = nc.Write([]byte(c.then))
							}
							if !c.keep {
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
				Now: time.Now, Max: 5, Quiet: time.Minute,
			}
			defer p.Close()
			for range 2 {
				req, _ := http.NewRequest("POST", "http://x/", nil)
				resp, err := p.Do(context.Background(), ln.Addr().String(), "", req, false)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				resp.Body.Close()
				idle := p.pop(ln.Addr().String(), "")
				g.Expect(idle).NotTo(gomega.BeNil())
				if c.want > 1 {
					g.Eventually(idle.quiet).Should(gomega.BeFalse())
				}
				p.push(idle)
			}
			g.Expect(conns.Load()).To(gomega.Equal(c.want))
		})
	}
}
