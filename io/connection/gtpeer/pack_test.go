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

func TestPackedMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "part"), rapid.IntRange(1, 200).Draw(t, "times"))
		p, small := pack(b)
		g.Expect(small).To(gomega.Equal(len(b) >= packFrom))
		if small {
			out, err := unpack(p)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			p = out
		}
		g.Expect(bytes.Equal(p, b)).To(gomega.BeTrue())
	})
}

// A small message that unpacks to a huge one, and one that does not unpack,
// end the link before either is handled.
func TestBadPacksEndTheLink(t *testing.T) {
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	zeros := make([]byte, 1<<20)
	for range 2 * MaxMessage / len(zeros) {
		_, _ = w.Write(zeros)
	}
	_ = w.Close()
	for name, b := range map[string][]byte{"huge": bomb.Bytes(), "garbage": bytes.Repeat([]byte{0xff}, 100), "cut": bomb.Bytes()[:50]} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := unpack(b)
			g.Expect(err).To(gomega.HaveOccurred())
			near, far := net.Pipe()
			defer far.Close()
			l := &Link{Conn: near, Timer: &gttimer.Service{Now: time.Now}, Counted: func(int, int) {}}
			l.Open(t.Context())
			defer l.Close()
			_, err = far.Write(append(binary.BigEndian.AppendUint32(nil, packed|uint32(len(b))), b...))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(l.Done(), 5*time.Second).Should(gomega.BeClosed())
		})
	}
}
