package gtnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"godwittide/io/request/gthop"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// A node that stops closes the connections that nobody uses, but not one on
// which a request has just arrived.
func TestStopLeavesRequestsThatHaveArrived(t *testing.T) {
	g := gomega.NewWithT(t)
	var idle idleConns
	quiet, quietFar := connect(t)
	used, usedFar := connect(t)
	for _, c := range []net.Conn{quietFar, usedFar} {
		idle.follow(c, http.StateNew)
		idle.follow(&boundConn{Conn: c, owner: &boundListener{}}, http.StateIdle)
	}
	_, err := used.Write([]byte("G"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool { return pending(usedFar) }).Should(gomega.BeTrue())
	g.Expect(idle.close()).To(gomega.Equal(1))
	_, err = quiet.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF))
	b := make([]byte, 1)
	_, err = usedFar.Read(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(b)).To(gomega.Equal("G"))
}

// A caller whose request crosses the end of its connection learns that it did
// not run, and one that has sent none notices nothing.
func TestRequestThatCrossesTheEndIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	idle := idleConns{notice: endNotice}
	near, far := connect(t)
	idle.follow(far, http.StateIdle)
	g.Expect(idle.close()).To(gomega.BeZero())
	_, err := near.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(resp.Header.Get(gthop.HeaderCertainty)).To(gomega.Equal("not run"))
	g.Expect(resp.Close).To(gomega.BeTrue())
}

// "Not run" holds for a request that arrives while its caller is being told so:
// the server has read it already, and may not run it.
func TestRequestThatWasToldIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{}
	n.server.callers.notice = endNotice
	ran := 0
	h := n.closing(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	_, far := connect(t)
	r := httptest.NewRequest("POST", "/", nil)
	r = r.WithContext(withConn(r.Context(), far))
	serve := func() { h.ServeHTTP(httptest.NewRecorder(), r) }
	n.server.callers.follow(far, http.StateNew)
	n.server.callers.follow(far, http.StateActive)
	serve()
	g.Expect(ran).To(gomega.Equal(1))
	n.server.callers.follow(far, http.StateIdle)
	g.Expect(n.server.callers.close()).To(gomega.BeZero())
	n.server.callers.follow(far, http.StateActive)
	g.Expect(serve).To(gomega.PanicWith(http.ErrAbortHandler))
	g.Expect(ran).To(gomega.Equal(1))
	n.server.callers.follow(far, http.StateClosed)
	g.Expect(n.server.callers.conns).To(gomega.BeEmpty())
}

// Callers open connections ahead. One that has had no request yet ends like an
// idle one where its caller can be told, and is left alone elsewhere.
func TestNewConnectionsEndWithANotice(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := connect(t)
	told := idleConns{notice: endNotice}
	told.follow(far, http.StateNew)
	told.close()
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	var untold idleConns
	_, other := connect(t)
	untold.follow(other, http.StateNew)
	untold.close()
	_, err = other.Write([]byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "it is open")
}
