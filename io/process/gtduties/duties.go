// Package gtduties performs the duties of the fleet on one node: it counts the requests
// of client accounts, sends the counts to the candidates, and, while this node holds the
// duty, stores the sums of each window and reports them.
//
// # Usage
//
//	duties := &gtduties.Duties{Timer: timer, Self: "i-1", Store: store, Call: report, ...}
//	duties.Init()
//	backend.OnBegin = duties.Begin
//	overlay.OnUsage = duties.Serve
//	duties.Run(ctx) // returns when ctx has ended
//
// The decisions are in gtduty and gtusage; this package has the goroutines, the calls of
// the store and the messages.
package gtduties

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"godwittide/core/process/gtduty"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/process/gttimer"
	"godwittide/core/process/gtusage"
	"godwittide/core/request/gtcall"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtstore"
)

// UsageReport is the name of the one duty.
const UsageReport = "usage_report"

const (
	// turnPeriod is the time between two turns of sending. Each receiver is sent new counts
	// every 400 ms, as each message costs some 170 bytes beside its counts, and one of them
	// at least every 200 ms: a killed node loses 4 in 100 of a window of 5 s at most, also
	// if it alone serves an account.
	turnPeriod = 100 * time.Millisecond
	// sendTimeout bounds a message to a candidate.
	sendTimeout = time.Second
	// holderRetention is how long a node goes on sending to a holder beyond the first
	// candidates that no response names any more.
	holderRetention = 5 * time.Second
)

// ErrFenced is returned by Duties.Call if the token is refused because a higher one was
// seen.
var ErrFenced = errors.New("fencing token refused: a higher one was seen")

// Report is the report of one window.
type Report struct {
	window int64
	token  int64
	counts map[string]int
}

// NewReport returns a report.
func NewReport(window, token int64, counts map[string]int) Report {
	return Report{window, token, counts}
}

// Window returns the number of the window.
func (r Report) Window() int64 { return r.window }

// Token returns the fencing token.
func (r Report) Token() int64 { return r.token }

// Counts returns the number of requests of each account. The map must not be changed.
func (r Report) Counts() map[string]int { return r.counts }

// Duties performs the duties on one node. Its exported fields are set before Init.
type Duties struct {
	// Timer is the timer service.
	Timer *gttimer.Service
	// Wall returns the time of day.
	Wall func() time.Time
	// Uptime returns the reading of a clock that isn't set and counts the suspension of
	// the machine.
	Uptime func() time.Duration
	// Log receives the log lines, Scope the metrics.
	Log   zerolog.Logger
	Scope tally.Scope
	// Self is the name of this instance, Start the start time of its process in
	// milliseconds since 1970.
	Self  string
	Start int64
	// Terms are the terms of the duty, Timing the times of windows.
	Terms  gtduty.Terms
	Timing gtusage.Timing
	// Store is the platform's store, Prefix the prefix of this mesh's keys.
	Store  *gtstore.Store
	Prefix string
	// Rate returns the number of calls a second that the duty address accepts from all nodes.
	Rate func() float64
	// Call sends a report. It returns ErrFenced if its token was refused, and another
	// error if it isn't known to have been accepted.
	Call func(ctx context.Context, r Report) error
	// Members returns the known instances. MaySettle reports whether they are those of the
	// whole fleet, as far as is known.
	Members   func() []gtmember.Record
	MaySettle func() bool
	// IsGone reports whether an instance is known to have ended.
	IsGone func(instance string) bool
	// MayTake reports whether this node may hold the duty: it isn't shutting down.
	MayTake func() bool
	// HasAccounts reports whether there are accounts to report.
	HasAccounts func() bool
	// Send sends a message to another instance.
	Send func(ctx context.Context, to gtmember.Record, m gtwire.Usage) (gtwire.UsageResponse, error)

	clock          gtusage.Clock
	counter        gtusage.Counter
	outbox         *gtusage.Outbox
	sums           *gtusage.Sums
	wg             sync.WaitGroup
	reported, lost atomic.Uint64

	mu sync.Mutex
	// first are the first-ranked candidates, firstAt the time at which they were ranked.
	first   []gtmember.Record
	firstAt time.Time
	// namedHolder is the holder that a response has named, namedAt when.
	namedHolder string
	namedAt     time.Time
	// readHolder is the holder that this node has read in the store, as a candidate.
	readHolder string
	inFlight   map[string]bool
	// asked holds the receivers that this node has asked for all counts since it is sent
	// those of all nodes.
	asked map[string]bool
	// receivingSince is the time since which this node, or others that have handed over
	// their counts, have been sent those of all nodes; zero while it isn't sent them.
	receivingSince time.Time
	// current is the tenure of this node, or nil.
	current    *gtduty.Tenure
	lastWindow int64
}

// Init prepares the duties. It must be called once, before any other method.
func (d *Duties) Init() {
	d.clock = gtusage.Clock{Wall: d.Wall, Uptime: d.Uptime}
	d.outbox, d.sums = gtusage.NewOutbox(d.Start), gtusage.NewSums(d.Start)
	d.inFlight, d.asked = map[string]bool{}, map[string]bool{}
}

