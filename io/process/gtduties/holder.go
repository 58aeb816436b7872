package gtduties

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtusage"
	"godwittide/io/process/gtstore"
)

const (
	// stepPeriod is the period at which the holder looks for something to do.
	stepPeriod = 200 * time.Millisecond
	// storeTimeout bounds a call of the store.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the delay after a failed call of the store.
	storeRetryDelay = 500 * time.Millisecond
	// maxDeletions is the maximum number of windows that one transaction deletes; the
	// store limits its operations.
	maxDeletions = 16
	// rateShare is how many times longer than the accepted rate asks for the holder waits
	// between calls, as calls of the holder before may still arrive.
	rateShare = 2
	// lastName is the name of the key with the last window up to which all are settled.
	lastName = "last"
)

// usagePrefix returns the prefix of the keys of stored windows.
func (d *Duties) usagePrefix() string { return d.Prefix + "usage/" }

// windowKey returns the key of a stored window.
func (d *Duties) windowKey(window int64) string {
	return d.usagePrefix() + strconv.FormatInt(window, 10)
}

// hold performs the duty until this node loses it, may no longer hold it, or ctx ends.
func (d *Duties) hold(ctx context.Context, h *holding) {
	d.setHolding(h)
	d.Log.Info().Str("duty", UsageReport).Int64("token", h.tenure.Token()).Msg("duty: taken")
	holdCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { d.renew(holdCtx, h) })
	d.report(holdCtx, h)
	cancel()
	wg.Wait()
	d.setHolding(nil)
	d.Log.Info().Str("duty", UsageReport).Int64("token", h.tenure.Token()).Str("why", h.tenure.EndReason()).Msg("duty: given up")
}

// EndTenure ends the tenure of this node, if it holds the duty, with a reason.
func (d *Duties) EndTenure(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.End(reason)
	}
}

func (d *Duties) setHolding(h *holding) {
	d.mu.Lock()
	d.current, d.lastWindow = nil, 0
	if h != nil {
		d.current, d.readHolder = h.tenure, ""
	}
	d.mu.Unlock()
	d.noteReceiving(h != nil || isAmong(d.receivers(), d.Self))
	value := 0.0
	if h != nil {
		value = 1
	} else {
		d.Scope.Gauge("usage_lag_seconds").Update(0)
	}
	d.Scope.Gauge("duty_holder").Update(value)
}

// renew renews the lease until the tenure has ended or ctx ends. Renewals overlap if the
// store is slow: one at a time would leave too little of a lease for a call.
func (d *Duties) renew(ctx context.Context, h *holding) {
	var wg sync.WaitGroup
	defer wg.Wait()
	lastSent := h.sent
	var failed atomic.Bool
	for h.tenure.Holds(d.Uptime()) {
		if d.Timer.Sleep(ctx, d.Terms.RetryPeriod()) != nil {
			return
		}
		sent := d.Uptime()
		if sent-lastSent < d.Terms.RenewPeriod()-d.Terms.RetryPeriod()/2 && !failed.Swap(false) {
			continue
		}
		lastSent = sent
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, d.Terms.Lease())
			defer cancel()
			if err := d.Store.KeepAlive(ctx, h.lease); err != nil {
				failed.Store(true)
				d.Log.Debug().Err(err).Msg("duty: renewing the lease failed")
				return
			}
			h.tenure.Renewed(sent, d.Uptime())
		})
	}
}

// report stores and reports windows while the duty is held.
func (d *Duties) report(ctx context.Context, h *holding) {
	d.handOver(ctx, 0)
	ticker := d.Timer.Every(stepPeriod, 0)
	defer ticker.Stop()
	w := &worker{Duties: d, holding: h, ledger: &gtusage.Ledger{
		Timing: d.Timing, IsKnown: d.isKnown, Random: jitter,
		Pending: func(k int64) []string {
			return d.sums.Pending(k, func(instance string) bool { return !d.IsGone(instance) })
		},
	}}
	for h.tenure.Holds(d.Uptime()) {
		if !d.MayTake() {
			w.resign()
			return
		}
		if w.step(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			h.tenure.End("node stops")
			return
		case <-ticker.C():
		}
	}
	if h.tenure.EndReason() == refusedReason {
		w.release()
	}
}

