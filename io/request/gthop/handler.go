package gthop

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwittide/core/connection/gtliveness"
	"godwittide/core/process/gtbudget"
	"godwittide/core/process/gtshard"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtstream"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtpool"
)

// Handler serves calls from peers. Its fields are set before use.
type Handler struct {
	// LocalBackend runs the calls on the local backend server.
	LocalBackend *LocalBackend
	// Timer provides the clock and the ticks for the keep-alives.
	Timer *gttimer.Service
	// MaxBodyBytes returns the largest request body in bytes.
	MaxBodyBytes func() int
	// Budget is the budget of bytes that bodies and responses count in; nil means none.
	Budget *gtbudget.Budget
	// OnPanic is called with the value of each panic, which ends only its
	// request.
	OnPanic func(v any)
	// PausedSince reports whether this process was paused at any time after since;
	// nil means that no pauses are detected.
	PausedSince func(since time.Time) bool
	// OnStreamed is called after each call whose body came in windows, with the cause if the
	// body ended early. It may be nil.
	OnStreamed func(c gtcall.Call, cause gtstream.Cause)
	// Requests holds the requests in flight; nil means that they aren't recorded.
	Requests *gtinflight.Table

	keepAlives gtshard.Map[*keepAlive]
}

// ServeHTTP serves a call or a ping.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == gtpool.PingPath {
		w.Header().Set("Content-Length", "0")
		return
	}
	entry := h.Requests.Begin(gtinflight.Peer, r.RemoteAddr)
	defer entry.End()
	arrival := h.Timer.Time()
	w.Header()["Date"] = nil // that of the backend server is forwarded
	meta, err := h.LocalBackend.Dialect.decodeMeta(r)
	fail := func(w http.ResponseWriter, err error) { h.writeError(w, meta, arrival, err) }
	defer Recover(w, h.OnPanic, fail)
	if err != nil {
		fail(w, err)
		return
	}
	entry.Identify(meta[metaID], meta[metaRoute], time.Time{})
	hold := NewHold(h.Budget, r)
	hold.readTime = peerReadTime
	defer hold.Leave()
	resp, err := h.serve(gtinflight.NewContext(r.Context(), entry), w, r, meta, hold)
	entry.MoveTo(gtinflight.Writing, "")
	hold.EndBody(w)
	if err != nil {
		fail(w, err)
	} else {
		h.setMeta(w.Header(), meta, arrival, gtkind.None)
		hold.WriteResponse(w, resp)
	}
	entry.SetOutcome(gtinflight.OutcomeOf(err))
	if hold.stream != nil && hold.stream.WasForwarded() && h.OnStreamed != nil {
		h.OnStreamed(gtcall.New(meta[metaID], r.Method, r.URL.RequestURI()).WithRoute(meta[metaService], meta[metaRoute], gtconfig.ParseClass(meta[metaClass])), hold.stream.Cause())
	}
}

// setMeta sets the header fields by which a peer learns of the response and of the
// backend server, for a request that arrived at the given time.
func (h *Handler) setMeta(header http.Header, meta [metaCount]string, arrival time.Time, k gtkind.Kind) {
	l := h.LocalBackend.Load(meta[metaRoute])
	header.Set(HeaderResponse, encodeResponseMeta(responseMeta{id: meta[metaID], load: l, kind: k}))
	setCapacity(header, l, h.Timer.Time().Sub(arrival))
}

// writeError writes an error response to a peer, with the error's detail as its
// body.
func (h *Handler) writeError(w http.ResponseWriter, meta [metaCount]string, arrival time.Time, err error) {
	k := gtkind.Of(err)
	detail := gtkind.Detail(err)
	h.setMeta(w.Header(), meta, arrival, k)
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(detail)))
	w.WriteHeader(k.Row().Status())
	_, _ = io.WriteString(w, detail)
}

