package gtpipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/connection/gtsequence"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpipeline"
	"godwittide/io/connection/gtsocket"
	"godwittide/test/gtclock"
)

// site is a server whose handler does what the query of a request says, and records when it
// began and ended. POST is not idempotent.
type site struct {
	pipeline *gtpipeline.Server
	server   *http.Server
	dial     func() net.Conn
	draining atomic.Bool
	depths   atomic.Int64

	mu       sync.Mutex
	began    []string // in order
	ended    []string
	canceled []string
	states   []string
	bodies   map[string]string
	running  int
	overlaps []string // requests that began beside a non-idempotent one, or that did so themselves
	unsafe   bool     // a non-idempotent request runs
}

// newSite starts a site with the given depth (1: each request after the one before).
func newSite(network *gtpipe.Network, depth int) *site {
	s := &site{bodies: map[string]string{}}
	s.pipeline = &gtpipeline.Server{
		Handler: s, Idempotent: func(r *http.Request) bool { return r.Method != http.MethodPost },
		Limits:       gtsequence.Limits{Requests: depth, RequestBytes: 64 << 10, ResponseBytes: 64 << 10},
		MaxHeadBytes: 8 << 10, MaxHeadLines: 100, ReadTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
		Draining: s.draining.Load, OnRequest: func(int) { s.depths.Add(1) },
		OnState: func(_ net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.states = append(s.states, state.String())
		},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	addr := network.NewAddress()
	ln, err := network.Listen(addr)
	if err != nil {
		panic(err)
	}
	if depth > 1 {
		s.server.Handler, s.server.ConnContext, s.server.ConnState = s.pipeline, s.pipeline.ConnContext, s.pipeline.ConnState
		ln = s.pipeline.Listener(ln)
	}
	go func() { _ = s.server.Serve(ln) }()
	s.dial = func() net.Conn {
		c, err := network.Dial(context.Background(), addr)
		if err != nil {
			panic(err)
		}
		return c
	}
	return s
}

// ServeHTTP serves a request: ms is how long it takes, status its status, bytes the size of
// the response, which is its name otherwise.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, q := strings.TrimPrefix(r.URL.Path, "/"), r.URL.Query()
	s.begin(name, r.Method == http.MethodPost)
	defer s.end(name, r)
	if q.Get("read") != "no" {
		b, err := io.ReadAll(r.Body)
		s.mu.Lock()
		s.bodies[name] = string(b)
		s.mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if q.Get("interrupt") != "" {
		gtsocket.InterruptRead(r.Context())
	}
	if ms, _ := strconv.Atoi(q.Get("ms")); ms > 0 {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			s.mu.Lock()
			s.canceled = append(s.canceled, name)
			s.mu.Unlock()
		}
	}
	switch q.Get("fault") {
	case "panic":
		panic("planted")
	case "abort":
		panic(http.ErrAbortHandler)
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, name)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Id", name)
	if q.Get("fault") == "short" {
		w.Header().Set("Content-Length", "100")
	}
	if q.Get("close") != "" || s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if status, _ := strconv.Atoi(q.Get("status")); status > 0 {
		w.WriteHeader(status)
	}
	if n, _ := strconv.Atoi(q.Get("bytes")); n > 0 {
		part := strings.Repeat("x", 16<<10)
		for ; n > 0; n -= len(part) {
			if _, err := io.WriteString(w, part[:min(n, len(part))]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		return
	}
	_, _ = io.WriteString(w, name)
}

func (s *site) begin(name string, unsafe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running > 0 && (unsafe || s.unsafe) {
		s.overlaps = append(s.overlaps, name)
	}
	s.began = append(s.began, name)
	s.running++
	s.unsafe = s.unsafe || unsafe
}

func (s *site) end(name string, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, name)
	s.running--
	s.unsafe = s.unsafe && r.Method != http.MethodPost
}

// look returns copies of what has been recorded.
func (s *site) look() (began, canceled, overlaps []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.began), slices.Clone(s.canceled), slices.Clone(s.overlaps)
}