// refusedReason ends a tenure whose token was refused.
const refusedReason = "token refused"

// worker is the work of one tenure. It belongs to one goroutine.
type worker struct {
	*Duties
	*holding
	ledger *gtusage.Ledger
	loaded bool
	// lastRev is the revision of the note of the last settled window. Each transaction
	// writes the note and is conditional on this revision, so that one that is executed
	// late, when its window has been reported and deleted, has no effect.
	lastRev int64
	// callAt is the time of the next call by the rate of the duty address.
	callAt time.Duration
	// retryAt is the time before which the store isn't called after a failure.
	retryAt time.Duration
}

// step does what is due, and reports whether there may be more to do at once.
func (w *worker) step(ctx context.Context) bool {
	if ctx.Err() != nil || w.Uptime() < w.retryAt {
		return false
	}
	if !w.loaded {
		if err := w.load(ctx); err != nil {
			w.Log.Info().Err(err).Msg("usage: reading stored windows failed")
			w.retryAt = w.Uptime() + storeRetryDelay
			return false
		}
		w.loaded = true
	}
	now := w.clock.Time()
	defer w.noteProgress()
	uptime := w.Uptime()
	a := w.ledger.Next(now, w.tenure.MayCall(uptime) && uptime >= w.callAt)
	switch a.Kind() {
	case gtusage.Close:
		return w.closeWindow(ctx, a.Window())
	case gtusage.Call:
		return w.call(ctx, a.Window())
	case gtusage.Lose:
		w.lose(a)
		return true
	default:
		return false
	}
}

// noteProgress publishes the last settled window.
func (w *worker) noteProgress() {
	if lag, ok := w.ledger.Lag(w.clock.Time()); ok {
		w.Scope.Gauge("usage_lag_seconds").Update(lag.Seconds())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastWindow = w.ledger.Last()
}

// load reads the state that the store holds. Earlier holders change it no more, since
// their writes are conditional on the revision of the duty's key.
func (w *worker) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	duty, err := w.Store.Range(ctx, w.dutyKey(), "")
	if err != nil {
		return err
	}
	if kv, ok := duty.Get(w.dutyKey()); !ok || kv.Rev() != w.tenure.Token() {
		w.tenure.End("the store has another holder")
		return errorx.IllegalState.New("another holder has taken the duty")
	}
	resp, err := w.Store.Range(ctx, w.usagePrefix(), gtstore.PrefixEnd(w.usagePrefix()))
	if err != nil {
		return err
	}
	last, noted, stored := int64(0), false, map[int64]map[string]int{}
	w.lastRev = 0
	for _, kv := range resp.KVs() {
		name := strings.TrimPrefix(kv.Key(), w.usagePrefix())
		if name == lastName {
			if err := json.Unmarshal(kv.Value(), &last); err != nil {
				return errorx.Decorate(err, "decode the number of the last window")
			}
			noted, w.lastRev = true, kv.Rev()
			continue
		}
		k, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			return errorx.Decorate(err, "decode the key of a stored window")
		}
		var counts map[string]int
		if err := json.Unmarshal(kv.Value(), &counts); err != nil {
			return errorx.Decorate(err, "decode the counts of window %d", k)
		}
		if counts == nil {
			counts = map[string]int{}
		}
		stored[k] = counts
	}
	oldest, ok := w.sums.Oldest()
	if current := w.Timing.Windows().At(w.clock.Time()); !ok || oldest > current {
		oldest = current
	}
	w.ledger.Load(last, noted, stored, oldest)
	return nil
}

// settleTxn adds the note of the last settled window to a transaction, and the deletion
// of stored windows up to it, which it returns.
func (w *worker) settleTxn(t *gtstore.Txn) []int64 {
	obsolete := w.ledger.Obsolete(maxDeletions)
	for _, k := range obsolete {
		t.Delete(w.windowKey(k))
	}
	t.IfRev(w.usagePrefix()+lastName, w.lastRev).Put(w.usagePrefix()+lastName, []byte(strconv.FormatInt(w.ledger.Last(), 10)))
	return obsolete
}

