package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	plays["queue-over-drain"] = playQueueOverDrain
}

// playQueueOverDrain fills the slots of a slow backend and lets a further request wait at its
// node, when the backend says that it leaves.
func playQueueOverDrain(s *site, trouble bool) (bool, error) {
	var slow atomic.Bool
	var mu sync.Mutex
	var late []arrival
	var left time.Time
	shape := func(b *backend) {
		b.isFatal = func(string) bool { return false }
		b.onArrival = func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			if !left.IsZero() && a.at.Sub(left) > s.drain {
				late = append(late, a)
			}
		}
		b.workTime = func(string) time.Duration {
			if slow.Load() {
				return 5 * 500 * time.Millisecond
			}
			return 500 * time.Millisecond
		}
	}
	m, err := s.addMachine("z1", "letters", 4, shape)
	if err != nil {
		return false, err
	}
	timeout := 4 * time.Second
	s.configure(7, []string{"letters"}, route("letter", "/letter/", "unsafe", "letters", timeout))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	for range 6 {
		if a := m.send("POST", "/letter/ordinary", "", timeout); a.status != 200 {
			return false, errOrdinary
		}
	}
	slow.Store(trouble)
	if trouble {
		s.rec.add("the backend turns slow, 5 times")
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { m.send("POST", "/letter/slow", "", timeout) })
	}
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		wg.Go(func() { m.send("POST", "/letter/waits", "", timeout) })
	}
	time.Sleep(50 * time.Millisecond)
	m.backend.drain()
	mu.Lock()
	left = time.Now()
	mu.Unlock()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, a := range late {
		s.rec.add("%s reached %s %.3f s after it was acknowledged to leave; allowed are %s", a.attempt, a.backend, a.at.Sub(left).Seconds(), s.drain)
	}
	return len(late) > 0 && strings.HasPrefix(late[0].path, "/letter/"), nil
}