// Run performs the duties until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	d.wg.Go(func() { d.sendPeriodically(ctx) })
	d.wg.Go(func() { d.runCandidate(ctx) })
	d.wg.Wait()
}

// Begin counts a call that is sent to the backend server, if it has an account. The
// function that it returns takes the call back.
func (d *Duties) Begin(c gtcall.Call) func() {
	account := c.Account()
	if account == "" {
		return func() {}
	}
	window := d.Timing.Windows().At(d.clock.Time())
	d.counter.Begin(account, window)
	return func() { d.counter.NotRun(account, window) }
}

// candidates returns the first-ranked nodes among all, which are ranked once a second.
func (d *Duties) candidates() []gtmember.Record {
	now := d.Timer.Time()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.firstAt.IsZero() || now.Sub(d.firstAt) >= gtduty.PollPeriod {
		d.first, d.firstAt = gtrank.First("duty "+UsageReport, gtduty.Candidates, d.Members()), now
	}
	return d.first
}

// rank returns this node's rank among the candidates, starting at 0, or -1 if it is none.
func (d *Duties) rank() int {
	if !d.MaySettle() {
		return -1
	}
	return slices.IndexFunc(d.candidates(), func(r gtmember.Record) bool { return r.Instance() == d.Self })
}

// receivers returns the nodes that are sent counts: the candidates, and the holder if it is
// none of them.
func (d *Duties) receivers() []gtmember.Record {
	list := slices.Clone(d.candidates())
	d.mu.Lock()
	holder := d.namedHolder
	if d.Timer.Time().Sub(d.namedAt) > holderRetention {
		holder = ""
	}
	if d.current != nil {
		holder = d.Self
	}
	d.mu.Unlock()
	if holder == "" || isAmong(list, holder) {
		return list
	}
	if i := slices.IndexFunc(d.Members(), func(r gtmember.Record) bool { return r.Instance() == holder }); i >= 0 {
		list = append(list, d.Members()[i])
	}
	return list
}

func isAmong(list []gtmember.Record, instance string) bool {
	return slices.ContainsFunc(list, func(r gtmember.Record) bool { return r.Instance() == instance })
}

func (d *Duties) nameHolder(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.namedHolder, d.namedAt = instance, d.Timer.Time()
}

// Serve handles a message of an instance.
func (d *Duties) Serve(instance string, m gtwire.Usage) (gtwire.UsageResponse, error) {
	var response gtwire.UsageResponse
	if m.All {
		d.mu.Lock()
		if !d.receivingSince.IsZero() {
			response.Since = d.receivingSince.UnixMilli()
		}
		d.mu.Unlock()
		snapshots := d.sums.Snapshots
		if m.Of != 0 {
			snapshots = func() []gtusage.Snapshot { return d.sums.SnapshotsOf(m.Of) }
		}
		response.Sources = gtwire.FromSnapshots(snapshots())
		return response, nil
	}
	if m.Status {
		status := d.ownStatus()
		response.Duty = &status
		return response, nil
	}
	b, err := m.Decode()
	if err != nil {
		return response, err
	}
	if epoch, ok := d.sums.Add(instance, m.Start, b); ok {
		response.Epoch = epoch
	}
	first := d.candidates()
	if holder := d.knownHolder(); holder != "" && !isAmong(first[:min(gtduty.FormerReceivers, len(first))], holder) {
		response.Holder = holder
	}
	return response, nil
}

// knownHolder returns the holder as this node has read it in the store, or itself.
func (d *Duties) knownHolder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		return d.Self
	}
	return d.readHolder
}

// ownStatus returns the state of the duty as this node knows it.
func (d *Duties) ownStatus() gtwire.DutyStatus {
	s := gtwire.DutyStatus{Name: UsageReport, Holder: d.knownHolder(), Candidates: []string{}, Reported: d.reported.Load(), Lost: d.lost.Load()}
	for _, r := range d.candidates() {
		s.Candidates = append(s.Candidates, r.Instance())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		s.Token, s.LastWindow = d.current.Token(), d.lastWindow
		if s.LastWindow != 0 {
			s.LagSeconds = d.clock.Time().Sub(d.Timing.Windows().End(s.LastWindow)).Seconds()
		}
	}
	return s
}

// Status returns the state of the duty. A node that isn't the holder asks the candidates.
func (d *Duties) Status(ctx context.Context) gtwire.DutyStatus {
	own := d.ownStatus()
	if own.Holder == d.Self {
		return own
	}
	for _, to := range d.receivers() {
		if to.Instance() == d.Self {
			continue
		}
		response, err := d.deliver(ctx, to, gtwire.Usage{Status: true})
		if err != nil || response.Duty == nil {
			continue
		}
		if response.Duty.Holder == to.Instance() {
			return *response.Duty
		}
		if own.Holder == "" {
			own.Holder = response.Duty.Holder
		}
	}
	return own
}

// jitter returns a random number in [0,1).
func jitter() float64 { return rand.Float64() }
