// Package gtlog writes structured logs without ever holding up what logs.
//
// # Usage
//
//	out := gtlog.Open(os.Stdout)
//	defer out.Close()
//	log := gtlog.New(out, zerolog.InfoLevel, "lending-1")
//
//	book := &gtlog.Book{Log: log, Now: timer.Time, Rate: 50}
//	book.Line("full").Str("request", id).Msg("request: refused")
//
// Lines go through a ring that one thread drains. If the reader of the logs
// stops, lines are dropped and counted, and the count is told once it reads
// again. A Book bounds the lines of each kind in a second.
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
	// ringLines is the number of lines that wait for the reader of the logs.
	ringLines = 4096
	// closeLimit bounds the time in which the last lines are written.
	closeLimit = 300 * time.Millisecond
)

// timeFormat is that of the time in each line: the way of a request through
// several nodes takes milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger whose lines bear the node's name and the time.
func New(out io.Writer, level zerolog.Level, node string) zerolog.Logger {
	return zerolog.New(out).Level(level).With().Timestamp().Str("node", node).Logger()
}

// Output is where the lines of a process go. It is safe for many threads.
type Output struct {
	ring    diode.Writer
	dropped atomic.Int64
}

// Open returns an output that writes to w from a thread of its own.
func Open(w io.Writer) *Output {
	o := &Output{}
	o.ring = diode.NewWriter(w, ringLines, 0, func(missed int) {
		total := o.dropped.Add(int64(missed))
		_, _ = w.Write([]byte(`{"level":"warn","dropped":` + strconv.Itoa(missed) + `,"total":` + strconv.FormatInt(total, 10) +
			`,"message":"log: lines were dropped, the reader was too slow"}` + "\n"))
	})
	return o
}

// Write takes a line. It never waits.
func (o *Output) Write(line []byte) (int, error) { return o.ring.Write(line) }

// Dropped returns the number of lines that were lost, or a few more.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the lines that wait, as far as the reader takes them soon.
func (o *Output) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.ring.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeLimit):
	}
}

// Book bounds the lines about single requests. Its exported fields are set
// before use.
type Book struct {
	// Log takes the lines.
	Log zerolog.Logger
	// Now reads the timer service's clock.
	Now func() time.Time
	// Rate is the most lines of one kind in a second.
	Rate int

	kinds gtshard.Map[*page]
}

// page counts the lines of one kind in the current second.
type page struct {
	since   time.Time
	lines   int
	surplus int
}

// Line begins a line of a kind. It returns nil, which takes all fields and
// writes nothing, when the kind has had its lines for this second.
func (b *Book) Line(kind string) *zerolog.Event {
	now := b.Now()
	write, surplus := false, 0
	b.kinds.Do(kind, func(m map[string]*page) {
		p := m[kind]
		if p == nil {
			p = &page{since: now}
			m[kind] = p
		}
		if now.Sub(p.since) >= time.Second {
			surplus = p.surplus
			*p = page{since: now}
		}
		if p.lines >= b.Rate {
			p.surplus++
			return
		}
		p.lines++
		write = true
	})
	b.tell(kind, surplus)
	if !write {
		return nil
	}
	return b.Log.Info().Str("kind", kind)
}

// Flush tells how many lines were left out of kinds that have gone quiet.
func (b *Book) Flush() {
	now := b.Now()
	left := map[string]int{}
	b.kinds.Each(func(m map[string]*page) {
		for kind, p := range m {
			if p.surplus > 0 && now.Sub(p.since) >= time.Second {
				left[kind] = p.surplus
				p.surplus = 0
			}
		}
	})
	for kind, n := range left {
		b.tell(kind, n)
	}
}

func (b *Book) tell(kind string, surplus int) {
	if surplus > 0 {
		b.Log.Info().Str("kind", kind).Int("lines", surplus).Msg("request: more lines of this kind were left out")
	}
}
