package gtstand

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

// BackendFaults is what is wrong with a backend server.
type BackendFaults struct {
	// Fail is the share of requests that are answered with status 500.
	Fail float64 `json:"fail"`
	// Slow is added to the time of each request, in milliseconds.
	Slow int `json:"slow"`
	// Route limits Fail and Slow to targets that contain it.
	Route string `json:"route"`
	// Above limits Fail and Slow to moments when more requests than this run.
	Above int `json:"above"`
	// Crash makes every request whose body or target contains it end the
	// server, which starts again after Restart.
	Crash string `json:"crash"`
	// Cut is the share of answers that break off in the middle.
	Cut float64 `json:"cut"`
	// Cold makes the server cold again.
	Cold bool `json:"cold"`
}

// Run is one entry of a backend server's execution log.
type Run struct {
	ID     string    `json:"id"`
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Target string    `json:"target"`
	Body   string    `json:"body"`
	At     time.Time `json:"at"`
	Done   bool      `json:"done"`
}

// Backend is a stand-in for a backend server. Its exported fields are set
// before Run.
type Backend struct {
	// Name stands in every answer.
	Name string
	// Slots is how many requests it runs at once when warm. More are shed.
	Slots int
	// Work is the time that a request takes.
	Work time.Duration
	// Noise spreads Work by up to this share, up and down.
	Noise float64
	// Warm is how long it stays cold after a start: with a tenth of its slots.
	Warm time.Duration
	// Restart is how long it is away after a crash.
	Restart time.Duration
	// Call makes a request to another service for each request, if it is set.
	Call func(ctx context.Context, r *http.Request) error
	// Listen takes connections at an address, after a crash; nil means TCP.
	Listen func(addr string) (net.Listener, error)

	mu      sync.Mutex
	faults  BackendFaults
	log     []Run
	cold    time.Time
	running int
	most    int
	shed    int
	crashes int
	server  *http.Server
}

// Run serves on the listener until ctx ends. After a crash it listens on the
// same address again.
func (b *Backend) Run(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		server := &http.Server{Handler: b}
		b.start(server)
		stop := context.AfterFunc(ctx, func() { b.end(server) })
		err := server.Serve(ln)
		stop()
		if ctx.Err() != nil {
			return nil
		}
		if err != http.ErrServerClosed {
			return err
		}
		if gttimer.Sleep(ctx, b.Restart) != nil {
			return nil
		}
		if ln, err = Listen(ctx, b.Listen, addr); err != nil {
			return err
		}
	}
}

// Listen listens on an address that whoever had it before may just be leaving.
// A nil function means TCP.
func Listen(ctx context.Context, listen func(addr string) (net.Listener, error), addr string) (net.Listener, error) {
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

func (b *Backend) start(server *http.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server, b.running = server, 0
	b.cold = time.Now().Add(b.Warm)
}

func (b *Backend) end(server *http.Server) {
	_ = server.Close()
}

// Crash ends the server at once; Run starts it again after Restart.
func (b *Backend) Crash() {
	b.mu.Lock()
	server := b.server
	b.crashes++
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Fail sets what is wrong with the server.
func (b *Backend) Fail(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if f.Cold {
		b.cold = time.Now().Add(b.Warm)
	}
}

// Log returns the execution log.
func (b *Backend) Log() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.log...)
}

// Crashes returns how often the server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// Most returns the most requests that were at the server at once since the
// last call of Most, and how many it has shed since then.
func (b *Backend) Most() (most, shed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, shed = b.most, b.shed
	b.most, b.shed = b.running, 0
	return most, shed
}

// ServeHTTP serves a request, or the stand-in's own admin paths.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/faults":
		var f BackendFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.Fail(f)
	case "/admin/log":
		_ = json.NewEncoder(w).Encode(b.Log())
	case "/health":
		_, _ = io.WriteString(w, "ok\n")
	default:
		b.work(w, r)
	}
}

func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, n, i, ok := b.enter(r, string(body))
	defer b.leave(i)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	if f.Crash != "" && (strings.Contains(string(body), f.Crash) || strings.Contains(r.URL.String(), f.Crash)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	hit := strings.Contains(r.URL.Path, f.Route) && n > f.Above
	if gttimer.Sleep(r.Context(), b.duration(f, hit)) != nil {
		return
	}
	if b.Call != nil {
		if err := b.Call(r.Context(), r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if hit && rand.Float64() < f.Fail {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	b.answer(w, r, body, rand.Float64() < f.Cut)
}

// answer echoes the request. The parameter "size" asks for more bytes.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body []byte, cut bool) {
	text := fmt.Sprintf("%s %s %s %s\n", b.Name, r.Method, r.URL.RequestURI(), body)
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > len(text) {
		text += strings.Repeat("x", min(size, 16<<20)-len(text))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set("Backend", b.Name)
	if cut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// enter logs a request and says whether it may run.
func (b *Backend) enter(r *http.Request, body string) (f BackendFaults, running, index int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.most = max(b.most, b.running)
	slots := b.Slots
	if time.Now().Before(b.cold) {
		slots = max(1, slots/10)
	}
	if b.running > slots {
		b.shed++
		return b.faults, b.running, -1, false
	}
	b.log = append(b.log, Run{
		ID: r.Header.Get("Gt-Id"), Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Target: r.URL.RequestURI(), Body: body, At: time.Now(),
	})
	return b.faults, b.running, len(b.log) - 1, true
}

func (b *Backend) leave(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = max(0, b.running-1)
	if index >= 0 {
		b.log[index].Done = true
	}
}

func (b *Backend) duration(f BackendFaults, hit bool) time.Duration {
	d := time.Duration(float64(b.Work) * (1 + b.Noise*(2*rand.Float64()-1)))
	if hit {
		d += time.Duration(f.Slow) * time.Millisecond
	}
	return d
}
