package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	plays["departure-forgotten"] = playDepartureForgotten
}

const (
	// firstLease is the first ID of a lease: one of 48 bits, as the platform's store gives them.
	firstLease = 1 << 48
	// heldUp is how late a heartbeat arrives.
	heldUp = 2500 * time.Millisecond
	// servesOn is how long the backend serves on after it has deregistered.
	servesOn = 6 * time.Second
)

// call sends a call of a backend to the node beside it, and returns the status.
func (b *backend) call(method, id string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/instances/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.rec.add("%s /instances/%s: %v", method, id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	b.rec.add("%s /instances/%s is answered %d", method, id, resp.StatusCode)
	return resp.StatusCode
}

// leave stops the heartbeats of the backend, and returns one that is held up on its way.
func (b *backend) leave() (id string, late []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, late = b.id, b.heartbeatLocked()
	b.silent = true
	return id, late
}

// killAll kills the nodes of all machines, and starts them again a little later.
func (s *site) killAll() error {
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		<-m.end
	}
	time.Sleep(300 * time.Millisecond)
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// playDepartureForgotten lets a backend deregister while a heartbeat of it is held up. All nodes
// are killed before that arrives.
func playDepartureForgotten(s *site, trouble bool) (bool, error) {
	s.store.mu.Lock()
	s.store.next = firstLease
	s.store.mu.Unlock()
	var mu sync.Mutex
	var from time.Time // from which no request may reach the backend that has left
	late := 0
	for i := range 4 {
		shape := func(b *backend) {
			b.isFatal = func(string) bool { return false }
			b.workTime = func(string) time.Duration { return 110 * time.Millisecond }
			b.onArrival = func(a arrival) {
				mu.Lock()
				defer mu.Unlock()
				if i == 0 && !from.IsZero() && a.at.After(from) {
					late++
				}
			}
		}
		if _, err := s.addMachine(fmt.Sprintf("z%d", i+1), "lending", 9, shape); err != nil {
			return false, err
		}
	}
	s.configure(7, []string{"lending"}, route("loan", "/loan/", "unsafe", "lending", 800*time.Millisecond))
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	stop := s.load(40, "/loan/book", 800*time.Millisecond)
	defer stop()
	time.Sleep(2 * time.Second)
	b := s.machines[0].backend
	id, heartbeat := b.leave()
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	if b.call(http.MethodDelete, id, nil) != http.StatusOK {
		return false, fmt.Errorf("the departure of %s was not acknowledged", id)
	}
	acknowledged := time.Now()
	time.Sleep(500 * time.Millisecond)
	inTouch := acknowledged
	if trouble {
		if err := s.killAll(); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(contact)
	}
	mu.Lock()
	from = acknowledged.Add(drainTime)
	if inTouch.After(from) {
		from = inTouch
	}
	mu.Unlock()
	time.Sleep(time.Until(sent.Add(heldUp)))
	b.call(http.MethodPut, id, heartbeat)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	b.stop()
	mu.Lock()
	defer mu.Unlock()
	s.rec.add("%d requests reached %s later than %s after its departure was acknowledged, from nodes in touch", late, id, drainTime)
	return late > 0, nil
}
