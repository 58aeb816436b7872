package gtfake

import (
	"context"
	"encoding/json"
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

// BackendFaults are the faults injected into a Backend.
type BackendFaults struct {
	// ErrorShare is the share (0 to 1) of requests that get status 500.
	ErrorShare float64 `json:"fail"`
	// SlowMS is added to the service time of each request, in milliseconds.
	SlowMS int `json:"slow"`
	// Route limits ErrorShare and SlowMS to requests whose path contains it.
	Route string `json:"route"`
	// AboveConcurrency limits ErrorShare and SlowMS to requests that arrive while
	// more than this many requests, themselves included, are in flight.
	AboveConcurrency int `json:"above"`
	// CrashOn makes the server crash on every request whose body or URL contains
	// it. The server restarts after Backend.CrashDowntime.
	CrashOn string `json:"crash"`
	// TruncateShare is the share (0 to 1) of responses that are truncated half-way.
	TruncateShare float64 `json:"cut"`
	// RestartWarmUp starts the warm-up again when the faults are set.
	RestartWarmUp bool `json:"cold"`
}

// Execution is one entry of a Backend's execution log: a request that the server
// started to execute. ID is the request ID and Key the idempotency key from the
// request's headers, Target is the path with the query, and StartedAt is when
// the execution started. Done is set once it has ended.
type Execution struct {
	ID        string    `json:"id"`
	Key       string    `json:"key"`
	Method    string    `json:"method"`
	Target    string    `json:"target"`
	Body      string    `json:"body"`
	StartedAt time.Time `json:"at"`
	Done      bool      `json:"done"`
}

// Backend is a stand-in for a backend server that echoes requests. Its exported
// fields are set before Run.
type Backend struct {
	// Name is included in every response.
	Name string
	// Slots is the concurrency limit once warmed up. Requests above it are shed.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// Jitter is the jitter of the service time, as a share of ServiceTime: the time
	// is uniform between ServiceTime*(1-Jitter) and ServiceTime*(1+Jitter).
	Jitter float64
	// ServiceTimeOf returns the service time of a request by its path and its body or
	// query, in place of ServiceTime and Jitter; nil means that these apply.
	ServiceTimeOf func(path, body string) time.Duration
	// WarmUp is the warm-up time after a start, during which the concurrency limit
	// is a tenth of Slots.
	WarmUp time.Duration
	// CrashDowntime is the downtime after a crash.
	CrashDowntime time.Duration
	// Call, if set, is called for each request and stands for a call to another
	// service. If it fails, the request gets status 502.
	Call func(ctx context.Context, r *http.Request) error
	// Listen opens the listener again after a crash; nil means TCP.
	Listen func(addr string) (net.Listener, error)

	mu           sync.Mutex
	faults       BackendFaults
	executions   []Execution
	warmUpEnd    time.Time
	inFlight     int
	peakInFlight int
	shedCount    int
	crashCount   int
	server       *http.Server
}

// Run serves on the listener until ctx ends. After a crash it waits for
// CrashDowntime and then listens on the same address again. It returns an error
// if listening or serving fails.
func (b *Backend) Run(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		server := &http.Server{Handler: b}
		b.beginServing(server)
		stop := context.AfterFunc(ctx, func() { b.closeServer(server) })
		err := server.Serve(ln)
		stop()
		if ctx.Err() != nil {
			return nil
		}
		if err != http.ErrServerClosed {
			return err
		}
		if gttimer.Sleep(ctx, b.CrashDowntime) != nil {
			return nil
		}
		if ln, err = ListenWithRetry(ctx, b.Listen, addr); err != nil {
			return err
		}
	}
}

// ListenWithRetry listens on an address that the previous listener may not have
// released yet: it retries for about a second and then returns the last error. It
// returns early if ctx ends. A nil listen means TCP.
func ListenWithRetry(ctx context.Context, listen func(addr string) (net.Listener, error), addr string) (net.Listener, error) {
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	var err error
	for range 50 {
		var ln net.Listener
		if ln, err = listen(addr); err == nil {
			return ln, nil
		}
		if err := gttimer.Sleep(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return nil, err
}

// beginServing records the current server, resets the number of requests in flight
// and starts the warm-up.
func (b *Backend) beginServing(server *http.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server, b.inFlight = server, 0
	b.warmUpEnd = time.Now().Add(b.WarmUp)
}

func (b *Backend) closeServer(server *http.Server) {
	_ = server.Close()
}

// Crash closes the server and its connections at once; Run restarts it after
// CrashDowntime.
func (b *Backend) Crash() {
	b.mu.Lock()
	server := b.server
	b.crashCount++
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// SetFaults replaces the injected faults; the zero value of BackendFaults clears
// them.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if f.RestartWarmUp {
		b.warmUpEnd = time.Now().Add(b.WarmUp)
	}
}

// Executions returns a copy of the execution log.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.executions...)
}

