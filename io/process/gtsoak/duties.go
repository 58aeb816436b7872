package gtsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gttimer"
	"godwittide/core/process/gtusage"
)

const (
	// usageWindow is the length of a window, and usageLate when its report is due.
	usageWindow = 5 * time.Second
	usageLate   = 10 * time.Second
	// usageTolerance is the share by which the counts of a window may be off.
	usageTolerance = 0.05
	// sendTime is the time after the end of a window in which nodes send its counts.
	sendTime = time.Second
	// usageAccounts is the number of accounts, which send requests in turn, one each
	// usageCallInterval.
	usageAccounts     = 2
	usageCallInterval = 10 * time.Millisecond
	// usagePath is the route of the accounts' requests, the only one that needs a key.
	usagePath = "/used"
	// meanHolderInterval is the mean time between two disturbances of the holder, and
	// maxHolderDisturbance bounds each: longer than the lease.
	meanHolderInterval   = 8 * time.Second
	maxHolderDisturbance = 6 * time.Second
	// dutyStream is the stream of random numbers that these are drawn from.
	dutyStream = 1 << 33
)

// usageCall is a call of the duty address.
type usageCall struct {
	holder string
	token  int64
	window int64
	counts map[string]int
	// refused tells that a higher token was seen.
	refused bool
}

// dutyAddress is the stand-in for the duty address. It refuses tokens below the highest.
type dutyAddress struct {
	server http.Server
	addr   string

	mu      sync.Mutex
	highest int64
	calls   []usageCall
}

// startDutyAddress starts the duty address on a port of its own.
func startDutyAddress() (*dutyAddress, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errorx.Decorate(err, "start the duty address")
	}
	d := &dutyAddress{addr: ln.Addr().String()}
	d.server.Handler, d.server.ReadHeaderTimeout = d, callTimeout
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// ServeHTTP handles a call.
func (d *dutyAddress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64          `json:"windowId"`
		Counts   map[string]int `json:"counts"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Gt-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := usageCall{r.Header.Get("Gt-Duty-Holder"), token, body.WindowID, body.Counts, token < d.highest}
	d.highest = max(d.highest, token)
	d.calls = append(d.calls, c)
	if c.refused {
		w.WriteHeader(http.StatusConflict)
	}
}

// all returns all calls in order.
func (d *dutyAddress) all() []usageCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// dutySettings returns the part of a node's settings file about duties.
func (d *dutyAddress) dutySettings() string {
	return fmt.Sprintf("[duty]\naddress = %q\nfenced = true\nwindow = %q\nlate = %q\n", d.addr, usageWindow, usageLate)
}

// usageConfig returns the part of the configuration about accounts.
func usageConfig() string {
	text := fmt.Sprintf("[route.used]\nservice = \"lending\"\npath = %q\ntimeout = \"2s\"\n", usagePath)
	for i := range usageAccounts {
		text += fmt.Sprintf("[account.%s]\nkeys = [%q]\n", usageAccount(i), usageAccount(i)+"-key")
	}
	return text
}

func usageAccount(i int) string { return fmt.Sprint("a", i) }

// planHolderFaults draws kills and pauses of the holder in a run of length d at random.
func planHolderFaults(seed uint64, d time.Duration) []fault {
	rnd := rand.New(rand.NewPCG(seed, dutyStream))
	var faults []fault
	for at := firstFaultAt + usageWindow; at < d; at += time.Duration((0.5 + rnd.ExpFloat64()/2) * float64(meanHolderInterval)) {
		kind := "kill"
		if rnd.IntN(2) == 0 {
			kind = "freeze"
		}
		faults = append(faults, fault{kind: kind, ofHolder: true, at: at, duration: time.Duration(rnd.Float64() * float64(maxHolderDisturbance))})
	}
	return faults
}

// holderSite returns the index of the site whose node called the duty address last, or that
// of the first.
func (r *soakRun) holderSite() int {
	calls := r.duty.all()
	if len(calls) == 0 {
		return 0
	}
	return max(0, slices.IndexFunc(r.sites, func(s *site) bool { return s.name == calls[len(calls)-1].holder }))
}

// startAccounts sends requests of the accounts to all sites in turn until the returned
// function is called. Their outcomes don't matter: the backend servers' logs tell what ran.
func (r *soakRun) startAccounts() func() {
	ctx, cancel := context.WithCancel(r.ctx)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; gttimer.Sleep(ctx, usageCallInterval) == nil; i++ {
			account, to := usageAccount(i%usageAccounts), r.sites[i/usageAccounts%len(r.sites)]
			wg.Go(func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, to.edgeURL+usagePath+"/"+account+"?u", nil)
				if err != nil {
					return
				}
				req.Header.Set("Gt-Key", account+"-key")
				if resp, err := client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
	})
	return func() {
		cancel()
		wg.Wait()
		client.CloseIdleConnections()
	}
}

// checkUsage checks that no token had two holders, that no window was reported with two
// different counts, and that the windows from one time to another are off by usageTolerance at
// most if no node was killed in them or right afterwards.
func (r *soakRun) checkUsage(from, to time.Time) {
	holders, counts := map[int64]string{}, map[int64]map[string]int{}
	for _, c := range r.duty.all() {
		if h, ok := holders[c.token]; ok && h != c.holder {
			r.reportViolation("duty token %d was used by %s and %s", c.token, h, c.holder)
		}
		holders[c.token] = c.holder
		if before, ok := counts[c.window]; ok && !maps.Equal(before, c.counts) {
			r.reportViolation("window %d was reported with the counts %v and %v", c.window, before, c.counts)
		}
		counts[c.window] = c.counts
	}
	ran, windows := r.usage(), gtusage.NewWindows(usageWindow)
	for k := windows.At(from) + 1; windows.End(k).Before(to); k++ {
		if _, ok := counts[k]; !ok || r.wasKilled(windows.Start(k), windows.End(k).Add(sendTime)) {
			continue
		}
		r.report.Windows++
		for i := range usageAccounts {
			n, got := float64(ran[k][usageAccount(i)]), float64(counts[k][usageAccount(i)])
			if max(got-n, n-got) > max(usageTolerance*n, 1) {
				r.reportViolation("window %d was reported with %.0f requests of %s, and %.0f ran", k, got, usageAccount(i), n)
			}
		}
	}
}

// wasKilled reports whether a node was killed in a period, or was down after it.
func (r *soakRun) wasKilled(from, to time.Time) bool {
	return slices.ContainsFunc(r.sites, func(s *site) bool { return !s.undisturbedExcept(from, to, "freeze") })
}

// usage returns the number of requests that ran, by window and account.
func (r *soakRun) usage() map[int64]map[string]int {
	out, windows := map[int64]map[string]int{}, gtusage.NewWindows(usageWindow)
	for _, s := range r.sites {
		for _, e := range s.backend.Executions() {
			rest, ok := strings.CutPrefix(e.Target, usagePath+"/")
			if !ok {
				continue
			}
			account, _, _ := strings.Cut(rest, "?")
			k := windows.At(e.StartedAt)
			if out[k] == nil {
				out[k] = map[string]int{}
			}
			out[k][account]++
		}
	}
	return out
}