// request returns the text of a request without a body, or of a POST with its name as body.
func request(method, target string) string {
	text := method + " /" + target + " HTTP/1.1\r\nHost: a\r\n"
	if method == http.MethodPost {
		name, _, _ := strings.Cut(target, "?")
		return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(name), name)
	}
	return text + "\r\n"
}

// answer is a response as a caller sees it: its id, status and what the connection says.
type answer struct {
	id     string
	status int
	size   int
	closes bool
	after  time.Duration
}

// readAnswers reads responses until the connection ends or n have been read.
func readAnswers(c net.Conn, n int) []answer {
	start, br := time.Now(), bufio.NewReader(c)
	var all []answer
	for len(all) < n {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return all
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return append(all, answer{id: "cut"})
		}
		all = append(all, answer{id: resp.Header.Get("Id"), status: resp.StatusCode, size: len(b), closes: resp.Close, after: time.Since(start)})
	}
	return all
}

// ids returns the ids of answers, with "!" behind one that closes the connection.
func ids(all []answer) string {
	parts := make([]string, len(all))
	for i, a := range all {
		parts[i] = a.id
		if a.id == "" {
			parts[i] = strconv.Itoa(a.status)
		}
		if a.closes {
			parts[i] += "!"
		}
	}
	return strings.Join(parts, " ")
}

// ways are how the bytes of several requests may arrive.
var ways = map[string]func(c net.Conn, requests []string){
	"in one read": func(c net.Conn, requests []string) { _, _ = io.WriteString(c, strings.Join(requests, "")) },
	"one after the other": func(c net.Conn, requests []string) {
		for _, r := range requests {
			_, _ = io.WriteString(c, r)
			time.Sleep(time.Millisecond)
		}
	},
	"in small parts": func(c net.Conn, requests []string) {
		for text := strings.Join(requests, ""); text != ""; {
			n := min(7, len(text))
			_, _ = io.WriteString(c, text[:n])
			text = text[n:]
			time.Sleep(100 * time.Microsecond)
		}
	},
}

