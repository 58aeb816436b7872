package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// activations returns how many versions the machine's node has activated, by its log.
func (m *machine) activations() int {
	text, _ := os.ReadFile(filepath.Join(m.site.dir, m.name+".log"))
	return bytes.Count(text, []byte("config: version in force"))
}

const (
	// rounds is how often the case announced changes the configuration, and roundPeriod
	// how long it waits between two changes.
	rounds      = 9
	roundPeriod = 8500 * time.Millisecond
	// freezeFor is how long a machine stands still.
	freezeFor = 4 * time.Second
)

// announced plays changes of the configuration, one every 8.5 s. At each, one of the ten
// machines freezes for 4 s: the one whose node is the first to activate the change, as
// soon as its log says so. Without the trouble none freezes.
//
// Rule CONFIG: no request that a calm machine sends later than configApply after the
// acknowledgement may be run by the old service. The frozen machine doesn't count until
// the next round.
func announced(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchers, _, err := s.watchersApart(ctx, 5, largeConfig("r1", "stock", 1400))
	if err != nil {
		return nil, err
	}
	end := observe(ctx, s.machines, 5)
	time.Sleep(2 * time.Second)
	type round struct {
		old          string
		acked, until time.Time
		calm         []*machine
	}
	var played []round
	services := []string{"stock", "archive"}
	for n := range rounds {
		next := largeConfig(fmt.Sprintf("r%d", n+2), services[(n+1)%2], 1400)
		before := map[*machine]int{}
		for _, m := range watchers {
			before[m] = m.activations()
		}
		r := round{old: services[n%2], acked: s.store.put("op/config", next)}
		s.log("operator: configuration %s is acknowledged: /stock/ leads to %s", next.Version, services[(n+1)%2])
		var frozen *machine
		for trouble && frozen == nil && time.Since(r.acked) < time.Second {
			for _, m := range watchers {
				if frozen == nil && m.activations() > before[m] {
					frozen = m
					m.signal(syscall.SIGSTOP)
				}
			}
		}
		if frozen != nil {
			time.Sleep(freezeFor)
			frozen.signal(syscall.SIGCONT)
		}
		for _, m := range s.machines {
			if m != frozen {
				r.calm = append(r.calm, m)
			}
		}
		r.until = r.acked.Add(roundPeriod)
		time.Sleep(time.Until(r.until))
		played = append(played, r)
	}
	all := end()
	var breaches []string
	for n, r := range played {
		found := s.staleBreaches(all, r.calm, r.old, r.acked, r.acked.Add(configApply), r.until)
		s.log("round %d: %d breaches", n+1, len(found))
		breaches = append(breaches, found...)
	}
	return breaches, nil
}
