package gtnode

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/connection/gtpipe"
	"godwittide/io/process/gtsettings"
	"godwittide/test/gtclock"
)

// withSilentConn calls fn with a connection to a server for callers whose time for the head
// of a request is 10 s.
func withSilentConn(t *testing.T, fn func(g *gomega.WithT, conn net.Conn)) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		ln, err := network.Listen("10.0.0.1:80")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n := &Node{}
		n.Settings.Limit.ReadTimeout = gtsettings.Duration(10 * time.Second)
		server := n.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		go func() {
			_ = server.Serve(&limitListener{Listener: ln, maxConns: func() int64 { return 10 }, silentTimeout: idleTimeout})
		}()
		defer server.Close()
		conn, err := network.Dial(context.Background(), "10.0.0.1:80")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		fn(g, conn)
	})
}

// timeUntilClosed returns how long the other end keeps a connection open.
func timeUntilClosed(conn net.Conn) time.Duration {
	start := time.Now()
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return time.Since(start)
		}
	}
}

// A connection that a client had opened before it had a request was closed after the time
// for a head, 10 s; a POST that was sent on it in that moment failed.
func TestConnectionWithoutRequestIsKeptOpen(t *testing.T) {
	withSilentConn(t, func(g *gomega.WithT, conn net.Conn) {
		for range 2 {
			time.Sleep(idleTimeout - time.Second)
			_, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		}
	})
}

// A client that sends nothing may not hold a connection for ever, nor one that sends a head
// slowly, which has the time for a head from its first byte on.
func TestSilentConnectionIsClosed(t *testing.T) {
	withSilentConn(t, func(g *gomega.WithT, conn net.Conn) {
		g.Expect(timeUntilClosed(conn)).To(gomega.Equal(idleTimeout))
	})
	withSilentConn(t, func(g *gomega.WithT, conn net.Conn) {
		time.Sleep(30 * time.Second)
		go func() {
			for range 100 {
				if _, err := conn.Write([]byte("P")); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		g.Expect(timeUntilClosed(conn)).To(gomega.BeNumerically("~", 10*time.Second, time.Second))
	})
}