// Each case is a way to serve requests of one connection wrongly: a response under another
// request's place, a request that runs though it must not, or one that is not answered.
func TestResponsesComeInTheOrderOfTheRequests(t *testing.T) {
	cases := []struct {
		name     string
		requests []string
		want     string // the ids in order; "!" marks a response that closes
		began    string // the requests that may run, in this order; empty: as want
		within   time.Duration
	}{
		{"a slow one in front", []string{request("GET", "a?ms=500"), request("GET", "b?ms=100"), request("GET", "c")}, "a b c", "", 600 * time.Millisecond},
		{"a slow one in the middle", []string{request("GET", "a?ms=10"), request("GET", "b?ms=500"), request("GET", "c?ms=300")}, "a b c", "", 600 * time.Millisecond},
		{"mixed kinds", []string{request("GET", "a?ms=200"), request("POST", "b?ms=100"), request("GET", "c?ms=100"), request("GET", "d?ms=100"), request("POST", "e")}, "a b c d e", "a b c d e", 500 * time.Millisecond},
		{"a non-idempotent one in front", []string{request("POST", "a?ms=200"), request("GET", "b?ms=100"), request("GET", "c?ms=100")}, "a b c", "", 400 * time.Millisecond},
		{"one that fails", []string{request("GET", "a?ms=100"), request("GET", "b?status=500"), request("GET", "c?ms=50")}, "a b c", "", 200 * time.Millisecond},
		{"no body, HEAD and no content", []string{request("GET", "a?ms=100"), request("HEAD", "b"), request("GET", "c?status=204"), request("GET", "d?status=304"), request("GET", "e")}, "", "a b c d e", time.Second},
		{"a panic", []string{request("GET", "a?ms=100"), request("GET", "b?fault=panic"), request("GET", "c?ms=500")}, "a", "a b c", 200 * time.Millisecond},
		{"one that is cut off", []string{request("GET", "a?ms=100"), request("GET", "b?fault=abort"), request("POST", "c")}, "a", "a b", 200 * time.Millisecond},
		{"one that is shorter than it says", []string{request("GET", "a?ms=100"), request("GET", "b?fault=short"), request("GET", "c?ms=500")}, "a cut", "a b c", 200 * time.Millisecond},
		{"a close in the middle", []string{request("GET", "a?ms=100"), request("GET", "b?close=1&ms=50"), request("GET", "c?ms=70"), request("POST", "d")}, "a b!", "a b c", 200 * time.Millisecond},
		{"the caller's close in the middle", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", request("GET", "c")}, "a b!", "a b", 200 * time.Millisecond},
		{"a malformed one", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", request("GET", "c")}, "a 400!", "a", 200 * time.Millisecond},
		{"one without a host", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\n\r\n", request("GET", "c")}, "a 400!", "a", 200 * time.Millisecond},
		{"one with an unknown encoding", []string{request("GET", "a?ms=100"), "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: rot13\r\n\r\n", request("GET", "c")}, "a 501!", "a", 200 * time.Millisecond},
		{"a head of too many lines", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 99) + "\r\n", request("GET", "c")}, "a 431!", "a", 3 * time.Second},
		{"a head of as many lines", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 98) + "\r\n"}, "a b", "a b", 3 * time.Second},
		{"a head over the limit", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 13<<10) + "\r\n\r\n", request("GET", "c")}, "a 431!", "a", 3 * time.Second},
		{"a body that is not read", []string{request("GET", "a?ms=100"), request("POST", "b?read=no"), request("GET", "c")}, "a b c", "a b c", 200 * time.Millisecond},
		{"HTTP/1.0 behind", []string{request("GET", "a?ms=100"), "GET /b HTTP/1.0\r\n\r\n", request("GET", "c")}, "a b!", "a b", 200 * time.Millisecond},
		{"OPTIONS of the server", []string{request("GET", "a?ms=100"), "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", request("GET", "c")}, "a 200 c", "a c", 200 * time.Millisecond},
		{"chunked bodies", []string{request("GET", "a?ms=100"), chunked("PUT", "b"), chunked("POST", "c"), request("GET", "d")}, "a b c d", "a b c d", 200 * time.Millisecond},
	}
	for _, tc := range cases {
		for way, write := range ways {
			t.Run(tc.name+" "+way, func(t *testing.T) {
				gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
					g := gomega.NewWithT(t)
					s := newSite(network, 16)
					defer s.server.Close()
					c := s.dial()
					defer c.Close()
					go write(c, tc.requests)
					if tc.want != "" {
						got := readAnswers(c, 1+strings.Count(tc.want, " "))
						g.Expect(ids(got)).To(gomega.Equal(tc.want))
						slowest := got[len(got)-1].after
						g.Expect(slowest).To(gomega.BeNumerically("<=", tc.within+400*time.Millisecond), "the parts of a write take time")
						if way == "in one read" {
							g.Expect(slowest).To(gomega.BeNumerically("<=", tc.within))
						}
					} else {
						expectStatuses(g, c, tc.requests)
					}
					time.Sleep(time.Second)
					began, canceled, overlaps := s.look()
					g.Expect(overlaps).To(gomega.BeEmpty())
					if !strings.ContainsAny(tc.want, "!") && (tc.began == "" || tc.began == tc.want) {
						g.Expect(canceled).To(gomega.BeEmpty())
					}
					if tc.began == "" {
						tc.began = tc.want
					}
					slices.Sort(began) // idempotent ones may begin in any order
					g.Expect(strings.Join(began, " ")).To(gomega.Equal(tc.began))
				})
			})
		}
	}
}

// chunked returns a request with its name as a chunked body.
func chunked(method, name string) string {
	return method + " /" + name + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(name), name)
}

