package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	plays["crash-after-restarts"] = playCrashAfterRestarts
	plays["crash-by-upload"] = playCrashByUpload
}

// errOrdinary is the error of a case in which an ordinary request is not served in calm.
var errOrdinary = errors.New("an ordinary request was not served in calm")

// crashLog counts the arrivals of a request that crashes the backend which begins to run it.
type crashLog struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (c *crashLog) add(a arrival) {
	if !strings.Contains(a.path, "/fatal") {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// lateRetries returns the number of retries, which are attempts of the client, that reached a
// backend later than contact after the third crash. The rule allows maxLateRetries.
func (c *crashLog) lateRetries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	retries := map[string]bool{}
	for i, a := range c.arrivals {
		if i > 2 && a.at.Sub(c.arrivals[2].at) > contact {
			retries[a.attempt] = true
		}
	}
	return len(retries)
}

// maxLateRetries is the number that the rule BUDGET allows.
const maxLateRetries = 3

// shape returns a function that makes a backend crash by the paths with /fatal.
func (c *crashLog) shape(isFatal bool) func(b *backend) {
	return func(b *backend) {
		b.onArrival = c.add
		b.isFatal = func(path string) bool { return isFatal && strings.Contains(path, "/fatal") }
		b.workTime = func(string) time.Duration { return 60 * time.Millisecond }
	}
}

// playCrashAfterRestarts sends an idempotent request that crashes the backends which begin to run
// it, again and again, while the nodes are stopped and started in turn.
func playCrashAfterRestarts(s *site, trouble bool) (bool, error) {
	var log crashLog
	for i := range 4 {
		if _, err := s.addMachine(fmt.Sprintf("z%d", i+1), "lending", 9, log.shape(true)); err != nil {
			return false, err
		}
	}
	s.configure(7, []string{"lending"}, route("sheet", "/sheet/", "safe", "lending", 1200*time.Millisecond))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	if a := s.machines[0].send("GET", "/sheet/ordinary", "", 1200*time.Millisecond); a.status != 200 {
		return false, errOrdinary
	}
	ask := func(m *machine) {
		m.send("GET", "/sheet/fatal", "", 1200*time.Millisecond)
		time.Sleep(contact + 500*time.Millisecond)
	}
	ask(s.machines[0])
	ask(s.machines[1])
	for _, m := range s.machines {
		if trouble {
			if err := m.restart(); err != nil {
				return false, err
			}
			if err := s.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			time.Sleep(contact + 500*time.Millisecond)
		}
		ask(m)
		ask(m)
	}
	n := log.lateRetries()
	s.rec.add("the request began at a backend %d times, in %d retries later than %s after the third crash; allowed are %d", len(log.arrivals), n, contact, maxLateRetries)
	return n > maxLateRetries, nil
}

// uploadBytes is the size of the upload, within the sheets' sizes.
const uploadBytes = 300000

// playCrashByUpload sends an upload that crashes the backends which begin to run it, again and
// again. Without the trouble it crashes none.
func playCrashByUpload(s *site, trouble bool) (bool, error) {
	var log crashLog
	for range 3 {
		if _, err := s.addMachine("z1", "letters", 9, log.shape(trouble)); err != nil {
			return false, err
		}
	}
	s.configure(7, []string{"letters"}, route("media", "/media/", "upload", "letters", 2*time.Second))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	body := strings.Repeat("0123456789", uploadBytes/10)
	if a := s.machines[0].send("POST", "/media/ordinary", body, 2*time.Second); a.status != 200 {
		return false, errOrdinary
	}
	for i := range 9 {
		s.machines[i%len(s.machines)].send("POST", "/media/fatal", body, 2*time.Second)
		time.Sleep(contact + 500*time.Millisecond)
	}
	if !trouble {
		return false, nil
	}
	n := log.lateRetries()
	s.rec.add("the request began at a backend %d times, in %d retries later than %s after the third crash; allowed are %d", len(log.arrivals), n, contact, maxLateRetries)
	return n > maxLateRetries, nil
}
