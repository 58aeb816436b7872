package gtsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwittide/core/process/gttimer"
)

const (
	// coldTime is how long a backend server is slow after its start, by coldFactor.
	coldTime   = 3 * time.Second
	coldFactor = 2
	// faultyShare is the share of the affected requests on which a bad version fails
	// or is slow.
	faultyShare = 0.5
	// slowFactor is by how much a slow version prolongs a request.
	slowFactor = 8
	// lateDelay is the time after its start at which a version of kind late turns bad.
	lateDelay = 3400 * time.Millisecond
	// loadLimit is the number of requests in flight above which a version of kind load
	// is bad.
	loadLimit = 2
)

// The path and the headers of the response with which a backend server says when its
// process started, in Unix milliseconds, and how long it will be cold.
const (
	HealthPath  = "/health"
	StartHeader = "Started"
	ColdHeader  = "Cold-Remaining"
)

// rolloutServer is a backend server of one version. Its exported state is what it has
// seen and answered; kind is the way in which its version is bad, or empty.
type rolloutServer struct {
	site         *site
	kind         string
	minTime      time.Duration // service time of the fastest request
	maxTime      time.Duration
	startedAt    time.Time
	slots        chan struct{}
	mu           sync.Mutex
	inFlight     int
	arrivalsSeen []arrival
}

// arrival is a request that reached a backend server, by the ID that its caller gave it.
// answeredAt is zero if it was canceled. bad tells that the answer was a fault.
type arrival struct {
	id         string
	at         time.Time
	answeredAt time.Time
	bad        bool
}

// run serves on the listener until ctx ends.
func (b *rolloutServer) run(ctx context.Context, ln net.Listener) {
	server := &http.Server{Handler: b}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(ln)
}

// ServeHTTP answers health checks, and runs other requests in a free slot.
func (b *rolloutServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		w.Header().Set(StartHeader, strconv.FormatInt(b.startedAt.UnixMilli(), 10))
		w.Header().Set(ColdHeader, max(0, coldTime-time.Since(b.startedAt)).String())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := string(body)
	if r.Method == http.MethodGet {
		_, id, _ = strings.Cut(r.URL.RawQuery, "&")
	}
	index, faulty := b.begin(r.URL.Path, id)
	answered := false
	defer func() { b.end(index, answered, faulty) }()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	if gttimer.Sleep(r.Context(), b.serviceTime(faulty)) != nil {
		return
	}
	answered = true
	if faulty && b.kind != kindSlow {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Backend", b.site.name)
	_, _ = fmt.Fprintf(w, "%s %s\n", b.site.name, id)
}

// begin records a request and draws whether the version's fault affects it.
func (b *rolloutServer) begin(path, id string) (index int, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.arrivalsSeen = append(b.arrivalsSeen, arrival{id: id, at: time.Now()})
	return len(b.arrivalsSeen) - 1, b.affects(path) && rand.Float64() < faultyShare
}

// affects reports whether the version's fault may affect a request that arrives now. The
// caller holds b.mu.
func (b *rolloutServer) affects(path string) bool {
	switch b.kind {
	case kindErrors, kindSlow:
		return true
	case kindLoad:
		return b.inFlight > loadLimit
	case kindClass:
		return path == holdPath
	case kindLate:
		return time.Since(b.startedAt) > lateDelay
	default:
		return false
	}
}

// end records the end of a request.
func (b *rolloutServer) end(index int, answered, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	if answered {
		b.arrivalsSeen[index].answeredAt, b.arrivalsSeen[index].bad = time.Now(), faulty
	}
}

// serviceTime returns a random service time.
func (b *rolloutServer) serviceTime(faulty bool) time.Duration {
	d := b.minTime + rand.N(b.maxTime-b.minTime)
	if time.Since(b.startedAt) < coldTime {
		d *= coldFactor
	}
	if faulty && b.kind == kindSlow {
		d *= slowFactor
	}
	return d
}

// arrivals returns a copy of the requests seen so far.
func (b *rolloutServer) arrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivalsSeen...)
}