// Recover recovers from a panic in a request's handler and calls fail to write
// an error response. It must be deferred. A panic with http.ErrAbortHandler is
// passed on.
func Recover(w http.ResponseWriter, onPanic func(any), fail func(http.ResponseWriter, error)) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	onPanic(v)
	fail(w, gtkind.New(gtkind.Internal, "request handler of the node panicked"))
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, meta [metaCount]string, hold *Hold) (gtcall.Response, error) {
	if instance, self := meta[metaInstance], h.LocalBackend.Self().Instance(); instance != self {
		return gtcall.Response{}, gtkind.New(gtkind.Refused, "this is instance %s, the request is addressed to %.64q", self, instance)
	}
	entry := gtinflight.FromContext(ctx)
	inWindows := strings.Contains(meta[metaFlags], flagWindows)
	var body [][]byte
	var err error
	if !inWindows {
		if body, err = hold.ReadBody(r, entry, h.MaxBodyBytes(), time.Time{}); err != nil {
			return gtcall.Response{}, err
		}
	}
	now := h.Timer.Time()
	c, err := decodeCall(r, meta, body, now)
	if err != nil {
		return gtcall.Response{}, err
	}
	entry.Identify(c.ID(), c.Route(), c.Deadline())
	entry.MoveTo(gtinflight.Routing, "")
	if h.callerDisconnectedDuringPause(ctx, now) {
		return gtcall.Response{}, gtkind.New(gtkind.Canceled, "caller disconnected during a process pause of this node")
	}
	if c.Crashes() > 0 {
		h.LocalBackend.Crashes.Merge(gtdedup.NewCrash(c.Fingerprint(), c.Crashes(), !c.Idempotent(), now.Add(gtdedup.CrashWindow)))
	}
	c.Header().Set("Host", r.Host)
	ka, stop := h.startKeepAlive(c.ID(), w)
	defer stop()
	if inWindows {
		stream, err := hold.OpenPeerBody(r, entry, h.MaxBodyBytes(), c.Deadline())
		if err != nil {
			return gtcall.Response{}, err
		}
		stream.Begin = ka.askForBody
		c = c.WithStream(stream)
	}
	return h.LocalBackend.Run(ctx, c)
}

const (
	// pauseWindow is how long after a process pause a request that is read may
	// have arrived during the pause.
	pauseWindow = 500 * time.Millisecond
	// disconnectWait is how long the HTTP server gets to notice that the caller
	// has closed the connection.
	disconnectWait = 2 * time.Millisecond
)

// callerDisconnectedDuringPause reports whether a request may have arrived during
// a process pause and its caller has disconnected since. The HTTP server detects
// a closed connection in another goroutine and then cancels ctx.
func (h *Handler) callerDisconnectedDuringPause(ctx context.Context, now time.Time) bool {
	if h.PausedSince == nil || !h.PausedSince(now.Add(-pauseWindow)) {
		return false
	}
	return h.Timer.Sleep(ctx, disconnectWait) != nil
}

// keepAlive sends the keep-alives of one call: interim responses (102) until the
// response is written.
type keepAlive struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	start time.Time
	ended bool
}

func (ka *keepAlive) send() {
	ka.mu.Lock()
	defer ka.mu.Unlock()
	if !ka.ended {
		ka.w.WriteHeader(http.StatusProcessing)
	}
}

// startKeepAlive registers a call for keep-alives. The function that it returns
// stops them, and must be called before the response is written.
func (h *Handler) startKeepAlive(id string, w http.ResponseWriter) (*keepAlive, func()) {
	ka := &keepAlive{w: w, start: h.Timer.Time()}
	h.keepAlives.Do(id, func(m map[string]*keepAlive) { m[id] = ka })
	return ka, func() {
		h.keepAlives.Do(id, func(m map[string]*keepAlive) {
			if m[id] == ka {
				delete(m, id)
			}
		})
		ka.mu.Lock()
		ka.ended = true
		ka.mu.Unlock()
	}
}

// Run sends keep-alives until ctx ends: one in each period for every call that
// has taken at least half a period.
func (h *Handler) Run(ctx context.Context) {
	ticker := h.Timer.Every(gtliveness.KeepAlivePeriod, 0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C():
			h.keepAlives.Each(func(m map[string]*keepAlive) {
				for _, ka := range m {
					if now.Sub(ka.start) >= gtliveness.KeepAlivePeriod/2 {
						// A writer that blocks must not delay the others.
						go ka.send()
					}
				}
			})
		}
	}
}