// closeWindow writes the counts of a window to the store, if no other holder has.
// It returns false if the store has to be read again.
func (w *worker) closeWindow(ctx context.Context, window int64) bool {
	w.askBeforeClose(ctx, window)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	counts := w.sums.Counts(window)
	value, err := json.Marshal(counts)
	if err != nil {
		return false
	}
	t := gtstore.NewTxn().IfRev(w.dutyKey(), w.tenure.Token()).IfRev(w.windowKey(window), 0).Put(w.windowKey(window), value)
	deleted := w.settleTxn(t)
	result, err := w.Store.Txn(ctx, t)
	if err != nil || !result.Succeeded() {
		// The write may have been executed, or may be later: only what the store is read
		// to hold may be sent.
		w.loaded = false
		w.retryAt = w.Uptime() + storeRetryDelay
		w.Log.Info().Err(err).Int64("window", window).Msg("usage: storing a window failed")
		return false
	}
	w.ledger.Stored(window, counts)
	w.ledger.Deleted(deleted)
	w.lastRev = result.Rev()
	return true
}

// askBeforeClose asks the other receivers for later counts of processes that haven't
// declared the window complete. Those of a killed process may have reached only one of
// them. If the process still runs and this node doesn't hear from it, it asks for all.
func (w *worker) askBeforeClose(ctx context.Context, window int64) {
	ctx, cancel := context.WithTimeout(ctx, gtusage.AskTime)
	defer cancel()
	of := window
	if len(w.ledger.Pending(window)) > 0 {
		of = 0
	}
	w.handOver(ctx, of)
}

// call reports a stored window. It returns true if the report was acknowledged.
func (w *worker) call(ctx context.Context, window int64) bool {
	ctx, cancel := context.WithTimeout(ctx, w.Terms.CallTimeout())
	defer cancel()
	w.callAt = w.Uptime() + time.Duration(rateShare*float64(time.Second)/w.Rate())
	counts := w.ledger.Counts(window)
	err := w.Call(ctx, NewReport(window, w.tenure.Token(), counts))
	result := "acknowledged"
	switch {
	case errors.Is(err, ErrFenced):
		result = "refused"
		w.tenure.End(refusedReason)
		w.Log.Warn().Int64("window", window).Int64("token", w.tenure.Token()).Msg("usage: report refused, as a higher token was seen")
	case err != nil:
		result = "failed"
		w.ledger.Failed(w.clock.Time())
		w.Log.Info().Err(err).Int64("window", window).Int64("token", w.tenure.Token()).Msg("usage: report failed")
	default:
		w.ledger.Acked(window)
		w.reported.Add(1)
		total := 0
		for _, n := range counts {
			total += n
		}
		w.Log.Info().Int64("window", window).Int64("token", w.tenure.Token()).Int("accounts", len(counts)).Int("requests", total).
			Int64("ms", w.clock.Time().Sub(w.Timing.Windows().End(window)).Milliseconds()).Msg("usage: window reported")
	}
	w.Scope.Tagged(map[string]string{"result": result}).Counter("usage_reports").Inc(1)
	return err == nil
}

// lose gives up windows.
func (w *worker) lose(a gtusage.Action) {
	w.ledger.Lost(a)
	n := a.Through() - a.Window() + 1
	w.lost.Add(uint64(n))
	w.Scope.Counter("usage_windows_lost").Inc(n)
	w.Log.Warn().Int64("window", a.Window()).Int64("windows", n).Str("why", a.Reason()).Msg("usage: window given up")
}

// resign gives the duty up, so that another candidate takes it at once.
func (w *worker) resign() {
	w.tenure.End("node shuts down")
	w.release()
}

// release deletes the duty's key if it is that of this tenure.
func (w *worker) release() {
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
	defer cancel()
	t := gtstore.NewTxn().IfRev(w.dutyKey(), w.tenure.Token()).Delete(w.dutyKey())
	if w.loaded {
		w.settleTxn(t)
	}
	if _, err := w.Store.Txn(ctx, t); err != nil {
		w.Log.Debug().Err(err).Msg("duty: deleting the holder's record failed")
	}
}