// CrashCount returns how often the server has crashed.
func (b *Backend) CrashCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashCount
}

// TakePeak returns the peak number of requests in flight and the number of shed
// requests since the previous call of TakePeak, and starts a new measurement.
func (b *Backend) TakePeak() (peak, shed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	peak, shed = b.peakInFlight, b.shedCount
	b.peakInFlight, b.shedCount = b.inFlight, 0
	return peak, shed
}

// ServeHTTP serves the stand-in's admin paths, and echoes all other requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/faults":
		var f BackendFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetFaults(f)
	case "/admin/log":
		_ = json.NewEncoder(w).Encode(b.Executions())
	case "/health":
		_, _ = io.WriteString(w, "ok\n")
	default:
		b.serve(w, r)
	}
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, inFlight, index, ok := b.beginExecution(r, string(body))
	defer b.endExecution(index)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	if f.CrashOn != "" && (strings.Contains(string(body), f.CrashOn) || strings.Contains(r.URL.String(), f.CrashOn)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	affected := strings.Contains(r.URL.Path, f.Route) && inFlight > f.AboveConcurrency
	if gttimer.Sleep(r.Context(), b.serviceTime(r, string(body), f, affected)) != nil {
		return
	}
	if b.Call != nil {
		if err := b.Call(r.Context(), r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if affected && rand.Float64() < f.ErrorShare {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	b.writeResponse(w, r, body, rand.Float64() < f.TruncateShare)
}

// writeResponse echoes the request. The query parameter "size" sets the minimum
// size of the response in bytes, up to 16 MiB. If truncate is set, the
// connection is closed half-way through the response.
func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, truncate bool) {
	text := fmt.Sprintf("%s %s %s %s\n", b.Name, r.Method, r.URL.RequestURI(), body)
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > len(text) {
		text += strings.Repeat("x", min(size, 16<<20)-len(text))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set("Backend", b.Name)
	if truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// beginExecution counts a request and logs it, unless it exceeds the concurrency
// limit. It returns the faults to apply, the number of requests in flight, the
// index of the log entry (-1 if there is none), and whether the request may run.
// Each call is followed by a call of endExecution with the index.
func (b *Backend) beginExecution(r *http.Request, body string) (f BackendFaults, inFlight, index int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.peakInFlight = max(b.peakInFlight, b.inFlight)
	limit := b.Slots
	if time.Now().Before(b.warmUpEnd) {
		limit = max(1, limit/10)
	}
	if b.inFlight > limit {
		b.shedCount++
		return b.faults, b.inFlight, -1, false
	}
	b.executions = append(b.executions, Execution{
		ID: r.Header.Get("Gt-Id"), Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Target: r.URL.RequestURI(), Body: body, StartedAt: time.Now(),
	})
	return b.faults, b.inFlight, len(b.executions) - 1, true
}

// endExecution marks the log entry as done. An index of -1 means that the
// request was shed.
func (b *Backend) endExecution(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = max(0, b.inFlight-1)
	if index >= 0 {
		b.executions[index].Done = true
	}
}

// serviceTime returns the service time of a request, which is random unless
// ServiceTimeOf is set, with the delay of the faults added if affected is set.
func (b *Backend) serviceTime(r *http.Request, body string, f BackendFaults, affected bool) time.Duration {
	d := time.Duration(float64(b.ServiceTime) * (1 + b.Jitter*(2*rand.Float64()-1)))
	if b.ServiceTimeOf != nil {
		d = b.ServiceTimeOf(r.URL.Path, body+r.URL.RawQuery)
	}
	if affected {
		d += time.Duration(f.SlowMS) * time.Millisecond
	}
	return d
}
