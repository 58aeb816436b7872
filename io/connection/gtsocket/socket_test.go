package gtsocket_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"godwittide/io/connection/gtsocket"
)

// wrapped hides a connection, as TLS does.
type wrapped struct{ net.Conn }

// NetConn returns the hidden connection.
func (w wrapped) NetConn() net.Conn { return w.Conn }

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

func TestPeekSeesTheSocketWithoutReading(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := connPair(t)
	ctx := gtsocket.WithConn(context.Background(), server)
	g.Expect(gtsocket.Peek(server)).To(gomega.Equal(gtsocket.Quiet))
	g.Expect(gtsocket.CallerLeft(ctx)).To(gomega.BeFalse())
	reading := make(chan byte)
	go func() {
		var b [1]byte
		_, _ = server.Read(b[:])
		reading <- b[0]
	}()
	time.Sleep(10 * time.Millisecond)
	g.Expect(gtsocket.Peek(server)).To(gomega.Equal(gtsocket.Quiet), "while another goroutine reads")
	_, _ = io.WriteString(client, "ab")
	g.Expect(<-reading).To(gomega.Equal(byte('a')))
	g.Eventually(func() gtsocket.State { return gtsocket.Peek(wrapped{server}) }).Should(gomega.Equal(gtsocket.Unread))
	_ = client.Close()
	g.Expect(gtsocket.CallerLeft(ctx)).To(gomega.BeFalse(), "a byte is still to be read")
	_, _ = server.Read(make([]byte, 1))
	g.Eventually(func() bool { return gtsocket.CallerLeft(ctx) }).Should(gomega.BeTrue())
}

func TestResetAndUnknownConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := connPair(t)
	g.Expect(client.SetLinger(0)).To(gomega.Succeed())
	_ = client.Close()
	g.Eventually(func() gtsocket.State { return gtsocket.Peek(server) }).Should(gomega.Equal(gtsocket.Closed))
	_ = server.Close()
	g.Expect(gtsocket.Peek(server)).To(gomega.Equal(gtsocket.Closed))
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	g.Expect(gtsocket.Peek(a)).To(gomega.Equal(gtsocket.Unknown))
	g.Expect(gtsocket.CallerLeft(context.Background())).To(gomega.BeFalse())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(gtsocket.CallerLeft(ended)).To(gomega.BeTrue())
}

// Guards against a pooled connection that stays without the timeout after a body.
func TestUserTimeoutIsSetAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	client, _ := connPair(t)
	get := func() int {
		raw, err := client.SyscallConn()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		v := -1
		_ = raw.Control(func(fd uintptr) { v, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
		return v
	}
	raw, _ := client.SyscallConn()
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1800) })
	restore := gtsocket.LiftUserTimeout(wrapped{client})
	g.Expect(get()).To(gomega.BeZero())
	restore()
	g.Expect(get()).To(gomega.Equal(1800))
	gtsocket.LiftUserTimeout(struct{ net.Conn }{})() // no socket
}
