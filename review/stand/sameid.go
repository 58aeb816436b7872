package main

import (
	"context"
	"fmt"
	"time"
)

// sameID plays a backend that has crashed and starts again under the id that it had.
// Its first heartbeat is held up on its way, and it deregisters before that arrives.
// Without the trouble the heartbeat arrives at once. No node and no store is disturbed.
//
// Rule DRAIN: no request may reach the backend later than drain after the
// acknowledgement.
func sameID(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, v := range [][3]string{{"a-1", "a", "stock"}, {"b-1", "b", "stock"}, {"c-1", "c", "stock"}, {"a-2", "a", "front"}} {
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
	end := observe(ctx, s.machines, 10)
	time.Sleep(time.Second)

	m := s.machines[0]
	first := m.backend
	first.close()
	s.log("%s: crashes (born %d)", first.id, first.born)
	time.Sleep(1500 * time.Millisecond)

	again := newBackend(m, first.id, first.version)
	m.backend = again
	if err := again.listen(); err != nil {
		return nil, err
	}
	s.log("%s: has started again under the same id (born %d)", again.id, again.born)
	beat := again.beatMessage("ready")
	if trouble {
		s.log("%s: sends its first heartbeat, which is held up on its way", again.id)
	} else if !again.call("PUT", beat) {
		return nil, fmt.Errorf("the first heartbeat was not acknowledged")
	}
	time.Sleep(time.Second)
	if !again.call("DELETE", nil) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	s.log("%s: its deregistration is acknowledged", again.id)
	time.Sleep(time.Second)
	if !again.call("PUT", beat) {
		return nil, fmt.Errorf("the late heartbeat was not taken")
	}
	s.log("%s: its first heartbeat has arrived, 2 s after it was sent", again.id)
	time.Sleep(time.Until(acked.Add(8 * time.Second)))
	end()
	var breaches []string
	for _, r := range again.runsAfter(acked.Add(drain)) {
		breaches = append(breaches, fmt.Sprintf("request %s reaches %s %.2f s after the acknowledgement of its leaving", r.id, again.id, r.at.Sub(acked).Seconds()))
	}
	return breaches, nil
}
