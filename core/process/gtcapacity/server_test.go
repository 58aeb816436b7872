package gtcapacity

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// response is a request in flight in the simulation.
type response struct {
	start, end  time.Duration
	concurrency int
	route       string
}

type responses []response

func (h responses) Len() int           { return len(h) }
func (h responses) Less(i, j int) bool { return h[i].end < h[j].end }
func (h responses) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *responses) Push(v any)        { *h = append(*h, v.(response)) }
func (h *responses) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var epoch = time.Unix(1000, 0)

// server is a simulated backend server with Poisson arrivals and gamma distributed work,
// of mean 110 ms on route "a" and 300 ms on route "b".
type server struct {
	rand *rand.Rand
	// rate is the number of arrivals a second; those beyond the slots are dropped.
	rate  float64
	slots int
	// speed is the speed at a time.
	speed func(at time.Duration) float64
	// slow is the factor of the service time at a concurrency.
	slow func(concurrency int) float64
	// onEnd is called with each response.
	onEnd func(r response)
}

var meanWork = map[string]time.Duration{"a": 110 * time.Millisecond, "b": 300 * time.Millisecond}

// work returns a random work with the given mean, of a coefficient of variation of 0.7.
func work(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (r.ExpFloat64() + r.ExpFloat64()) / 2)
}

// run simulates the server for a time.
func (s *server) run(d time.Duration) {
	var inFlight responses
	for at := time.Duration(0); at < d; at += time.Duration(s.rand.ExpFloat64() / s.rate * float64(time.Second)) {
		for len(inFlight) > 0 && inFlight[0].end <= at {
			s.onEnd(heap.Pop(&inFlight).(response))
		}
		if len(inFlight) >= s.slots {
			continue
		}
		name := "a"
		if s.rand.Float64() < 0.3 {
			name = "b"
		}
		concurrency := len(inFlight) + 1
		took := float64(work(s.rand, meanWork[name])) / s.speed(at)
		if s.slow != nil {
			took *= s.slow(concurrency)
		}
		heap.Push(&inFlight, response{at, at + time.Duration(took), concurrency, name})
	}
}

func constant(speed float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return speed }
}

// newServer returns a server whose responses an estimator with references observes.
func newServer(seed uint64, e *Estimator, rate float64, slots int, speed func(time.Duration) float64) *server {
	s := &server{rand: rand.New(rand.NewPCG(seed, 9)), rate: rate, slots: slots, speed: speed}
	s.onEnd = func(r response) {
		e.Observe(r.route, r.concurrency, r.end-r.start, epoch.Add(r.end))
		e.SetReference(r.route, meanWork[r.route])
	}
	return s
}

// slowFrom returns a slow-down that begins at a concurrency and reaches factor at slots.
func slowFrom(from float64, slots int, factor float64) func(int) float64 {
	return func(c int) float64 {
		return 1 + (factor-1)*math.Max(0, float64(c)-from)/(float64(slots)-from)
	}
}
