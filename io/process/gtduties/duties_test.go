package gtduties

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"godwittide/core/process/gtduty"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/process/gtusage"
	"godwittide/core/request/gtcall"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtstore"
)

// memoryStore is a store in memory, with leases and random faults.
type memoryStore struct {
	mu     sync.Mutex
	random *rand.Rand
	// faults is the share of calls that fail: half of them are executed before that, some
	// of those seconds later.
	faults float64
	rev    int64
	kvs    map[string]gtstore.KV
	leased map[string]int64
	expiry map[int64]time.Time
	ttl    map[int64]time.Duration
}

func (s *memoryStore) expire() {
	for key, lease := range s.leased {
		if !s.expiry[lease].After(time.Now()) {
			s.rev++
			delete(s.kvs, key)
			delete(s.leased, key)
		}
	}
}

// run executes a call, unless it is lost.
func (s *memoryStore) run(fn func()) error {
	s.mu.Lock()
	delay, fate, lateness := time.Duration(s.random.IntN(60))*time.Millisecond, s.random.Float64(), time.Duration(s.random.IntN(12))*time.Second
	s.mu.Unlock()
	time.Sleep(delay)
	execute := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		fn()
	}
	switch {
	case fate > s.faults:
		execute()
		return nil
	case fate > s.faults/2:
		return fmt.Errorf("lost call")
	case fate > s.faults/4:
		execute()
	default:
		go func() {
			time.Sleep(lateness)
			execute()
		}()
	}
	return fmt.Errorf("lost response")
}

func (s *memoryStore) store() *gtstore.Store {
	return &gtstore.Store{
		Range: func(_ context.Context, key, end string) (gtstore.RangeResponse, error) {
			var out gtstore.RangeResponse
			err := s.run(func() {
				var kvs []gtstore.KV
				for k, kv := range s.kvs {
					if k == key || end != "" && k >= key && k < end {
						kvs = append(kvs, kv)
					}
				}
				out = gtstore.NewRangeResponse(s.rev, kvs)
			})
			if err != nil {
				return gtstore.RangeResponse{}, err // a late execution may still write out
			}
			return out, nil
		},
		Txn: func(_ context.Context, t *gtstore.Txn) (gtstore.TxnResult, error) {
			var out gtstore.TxnResult
			err := s.run(func() { out = s.commit(t) })
			if err != nil {
				return gtstore.TxnResult{}, err // a late execution may still write out
			}
			return out, nil
		},
		Grant: func(_ context.Context, ttl time.Duration) (int64, error) {
			var id int64
			err := s.run(func() {
				id = int64(len(s.ttl) + 1)
				s.ttl[id], s.expiry[id] = ttl, time.Now().Add(ttl)
			})
			if err != nil {
				return 0, err
			}
			return id, nil
		},
		KeepAlive: func(_ context.Context, lease int64) error {
			expired := false
			err := s.run(func() {
				if expired = !s.expiry[lease].After(time.Now()); !expired {
					s.expiry[lease] = time.Now().Add(s.ttl[lease])
				}
			})
			if err == nil && expired {
				return fmt.Errorf("lease has expired")
			}
			return err
		},
	}
}

func (s *memoryStore) commit(t *gtstore.Txn) gtstore.TxnResult {
	for _, c := range t.Compares() {
		if s.kvs[c.Key()].Rev() != c.Rev() {
			return gtstore.NewTxnResult(false, s.rev)
		}
	}
	for _, op := range t.Ops() {
		if op.Lease() != 0 && !s.expiry[op.Lease()].After(time.Now()) {
			return gtstore.NewTxnResult(false, s.rev)
		}
	}
	s.rev++
	for _, op := range t.Ops() {
		delete(s.leased, op.Key())
		if op.IsDelete() {
			delete(s.kvs, op.Key())
			continue
		}
		s.kvs[op.Key()] = gtstore.NewKV(op.Key(), op.Value(), s.rev)
		if op.Lease() != 0 {
			s.leased[op.Key()] = op.Lease()
		}
	}
	return gtstore.NewTxnResult(true, s.rev)
}

// platform is a duty address with a fence.
type platform struct {
	mu      sync.Mutex
	highest int64
	history []porcupine.Operation
}

// callInput is a report as an operation of a history.
type callInput struct {
	token, window int64
	counts        string
}

