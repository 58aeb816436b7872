package gtpipe

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// connectPair returns the two ends of a connection through a listener.
func connectPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	n := &Network{}
	ln, err := n.Listen("a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer ln.Close()
	near, err = n.Dial(context.Background(), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	far, err = ln.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return near, far
}

func TestAddressHasOneListener(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Network{}
	_, err := n.Dial(context.Background(), "a")
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(gomega.BeTrue())
	ln, err := n.Listen("a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = n.Listen("a")
	g.Expect(errors.Is(err, syscall.EADDRINUSE)).To(gomega.BeTrue())
	near, err := n.Dial(context.Background(), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ln.Close()).To(gomega.Succeed())
	_, err = near.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF), "the connection was not accepted")
	_, err = ln.Accept()
	g.Expect(errors.Is(err, net.ErrClosed)).To(gomega.BeTrue())
	ln, err = n.Listen("a")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the address is free again")
	g.Expect(ln.Close()).To(gomega.Succeed())
	g.Expect(n.NewAddress()).NotTo(gomega.Equal(n.NewAddress()))
}

// The reader gets exactly the bytes written, for any sizes of the writes.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 3*bufferSize/2)).Draw(t, "pieces")
		a, b := Pair(address("a"), address("b"))
		go func() {
			for _, p := range pieces {
				_, _ = a.Write(p)
			}
			_ = a.Close()
		}()
		got, err := io.ReadAll(b)
		if err != nil || !bytes.Equal(got, bytes.Join(pieces, nil)) {
			t.Fatalf("read %d bytes, %v", len(got), err)
		}
	})
}

// The first write to a closed peer is lost without an error, as in TCP, where the
// close may not have arrived yet.
func TestWriteToClosedPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := connectPair(t)
	g.Expect(far.Close()).To(gomega.Succeed())
	n, err := near.Write([]byte("lost"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.Equal(4))
	_, err = near.Write([]byte("refused"))
	g.Expect(errors.Is(err, syscall.EPIPE)).To(gomega.BeTrue())
	_, err = near.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(near.Close()).To(gomega.Succeed())
	_, err = near.Read(make([]byte, 1))
	g.Expect(errors.Is(err, net.ErrClosed)).To(gomega.BeTrue())
}

func TestDeadlineInterruptsReadsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := connectPair(t)
		defer far.Close()
		defer near.Close()
		start := time.Now()
		g.Expect(near.SetDeadline(start.Add(time.Second))).To(gomega.Succeed())
		_, err := near.Read(make([]byte, 1))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		g.Expect(time.Since(start)).To(gomega.Equal(time.Second))
		_, err = near.Write(make([]byte, 1))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())

		g.Expect(near.SetDeadline(time.Time{})).To(gomega.Succeed())
		time.AfterFunc(time.Second, func() { _ = near.SetWriteDeadline(time.Now()) })
		n, err := near.Write(make([]byte, 2*bufferSize))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		g.Expect(n).To(gomega.Equal(bufferSize), "no more than the buffer holds")
	})
}

// A deadline may expire during a Close, and another goroutine may set it again
// after the Close. Its channel must not be closed twice, which would panic.
func TestDeadlineIsSetWhileItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 2000 {
			near, _ := connectPair(t)
			_ = near.SetDeadline(time.Now().Add(time.Second))
			<-time.After(time.Second)
			_ = near.Close()
			_ = near.SetDeadline(time.Unix(1, 0))
		}
	})
}
