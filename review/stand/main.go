// Command reviewstand plays the cases of the review that are scripts. Each case
// starts a small deployment on loopback: nodes as separate processes, with the
// command of the deploy file, and stand-ins for the store, the backends, the
// clients and the operator in this process.
//
// # Usage
//
//	reviewstand CASE RECORD
//
// It is run in the root of the repository and writes what was sent, answered and
// run to the file RECORD. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns the breaches of the rule.
var cases = map[string]func(s *site, trouble bool) ([]string, error){
	"withdrawn": withdrawn,
	"stop":      stop,
	"sameid":    sameID,
	"pages":     pages,
	"announced": announced,
	"turned":    turned,
	"power":     power,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE RECORD")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite()
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	defer s.stopAll()
	defer s.writeRecord(os.Args[2])
	go s.stopOnSignal(os.Args[2])
	breaches, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		s.log("can't run: %v", err)
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	for _, b := range breaches {
		s.log("BREACH   %s", b)
	}
	s.log("%d breaches of the rule", len(breaches))
	fmt.Printf("%d breaches of the rule\n", len(breaches))
	if len(breaches) > 0 {
		fmt.Println("the first:", breaches[0])
		return 1
	}
	return 0
}

// maxTime bounds the time of a case.
const maxTime = 115 * time.Second

// stopOnSignal ends the case, and all processes that it has started, on a signal or
// after maxTime.
func (s *site) stopOnSignal(record string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
		s.log("can't run: interrupted")
	case <-time.After(maxTime):
		s.log("can't run: takes too long")
	}
	s.writeRecord(record)
	s.stopAll()
	os.Exit(2)
}

// begin writes the first configuration, starts all nodes and the heartbeats of
// their backends, and waits until the site serves.
func (s *site) begin(ctx context.Context, cfg config, probeTarget string) error {
	s.store.put("op/config", cfg)
	for _, m := range s.machines {
		if err := m.startNode(); err != nil {
			return err
		}
		go m.backend.beat()
	}
	if err := s.waitReady(20 * time.Second); err != nil {
		return err
	}
	go s.pollReady(ctx)
	end := time.Now().Add(20 * time.Second)
	for _, m := range s.machines {
		for {
			a := m.send("GET", "site.example", probeTarget, time.Second)
			if a.status == 200 && a.whole {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s doesn't serve: status %d %s", m.name, a.status, a.problem)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// All nodes and the store have been without disruption for longer than contact.
	time.Sleep(contact + 2*time.Second)
	return nil
}

// traffic sends requests from a machine's clients at a rate until ctx ends, each
// on a new connection, while the platform gives them work. It calls fn with each
// attempt that has ended, and returns once all have.
func (m *machine) traffic(ctx context.Context, wg *sync.WaitGroup, perS float64, method, target string, deadline time.Duration, fn func(attempt)) {
	wg.Go(func() {
		var own sync.WaitGroup
		defer own.Wait()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !m.takesWork() {
				continue
			}
			own.Go(func() { fn(m.send(method, "site.example", target, deadline)) })
		}
	})
}
