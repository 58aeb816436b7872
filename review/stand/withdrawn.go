package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// withdrawn plays a backend that deregisters, a kill of all nodes at the same
// moment, and a heartbeat that the backend had sent before it left and that
// arrives late. Without the trouble no node is killed.
//
// Rule DRAIN: no request may reach the backend later than drain after the
// acknowledgement, sent on by machines in touch.
func withdrawn(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, v := range [][3]string{{"a-1", "a", "stock"}, {"b-1", "b", "stock"}, {"c-1", "c", "stock"}, {"a-2", "a", "front"}, {"b-2", "b", "front"}, {"c-2", "c", "front"}} {
		if _, err := s.addMachine(v[0], v[1], v[2]); err != nil {
			return nil, err
		}
	}
	cfg := newConfig("r1", []string{"stock", "front"}, []route{
		{Name: "read", Host: "site.example", Prefix: "/stock/", Service: "stock", Kind: "safe", Timeout: "1500ms", TargetLatency: "500ms", MaxAttempts: 2},
	})
	if err := s.begin(ctx, cfg, "/stock/1?work=5"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	for _, m := range s.machines {
		m.traffic(clients, &wg, 10, "GET", "/stock/1?work=20", time.Second, func(attempt) {})
	}
	time.Sleep(2 * time.Second)

	// The backend leaves: its last heartbeat is held up, its deregistration is
	// acknowledged. It goes on serving for some seconds.
	leaver := s.machines[0].backend
	close(leaver.quit)
	late := leaver.beatMessage("ready")
	s.log("%s: sends a heartbeat that is held up on its way", leaver.id)
	time.Sleep(100 * time.Millisecond)
	if !leaver.call("DELETE", nil) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	s.log("%s: its deregistration is acknowledged", leaver.id)

	// All processes are killed at the same moment and started again shortly after.
	restarted := acked
	time.Sleep(400 * time.Millisecond)
	if trouble {
		for _, m := range s.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range s.machines {
			<-m.exited
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range s.machines {
			if err := m.startNode(); err != nil {
				return nil, err
			}
		}
		restarted = time.Now()
	}

	// The heartbeat arrives seconds after it was sent.
	time.Sleep(time.Until(acked.Add(2 * time.Second)))
	for !leaver.call("PUT", late) {
		if time.Since(acked) > 4*time.Second {
			return nil, fmt.Errorf("the node doesn't take the late heartbeat")
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.log("%s: the heartbeat that was held up arrives, %.1f s after it was sent", leaver.id, time.Since(acked).Seconds()+0.1)
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	stopClients()
	wg.Wait()

	bound := acked.Add(drain)
	if t := restarted.Add(contact); trouble && t.After(bound) {
		bound = t
	}
	var breaches []string
	for _, r := range leaver.runsAfter(bound) {
		breaches = append(breaches, fmt.Sprintf("request %s reaches %s %.2f s after the acknowledgement of its leaving, all nodes are in touch", r.id, leaver.id, r.at.Sub(acked).Seconds()))
	}
	return breaches, nil
}
