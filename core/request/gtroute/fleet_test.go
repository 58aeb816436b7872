package gtroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"godwittide/core/process/gtcapacity"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// kindOfRequest is a kind of requests in the simulation of a fleet.
type kindOfRequest struct {
	route  string
	target time.Duration
	work   time.Duration
	share  float64
}

// kinds are requests whose targets are 2.3, 4 and 8 times the mean work.
var kinds = []kindOfRequest{
	{"urgent", 250 * time.Millisecond, 110 * time.Millisecond, 0.4},
	{"normal", 800 * time.Millisecond, 200 * time.Millisecond, 0.4},
	{"late", 3 * time.Second, 370 * time.Millisecond, 0.2},
}

// fleet is a simulation of one service with servers in several zones and senders that
// know of them by the responses they get and by summaries.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	events  eventHeap
	servers []*simServer
	records []gtmember.Record
	senders []*Router
	cfg     *gtconfig.Config
	// learned is whether servers report what was learned of them; without it the senders
	// use the naive rule, the better of two by load.
	learned bool
	// reportPeriod is the period of the summaries in a zone, or 0 for none.
	reportPeriod time.Duration
	// spares is the spare capacity of each zone, which is summed up each second, and is
	// served by spare. Without spare there are no summaries between zones.
	spares []Spare
	spare  func(f *fleet, zone int) (Spare, bool)
	// rate is the number of requests a second of each zone at a time.
	rate  func(zone int, at time.Duration) float64
	zones int
	// isCut reports whether a sender's zone can't reach another one; nil means never.
	isCut func(from, to int, at time.Duration) bool
	// onBegin is called with each request and its server, if not nil.
	onBegin func(s *simServer)

	inTime, total [3]int
	speeds        [3]float64 // sum of the speeds of the servers that got the requests
	refused       int
	crossZone     int
	largestUse    float64 // mean over time of the largest share of slots in use
	useSamples    int
	zoneUse       [][]float64 // by zone, every 50 ms
	begun         time.Duration
}

// simServer is a server with a queue behind its slots.
type simServer struct {
	name    string
	zone    int
	slots   int
	speed   float64
	running int
	queue   []simRequest
	// slow is the factor of the service time at a time and concurrency; nil means 1.
	slow func(at time.Duration, concurrency int) float64
	// failing is the part of the requests that end at once with an error at a time; nil
	// means none.
	failing func(at time.Duration) float64
	errors  ErrorRate
	// meanBusy is the moving average of the requests that run or wait.
	meanBusy float64
	// estimator learns from the server's responses; nil means that what servers report
	// is what they are.
	estimator *gtcapacity.Estimator
}

type simRequest struct {
	kind   int
	sender int
	begun  time.Time
}

type simEvent struct {
	at time.Time
	fn func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)        { *h = append(*h, v.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var simStart = time.Unix(1000, 0)

// errorTime is the time that a request takes which ends with an error.
const errorTime = 2 * time.Millisecond

// newFleet returns a fleet with the given numbers of zones, and of servers and senders in
// each. The speeds of the servers are drawn from 0.5 to 1.7 with a mean of 1, and their
// slots from 4 to 13.
func newFleet(cfg *gtconfig.Config, seed uint64, zones, servers, senders int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 9)), now: simStart, cfg: cfg, zones: zones}
	sum := 0.0
	for z := range zones {
		for i := range servers {
			s := &simServer{name: fmt.Sprintf("s%d-%d", z, i), zone: z, slots: 4 + f.rand.IntN(10), speed: 0.5 + 1.2*f.rand.Float64()}
			sum += s.speed
			f.servers = append(f.servers, s)
		}
	}
	for _, s := range f.servers {
		s.speed = min(1.7, max(0.5, s.speed*float64(len(f.servers))/sum))
		f.records = append(f.records, gtmember.NewRecord(s.name, zoneName(s.zone), "", "").WithBackend("s", "1", s.slots).WithState(gtmember.Ready))
	}
	for z := range zones {
		for range senders {
			f.senders = append(f.senders, &Router{
				Now: func() time.Time { return f.now }, Rand: f.rand.Float64, Zone: zoneName(z),
				Instances: func(string) []gtmember.Record { return f.records },
				Spare:     f.spareOf,
			})
		}
	}
	return f
}

