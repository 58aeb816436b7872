package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of the platform.
const (
	headerAttempt   = "X-Godwittide-Attempt-Id"
	headerRemaining = "X-Godwittide-Deadline-Remaining"
	headerTarget    = "X-Godwittide-Target-Instance"
	headerSeal      = "X-Godwittide-Response-Seal"
	headerNotRun    = "X-Godwittide-Not-Executed"
	headerInstance  = "X-Godwittide-Instance-Id"
)

// arrival is a request that a backend began to run.
type arrival struct {
	attempt, path, backend string
	at                     time.Time
}

// backend is a stand-in of a backend server. It runs requests in its slots, queues a few more
// and reports itself to the node beside it.
type backend struct {
	rec       *record
	name      string
	service   string
	version   string
	zone      string
	address   string
	control   string
	beat      time.Duration
	slots     int
	onArrival func(a arrival)
	// isFatal reports whether a request crashes the backend that begins to run it.
	isFatal func(path string) bool
	// fails reports whether the backend answers a request with a failure; nil means never.
	fails func(a arrival) bool
	// losesAnswer reports whether a request runs and its answer is lost: the connection is reset;
	// nil means never.
	losesAnswer func(a arrival) bool
	// workTime returns how long a request is at work.
	workTime func(path string) time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	seq      int64
	starts   int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	free     chan struct{}
	queued   int
	down     bool
	silent   bool // sends no heartbeats any more
}

// maxQueue is the number of requests that a backend queues.
const maxQueue = 36

// start starts the backend under a new id.
func (b *backend) start() error {
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.starts++
	b.id = fmt.Sprintf("i-%s-%d", b.name, b.starts)
	b.born, b.seq, b.state, b.down = time.Now().UnixMilli(), 0, "ready", false
	b.listener, b.conns, b.free, b.queued = ln, map[net.Conn]bool{}, make(chan struct{}, b.slots), 0
	id := b.id
	b.mu.Unlock()
	b.rec.add("backend %s starts as %s", b.name, id)
	server := &http.Server{Handler: http.HandlerFunc(b.serve), ConnState: b.track}
	go func() { _ = server.Serve(ln) }()
	go b.sendBeats(id)
	return nil
}

func (b *backend) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateClosed {
		delete(b.conns, c)
		return
	}
	b.conns[c] = true
}

// sendBeats sends heartbeats for as long as the process with the id runs.
func (b *backend) sendBeats(id string) {
	for b.sendBeat(id) {
		time.Sleep(b.beat)
	}
}

// heartbeatLocked returns the body of the next heartbeat. The caller holds the lock.
func (b *backend) heartbeatLocked() []byte {
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": b.version, "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": b.state, "callSeq": b.seq, "coldRemaining": "0ms"},
	})
	return body
}

// sendBeat sends one heartbeat and reports whether the process with the id still runs. The
// record names acknowledged heartbeats that say draining.
func (b *backend) sendBeat(id string) bool {
	b.mu.Lock()
	isCurrent := b.id == id && !b.down && !b.silent
	state, body := b.state, b.heartbeatLocked()
	b.mu.Unlock()
	if !isCurrent {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.control+"/instances/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return true
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if state != "ready" {
		b.rec.add("heartbeat %s of %s is answered %d", state, id, resp.StatusCode)
	}
	return true
}

// drain makes the backend say that it leaves, and end after it has drained.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	id := b.id
	b.mu.Unlock()
	b.sendBeat(id)
	time.AfterFunc(drainTime+time.Second, b.stop)
}

// drainTime is how long a backend goes on after its leaving was acknowledged, of the settings.
const drainTime = 2 * time.Second

// crash ends the process: its connections are reset and its port refuses. It is back later.
func (b *backend) crash(after time.Duration) {
	b.stop()
	time.AfterFunc(after, func() {
		if err := b.start(); err != nil {
			b.rec.add("backend %s can't start: %v", b.name, err)
		}
	})
}

// stop ends the process: its connections are reset and its port refuses.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	_ = b.listener.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.rec.add("backend %s ends", b.name)
}

// returnTime is how long a backend that has crashed is down.
const returnTime = 2 * time.Second

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	b.mu.Lock()
	id, down, free := b.id, b.down, b.free
	b.mu.Unlock()
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerInstance, id)
	switch target := r.Header.Get(headerTarget); {
	case down:
		panic(http.ErrAbortHandler)
	case attempt == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case target != "" && target != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !b.enter(free) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-free }()
	at := b.rec.add("%s runs %s %s (%d bytes), %s ms left", id, attempt, r.RequestURI, len(body), r.Header.Get(headerRemaining))
	a := arrival{attempt, r.RequestURI, id, at}
	if b.onArrival != nil {
		b.onArrival(a)
	}
	isLost := b.losesAnswer != nil && b.losesAnswer(a)
	isFailure := b.fails != nil && b.fails(a)
	if b.isFatal(r.URL.Path) {
		b.crash(returnTime)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.workTime(r.URL.Path)):
	case <-r.Context().Done():
		b.rec.add("%s drops %s: its connection closed", id, attempt)
		return
	}
	if isLost {
		b.rec.add("%s has run %s, its answer is lost", id, attempt)
		resetConn(w)
		return
	}
	answer := "answer to " + attempt
	if isFailure {
		b.rec.add("%s fails %s", id, attempt)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerSeal, "seal."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// enter waits for a slot, and reports false if the queue is full.
func (b *backend) enter(free chan struct{}) bool {
	select {
	case free <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	if b.queued >= maxQueue {
		b.mu.Unlock()
		return false
	}
	b.queued++
	b.mu.Unlock()
	free <- struct{}{}
	b.mu.Lock()
	b.queued--
	b.mu.Unlock()
	return true
}
