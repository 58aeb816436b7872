package gtcapacity

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// simulateCalls runs a server with 20 requests a second of 100 ms of own work, each of
// which makes a call of the given mean time with the given probability, beside 15 calls
// a second of other callers through the same node. It returns the mean own latency that
// is found between two times, and the part of the requests for which there is one.
func simulateCalls(seed uint64, probability float64, meanCall, from, to time.Duration) (own time.Duration, known float64) {
	r := rand.New(rand.NewPCG(seed, 9))
	type event struct {
		start, end time.Duration
		request    bool
	}
	var events []event
	for at := time.Duration(0); at < 4*time.Minute; at += time.Duration(r.ExpFloat64() / 20 * float64(time.Second)) {
		before, after := work(r, 50*time.Millisecond), work(r, 50*time.Millisecond)
		call := time.Duration(0)
		if r.Float64() < probability {
			call = work(r, meanCall)
			events = append(events, event{at + before, at + before + call, false})
		}
		events = append(events, event{at, at + before + call + after, true})
	}
	for at := time.Duration(0); at < 4*time.Minute; at += time.Duration(r.ExpFloat64() / 15 * float64(time.Second)) {
		events = append(events, event{at, at + work(r, 120*time.Millisecond), false})
	}
	sort.Slice(events, func(i, j int) bool { return events[i].end < events[j].end })
	c := &Calls{}
	sum, samples, requests := 0.0, 0, 0
	for _, e := range events {
		if !e.request {
			c.Ended(epoch.Add(e.start), epoch.Add(e.end))
			continue
		}
		d, finding := c.Own("a", epoch.Add(e.start), epoch.Add(e.end))
		if e.start < from || e.end > to {
			continue
		}
		requests++
		if finding == Known {
			sum += d.Seconds()
			samples++
		}
	}
	if samples == 0 {
		return 0, 0
	}
	return time.Duration(sum / float64(samples) * float64(time.Second)), float64(samples) / float64(requests)
}

// Calls that a request makes must not make its server look slow, and calls of other
// callers on the machine must not make it look fast. Nothing may be concluded where the
// calls are too many for it. The naive rule takes the whole latency. Bound: the third by
// which the speeds of servers differ.
func TestCallsAreNotTheServersOwnTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, v := range []struct {
		probability float64
		call        time.Duration
		mustKnow    bool
	}{{0, 0, true}, {1, 100 * time.Millisecond, true}, {1, 300 * time.Millisecond, false}, {0.5, 200 * time.Millisecond, false}} {
		worst, knownRuns := 0.0, 0
		for seed := range uint64(seeds) {
			own, known := simulateCalls(seed, v.probability, v.call, 3*time.Minute, 4*time.Minute)
			if v.mustKnow {
				g.Expect(known).To(gomega.BeNumerically(">", 0.9), "seed %d, %+v", seed, v)
			}
			if known == 0 {
				continue
			}
			knownRuns++
			worst = math.Max(worst, math.Abs(own.Seconds()/0.1-1))
			g.Expect(math.Abs(own.Seconds()/0.1-1)).To(gomega.BeNumerically("<", 0.33), "seed %d, %+v: %s", seed, v, own)
		}
		t.Logf("%+v: largest error %.2f, naive rule %.2f; known in %d of %d runs", v, worst, v.probability*v.call.Seconds()/0.1, knownRuns, seeds)
	}
}

// Where the calls of the time are no longer kept, nothing must be concluded.
func TestUnknownCallsGiveNoOwnTime(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &Calls{}
	for i := range 2 * callMemory {
		c.Ended(epoch.Add(time.Duration(i)*time.Millisecond), epoch.Add(time.Duration(i+1)*time.Millisecond))
	}
	_, finding := c.Own("a", epoch.Add(200*time.Millisecond), epoch.Add(2*callMemory*time.Millisecond))
	g.Expect(finding).To(gomega.Equal(Unknown))
}

// Calls of other callers must not delay the learning about requests that make none: after
// a cold start under load half of the responses were late.
func TestOwnTimeIsKnownSoonWithoutNestedCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seeds) {
		own, known := simulateCalls(seed, 0, 0, 0, 10*time.Second)
		g.Expect(known).To(gomega.BeNumerically(">", 0.9), "seed %d", seed)
		g.Expect(math.Abs(own.Seconds()/0.1-1)).To(gomega.BeNumerically("<", 0.2), "seed %d: %s", seed, own)
	}
}
