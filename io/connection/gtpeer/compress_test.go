package gtpeer

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "part"), rapid.IntRange(1, 200).Draw(t, "times"))
		p, compressed := compress(b)
		g.Expect(compressed).To(gomega.Equal(len(b) >= compressThreshold))
		if compressed {
			out, err := decompress(p)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			p = out
		}
		g.Expect(bytes.Equal(p, b)).To(gomega.BeTrue())
	})
}

// Messages on many links must share the memory of one compressor, of 1.1 MB, also after
// collections of garbage: a node beside many that started at once held one for each.
func TestCompressionsShareTheirMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	message := bytes.Repeat([]byte("0123456789 record "), 100)
	first, _ := compress(message)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const rounds, links = 8, 8
	results := make(chan []byte, rounds*links)
	for range rounds {
		runtime.GC()
		runtime.GC() // the second one empties a sync.Pool
		var wg sync.WaitGroup
		for range links {
			wg.Go(func() {
				p, _ := compress(message)
				results <- p
			})
		}
		wg.Wait()
	}
	runtime.ReadMemStats(&after)
	for range rounds * links {
		g.Expect(<-results).To(gomega.Equal(first))
	}
	g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", 1<<20), "bytes allocated for %d messages", rounds*links)
}

// A message that decompresses to more than the limit, and one that can't be
// decompressed, close the link before the message is handled.
func TestInvalidCompressionClosesTheLink(t *testing.T) {
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	zeros := make([]byte, 1<<20)
	for range 2 * MaxMessageBytes / len(zeros) {
		_, _ = w.Write(zeros)
	}
	_ = w.Close()
	for name, b := range map[string][]byte{"huge": bomb.Bytes(), "garbage": bytes.Repeat([]byte{0xff}, 100), "truncated": bomb.Bytes()[:50]} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := decompress(b)
			g.Expect(err).To(gomega.HaveOccurred())
			near, far := net.Pipe()
			defer far.Close()
			l := &Link{Conn: near, Timer: &gttimer.Service{Now: time.Now}, OnBytes: func(int, int) {}}
			l.Open(t.Context())
			defer l.Close()
			_, err = far.Write(append(binary.BigEndian.AppendUint32(nil, compressedFlag|uint32(len(b))), b...))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(l.Done(), 5*time.Second).Should(gomega.BeClosed())
		})
	}
}

// Heartbeats are not decoded, but must count as received, in the old form also, and must not
// mix with other messages.
func TestHeartbeatsKeepALinkAlive(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		timer := &gttimer.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go timer.Run(ctx)
		ln, err := network.Listen("a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		near, err := network.Dial(ctx, "a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		far, err := ln.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		echo := func(_ *Link, _ string, params json.RawMessage) (any, error) { return params, nil }
		var received atomic.Int64
		l := &Link{Conn: near, Timer: timer, Serve: echo, OnBytes: func(_, n int) { received.Add(int64(n)) }}
		peer := &Link{Conn: far, Timer: timer, Serve: echo, OnBytes: func(int, int) {}}
		for _, l := range []*Link{l, peer} {
			l.Open(ctx)
			go l.Run(ctx)
		}
		time.Sleep(20 * gtlink.HeartbeatPeriod)
		g.Expect(time.Since(l.LastReceived())).To(gomega.BeNumerically("<=", 2*gtlink.HeartbeatPeriod))
		g.Expect(received.Load()).To(gomega.BeNumerically(">=", 10*len(beatMessage)))
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for i := range 200 {
					_ = peer.stream.writeFrame(beatMessage, false)
					var out []byte
					in := bytes.Repeat([]byte{byte(i)}, 3*i)
					if err := l.Call(ctx, "echo", in, &out); err != nil || !bytes.Equal(in, out) {
						t.Errorf("call %d: %v", i, err)
					}
				}
			})
		}
		wg.Wait()
		old := []byte(`{"method":"beat","params":null,"jsonrpc":"2.0"}`)
		g.Expect(peer.stream.writeFrame(old, false)).To(gomega.Succeed())
		var out int
		g.Expect(l.Call(ctx, "echo", 7, &out)).To(gomega.Succeed())
		l.Close()
		peer.Close()
		_ = ln.Close()
	})
}