// expectStatuses reads a response to each request with its method, as the framing of HEAD
// depends on it.
func expectStatuses(g *gomega.WithT, c net.Conn, requests []string) {
	br := bufio.NewReader(c)
	for i, text := range requests {
		method, _, _ := strings.Cut(text, " ")
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		id := resp.Header.Get("Id")
		g.Expect(id).To(gomega.Equal(string(rune('a' + i))))
		if method == http.MethodHead || resp.StatusCode != http.StatusOK {
			g.Expect(b).To(gomega.BeEmpty())
		} else {
			g.Expect(string(b)).To(gomega.Equal(id))
		}
	}
}

// A caller that sends five requests ahead, and a node that is told to stop: what has started
// is answered, and the last of these responses says that nothing behind it was read.
func TestStopAnswersWhatHasStarted(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		for i := range 5 {
			_, _ = io.WriteString(c, request("GET", fmt.Sprintf("%d?ms=%d", i, 300-40*i)))
		}
		_, _ = io.WriteString(c, request("POST", "5"))
		_, _ = io.WriteString(c, request("GET", "6"))
		time.Sleep(100 * time.Millisecond)
		s.draining.Store(true)
		got := readAnswers(c, 9)
		g.Expect(ids(got)).To(gomega.Equal("0 1 2 3 4!"))
		began, canceled, _ := s.look()
		slices.Sort(began)
		g.Expect(began).To(gomega.Equal([]string{"0", "1", "2", "3", "4"}))
		g.Expect(canceled).To(gomega.BeEmpty())
	})
}

// A caller that leaves waits for none of its requests.
func TestRequestsOfACallerThatLeavesAreCanceled(t *testing.T) {
	for _, depth := range []int{3, 16} { // also at the bound, where no request is read
		for way, write := range ways {
			t.Run(fmt.Sprint(way, depth), func(t *testing.T) {
				gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
					g := gomega.NewWithT(t)
					s := newSite(network, depth)
					defer s.server.Close()
					c := s.dial()
					write(c, []string{request("GET", "a?ms=5000"), request("PUT", "b?ms=5000"), request("GET", "c?ms=5000"), request("POST", "d?ms=5000")})
					time.Sleep(100 * time.Millisecond)
					_ = c.Close()
					time.Sleep(100 * time.Millisecond)
					began, canceled, _ := s.look()
					slices.Sort(began)
					slices.Sort(canceled)
					g.Expect(began).To(gomega.Equal([]string{"a", "b", "c"}))
					g.Expect(canceled).To(gomega.Equal([]string{"a", "b", "c"}))
				})
			})
		}
	}
}

// A caller that reads slowly must neither make the server keep more than its bound nor get
// other bytes. The server stops reading requests at the bound on their number.
func TestACallerThatReadsSlowlyGetsAllResponses(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 4)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		const size, count = 1 << 20, 12
		go func() {
			for i := range count {
				_, _ = io.WriteString(c, request("GET", fmt.Sprintf("%02d?bytes=%d", i, size)))
			}
		}()
		time.Sleep(time.Second)
		began, _, _ := s.look()
		g.Expect(len(began)).To(gomega.BeNumerically("<=", 1+4), "one response fits into the buffers of the network")
		got := readAnswers(slowReader{c}, count)
		g.Expect(got).To(gomega.HaveLen(count))
		for i, a := range got {
			g.Expect(a.id).To(gomega.Equal(fmt.Sprintf("%02d", i)))
			g.Expect(a.size).To(gomega.Equal(size))
		}
	})
}

// slowReader is a connection that is read at a few megabytes a second.
type slowReader struct{ net.Conn }

// Read reads after some time.
func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Conn.Read(b[:min(len(b), 16<<10)])
}

