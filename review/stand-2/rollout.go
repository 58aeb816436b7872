package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	plays["rollout-replaced"] = playRolloutReplaced
}

const (
	// rolloutTime is the duration of each rollout order.
	rolloutTime = 16 * time.Second
	// badAfter is how long after its order the new version turns bad.
	badAfter = 3 * time.Second
	// secondOrder is how long after the first order the operator writes the second.
	secondOrder = 2 * time.Second
	// requestsPerSecond is the load on the service.
	requestsPerSecond = 80
	// exposureShare and exposureSlack are the bounds of the settings.
	exposureShare, exposureSlack = 0.1, 50
	// rollbackBound is the time after the 50th bad answer from which none may go to the version.
	rollbackBound, rollbackAfter = 5 * time.Second, 50
)

// exposure counts the requests that the versions of a service get.
type exposure struct {
	mu         sync.Mutex
	all, bad   int
	badAnswers int
	fiftieth   time.Time
	lateness   time.Duration
}

// add counts an arrival, and reports whether the bad version answers it with a failure: each
// second request, once it has turned bad.
func (e *exposure) add(isBadVersion, isBad bool, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all++
	if !isBadVersion {
		return false
	}
	e.bad++
	if !e.fiftieth.IsZero() {
		e.lateness = max(e.lateness, at.Sub(e.fiftieth))
	}
	if !isBad || e.bad%2 != 0 {
		return false
	}
	if e.badAnswers++; e.badAnswers == rollbackAfter {
		e.fiftieth = at
	}
	return true
}

// drainAfter is how long after a rollback the backends of the new version drain.
const drainAfter = 4 * time.Second

// followRollout does what the platform does with the status of a service's rollouts: when a
// version is completed, the backends of the others stop at once; when it is rolled back, its own
// drain some seconds later.
func (s *site) followRollout(service string) {
	last := ""
	for range time.Tick(50 * time.Millisecond) {
		text, _ := s.store.get("status/rollout/" + service)
		if text == last {
			continue
		}
		last = text
		s.rec.add("status of the rollout: %s", text)
		var status struct{ State, TargetVersion string }
		_ = json.Unmarshal([]byte(text), &status)
		for _, m := range s.machines {
			isTarget := m.backend.version == status.TargetVersion
			switch {
			case status.State == "completed" && !isTarget:
				m.backend.stop()
			case status.State == "rolled_back" && isTarget:
				time.AfterFunc(drainAfter, m.backend.drain)
			}
		}
	}
}

// playRolloutReplaced orders a version that turns bad later. While that rollout is under way the
// operator changes his mind and orders the version before again.
func playRolloutReplaced(s *site, trouble bool) (bool, error) {
	var e exposure
	var ordered, ended time.Time
	var mu sync.Mutex
	shape := func(version string) func(b *backend) {
		return func(b *backend) {
			b.version = version
			b.isFatal = func(string) bool { return false }
			b.workTime = func(string) time.Duration { return 60 * time.Millisecond }
			b.fails = func(a arrival) bool {
				mu.Lock()
				isCounted := !ordered.IsZero() && a.at.After(ordered) && ended.IsZero()
				isBad := isCounted && a.at.Sub(ordered) >= badAfter
				mu.Unlock()
				return isCounted && e.add(version == "v2", isBad, a.at)
			}
		}
	}
	for i := range 4 {
		if _, err := s.addMachine(fmt.Sprintf("z%d", i%2+1), "lending", 9, shape("v1")); err != nil {
			return false, err
		}
	}
	s.configure(7, []string{"lending"}, route("loan", "/loan/", "unsafe", "lending", 800*time.Millisecond))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	stop := s.load(requestsPerSecond, "/loan/book", 800*time.Millisecond)
	time.Sleep(3 * time.Second)
	for i := range 4 {
		if _, err := s.addMachine(fmt.Sprintf("z%d", i%2+1), "lending", 9, shape("v2")); err != nil {
			return false, err
		}
	}
	mu.Lock()
	ordered = time.Now()
	mu.Unlock()
	go s.followRollout("lending")
	s.order("lending", "v2")
	time.Sleep(secondOrder)
	if trouble {
		s.order("lending", "v1")
	}
	time.Sleep(rolloutTime - secondOrder)
	mu.Lock()
	ended = time.Now()
	mu.Unlock()
	stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed := int(exposureShare*float64(e.all)) + exposureSlack
	s.rec.add("the bad version v2 got %d requests of %d in the time of its rollout, allowed are %d; %d bad answers; last request %s after the 50th", e.bad, e.all, allowed, e.badAnswers, e.lateness)
	return e.bad > allowed || e.lateness > rollbackBound, nil
}
