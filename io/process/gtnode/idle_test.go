package gtnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/connection/gtsocket"
	"godwittide/io/request/gthop"
)

// connPair returns the client's and the server's end of a TCP connection.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Shutdown closes idle connections, but not one with an unread request, which
// would be lost.
func TestShutdownKeepsConnectionsWithUnreadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var idle idleConns
	idleClient, idleServer := connPair(t)
	unreadClient, unreadServer := connPair(t)
	for _, c := range []net.Conn{idleServer, unreadServer} {
		lc := &limitConn{Conn: c, listener: &limitListener{}}
		idle.trackState(lc, http.StateNew)
		idle.trackState(lc, http.StateIdle)
	}
	_, err := unreadClient.Write([]byte("G"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() gtsocket.State { return gtsocket.Peek(unreadServer) }).Should(gomega.Equal(gtsocket.Unread))
	g.Expect(idle.close()).To(gomega.Equal(1))
	_, err = idleClient.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF))
	b := make([]byte, 1)
	_, err = unreadServer.Read(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(b)).To(gomega.Equal("G"))
}

// A request sent while the server closes its idle connection receives the notice,
// which says that the request was not run.
func TestRequestDuringCloseReceivesNotice(t *testing.T) {
	g := gomega.NewWithT(t)
	idle := idleConns{notice: closeNotice}
	client, server := connPair(t)
	idle.trackState(server, http.StateIdle)
	g.Expect(idle.close()).To(gomega.BeZero())
	_, err := client.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(resp.Header.Get(gthop.HeaderCertainty)).To(gomega.Equal("not run"))
	g.Expect(resp.Close).To(gomega.BeTrue())
}

// The notice says "not run", so a request that the server has read while the
// notice was being sent must not be run.
func TestRequestAfterNoticeIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	conns := idleConns{notice: closeNotice}
	ran := 0
	draining := func() bool { return false }
	h := conns.closeWhen(draining, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	_, server := connPair(t)
	r := httptest.NewRequest("POST", "/", nil)
	r = r.WithContext(gtsocket.WithConn(r.Context(), server))
	serve := func() { h.ServeHTTP(httptest.NewRecorder(), r) }
	conns.trackState(server, http.StateNew)
	conns.trackState(server, http.StateActive)
	serve()
	g.Expect(ran).To(gomega.Equal(1))
	conns.trackState(server, http.StateIdle)
	g.Expect(conns.close()).To(gomega.BeZero())
	conns.trackState(server, http.StateActive)
	g.Expect(serve).To(gomega.PanicWith(http.ErrAbortHandler))
	g.Expect(ran).To(gomega.Equal(1))
	conns.trackState(server, http.StateClosed)
	g.Expect(conns.conns).To(gomega.BeEmpty())
}

// Callers may open connections in advance. One that has had no request yet stays open for
// the time in which its first request may come, and is then closed like an idle one.
func TestNewConnectionsAreClosedAfterAGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := connPair(t)
	withNotice := idleConns{notice: closeNotice}
	withNotice.trackState(server, http.StateNew)
	g.Expect(withNotice.close()).To(gomega.Equal(1))
	g.Expect(gtsocket.Peek(client)).To(gomega.Equal(gtsocket.Quiet), "no notice yet")
	withNotice.closingSince = time.Now().Add(-headGracePeriod)
	g.Expect(withNotice.close()).To(gomega.BeZero())
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	var withoutNotice idleConns
	_, other := connPair(t)
	withoutNotice.trackState(other, http.StateNew)
	g.Expect(withoutNotice.close()).To(gomega.Equal(1))
	_, err = other.Write([]byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection stays open")
	withoutNotice.closingSince = time.Now().Add(-headGracePeriod)
	g.Expect(withoutNotice.close()).To(gomega.BeZero())
	_, err = other.Write([]byte("x"))
	g.Expect(err).To(gomega.HaveOccurred())
}

// lateWriter is a connection of a process that gets no processor time for a while between
// the start of a write and its system call.
type lateWriter struct{ net.Conn }

// Write writes after that time.
func (c lateWriter) Write(b []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Write(b)
}

// A process short of processor time must not close a connection without the notice: a peer
// takes that for a lost request that may have run (soak of stops, seed 802).
func TestNoticeIsWrittenByAProcessShortOfProcessorTime(t *testing.T) {
	g := gomega.NewWithT(t)
	idle := idleConns{notice: closeNotice}
	client, server := connPair(t)
	idle.trackState(lateWriter{server}, http.StateIdle)
	g.Expect(idle.close()).To(gomega.BeZero())
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
}
