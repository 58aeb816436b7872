// Package gtlog writes structured logs without blocking the caller.
//
// # Usage
//
//	out := gtlog.Open(os.Stdout)
//	defer out.Close()
//	log := gtlog.New(out, zerolog.InfoLevel, "lending-1")
//
//	limited := &gtlog.RateLimitedLogger{Log: log, Now: timer.Time, LinesPerSecond: 50}
//	limited.Line("full").Str("request", id).Msg("request: refused")
//
// Lines go through a ring buffer that one goroutine drains. If the reader of the
// log stops reading, lines are dropped and counted, and the count is logged when
// it reads again. A RateLimitedLogger limits the number of lines of each kind per
// second.
package gtlog

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"godwittide/core/process/gtshard"
)

const (
	// ringSize is the number of lines that the ring buffer holds.
	ringSize = 4096
	// closeTimeout bounds the time in which Close writes the buffered lines.
	closeTimeout = 300 * time.Millisecond
)

// timeFormat is the format of the time in each line. It has milliseconds, so that
// the lines of several nodes about one request can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that adds the time and the name of the node to each line.
func New(out io.Writer, level zerolog.Level, node string) zerolog.Logger {
	return zerolog.New(out).Level(level).With().Timestamp().Str("node", node).Logger()
}

// Output is the buffered log output of a process. It is safe for concurrent use.
type Output struct {
	ring    diode.Writer
	dropped atomic.Int64
}

// Open returns an output that writes to w from its own goroutine.
func Open(w io.Writer) *Output {
	o := &Output{}
	o.ring = diode.NewWriter(w, ringSize, 0, func(missed int) {
		total := o.dropped.Add(int64(missed))
		_, _ = w.Write([]byte(`{"level":"warn","dropped":` + strconv.Itoa(missed) + `,"total":` + strconv.FormatInt(total, 10) +
			`,"message":"log: lines were dropped, the reader was too slow"}` + "\n"))
	})
	return o
}

// Write adds a line to the ring buffer. It never blocks.
func (o *Output) Write(line []byte) (int, error) { return o.ring.Write(line) }

// Dropped returns the number of dropped lines. It may be a few too high, never
// too low.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the buffered lines. If the reader doesn't read them within
// closeTimeout, the rest is lost.
func (o *Output) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.ring.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// RateLimitedLogger is a logger for lines about single requests, with a rate limit
// for each kind of line. Its exported fields are set before use.
type RateLimitedLogger struct {
	// Log is the logger that the lines are written to.
	Log zerolog.Logger
	// Now returns the time of the timer service's clock.
	Now func() time.Time
	// LinesPerSecond is the maximum number of lines of one kind per second.
	LinesPerSecond int

	windows gtshard.Map[*kindWindow]
}

// kindWindow counts the lines of one kind that were written and omitted in the
// current second.
type kindWindow struct {
	start   time.Time
	lines   int
	omitted int
}

// Line starts a line of the given kind. It returns nil, an event that writes
// nothing, if the kind has reached its rate limit in this second.
func (l *RateLimitedLogger) Line(kind string) *zerolog.Event {
	now := l.Now()
	write, omitted := false, 0
	l.windows.Do(kind, func(m map[string]*kindWindow) {
		w := m[kind]
		if w == nil {
			w = &kindWindow{start: now}
			m[kind] = w
		}
		if now.Sub(w.start) >= time.Second {
			omitted = w.omitted
			*w = kindWindow{start: now}
		}
		if w.lines >= l.LinesPerSecond {
			w.omitted++
			return
		}
		w.lines++
		write = true
	})
	l.logOmitted(kind, omitted)
	if !write {
		return nil
	}
	return l.Log.Info().Str("kind", kind)
}

// Flush logs the number of omitted lines of kinds that have had no line since
// their window ended.
func (l *RateLimitedLogger) Flush() {
	now := l.Now()
	omittedByKind := map[string]int{}
	l.windows.Each(func(m map[string]*kindWindow) {
		for kind, w := range m {
			if w.omitted > 0 && now.Sub(w.start) >= time.Second {
				omittedByKind[kind] = w.omitted
				w.omitted = 0
			}
		}
	})
	for kind, n := range omittedByKind {
		l.logOmitted(kind, n)
	}
}

func (l *RateLimitedLogger) logOmitted(kind string, omitted int) {
	if omitted > 0 {
		l.Log.Info().Str("kind", kind).Int("lines", omitted).Msg("request: more lines of this kind were left out")
	}
}
