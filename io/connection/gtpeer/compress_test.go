package gtpeer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/process/gttimer"
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
