package gtnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/connection/gtsocket"
)

// Guards against heads of many short lines, which take far more memory than their bytes, and
// empty lines without end.
func TestHeadLinesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"ordinary":              {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"body of many lines":    {"POST / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("a\n", 5000), true},
		"empty lines before it": {strings.Repeat("\r\n", maxEmptyLines) + "GET / HTTP/1.1\r\n\r\n", true},
		"empty lines":           {strings.Repeat("\r\n", maxEmptyLines+1), false},
		"as many lines":         {strings.Repeat("a:\r\n", maxHeadLines) + "\r\n", true},
		"too many lines":        {strings.Repeat("a:\r\n", maxHeadLines+1), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var whole, bytewise headLines
			g.Expect(whole.add([]byte(c.text))).To(gomega.Equal(c.ok))
			ok := true
			for i := range len(c.text) {
				ok = ok && bytewise.add([]byte{c.text[i]})
			}
			g.Expect(ok).To(gomega.Equal(c.ok))
		})
	}
}

// Guards against a caller that takes all connections of the node, and against counts that are
// not given back.
func TestConnectionsOfAnAddressAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := &limitListener{Listener: ln, maxConns: fixedLimit(10), maxPerAddress: 2}
	defer l.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c
	}
	dial()
	dial()
	a, b := <-accepted, <-accepted
	refused := dial()
	_, err = refused.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred(), "the third is closed")
	g.Expect(a.Close()).To(gomega.Succeed())
	_ = a.Close()
	dial()
	c := <-accepted
	g.Expect(l.open.Load()).To(gomega.Equal(int64(2)))
	g.Expect(b.Close()).To(gomega.Succeed())
	g.Expect(c.Close()).To(gomega.Succeed())
	g.Expect(l.open.Load()).To(gomega.BeZero())
	g.Expect(l.addresses).To(gomega.BeEmpty())
}

// Guards against a body of many lines that is taken for a head, where the head was read
// together with the request before it.
func TestBodyBehindHeadThatWasReadEarlyIsNoHead(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &http.Server{ConnContext: gtsocket.WithConn}
	var conns idleConns
	server.ConnState = conns.trackState
	server.Handler = conns.closeWhen(func() bool { return false }, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || len(b) != int(r.ContentLength) {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = server.Serve(&limitListener{Listener: ln, maxConns: fixedLimit(10), guardsHeads: true}) }()
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	body := strings.Repeat("\n", 100_000)
	post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + body
	_, err = io.WriteString(c, post+post+post)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := bufio.NewReader(c)
	for range 3 {
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	}
}