// spareOf returns the spare capacity of a zone as its senders know it.
func (f *fleet) spareOf(_, zone string) (Spare, bool) {
	z := int(zone[1] - '0')
	if f.spare == nil || z >= len(f.spares) {
		return Spare{}, false
	}
	return f.spare(f, z)
}

// rightSpare is a summary that is right and up to a second old.
func rightSpare(f *fleet, zone int) (Spare, bool) { return f.spares[zone], true }

// refer sets the references of the estimators, as summaries do.
func (f *fleet) refer() {
	for _, k := range kinds {
		rate, n := 0.0, 0.0
		for _, s := range f.servers {
			if d := s.estimator.ServiceTime(k.route); d > 0 {
				rate += 1 / d.Seconds()
				n++
			}
		}
		for _, s := range f.servers {
			if n > 0 {
				s.estimator.SetReference(k.route, time.Duration(n/rate*float64(time.Second)))
			}
		}
	}
	f.at(2*time.Second, f.refer)
}

// sumUp makes the summaries of the zones.
func (f *fleet) sumUp() {
	spares := make([]Spare, f.zones)
	for _, s := range f.servers {
		spares[s.zone].capacity += float64(s.slots)
		spares[s.zone].spare += max(0, float64(s.slots)-s.meanBusy)
		spares[s.zone].validUntil = f.now.Add(3 * time.Second)
	}
	f.spares = spares
	f.at(time.Second, f.sumUp)
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// capacity returns the number of requests a second that the servers can handle.
func (f *fleet) capacity() float64 {
	work := 0.0
	for _, k := range kinds {
		work += k.share * k.work.Seconds()
	}
	sum := 0.0
	for _, s := range f.servers {
		sum += float64(s.slots) * s.speed
	}
	return sum / work
}

func (f *fleet) at(d time.Duration, fn func()) { heap.Push(&f.events, simEvent{f.now.Add(d), fn}) }

// run simulates the fleet for a time, and counts the requests that begin after warmUp.
func (f *fleet) run(warmUp, d time.Duration) {
	f.begun, f.zoneUse = warmUp, make([][]float64, f.zones)
	perZone := len(f.senders) / f.zones
	for i := range f.senders {
		f.arrive(i, perZone)
	}
	f.report()
	if f.servers[0].estimator != nil {
		f.refer()
	}
	f.at(time.Second, f.sumUp)
	f.at(50*time.Millisecond, f.sampleUse)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(simEvent)
		if e.at.Sub(simStart) > d {
			return
		}
		f.now = e.at
		e.fn()
	}
}

// arrive schedules the next request of a sender.
func (f *fleet) arrive(sender, perZone int) {
	rate := f.rate(sender/perZone, f.now.Sub(simStart)) / float64(perZone)
	f.at(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		f.begin(sender)
		f.arrive(sender, perZone)
	})
}

// sampleUse records the shares of the slots in use.
func (f *fleet) sampleUse() {
	largest, zones, slots := 0.0, make([]float64, f.zones), make([]float64, f.zones)
	for _, s := range f.servers {
		s.meanBusy += 0.05 * (float64(s.running+len(s.queue)) - s.meanBusy)
		largest = max(largest, float64(s.running+len(s.queue))/float64(s.slots))
		zones[s.zone] += float64(s.running + len(s.queue))
		slots[s.zone] += float64(s.slots)
	}
	if f.now.Sub(simStart) >= f.begun {
		f.useSamples++
		f.largestUse += (largest - f.largestUse) / float64(f.useSamples)
		for z := range zones {
			f.zoneUse[z] = append(f.zoneUse[z], zones[z]/slots[z])
		}
	}
	f.at(50*time.Millisecond, f.sampleUse)
}

// report sends a summary of each server to the senders of its zone.
func (f *fleet) report() {
	if f.reportPeriod == 0 {
		return
	}
	perZone := len(f.senders) / f.zones
	for i, s := range f.servers {
		for _, sender := range f.senders[s.zone*perZone : (s.zone+1)*perZone] {
			sender.Report(f.records[i].Instance(), s.meanBusy, s.slots, f.load(s, -1).Capacity())
		}
	}
	f.at(f.reportPeriod, f.report)
}

