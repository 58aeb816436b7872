package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stopSite starts a site of three zones with a machine each. The backends of the
// service stock stand in the zones b and c, and the clients use the machine in zone a.
func stopSite(ctx context.Context, s *site) (*machine, error) {
	for _, v := range [][3]string{{"a-1", "a", "front"}, {"b-1", "b", "stock"}, {"c-1", "c", "stock"}} {
		if _, err := s.addMachine(v[0], v[1], v[2]); err != nil {
			return nil, err
		}
	}
	cfg := newConfig("r1", []string{"stock", "front"}, []route{
		{Name: "hold", Host: "site.example", Prefix: "/hold/", Service: "stock", Kind: "unsafe", Timeout: "2500ms", TargetLatency: "1500ms", MaxAttempts: 1},
		{Name: "read", Host: "site.example", Prefix: "/stock/", Service: "stock", Kind: "safe", Timeout: "1500ms", TargetLatency: "500ms", MaxAttempts: 2},
	})
	return s.machines[0], s.begin(ctx, cfg, "/stock/1?work=5")
}

// terminate sends SIGTERM to the machine's node, SIGKILL after grace, and starts it
// again shortly after it has ended. It returns when it was asked to end.
func (m *machine) terminate(wg *sync.WaitGroup) time.Time {
	m.signal(syscall.SIGTERM)
	at := time.Now()
	wg.Go(func() {
		select {
		case <-m.exited:
		case <-time.After(grace):
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
		time.Sleep(300 * time.Millisecond)
		if err := m.startNode(); err != nil {
			m.site.log("%s: not started again: %v", m.name, err)
		}
	})
	return at
}

// lostAround returns the breaches of LOST among the attempts around a SIGTERM: those
// that were run by a backend, and whose connection ended without a complete answer,
// though neither their deadline nor the route's timeout was reached, until 1 s after
// grace. Not counted are those that were sent no later than 3 s after the SIGTERM and
// at which the backend was still at work in the last sixth of grace.
func (s *site) lostAround(term time.Time, attempts []attempt, deadline time.Duration) []string {
	started := map[string]run{}
	for _, m := range s.machines {
		for _, r := range m.backend.runsAfter(time.Time{}) {
			started[r.id] = r
		}
	}
	var breaches []string
	for _, a := range attempts {
		r, ran := started[a.id]
		end := a.ended.Sub(term)
		switch {
		case a.whole || !ran || a.sent.IsZero():
		case end < 0 || end > grace+time.Second:
		case a.ended.Sub(a.sent) >= deadline:
		case a.sent.Sub(term) <= 3*time.Second && end >= grace*5/6:
		default:
			breaches = append(breaches, fmt.Sprintf("request %s, sent %.2f s after the SIGTERM, was run by %s and is cut off at %.2f s, %.2f s before its deadline: %s",
				a.id, a.sent.Sub(term).Seconds(), r.instance, end.Seconds(), (deadline-a.ended.Sub(a.sent)).Seconds(), a.problem))
		}
	}
	return breaches
}

// stop plays the planned stop of a node under steady load. Without the trouble the
// node is not stopped.
//
// Rule LOST: around a SIGTERM no request that has been passed on to a backend may
// end without an answer.
func stop(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m, err := stopSite(ctx, s)
	if err != nil {
		return nil, err
	}
	const deadline = 2000 * time.Millisecond
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []attempt
	keep := func(a attempt) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	m.traffic(clients, &wg, 10, "POST", "/hold/1?work=1000", deadline, keep)
	time.Sleep(4 * time.Second)
	term := time.Now()
	if trouble {
		term = m.terminate(&wg)
	}
	time.Sleep(8 * time.Second)
	stopClients()
	wg.Wait()
	return s.lostAround(term, all, deadline), checkServed(all)
}

// checkServed returns an error if no request was served at all.
func checkServed(all []attempt) error {
	if !slices.ContainsFunc(all, func(a attempt) bool { return a.status == 200 }) {
		return fmt.Errorf("no request was served")
	}
	return nil
}
