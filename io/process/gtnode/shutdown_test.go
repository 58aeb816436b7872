package gtnode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gttimer"
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
	s.edge, s.hop, s.admin = &http.Server{Handler: h}, &http.Server{Handler: h}, &http.Server{}
	go func() { _ = s.edge.Serve(s.listeners.edge) }()
	go func() { _ = s.hop.Serve(s.listeners.hop) }()
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
