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

// Logging must not block while the log output is not read. Dropped lines are
// counted, and the count is logged when the output is read again.
func TestLoggingDoesNotBlockOnStuckReader(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer r.Close()
	out := Open(w)
	log := zerolog.New(out)
	const lines = 20 * ringSize
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			log.Info().Int("i", i).Msg("line")
		}
	}()
	// Nothing reads the pipe yet: a logger that blocks would never finish.
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
	// A writer that finds the reader at its slot of the ring takes another slot, and
	// the first counts as dropped. The count may be too high, never too low.
	g.Expect(strings.Count(text.String(), `"message":"line"`) + int(out.Dropped())).To(gomega.BeNumerically(">=", lines))
}

// Close must return although the reader of the log output never reads again;
// otherwise the process could not exit.
func TestCloseDoesNotWaitForStuckReader(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out := Open(w)
	log := zerolog.New(out)
	for range 2 * ringSize {
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

// Each kind of line has its own rate limit, and the number of omitted lines is
// logged.
func TestRateLimitPerKind(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	var text bytes.Buffer
	l := &RateLimitedLogger{Log: zerolog.New(&text), Now: func() time.Time { return now }, LinesPerSecond: 3}
	for range 10 {
		l.Line("full").Str("request", "r").Msg("request: refused")
	}
	l.Line("cut").Msg("request: failed")
	g.Expect(strings.Count(text.String(), "\n")).To(gomega.Equal(4))
	now = now.Add(time.Second)
	l.Line("full").Msg("request: refused")
	g.Expect(text.String()).To(gomega.ContainSubstring(`"kind":"full","lines":7`))
	for range 5 {
		l.Line("cut").Msg("request: failed")
	}
	now = now.Add(2 * time.Second)
	l.Flush()
	g.Expect(text.String()).To(gomega.ContainSubstring(`"kind":"cut","lines":2`))
}