func (f *fleet) counts(begun time.Time) bool { return begun.Sub(simStart) >= f.begun }

func (f *fleet) begin(sender int) {
	draw, kind := f.rand.Float64(), 0
	for draw -= kinds[0].share; draw > 0 && kind < len(kinds)-1; draw -= kinds[kind].share {
		kind++
	}
	rt := f.senders[sender]
	r, err := rt.Pick(f.cfg, NewQuery("s").WithRoute(kinds[kind].route).WithTarget(kinds[kind].target))
	if err != nil {
		panic(err)
	}
	var s *simServer
	for i := range f.records {
		if f.records[i].Instance() == r.Instance() {
			s = f.servers[i]
		}
	}
	if f.counts(f.now) {
		f.total[kind]++
		f.speeds[kind] += s.speed
		if zoneName(s.zone) != rt.Zone {
			f.crossZone++
		}
	}
	rt.Begin(s.name)
	if f.onBegin != nil {
		f.onBegin(s)
	}
	if f.isCut != nil && f.isCut(int(rt.Zone[1]-'0'), s.zone, f.now.Sub(simStart)) {
		rt.End(s.name, kinds[kind].route, gtkind.Refused, Load{})
		return
	}
	req := simRequest{kind, sender, f.now}
	switch {
	case s.running < s.slots:
		f.serve(s, req)
	case len(s.queue) < max(1, s.slots/2):
		s.queue = append(s.queue, req)
	default:
		if f.counts(f.now) {
			f.refused++
		}
		rt.End(s.name, kinds[kind].route, gtkind.Full, f.load(s, kind))
	}
}

// serve runs a request. Work is exponentially distributed.
func (f *fleet) serve(s *simServer, req simRequest) {
	s.running++
	concurrency := s.running
	took := f.rand.ExpFloat64() * kinds[req.kind].work.Seconds() / s.speed
	if s.slow != nil {
		took *= s.slow(f.now.Sub(simStart), concurrency)
	}
	d := time.Duration(took * float64(time.Second))
	failed := s.failing != nil && f.rand.Float64() < s.failing(f.now.Sub(simStart))
	if failed {
		d = errorTime
	}
	f.at(d, func() {
		s.running--
		s.errors.Add(failed, f.now)
		if s.estimator != nil && !failed {
			s.estimator.Observe(kinds[req.kind].route, concurrency, d, f.now)
		}
		if !failed && f.counts(req.begun) && f.now.Sub(req.begun) <= kinds[req.kind].target {
			f.inTime[req.kind]++
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			f.serve(s, next)
		}
		f.senders[req.sender].End(s.name, kinds[req.kind].route, gtkind.None, f.load(s, req.kind))
	})
}

// load returns the load of a server, for a response to a request of the kind.
func (f *fleet) load(s *simServer, kind int) Load {
	l := NewLoad(s.running+len(s.queue), s.slots).WithErrorRate(s.errors.Value(f.now))
	if kind >= 0 {
		l = l.WithServiceTime(time.Duration(float64(kinds[kind].work) / s.speed))
	}
	if !f.learned {
		return l
	}
	if s.estimator != nil {
		c := NewCapacity(s.estimator.Speed(), s.estimator.Capacity(), s.estimator.Slowdown())
		if kind >= 0 {
			c = c.WithServiceTime(s.estimator.ServiceTime(kinds[kind].route))
		}
		return l.WithCapacity(c)
	}
	c := NewCapacity(s.speed, 0, 0)
	if kind >= 0 {
		c = c.WithServiceTime(time.Duration(float64(kinds[kind].work) / s.speed))
	}
	return l.WithCapacity(c)
}

// inTimePart returns the part of the requests of a kind that were in time.
func (f *fleet) inTimePart(kind int) float64 { return float64(f.inTime[kind]) / float64(f.total[kind]) }

// allInTime returns the part of all requests that were in time.
func (f *fleet) allInTime() float64 {
	return float64(f.inTime[0]+f.inTime[1]+f.inTime[2]) / float64(f.total[0]+f.total[1]+f.total[2])
}
