package gtcluster

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

// Load generates open-loop load: it sends requests at a constant rate, whether or
// not earlier ones have got a response. Its exported fields are set before Run.
type Load struct {
	// EdgeURLs are the base URLs of the nodes, used in round-robin order.
	EdgeURLs []string
	// Method and Path are the method and URL path of each request.
	Method, Path string
	// Rate is the number of requests per second.
	Rate float64
	// BodyPrefix is the prefix of each request's body and idempotency key.
	BodyPrefix string
	// Keyed gives each request an idempotency key of its own.
	Keyed bool
	// ResponseBytes is the minimum size in bytes of the responses to GET requests;
	// see gtfake.Backend.
	ResponseBytes int
	// Timeout is the timeout of each request; the default is 10 s.
	Timeout time.Duration
	// MaxInFlight is the maximum number of requests in flight; requests above it
	// are skipped. The default is 2000.
	MaxInFlight int
	// Net opens the connections; its zero value uses TCP.
	Net Net

	client   *http.Client
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  []Result
	inFlight atomic.Int64
	lastSeq  atomic.Int64
}

// Result is the outcome of one request.
type Result struct {
	// SentAt is when the request was sent. Duration is the time until the complete
	// response or the error.
	SentAt   time.Time
	Duration time.Duration
	// Status is the status code, or 0 without a complete response.
	Status int
	// Kind and Certainty are those of an error response from a node; they are
	// empty in a response from a backend server.
	Kind, Certainty string
	// Backend is the name of the backend server that sent the response.
	Backend string
	// Key is the idempotency key, or empty.
	Key string
	// Body is the request's body, or its query in a GET request. Matched reports
	// whether the response echoes it; if not, the response is mismatched.
	Body    string
	Matched bool
	// Err is the reason why there is no complete response, or nil.
	Err error
}

// OK reports whether the response has status 200 and belongs to this request.
func (r Result) OK() bool { return r.Status == http.StatusOK && r.Matched }

// NewClient returns a client that follows no redirects and keeps up to maxIdle
// idle connections to each host.
func NewClient(network Net, maxIdle int) *http.Client {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Connect(ctx, addr) }
	return &http.Client{
		Transport:     &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, MaxConnsPerHost: 0, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run sends requests until ctx ends, then waits for those in flight.
func (l *Load) Run(ctx context.Context) {
	if l.Timeout == 0 {
		l.Timeout = 10 * time.Second
	}
	if l.MaxInFlight == 0 {
		l.MaxInFlight = 2000
	}
	l.client = NewClient(l.Net, l.MaxInFlight)
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
				l.sendAsync(sent)
			}
		}
	}
}

// sendAsync sends a request in its own goroutine and records the result, unless
// too many requests are in flight. n counts the requests, with those skipped, and
// selects the node.
func (l *Load) sendAsync(n int) {
	if l.inFlight.Load() >= int64(l.MaxInFlight) {
		return
	}
	l.inFlight.Add(1)
	l.wg.Go(func() {
		defer l.inFlight.Add(-1)
		r := l.Send(l.EdgeURLs[n%len(l.EdgeURLs)], fmt.Sprintf("%sr%d.", l.BodyPrefix, l.lastSeq.Add(1)), false)
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	})
}

// Send sends one request with the given body to the node at edgeURL and returns the
// result. With Keyed, the body is also the idempotency key. resend marks the
// request as a resend of an earlier one. Run or CreateClient must be called first.
func (l *Load) Send(edgeURL, body string, resend bool) Result {
	r := Result{SentAt: time.Now(), Body: body}
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	var reqBody io.Reader
	target := edgeURL + l.Path
	if l.Method == http.MethodGet {
		target += fmt.Sprintf("?size=%d&%s", l.ResponseBytes, body)
	} else {
		reqBody = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequestWithContext(ctx, l.Method, target, reqBody)
	if err != nil {
		return r
	}
	// Without GetBody the transport can't retry a request with a body on a new connection.
	req.GetBody = nil
	if l.Keyed {
		r.Key = body
		req.Header.Set(gthop.HeaderIdempotencyKey, body)
	}
	if resend {
		req.Header.Set(gthop.HeaderResend, "1")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		r.Duration, r.Err = time.Since(r.SentAt), err
		return r
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	r.Duration, r.Err = time.Since(r.SentAt), err
	if err != nil {
		return r
	}
	r.Status, r.Backend = resp.StatusCode, resp.Header.Get("Backend")
	r.Kind, r.Certainty = resp.Header.Get(gthop.HeaderKind), resp.Header.Get(gthop.HeaderCertainty)
	r.Matched = bytes.Contains(respBody, []byte(body))
	return r
}

// CreateClient creates the client that Send needs if Run isn't called.
func (l *Load) CreateClient() {
	if l.Timeout == 0 {
		l.Timeout = 10 * time.Second
	}
	l.client = NewClient(l.Net, 64)
}

// Results returns a copy of the results so far, in order of completion. Those of
// direct calls of Send aren't included.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}

// Quantile returns the q-quantile (0 to 1) of the results' durations, or 0
// without results.
func Quantile(results []Result, q float64) time.Duration {
	if len(results) == 0 {
		return 0
	}
	durations := make([]time.Duration, len(results))
	for i, r := range results {
		durations[i] = r.Duration
	}
	slices.Sort(durations)
	return durations[min(int(q*float64(len(durations))), len(durations)-1)]
}