// The response at the front is written as it comes, also what was kept before its turn.
func TestTheResponseAtTheFrontIsNotHeldBack(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		s.pipeline.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a" {
				time.Sleep(200 * time.Millisecond)
				return
			}
			_, _ = io.WriteString(w, "first")
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "second")
		})
		c := s.dial()
		defer c.Close()
		_, _ = io.WriteString(c, request("GET", "a")+request("GET", "b"))
		start, br := time.Now(), bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		resp, err = http.ReadResponse(br, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b := make([]byte, 5)
		_, err = io.ReadFull(resp.Body, b)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(b)).To(gomega.Equal("first"))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		rest, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(rest)).To(gomega.Equal("second"))
	})
}

// A body that waits for an interim response gets it in its turn, and the connection goes on.
func TestContinueIsSentInTurn(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		_, _ = io.WriteString(c, request("GET", "a?ms=100")+"PUT /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		g.Expect(resp.Header.Get("Id")).To(gomega.Equal("a"))
		line, err := br.ReadString('\n')
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(line).To(gomega.Equal("HTTP/1.1 100 Continue\r\n"))
		_, _ = br.ReadString('\n')
		_, _ = io.WriteString(c, "body"+request("GET", "c"))
		for _, id := range []string{"b", "c"} {
			resp, err = http.ReadResponse(br, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			g.Expect(resp.Header.Get("Id")).To(gomega.Equal(id))
		}
		g.Expect(s.bodies["b"]).To(gomega.Equal("body"))
	})
}

// The reading of a body may be interrupted just as its last byte has been read. That must not
// be taken for a caller that has left, while the next request waits for its turn.
func TestALateInterruptionOfABodyCancelsNothing(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		_, _ = io.WriteString(c, request("GET", "a?ms=300")+request("PUT", "b?ms=200&interrupt=1")+request("POST", "c"))
		g.Expect(ids(readAnswers(c, 3))).To(gomega.Equal("a b c"))
		_, canceled, _ := s.look()
		g.Expect(canceled).To(gomega.BeEmpty())
	})
}

// A connection that was taken over is closed when it is idle for too long, or a request does
// not arrive in time.
func TestConnectionsThatWereTakenOverTimeOut(t *testing.T) {
	for _, begin := range []string{"", "GET /c HTTP/1.1\r\nHost: a\r\n"} {
		gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
			g := gomega.NewWithT(t)
			s := newSite(network, 16)
			defer s.server.Close()
			c := s.dial()
			defer c.Close()
			_, _ = io.WriteString(c, request("GET", "a?ms=10")+request("GET", "b?ms=20")+begin)
			g.Expect(ids(readAnswers(c, 2))).To(gomega.HavePrefix("a b"))
			start := time.Now()
			_, err := c.Read(make([]byte, 1))
			g.Expect(err).To(gomega.Equal(io.EOF))
			want := 30 * time.Second
			if begin != "" {
				want = 3 * time.Second
			}
			g.Expect(time.Since(start)).To(gomega.BeNumerically("~", want, time.Second))
			time.Sleep(time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			g.Expect(s.states[len(s.states)-1]).To(gomega.Equal("closed"))
		})
	}
}

// Callers that send one request at a time stay with net/http, whatever came before on the
// connection.
func TestConnectionsThatDoNotPipelineStayWithNetHTTP(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		var taken atomic.Int64
		s.pipeline.OnTakeOver = func(string) { taken.Add(1) }
		c := s.dial()
		defer c.Close()
		br := bufio.NewReader(c)
		texts := []string{request("GET", "a"), request("POST", "b"), chunked("PUT", "c"), request("GET", "d"), chunked("POST", "e"), request("POST", "f?read=no"), request("HEAD", "g"), "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", request("GET", "h"), "\r\n" + request("GET", "i")}
		texts = slices.DeleteFunc(texts, func(s string) bool { return strings.HasPrefix(s, "\r\n") })
		for _, write := range ways {
			for _, text := range texts {
				write(c, []string{text})
				method, _, _ := strings.Cut(text, " ")
				resp, err := http.ReadResponse(br, &http.Request{Method: method})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
				_, _ = io.Copy(io.Discard, resp.Body)
				time.Sleep(time.Millisecond)
			}
		}
		g.Expect(taken.Load()).To(gomega.BeZero())
	})
}

