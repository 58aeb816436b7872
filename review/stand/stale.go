package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// staleConfig is a configuration whose route "read" leads to the given service.
func staleConfig(version, service string) config {
	return newConfig(version, []string{"stock", "archive"}, []route{
		{Name: "read", Host: "site.example", Prefix: "/stock/", Service: service, Kind: "safe", Timeout: "1500ms", TargetLatency: "500ms", MaxAttempts: 2},
	})
}

// observe sends requests from the clients of the machines, and returns a function
// that ends them and returns all attempts by id.
func observe(ctx context.Context, machines []*machine, perS float64) func() map[string]attempt {
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := map[string]attempt{}
	ctx, cancel := context.WithCancel(ctx)
	for _, m := range machines {
		m.traffic(ctx, &wg, perS, "GET", "/stock/1?work=10", time.Second, func(a attempt) {
			mu.Lock()
			defer mu.Unlock()
			all[a.id] = a
		})
	}
	return func() map[string]attempt {
		cancel()
		wg.Wait()
		return all
	}
}

// staleBreaches returns the breaches of CONFIG: requests that the given machines
// sent between from and to, and that the old service ran.
func (s *site) staleBreaches(all map[string]attempt, senders []*machine, old string, acked, from, to time.Time) []string {
	calm := map[*machine]bool{}
	for _, m := range senders {
		calm[m] = true
	}
	var out []string
	for _, m := range s.machines {
		if m.service != old {
			continue
		}
		for _, r := range m.backend.runsAfter(from) {
			a, ok := all[r.id]
			if ok && calm[a.m] && a.sent.After(from) && a.sent.Before(to) {
				out = append(out, fmt.Sprintf("request %s, sent by %s %.2f s after the acknowledgement of the change, is run by %s of the old service %s", r.id, a.m.name, a.sent.Sub(acked).Seconds(), r.instance, old))
			}
		}
	}
	return out
}

// watchersApart starts a site of two zones with n machines each, and returns the
// machines whose nodes watch the store, and the others.
func (s *site) watchersApart(ctx context.Context, n int, cfg config) (watchers, others []*machine, err error) {
	for _, zone := range []string{"a", "b"} {
		for i := range n {
			if _, err := s.addMachine(fmt.Sprintf("%s-%d", zone, i+1), zone, []string{"stock", "archive"}[i%2]); err != nil {
				return nil, nil, err
			}
		}
	}
	if err := s.begin(ctx, cfg, "/stock/1?work=5"); err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		watchers, others = nil, nil
		names := []string{}
		for _, m := range s.machines {
			if m.door.isWatched() {
				watchers = append(watchers, m)
				names = append(names, m.name)
			} else {
				others = append(others, m)
			}
		}
		if len(watchers) == 4 {
			s.log("nodes that watch the store: %s", strings.Join(names, ", "))
			return watchers, others, nil
		}
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("%d nodes watch the store, expected 4", len(watchers))
		}
	}
}

// turnedFor is how long the store turns the machines away in the case turned.
const turnedFor = 9 * time.Second

// turned plays a store that turns away a third of the machines, those whose nodes
// watch it, and serves the others and the operator, who changes the configuration.
// Without the trouble it serves all.
//
// Rule CONFIG: with the stretch for an unstable core, no request that a machine sends
// later than configApply + maxStretch after the acknowledgement may be run by the old
// service. Only the machines that the store serves count.
func turned(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchers, others, err := s.watchersApart(ctx, 6, staleConfig("r1", "stock"))
	if err != nil {
		return nil, err
	}
	end := observe(ctx, others, 10)
	time.Sleep(2 * time.Second)
	if trouble {
		for _, m := range watchers {
			m.door.away.Store(true)
		}
		s.log("store: answers 503 to %d of %d machines", len(watchers), len(s.machines))
		time.AfterFunc(turnedFor, func() {
			for _, m := range watchers {
				m.door.away.Store(false)
			}
			s.log("store: serves all machines again")
		})
	}
	time.Sleep(200 * time.Millisecond)
	acked := s.store.put("op/config", staleConfig("r2", "archive"))
	s.log("operator: configuration r2 is acknowledged: /stock/ leads to archive")
	time.Sleep(turnedFor + 3*time.Second)
	return s.staleBreaches(end(), others, "stock", acked, acked.Add(configApply+maxStretch), time.Now()), nil
}

// detectable is how long after a loss of power the links to the machine, and two
// attempts to connect to it, need at least to time out. A stopped process on loopback
// still accepts connections, which makes that later; what is later isn't counted.
const detectable = 4 * time.Second

// power plays a loss of power of four of ten machines, those whose nodes watch the
// store, and a change of the configuration right after it. Without the trouble no
// machine loses power. A machine without power neither answers nor resets: its process
// is stopped. Its backend is gone.
//
// Rule CONFIG: no request that a calm machine sends later than configApply after the
// acknowledgement may be run by the old service.
func power(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchers, others, err := s.watchersApart(ctx, 5, staleConfig("r1", "stock"))
	if err != nil {
		return nil, err
	}
	end := observe(ctx, others, 10)
	time.Sleep(2 * time.Second)
	struck := time.Now()
	if trouble {
		for _, m := range watchers {
			m.backend.close()
			m.signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(200 * time.Millisecond)
	acked := s.store.put("op/config", staleConfig("r2", "archive"))
	s.log("operator: configuration r2 is acknowledged: /stock/ leads to archive")
	time.Sleep(8 * time.Second)
	return s.staleBreaches(end(), others, "stock", acked, acked.Add(configApply), struck.Add(detectable)), nil
}
