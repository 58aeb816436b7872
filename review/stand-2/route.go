package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	plays["encoded-slash"] = playEncodedSlash
}

const (
	// encodedPath is the path of a hold whose name has a slash, which is encoded.
	encodedPath = "/hold/status%2Fswan"
	// lostEach, of lostOf, is the share of the answers that a backend loses: 0.4.
	lostEach, lostOf = 2, 5
	// lostTime is how long answers are lost.
	lostTime = 4 * time.Second
	// holdsPerSecond is the load meanwhile.
	holdsPerSecond = 25
)

// runs counts how often each attempt has run.
type runs struct {
	mu     sync.Mutex
	counts map[string]int
	order  int
	isLost bool
}

// add counts a run, and reports whether its answer is lost.
func (r *runs) add(a arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[a.attempt]++
	r.order++
	return r.isLost && r.order%lostOf < lostEach
}

// twice returns the attempts that have run more than once.
func (r *runs) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for attempt, n := range r.counts {
		if n > 1 {
			list = append(list, attempt)
		}
	}
	return list
}

// resetConn closes the connection of a request with a reset, without an answer.
func resetConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

// playEncodedSlash sends requests whose path begins with the prefix of an unsafe route, and with
// that of a safe one only once it is decoded, while half of the backends lose some answers.
func playEncodedSlash(s *site, trouble bool) (bool, error) {
	all := &runs{counts: map[string]int{}}
	for i := range 4 {
		shape := func(b *backend) {
			b.isFatal = func(string) bool { return false }
			b.workTime = func(string) time.Duration { return 50 * time.Millisecond }
			b.losesAnswer = func(a arrival) bool { return all.add(a) && i%2 == 0 }
		}
		if _, err := s.addMachine("z1", "reservations", 9, shape); err != nil {
			return false, err
		}
	}
	timeout := 1500 * time.Millisecond
	s.configure(7, []string{"reservations"}, route("hold", "/hold/", "unsafe", "reservations", timeout), route("status", "/hold/status/", "safe", "reservations", timeout))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	for _, m := range s.machines {
		if a := m.send("PUT", encodedPath, "", timeout); a.status != 200 {
			return false, errOrdinary
		}
	}
	all.mu.Lock()
	all.isLost = trouble
	all.mu.Unlock()
	if trouble {
		s.rec.add("two of four backends lose the answers of 2 in 5 requests")
	}
	stop := s.load(holdsPerSecond, encodedPath, timeout)
	time.Sleep(lostTime)
	stop()
	list := all.twice()
	s.rec.add("%d of %d attempts on the unsafe route ran more than once: %v", len(list), len(all.counts), list)
	return len(list) > 0, nil
}