// reportModel is a platform that has seen a highest token and one list of counts for each
// window.
var reportModel = porcupine.Model{
	Init: func() any { return callInput{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(callInput), input.(callInput)
		if output.(bool) != (in.token >= s.token) {
			return false, state
		}
		if s.token > in.token {
			return true, state
		}
		return s.counts == "" || s.counts == in.counts, in
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byWindow := map[int64][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(callInput).window
			byWindow[k] = append(byWindow[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byWindow {
			out = append(out, ops)
		}
		return out
	},
}

func (p *platform) call(client int, begun time.Time, r Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := r.Token() >= p.highest
	if ok {
		p.highest = r.Token()
	}
	// The output is whether the call was the newest of its window, so that the windows can
	// be checked one by one.
	newest := true
	for _, op := range p.history {
		if in := op.Input.(callInput); in.window == r.Window() && in.token > r.Token() {
			newest = false
		}
	}
	if ok || !newest {
		p.history = append(p.history, porcupine.Operation{
			ClientId: client, Input: callInput{r.Token(), r.Window(), fmt.Sprint(r.Counts())}, Output: newest,
			Call: begun.UnixNano(), Return: time.Now().UnixNano(),
		})
	}
	if !ok {
		return ErrFenced
	}
	return nil
}

// countsOf returns the counts with which a window was reported, or "".
func (p *platform) countsOf(window int64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, op := range p.history {
		if in := op.Input.(callInput); in.window == window {
			return in.counts
		}
	}
	return ""
}

// Three nodes hold the duty in turn while calls of the store and counts are lost or late, and
// holders are paused right between the check of the lease and the call, for
// longer than the lease. Guards against two counts for a window, a token of two holders,
// and an accepted call with a lower token.
func TestHistoriesOfReports(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

// newDuties returns the duties of a node, without Send and Call.
func newDuties(name string, start int64, store *gtstore.Store, members []gtmember.Record) *Duties {
	terms, begun := gtduty.NewTerms(3*time.Second, true), time.Now()
	return &Duties{
		Timer: &gttimer.Service{}, Wall: time.Now, Uptime: func() time.Duration { return time.Since(begun) }, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Self: name, Start: start, Terms: terms, Rate: func() float64 { return 50 }, Store: store, Prefix: "p/",
		Timing:  gtusage.NewTiming(gtusage.NewWindows(5*time.Second), 10*time.Second, terms.Takeover()),
		Members: func() []gtmember.Record { return members }, MaySettle: func() bool { return true },
		IsGone: func(string) bool { return false }, MayTake: func() bool { return true }, HasAccounts: func() bool { return true },
	}
}

func newMemoryStore(seed uint64, faults float64) *memoryStore {
	return &memoryStore{
		random: rand.New(rand.NewPCG(seed, 2)), faults: faults, rev: 1, kvs: map[string]gtstore.KV{}, leased: map[string]int64{},
		expiry: map[int64]time.Time{}, ttl: map[int64]time.Duration{},
	}
}

// Guards against a write of a window that the store executes when that window has been
// written again, reported and deleted: a next holder would find it, and report other counts.
func TestLateWriteHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newMemoryStore(1, 0)
		store := s.store()
		commit := store.Txn
		var late *gtstore.Txn
		store.Txn = func(ctx context.Context, txn *gtstore.Txn) (gtstore.TxnResult, error) {
			if len(txn.Compares()) == 3 && late == nil {
				late = txn
				return gtstore.TxnResult{}, fmt.Errorf("no response")
			}
			return commit(ctx, txn)
		}
		d := newDuties("n0", 1, store, []gtmember.Record{gtmember.NewRecord("n0", "z", "10.0.0.1:1", "10.0.0.1:2").WithState(gtmember.Ready)})
		p := &platform{}
		d.Call = func(_ context.Context, r Report) error { return p.call(0, time.Now(), r) }
		d.Init()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { d.Timer.Run(ctx) })
		wg.Go(func() { d.Run(ctx) })
		time.Sleep(30 * time.Second)
		g.Expect(late).NotTo(gomega.BeNil())
		s.mu.Lock()
		result := s.commit(late)
		s.mu.Unlock()
		g.Expect(result.Succeeded()).To(gomega.BeFalse())
		cancel()
		wg.Wait()
		g.Expect(len(p.history)).To(gomega.BeNumerically(">=", 4))
	})
}

// A killed node has sent its last counts to one receiver, which isn't the holder: they are
// reported. Guards against a holder that relies on what it was sent itself.
func TestCountsThatOnlyAnotherReceiverGotAreReported(t *testing.T) {
	runPair(t, func(g *gomega.WithT, nodes []*Duties, p *platform) {
		time.Sleep(10 * time.Second)
		holder, other := nodes[0], nodes[1]
		if other.ownStatus().Token != 0 {
			holder, other = other, holder
		}
		g.Expect(holder.ownStatus().Token).NotTo(gomega.BeZero())
		k := holder.Timing.Windows().At(time.Now())
		batch := func(seq uint64, n int) gtwire.Usage {
			return gtwire.FromBatch(7, gtusage.NewBatch(seq, 0, []string{"x"}, []gtusage.BatchWindow{gtusage.NewBatchWindow(k, []int{0, n}, false)}))
		}
		_, err := holder.Serve("killed", batch(1, 3))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = other.Serve("killed", batch(2, 5))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(10 * time.Second)
		g.Expect(p.countsOf(k)).To(gomega.Equal(fmt.Sprint(map[string]int{"x": 5})))
	})
}

// A receiver starts anew and the other ends a second later: the counts of ended nodes are
// still known, and their window isn't given up. Guards against a receiver that asks for them
// only when it may take the duty.
func TestReceiverThatStartsLearnsAtOnce(t *testing.T) {
	runPair(t, func(g *gomega.WithT, nodes []*Duties, _ *platform) {
		k := nodes[0].Timing.Windows().At(time.Now())
		_, err := nodes[0].Serve("killed", gtwire.FromBatch(7, gtusage.NewBatch(1, 0, []string{"x"}, []gtusage.BatchWindow{gtusage.NewBatchWindow(k, []int{0, 3}, false)})))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		restarted := newDuties(nodes[1].Self, 2, nodes[1].Store, nodes[1].Members())
		restarted.MaySettle = func() bool { return false }
		restarted.Send = nodes[1].Send
		restarted.Init()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { restarted.Timer.Run(ctx) })
		wg.Go(func() { restarted.Run(ctx) })
		time.Sleep(900 * time.Millisecond)
		cancel()
		wg.Wait()
		g.Expect(restarted.sums.Counts(k)).To(gomega.Equal(map[string]int{"x": 3}))
	})
}

