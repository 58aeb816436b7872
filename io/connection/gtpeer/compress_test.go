package gtpeer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"net"
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