// Where the process has no memory to spare, requests and responses wait for their turn, and
// none is lost. All that was reserved is given back, also when the caller leaves.
func TestRequestsWaitForTheirTurnWithoutABudget(t *testing.T) {
	for _, budget := range []int64{0, 100, 30 << 10} {
		gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
			g := gomega.NewWithT(t)
			s := newSite(network, 16)
			defer s.server.Close()
			var used, peak atomic.Int64
			s.pipeline.Reserve = func(n int64) bool {
				if used.Load()+n > budget {
					return false
				}
				peak.Store(max(peak.Load(), used.Add(n)))
				return true
			}
			s.pipeline.Release = func(n int64) { used.Add(-n) }
			c := s.dial()
			_, _ = io.WriteString(c, request("GET", "a?ms=100")+request("GET", "b?bytes=40000")+request("GET", "c?bytes=40000")+request("GET", "d"))
			g.Expect(ids(readAnswers(c, 4))).To(gomega.Equal("a b c d"))
			g.Expect(used.Load()).To(gomega.BeZero())
			g.Expect(peak.Load()).To(gomega.BeNumerically("<=", budget))
			_, _ = io.WriteString(c, request("GET", "a?ms=5000")+request("GET", "b?bytes=10000")+request("GET", "c"))
			time.Sleep(100 * time.Millisecond)
			_ = c.Close()
			time.Sleep(time.Second)
			g.Expect(used.Load()).To(gomega.BeZero())
		})
	}
}

// The rest of a body that is too large to be discarded must not be read as a request: a caller
// could let others send requests in its name.
func TestTheRestOfABodyIsNoRequest(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		body := strings.Repeat(request("GET", "hidden"), 20000)
		go func() {
			_, _ = io.WriteString(c, request("GET", "a?ms=100")+fmt.Sprintf("PUT /b?read=no HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}()
		g.Expect(ids(readAnswers(c, 3))).To(gomega.Equal("a b!"))
		time.Sleep(time.Second)
		began, _, _ := s.look()
		g.Expect(began).To(gomega.Equal([]string{"a", "b"}))
	})
}

// A request over the bound on bytes starts at its turn, with its body unread until then.
func TestLargeRequestsWaitForTheirTurn(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		large := strings.Repeat("x", 65<<10)
		_, _ = io.WriteString(c, request("GET", "a?ms=300")+request("GET", "b")+fmt.Sprintf("PUT /c HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(large), large))
		time.Sleep(200 * time.Millisecond)
		began, _, _ := s.look()
		slices.Sort(began)
		g.Expect(began).To(gomega.Equal([]string{"a", "b"}))
		g.Expect(ids(readAnswers(c, 3))).To(gomega.Equal("a b c"))
		g.Expect(s.bodies["c"]).To(gomega.Equal(large))
	})
}

// A handler begins to write while the connection is about to be taken over: the response must
// not be torn in two.
func TestAResponseThatHasBegunStaysWithNetHTTP(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, 16)
		defer s.server.Close()
		s.pipeline.Idempotent = func(*http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			return true
		}
		s.pipeline.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Id", r.URL.Path[1:])
			_, _ = io.WriteString(w, "first")
			w.(http.Flusher).Flush()
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "second")
		})
		c := s.dial()
		defer c.Close()
		for _, name := range []string{"a", "b", "c"} {
			_, _ = io.WriteString(c, request("GET", name))
			time.Sleep(time.Millisecond)
		}
		answers := readAnswers(c, 3)
		g.Expect(ids(answers)).To(gomega.Equal("a b c"))
		for _, a := range answers {
			g.Expect(a.size).To(gomega.Equal(len("firstsecond")))
		}
	})
}
