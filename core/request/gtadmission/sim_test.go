package gtadmission

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// kindOfRequest describes requests of one kind that are offered to a simulated server.
type kindOfRequest struct {
	name        string
	class       gtconfig.Class
	target      time.Duration
	timeout     time.Duration
	serviceTime time.Duration
	account     string
	caller      string
	nested      bool
	// ignoresWait makes its callers come back after 60 ms whatever they were told.
	ignoresWait bool
	// rate is the number of requests per second at a time since the start.
	rate func(t time.Duration) float64
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// outcome counts what became of the requests of one kind.
type outcome struct {
	offered      int
	inTime       int
	late         int
	lost         int // no response at all
	refusals     int // each time
	refusedAgain int // refused after the caller had waited as it was told
	heldLong     int // refused after an eighth of the target or more in the queue
	served       int
}

// attempt is a request at the gate of a simulated server.
type attempt struct {
	kind      *kindOfRequest
	firstAt   time.Time
	deadline  time.Time
	at        time.Time
	honoured  bool // the caller came back at the time that it was told
	count     int
	ticket    ticket
	startedAt time.Time
	endsAt    time.Time
}

// ticket is what a rule of admission gives to a request that it does not refuse at once.
type ticket struct {
	granted func() bool
	dropped func() (bool, time.Duration)
	done    func(time.Duration)
}

// rule is a rule of admission: it returns a ticket, or false and the time to wait.
type rule func(Request) (ticket, time.Duration, bool)

// simulation offers requests to one server with a fixed number of slots. It has a clock of
// its own and moves in steps of a millisecond.
type simulation struct {
	now      time.Time
	start    time.Time
	slots    int
	arrivals *rand.Rand
	rnd      *rand.Rand
	enter    rule
	kinds    []*kindOfRequest
	outcomes map[string]*outcome
	waiting  []*attempt
	running  []*attempt
	coming   []*attempt
	busy     time.Duration // slot time in use
	idle     time.Duration // slot time that was free while a request waited
}

func newSimulation(slots int, seed uint64, kinds ...*kindOfRequest) *simulation {
	now := time.Unix(1000, 0)
	return &simulation{now: now, start: now, slots: slots, arrivals: rand.New(rand.NewPCG(seed, 0)), rnd: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, outcomes: map[string]*outcome{}}
}

// withGate makes the simulation use a gate with a fixed limit, as on the users' platform.
func (s *simulation) withGate() *Gate {
	g := &Gate{Now: func() time.Time { return s.now }, Slots: s.slots, Fixed: true}
	s.enter = gateRule(g)
	return g
}

func gateRule(g *Gate) rule {
	return func(r Request) (ticket, time.Duration, bool) {
		t, err := g.Enter(r)
		if err != nil {
			wait, _ := gtkind.WaitOf(err)
			return ticket{}, wait, false
		}
		return ticket{
			granted: func() bool { return isClosed(t.Granted()) },
			dropped: func() (bool, time.Duration) {
				if !isClosed(t.Dropped()) {
					return false, 0
				}
				wait, _ := gtkind.WaitOf(t.Err())
				return true, wait
			},
			done: func(latency time.Duration) { t.Done(r.Route(), latency, Succeeded) },
		}, 0, true
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// naiveGate is the rule before: one queue for each class in the order of deadlines, whose
// expected wait is at most 250 ms, with half a place for each slot once it stands; the class
// Fast has a fifth of the slots to itself; refused callers come back after 60 to 200 ms.
type naiveGate struct {
	now     func() time.Time
	rnd     *rand.Rand
	slots   int
	running [gtconfig.ClassCount]int
	queue   [gtconfig.ClassCount][]*naiveTicket
	mean    [gtconfig.ClassCount]time.Duration
	emptyAt [gtconfig.ClassCount]time.Time
	fastAt  time.Time
	warmUp  warmUpLimiter
}

type naiveTicket struct {
	request Request
	granted bool
}

// withNaiveGate makes the simulation use the rule before.
func (s *simulation) withNaiveGate() *naiveGate {
	g := &naiveGate{now: func() time.Time { return s.now }, rnd: rand.New(rand.NewPCG(7, 7)), slots: s.slots}
	s.enter = g.enter
	return g
}

func (g *naiveGate) hasRoom(class gtconfig.Class) bool {
	total := 0
	for _, n := range g.running {
		total += n
	}
	reserved := 0
	if class != gtconfig.Fast && g.slots >= 2 && !g.fastAt.IsZero() && g.now().Sub(g.fastAt) <= 10*time.Second {
		reserved = max(0, (g.slots+4)/5-g.running[gtconfig.Fast])
	}
	return total < g.slots-reserved
}

func (g *naiveGate) enter(r Request) (ticket, time.Duration, bool) {
	now := g.now()
	t := &naiveTicket{request: r}
	class := r.Class()
	refuse := func() (ticket, time.Duration, bool) {
		return ticket{}, 60*time.Millisecond + time.Duration(g.rnd.Float64()*140)*time.Millisecond, false
	}
	if !g.warmUp.takeToken(now) {
		return refuse()
	}
	if class == gtconfig.Fast {
		g.fastAt = now
	}
	out := ticket{
		granted: func() bool { return t.granted },
		dropped: func() (bool, time.Duration) { return false, 0 },
		done:    func(latency time.Duration) { g.done(class, latency) },
	}
	if len(g.queue[class]) == 0 && g.hasRoom(class) {
		g.grant(t)
		return out, 0, true
	}
	if len(g.queue[class]) == 0 {
		g.emptyAt[class] = now
	}
	ahead := len(g.queue[class]) + 1
	for c := range class {
		ahead += len(g.queue[c])
	}
	mean := g.mean[class]
	wait := time.Duration(float64(mean) * float64(ahead) / float64(g.slots))
	room := 1024
	if mean == 0 || now.Sub(g.emptyAt[class]) > 250*time.Millisecond {
		room = max(1, g.slots/2)
	}
	if len(g.queue[class]) >= room || wait > min(250*time.Millisecond, r.Deadline().Sub(now)-mean) {
		return refuse()
	}
	g.queue[class] = append(g.queue[class], t)
	slices.SortStableFunc(g.queue[class], func(a, b *naiveTicket) int { return a.request.Deadline().Compare(b.request.Deadline()) })
	return out, 0, true
}

func (g *naiveGate) grant(t *naiveTicket) {
	t.granted = true
	g.running[t.request.Class()]++
}

func (g *naiveGate) done(class gtconfig.Class, latency time.Duration) {
	g.running[class]--
	if g.mean[class] == 0 {
		g.mean[class] = latency
	}
	g.mean[class] += time.Duration(0.1 * float64(latency-g.mean[class]))
	for c := range g.queue {
		for len(g.queue[c]) > 0 && g.hasRoom(gtconfig.Class(c)) {
			t := g.queue[c][0]
			g.queue[c] = g.queue[c][1:]
			g.grant(t)
		}
	}
}

// run offers the requests for d and then lets those that have come end.
func (s *simulation) run(d time.Duration) map[string]*outcome {
	for _, k := range s.kinds {
		if s.outcomes[k.name] == nil {
			s.outcomes[k.name] = &outcome{}
		}
	}
	for end := s.now.Add(d); s.now.Before(end); {
		for _, k := range s.kinds {
			for n := s.poisson(k.rate(s.now.Sub(s.start)) / 1000); n > 0; n-- {
				s.outcomes[k.name].offered++
				s.arrive(&attempt{kind: k, firstAt: s.now, deadline: s.now.Add(k.timeout)})
			}
		}
		s.step()
	}
	for end := s.now.Add(10 * time.Second); s.now.Before(end) && len(s.waiting)+len(s.running)+len(s.coming) > 0; {
		s.step()
	}
	return s.outcomes
}

// poisson returns a number of arrivals with the given mean.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.arrivals.ExpFloat64(); t < mean; t += s.arrivals.ExpFloat64() {
		n++
	}
	return n
}

func (s *simulation) step() {
	s.begin()
	var running []*attempt
	for _, a := range s.running {
		if s.now.Before(a.endsAt) {
			running = append(running, a)
			continue
		}
		s.end(a)
	}
	s.running = running
	s.begin()
	s.busy += time.Duration(len(s.running)) * time.Millisecond
	if len(s.waiting) > 0 {
		s.idle += time.Duration(s.slots-len(s.running)) * time.Millisecond
	}
	s.now = s.now.Add(time.Millisecond)
	coming := s.coming
	s.coming = nil
	for _, a := range coming {
		if s.now.Before(a.at) {
			s.coming = append(s.coming, a)
			continue
		}
		s.arrive(a)
	}
}

func (s *simulation) arrive(a *attempt) {
	a.at = s.now
	k := a.kind
	r := NewRequest(k.class, a.deadline).WithRoute(k.name).WithAccount(k.account).WithCaller(k.caller).WithNested(k.nested)
	if k.target > 0 {
		r = r.WithTarget(s.now.Add(k.target))
	}
	t, wait, ok := s.enter(r)
	if !ok {
		s.refused(a, wait)
		return
	}
	a.ticket = t
	s.waiting = append(s.waiting, a)
}

// refused lets the caller of a refused request come back, twice at most.
func (s *simulation) refused(a *attempt, wait time.Duration) {
	o := s.outcomes[a.kind.name]
	o.refusals++
	if a.honoured {
		o.refusedAgain++
	}
	if held := s.now.Sub(a.at); a.kind.target > 0 && held >= a.kind.target/8 {
		o.heldLong++
	}
	remaining := a.deadline.Sub(s.now)
	honoured := wait <= remaining/3 && !a.kind.ignoresWait
	if a.kind.ignoresWait {
		wait = 60 * time.Millisecond
	}
	a.count++
	if a.count > 2 || remaining <= a.kind.serviceTime || wait > remaining {
		o.lost++
		return
	}
	s.coming = append(s.coming, &attempt{kind: a.kind, firstAt: a.firstAt, deadline: a.deadline, at: s.now.Add(wait), honoured: honoured, count: a.count})
}

func (s *simulation) begin() {
	var waiting []*attempt
	for _, a := range s.waiting {
		if dropped, wait := a.ticket.dropped(); dropped {
			s.refused(a, wait)
			continue
		}
		if !a.ticket.granted() {
			waiting = append(waiting, a)
			continue
		}
		// Service times vary by a fifth.
		d := time.Duration(float64(a.kind.serviceTime) * (0.8 + 0.4*s.rnd.Float64()))
		a.startedAt, a.endsAt = s.now, s.now.Add(d)
		s.running = append(s.running, a)
	}
	s.waiting = waiting
}

func (s *simulation) end(a *attempt) {
	a.ticket.done(s.now.Sub(a.startedAt))
	o := s.outcomes[a.kind.name]
	switch {
	case s.now.After(a.deadline):
		o.lost++
		return
	case a.kind.target == 0 || s.now.Sub(a.firstAt) <= a.kind.target:
		o.inTime++
	default:
		o.late++
	}
	o.served++
}
