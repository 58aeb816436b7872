package gthop

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/connection/gtlive"
	"godwittide/core/process/gtshard"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtonce"
	"godwittide/io/connection/gtpool"
)

// Handler takes calls from other nodes. Its fields are set before use.
type Handler struct {
	// Beside runs the calls.
	Beside *Beside
	// Timer gives the clock, and the rhythm of the signs of life.
	Timer *gttimer.Service
	// Body is the largest request body in bytes.
	Body int
	// Panicked is told of each panic, which ends its request alone.
	Panicked func(v any)
	// Stalled says whether this process stood still at some time after since;
	// nil means never.
	Stalled func(since time.Time) bool

	inflight atomic.Int64
	beats    gtshard.Map[*beat]
}

// InFlight returns the number of calls that are being served.
func (h *Handler) InFlight() int64 { return h.inflight.Load() }

// ServeHTTP serves a call, or a ping.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == gtpool.PingTarget {
		w.Header().Set("Content-Length", "0")
		return
	}
	h.inflight.Add(1)
	defer h.inflight.Add(-1)
	w.Header()["Date"] = nil // the backend server's own is passed on
	facts, err := h.Beside.Dialect.readFacts(r)
	fail := func(w http.ResponseWriter, err error) { h.refuse(w, facts, err) }
	defer Recover(w, h.Panicked, fail)
	if err != nil {
		fail(w, err)
		return
	}
	a, err := h.serve(w, r, facts)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set(HeaderAnswer, encodeReply(h.reply(facts, gtkind.None)))
	WriteAnswer(w, a)
}

func (h *Handler) reply(f [facts]string, k gtkind.Kind) reply {
	return reply{id: f[factID], load: h.Beside.Gate.Load(f[factRoute]), kind: k}
}

// refuse answers with an error; its detail is the body.
func (h *Handler) refuse(w http.ResponseWriter, f [facts]string, err error) {
	k := gtkind.Of(err)
	detail := gtkind.Detail(err)
	w.Header().Set(HeaderAnswer, encodeReply(h.reply(f, k)))
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(detail)))
	w.WriteHeader(k.Row().Status())
	_, _ = io.WriteString(w, detail)
}

// Recover ends a request whose thread panicked: fail answers it. It is to be
// deferred.
func Recover(w http.ResponseWriter, panicked func(any), fail func(http.ResponseWriter, error)) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	panicked(v)
	fail(w, gtkind.New(gtkind.Internal, "the node failed to handle the request"))
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, f [facts]string) (gtcall.Answer, error) {
	if to, self := f[factTo], h.Beside.Self().Instance(); to != self {
		return gtcall.Answer{}, gtkind.New(gtkind.Refused, "this is instance %s, not %.64q", self, to)
	}
	body, err := ReadBody(r, h.Body)
	if err != nil {
		return gtcall.Answer{}, err
	}
	now := h.Timer.Time()
	c, err := decodeCall(r, f, body, now)
	if err != nil {
		return gtcall.Answer{}, err
	}
	if h.stale(r.Context(), now) {
		return gtcall.Answer{}, gtkind.New(gtkind.Canceled, "the caller left while this node stood still")
	}
	if c.Crashes() > 0 {
		h.Beside.Crashes.Merge(gtonce.NewCrash(c.Fingerprint(), c.Crashes(), !c.Idempotent(), now.Add(gtonce.CrashWindow)))
	}
	c.Header().Set("Host", r.Host)
	stop := h.beat(c.ID(), w)
	defer stop()
	return h.Beside.Run(r.Context(), c)
}

const (
	// staleAfter is how long after a standstill requests may have waited for it.
	staleAfter = 500 * time.Millisecond
	// staleLook is the time in which the end of a connection is noticed.
	staleLook = 2 * time.Millisecond
)

// stale says whether a request has waited for this process to go on, and its
// caller has left meanwhile. The end of its connection is read beside.
func (h *Handler) stale(ctx context.Context, now time.Time) bool {
	if h.Stalled == nil || !h.Stalled(now.Add(-staleAfter)) {
		return false
	}
	return h.Timer.Wait(ctx, staleLook) != nil
}

// ReadBody reads a request's body of at most limit bytes.
func ReadBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, gtkind.New(gtkind.TooLarge, "body of %d bytes is larger than %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, gtkind.Wrap(err, gtkind.BadRequest, "read the request's body")
	}
	if len(b) > limit {
		return nil, gtkind.New(gtkind.TooLarge, "body is larger than %d bytes", limit)
	}
	return b, nil
}

// beat is the sign of life of one call: an interim answer, sent for as long as
// the call takes.
type beat struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	since time.Time
	over  bool
}

func (b *beat) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.over {
		b.w.WriteHeader(http.StatusProcessing)
	}
}

// beat starts the signs of life of a call. The function that it returns ends
// them before the answer is written.
func (h *Handler) beat(id string, w http.ResponseWriter) func() {
	b := &beat{w: w, since: h.Timer.Time()}
	h.beats.Do(id, func(m map[string]*beat) { m[id] = b })
	return func() {
		h.beats.Do(id, func(m map[string]*beat) {
			if m[id] == b {
				delete(m, id)
			}
		})
		b.mu.Lock()
		b.over = true
		b.mu.Unlock()
	}
}

// Run sends the signs of life of all calls until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	tick := h.Timer.Every(gtlive.Beat, 0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C():
			h.beats.Each(func(m map[string]*beat) {
				for _, b := range m {
					if now.Sub(b.since) >= gtlive.Beat/2 {
						// A writer that blocks must not hold up the others.
						go b.send()
					}
				}
			})
		}
	}
}
