package gtlab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/io/request/gthop"
)

// Load sends requests at a steady rate, whether or not earlier ones have been
// answered. Its fields are set before Run.
type Load struct {
	// Edges are the URLs to send to, in turn.
	Edges []string
	// Method and Path are those of each request.
	Method, Path string
	// Rate is the number of requests a second.
	Rate float64
	// Tag begins the body and the key of each request.
	Tag string
	// Keys gives each request a key of its own.
	Keys bool
	// Size asks the stand-in for answers of this many bytes.
	Size int
	// Limit bounds the time of each request.
	Limit time.Duration
	// Most bounds the requests under way; more are not sent.
	Most int
	// Net carries the connections; its zero value is TCP.
	Net Net

	client  *http.Client
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []Result
	open    atomic.Int64
	seq     atomic.Int64
}

// Result is what came of one request.
type Result struct {
	// At is when the request was sent; Took is the time until its whole answer.
	At   time.Time
	Took time.Duration
	// Status is 0 if no whole answer came.
	Status int
	// Kind and Certainty are those of an answer that the system itself made.
	Kind, Certainty string
	// Backend is the name of the backend server that answered.
	Backend string
	// Key is the request's key.
	Key string
	// Body is the request's body; Right says whether the answer echoes it.
	Body  string
	Right bool
	// Err is why no whole answer came.
	Err error
}

// OK says whether a backend server answered with success, and to this request.
func (r Result) OK() bool { return r.Status == http.StatusOK && r.Right }

// NewClient returns a client that resends nothing and follows nothing.
func NewClient(network Net, most int) *http.Client {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Connect(ctx, addr) }
	return &http.Client{
		Transport:     &http.Transport{DialContext: dial, MaxIdleConnsPerHost: most, MaxConnsPerHost: 0, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run sends requests until ctx ends, then waits for the answers.
func (l *Load) Run(ctx context.Context) {
	if l.Limit == 0 {
		l.Limit = 10 * time.Second
	}
	if l.Most == 0 {
		l.Most = 2000
	}
	l.client = NewClient(l.Net, l.Most)
	defer l.client.CloseIdleConnections()
	start := time.Now()
	tick := time.NewTicker(max(time.Duration(float64(time.Second)/l.Rate), time.Millisecond))
	defer tick.Stop()
	sent := 0
	for {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		case now := <-tick.C:
			for due := int(now.Sub(start).Seconds() * l.Rate); sent < due; sent++ {
				l.launch(sent)
			}
		}
	}
}

func (l *Load) launch(n int) {
	if l.open.Load() >= int64(l.Most) {
		return
	}
	l.open.Add(1)
	l.wg.Go(func() {
		defer l.open.Add(-1)
		r := l.Send(l.Edges[n%len(l.Edges)], fmt.Sprintf("%sr%d.", l.Tag, l.seq.Add(1)), false)
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	})
}

// Send sends one request with the given body, which is its key too, and
// returns what came of it.
func (l *Load) Send(edge, body string, resend bool) Result {
	r := Result{At: time.Now(), Body: body}
	ctx, cancel := context.WithTimeout(context.Background(), l.Limit)
	defer cancel()
	var in io.Reader
	target := edge + l.Path
	if l.Method == http.MethodGet {
		target += fmt.Sprintf("?size=%d&%s", l.Size, body)
	} else {
		in = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequestWithContext(ctx, l.Method, target, in)
	if err != nil {
		return r
	}
	req.GetBody = nil
	if l.Keys {
		r.Key = body
		req.Header.Set(gthop.HeaderKey, body)
	}
	if resend {
		req.Header.Set(gthop.HeaderResend, "1")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		r.Took, r.Err = time.Since(r.At), err
		return r
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	r.Took, r.Err = time.Since(r.At), err
	if err != nil {
		return r
	}
	r.Status, r.Backend = resp.StatusCode, resp.Header.Get("Backend")
	r.Kind, r.Certainty = resp.Header.Get(gthop.HeaderKind), resp.Header.Get(gthop.HeaderCertainty)
	r.Right = bytes.Contains(answer, []byte(body))
	return r
}

// Open makes Send usable without Run.
func (l *Load) Open() {
	if l.Limit == 0 {
		l.Limit = 10 * time.Second
	}
	l.client = NewClient(l.Net, 64)
}

// Results returns the results so far, in the order of their ends.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}

// Quantile returns a quantile (0 to 1) of the times of the given results.
func Quantile(results []Result, q float64) time.Duration {
	if len(results) == 0 {
		return 0
	}
	times := make([]time.Duration, len(results))
	for i, r := range results {
		times[i] = r.Took
	}
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
