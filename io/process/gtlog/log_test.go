package gtlog

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// With its standard output stuck, a process goes on: no line waits, and those
// that were lost are counted and told once the reader is back.
func TestStuckReaderHoldsNothingUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.Close()
	out := Open(w)
	log := zerolog.New(out)
	const lines = 20 * ringLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			log.Info().Int("i", i).Msg("line")
		}
	}()
	// Nobody reads: a writer that waited would never be done.
	g.Eventually(done, time.Minute).Should(gomega.BeClosed())
	var text strings.Builder
	read := make(chan struct{})
	go func() {
		defer close(read)
		b := make([]byte, 64<<10)
		for {
			n, err := r.Read(b)
			text.Write(b[:n])
			if err != nil {
				return
			}
		}
	}()
	g.Eventually(out.Dropped, time.Minute).Should(gomega.BeNumerically(">", 0))
	out.Close()
	_ = w.Close()
	g.Eventually(read, time.Minute).Should(gomega.BeClosed())
	g.Expect(text.String()).To(gomega.ContainSubstring("lines were dropped"))
	// A line that meets the reader in its place takes another one, and the first
	// counts as dropped: the count may be too high, never too low.
	g.Expect(strings.Count(text.String(), `"message":"line"`) + int(out.Dropped())).To(gomega.BeNumerically(">=", lines))
}

// A process whose output is stuck for good still ends.
func TestCloseDoesNotWaitForAStuckReader(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out := Open(w)
	log := zerolog.New(out)
	for range 2 * ringLines {
		log.Info().Msg("a line that is long enough to fill the pipe before the ring is empty")
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		out.Close()
	}()
	g.Eventually(closed, time.Minute).Should(gomega.BeClosed())
	_ = r.Close()
	_ = w.Close()
}

// Each kind has its own lines, and what is left out is told as a count.
func TestLinesOfAKindAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	var text bytes.Buffer
	b := &Book{Log: zerolog.New(&text), Now: func() time.Time { return now }, Rate: 3}
	for range 10 {
		b.Line("full").Str("request", "r").Msg("request: refused")
	}
	b.Line("cut").Msg("request: failed")
	g.Expect(strings.Count(text.String(), "\n")).To(gomega.Equal(4))
	now = now.Add(time.Second)
	b.Line("full").Msg("request: refused")
	g.Expect(text.String()).To(gomega.ContainSubstring(`"kind":"full","lines":7`))
	for range 5 {
		b.Line("cut").Msg("request: failed")
	}
	now = now.Add(2 * time.Second)
	b.Flush()
	g.Expect(text.String()).To(gomega.ContainSubstring(`"kind":"cut","lines":2`))
}
