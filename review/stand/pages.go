package main

import (
	"context"
	"fmt"
	"time"
)

// idleRoutes is the number of routes without traffic in the case pages. With them the
// configuration has about 0.9 MB, within valueBytes, and fills a page of the store.
const idleRoutes = 5200

// largeConfig is staleConfig with n more routes, without traffic.
func largeConfig(version, service string, n int) config {
	c := staleConfig(version, service)
	for i := range n {
		c.Routes = append(c.Routes, route{
			Name: fmt.Sprintf("idle-%d", i), Host: "idle.example", Prefix: fmt.Sprintf("/idle/%d/", i), Service: "archive",
			Kind: "safe", Timeout: "1500ms", TargetLatency: "500ms", MaxAttempts: 2, Priority: 3,
		})
	}
	return c
}

// pages plays a slow store that discards its history, and two orders of the operator in
// quick succession while the nodes read the operator's keys again: a new configuration
// and the evacuation of a second zone. The keys fill two pages, and the orders come between
// the two. Without the trouble the store is not slow; all else is the same.
//
// Rule CONFIG: no request that is sent later than configApply after the acknowledgement
// may be run by the old service, once all machines are in touch again.
func pages(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, zone := range []string{"a", "b", "c"} {
		for n, service := range []string{"stock", "archive"} {
			if _, err := s.addMachine(fmt.Sprintf("%s-%d", zone, n+1), zone, service); err != nil {
				return nil, err
			}
		}
	}
	if err := s.begin(ctx, largeConfig("r1", "stock", idleRoutes), "/stock/1?work=5"); err != nil {
		return nil, err
	}
	s.store.put("op/evacuate/c", map[string]any{"zone": "c"})
	s.log("operator: the evacuation of zone c is acknowledged")
	next := largeConfig("r2", "archive", idleRoutes)
	end := observe(ctx, s.machines, 10)
	time.Sleep(2 * time.Second)
	if trouble {
		s.store.latency.Store(int64(slowLatency))
		s.log("store: its answers take %s", slowLatency)
	}
	time.Sleep(2 * time.Second)
	s.store.discardHistory()
	s.log("store: discards its history and cuts the watches that are waiting")
	s.store.mu.Lock()
	s.store.onRead = func(after string, rev int64, items []item) {
		text := ""
		for _, i := range items {
			text += fmt.Sprintf(" %s of revision %d", i.Key, i.Revision)
		}
		s.log("store: reads the operator's keys after %q at revision %d:%s", after, rev, text)
	}
	s.store.mu.Unlock()
	time.Sleep(350 * time.Millisecond)
	acked := s.store.put("op/config", next)
	s.log("operator: configuration r2 is acknowledged: /stock/ leads to archive")
	s.store.put("op/evacuate/b", map[string]any{"zone": "b"})
	s.log("operator: the evacuation of zone b is acknowledged")
	time.Sleep(2 * time.Second)
	calm := time.Now()
	if trouble {
		s.store.latency.Store(int64(storeLatency))
		s.log("store: its answers take %s again", storeLatency)
	}
	time.Sleep(10 * time.Second)
	bound := acked.Add(configApply)
	if t := calm.Add(contact); trouble && t.After(bound) {
		bound = t
	}
	return s.staleBreaches(end(), s.machines, "stock", acked, bound, time.Now()), nil
}