// runPair runs a test beside the duties of two nodes.
func runPair(t *testing.T, test func(g *gomega.WithT, nodes []*Duties, p *platform)) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, p, nodes := newMemoryStore(1, 0).store(), &platform{}, []*Duties{}
		members := []gtmember.Record{
			gtmember.NewRecord("n0", "z", "10.0.0.1:1", "10.0.0.1:2").WithState(gtmember.Ready),
			gtmember.NewRecord("n1", "z", "10.0.0.2:1", "10.0.0.2:2").WithState(gtmember.Ready),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i, m := range members {
			d := newDuties(m.Instance(), 1, store, members)
			d.IsGone = func(instance string) bool { return instance == "killed" }
			d.Send = func(_ context.Context, to gtmember.Record, u gtwire.Usage) (gtwire.UsageResponse, error) {
				for _, n := range nodes {
					if n.Self == to.Instance() {
						return n.Serve(m.Instance(), u)
					}
				}
				return gtwire.UsageResponse{}, fmt.Errorf("unknown instance %s", to.Instance())
			}
			d.Call = func(_ context.Context, r Report) error { return p.call(i, time.Now(), r) }
			d.Init()
			nodes = append(nodes, d)
		}
		for _, d := range nodes {
			wg.Go(func() { d.Timer.Run(ctx) })
			wg.Go(func() { d.Run(ctx) })
		}
		test(g, nodes, p)
		cancel()
		wg.Wait()
	})
}

func runHistory(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seed, 1))
	s := newMemoryStore(seed, 0.2)
	p := &platform{}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	holders := map[int64]string{}
	var members []gtmember.Record
	for i := range 3 {
		members = append(members, gtmember.NewRecord(fmt.Sprint("n", i), "z", "10.0.0.1:1", "10.0.0.1:2").WithState(gtmember.Ready))
	}
	nodes := map[string]*Duties{}
	for i, m := range members {
		d := newDuties(m.Instance(), int64(i+1), s.store(), members)
		d.Send = func(_ context.Context, to gtmember.Record, msg gtwire.Usage) (gtwire.UsageResponse, error) {
			mu.Lock()
			lost := random.IntN(4) > 0
			mu.Unlock()
			if lost {
				return gtwire.UsageResponse{}, fmt.Errorf("lost message")
			}
			return nodes[to.Instance()].Serve(m.Instance(), msg)
		}
		// A pause of the node also stops its renewals.
		var resumed atomic.Pointer[time.Time]
		resumed.Store(&time.Time{})
		keepAlive := d.Store.KeepAlive
		d.Store.KeepAlive = func(ctx context.Context, lease int64) error {
			time.Sleep(time.Until(*resumed.Load()))
			return keepAlive(ctx, lease)
		}
		d.Call = func(_ context.Context, r Report) error {
			mu.Lock()
			if before, ok := holders[r.Token()]; ok && before != m.Instance() {
				t.Errorf("token %d of %s and %s", r.Token(), before, m.Instance())
			}
			holders[r.Token()] = m.Instance()
			pause, lost := random.IntN(5) == 0, random.IntN(3) == 0
			mu.Unlock()
			begun := time.Now()
			if pause {
				at := begun.Add(7 * time.Second)
				resumed.Store(&at)
				time.Sleep(time.Until(at))
			}
			if err := p.call(i, begun, r); err != nil || !lost {
				return err
			}
			return fmt.Errorf("lost response")
		}
		d.Init()
		nodes[m.Instance()] = d
		wg.Go(func() { d.Timer.Run(ctx) })
		wg.Go(func() { d.Run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				d.Begin(gtcall.Call{}.WithAccount("x"))
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Minute)
	cancel()
	wg.Wait()
	time.Sleep(time.Minute)
	g.Expect(porcupine.CheckOperations(reportModel, p.history)).To(gomega.BeTrue())
	windows := map[int64]bool{}
	for _, op := range p.history {
		windows[op.Input.(callInput).window] = true
	}
	t.Logf("%d calls of %d windows with %d tokens", len(p.history), len(windows), len(holders))
	g.Expect(len(windows)).To(gomega.BeNumerically(">=", 25), "of 36 windows")
	g.Expect(len(holders)).To(gomega.BeNumerically(">", 1))
}
