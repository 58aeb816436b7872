package gthop

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtbudget"
	"godwittide/core/request/gtcall"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtsocket"
	"godwittide/test/gtclock"
)

// closingStream is a stream that tells when it has been closed, which gives its slot back.
type closingStream struct {
	io.Reader
	closed atomic.Bool
}

func (s *closingStream) Close() error {
	s.closed.Store(true)
	return nil
}

// zeros reads zeros up to a number of bytes.
func zeros(n int64) io.Reader { return io.LimitReader(zeroReader{}, n) }

type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// brokenReader reads bytes and then fails, as when the server cuts its response off.
func brokenReader(n int64) io.Reader {
	r, w := io.Pipe()
	go func() {
		_, _ = io.Copy(w, zeros(n))
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return r
}

// serveStream serves a response with a stream on a listener, for a caller or a peer whose read
// time is readTime, with a spool of 256 KB and memory that is not short.
func serveStream(ln net.Listener, body io.Reader, size int64, readTime time.Duration) (*closingStream, *http.Server) {
	stream := &closingStream{Reader: body}
	budget := &gtbudget.Budget{Bytes: 1 << 20, Now: time.Now}
	server := &http.Server{ConnContext: gtsocket.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := NewHold(budget, r)
		h.readTime = readTime
		h.WriteResponse(w, gtcall.NewStreamResponse(http.StatusOK, http.Header{}, stream, size))
	})}
	go func() { _ = server.Serve(ln) }()
	return stream, server
}

// get sends a request and returns the connection.
func get(g *gomega.WithT, dial func() (net.Conn, error)) net.Conn {
	conn, err := dial()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// Guards against a caller that reads nothing and holds the slot at the backend server for ever,
// while memory is not short; and against one that is disconnected too early.
func TestReaderThatStopsIsDisconnected(t *testing.T) {
	for name, readTime := range map[string]time.Duration{"caller": callerReadTime, "peer": peerReadTime} {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				ln, err := network.Listen("10.0.0.1:80")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				stream, server := serveStream(ln, zeros(8<<20), 8<<20, readTime)
				defer server.Close()
				conn := get(g, func() (net.Conn, error) { return network.Dial(context.Background(), "10.0.0.1:80") })
				defer conn.Close()
				time.Sleep(readTime - time.Second)
				g.Expect(stream.closed.Load()).To(gomega.BeFalse())
				time.Sleep(2 * time.Second)
				g.Expect(stream.closed.Load()).To(gomega.BeTrue(), "the slot is given back")
				b, _ := io.ReadAll(conn)
				g.Expect(len(b)).To(gomega.BeNumerically("<", 8<<20), "the response is not complete")
			})
		})
	}
}

// Guards against a bound that disconnects a caller on a link of 64 kbit/s.
func TestReaderOnSlowLinkGetsItsResponse(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		ln, err := network.Listen("10.0.0.1:80")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		const size = 8 << 20
		stream, server := serveStream(ln, zeros(size), size, callerReadTime)
		defer server.Close()
		conn := get(g, func() (net.Conn, error) { return network.Dial(context.Background(), "10.0.0.1:80") })
		defer conn.Close()
		head, err := io.ReadAll(io.LimitReader(conn, 8<<10))
		for total := len(head); total < size; total += 8 << 10 {
			time.Sleep(time.Second)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.CopyN(io.Discard, conn, 8<<10)
		}
		g.Expect(stream.closed.Load()).To(gomega.BeTrue())
	})
}

// Guards against a look at a socket that takes the bytes in its own buffer for delivered: the
// other end acknowledges no more than its buffer holds, and what is not sent is pending.
func TestDeliveryIsWhatTheReaderTakes(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer ln.Close()
	reader, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer reader.Close()
	g.Expect(reader.(*net.TCPConn).SetReadBuffer(16 << 10)).To(gomega.Succeed())
	writer, err := ln.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer writer.Close()
	_ = writer.SetWriteDeadline(time.Now().Add(time.Second))
	written, err := io.Copy(writer, zeros(64<<20))
	g.Expect(err).To(gomega.HaveOccurred(), "the buffers are full")
	stuck, ok := gtsocket.DeliveryOf(writer)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(stuck.IsPending()).To(gomega.BeTrue())
	g.Expect(stuck.Acknowledged()).To(gomega.BeNumerically("<", written))
	_, err = io.CopyN(io.Discard, reader, written)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool {
		d, _ := gtsocket.DeliveryOf(writer)
		return d.Acknowledged() == written && !d.IsPending()
	}, 10*time.Second).Should(gomega.BeTrue())
}

// Guards against a response that looks complete although the backend server has cut it off while
// its caller was slow: the connection is closed before the last chunk, or before its length.
func TestResponseThatServerCutsOffIsNeverComplete(t *testing.T) {
	for name, length := range map[string]int64{"with length": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				ln, err := network.Listen("10.0.0.1:80")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, server := serveStream(ln, brokenReader(700<<10), length, callerReadTime)
				defer server.Close()
				client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Dial(ctx, addr) }}}
				defer client.CloseIdleConnections()
				resp, err := client.Get("http://10.0.0.1:80/")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer resp.Body.Close()
				time.Sleep(5 * time.Second)
				b, err := io.ReadAll(resp.Body)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(len(b)).To(gomega.BeNumerically("<=", 700<<10))
			})
		})
	}
}

// Guards against buffered responses that come on top of the budget while their server sends them,
// and against ones that stay counted.
func TestBufferedResponseIsCountedAsItIsRead(t *testing.T) {
	for name, size := range map[string]int64{"with length": 600, "chunked": -1} {
		for end, fails := range map[string]error{"complete": nil, "cut off": io.ErrUnexpectedEOF} {
			t.Run(name+" "+end, func(t *testing.T) {
				g := gomega.NewWithT(t)
				budget := &gtbudget.Budget{Bytes: 1 << 20, Now: time.Now}
				r, w := io.Pipe()
				used := make(chan int64, 1)
				go func() {
					_, _ = w.Write(make([]byte, 500))
					_, _ = w.Write(make([]byte, 1)) // once the bytes before it have been counted
					used <- budget.Used()
					if fails == nil {
						_, _ = w.Write(make([]byte, 99))
					}
					_ = w.CloseWithError(fails)
				}()
				_, err := readResponse(&http.Response{Body: r, ContentLength: size, Header: http.Header{}}, 1000, budget, func(error) {})
				g.Expect(err != nil).To(gomega.Equal(fails != nil))
				g.Expect(<-used).To(gomega.BeNumerically(">=", 500))
				g.Expect(budget.Used()).To(gomega.BeZero())
			})
		}
	}
}
