package gtnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/process/gtsettings"
)

// BenchmarkBoundedListener measures a request on an open connection of a listener with all bounds,
// with a handler that does nothing.
func BenchmarkBoundedListener(b *testing.B) {
	n := &Node{budget: &gtbudget.Budget{Bytes: 1 << 20, Now: time.Now}}
	n.Settings.Limit.MaxHeadBytes, n.Settings.Limit.ReadTimeout = 16<<10, gtsettings.Duration(time.Minute)
	var conns idleConns
	server := n.newServer(n.countHeads(conns.closeWhen(func() bool { return false }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))))
	server.ConnState, server.ConnContext = conns.trackState, gtsocket.WithConn
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(n.bound(listenerEdge, ln, fixedLimit(10))) }()
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}
