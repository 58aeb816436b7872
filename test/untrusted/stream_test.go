package untrusted

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// streams is the number of large bodies that are sent at once, streamBytes the size of each.
	streams     = 40
	streamBytes = 8 << 20
	// maxStreamPeakBytes is the stated bound on each node (docs/design/open-parts.md, A).
	maxStreamPeakBytes = budgetBytes + 60<<20
)

const streamFolder = `
[service.lending]
version = "1"
timeout = "30s"

[service.front]
version = "1"

[route.hold]
service = "lending"
path = "/lending"
`

// pair is a node without a server of the service that the callers want, and the node beside
// that server.
type pair struct{ edge, beside node }

// startPair starts a pair whose server runs the handler.
func startPair(t *testing.T, h http.HandlerFunc) pair {
	t.Helper()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	store := start(t, dir, "godwitstand", "store", "--listen", "127.0.0.1:0").waitFor(t, `store listens on ([^; ]+);`)[0]
	front := start(t, dir, "godwitstand", "backend", "--listen", "127.0.0.1:0", "--name", "e1").waitFor(t, `listens on ([^; ]+);`)[0]
	beside := startInstance(t, dir, instance{name: "a1", service: "lending", backend: ln.Addr().String(), store: store, maxBody: 2 * streamBytes, budget: budgetBytes, settings: []string{fmt.Sprintf("backend.slots = %d", 2*streams), "backend.fixed = true"}})
	edge := startInstance(t, dir, instance{name: "e1", service: "front", backend: front, store: store, maxBody: 2 * streamBytes, budget: budgetBytes, peers: []string{beside.peer}})
	beside.awaitConfig(t, dir, store, streamFolder)
	edge.awaitConfig(t, dir, store, streamFolder)
	eventually(t, "answer through both nodes", func() bool {
		resp, err := http.Get("http://" + edge.edge + "/lending/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return pair{edge, beside}
}

// pattern returns a body that differs for each i.
func pattern(i int) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "body %04d ", i), streamBytes/10+1)[:streamBytes]
}

// hashBody answers with the hash of the body.
func hashBody(w http.ResponseWriter, r *http.Request) {
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
}

// Guards against nodes that keep the whole body of each request, on the way in or beside the
// server: 40 bodies of 8 MB at once don't fit into their memory, so that they were refused, and
// arrive bit for bit when they are forwarded in windows.
func TestLargeBodiesAtOnce(t *testing.T) {
	for name, reader := range map[string]func(b []byte) io.Reader{
		"length":  func(b []byte) io.Reader { return bytes.NewReader(b) },
		"chunked": func(b []byte) io.Reader { return io.MultiReader(bytes.NewReader(b)) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t, hashBody)
			var wg sync.WaitGroup
			for i := range streams {
				wg.Go(func() {
					b := pattern(i)
					want := sha256.Sum256(b)
					client := http.Client{Timeout: 2 * waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
					resp, err := client.Post("http://"+p.edge.edge+"/lending/x", "", reader(b))
					if err != nil {
						t.Errorf("body %d: %v", i, err)
						return
					}
					defer resp.Body.Close()
					got, err := io.ReadAll(resp.Body)
					if err != nil || resp.StatusCode != http.StatusOK || string(got) != hex.EncodeToString(want[:]) {
						t.Errorf("body %d: status %d, %.200q, %v", i, resp.StatusCode, got, err)
					}
				})
			}
			wg.Wait()
			p.edge.checkPeak(t, "edge")
			p.beside.checkPeak(t, "node beside the server")
		})
	}
}

// Guards against the kernel's timeout for unacknowledged data between nodes, which ends a
// connection whose receiver takes nothing for 1.8 s, as when the server reads slowly.
func TestBodyWaitsForASlowServer(t *testing.T) {
	p := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(2 * pauseTime)
		}
		hashBody(w, r)
	})
	p.postOne(t, func() {})
}

// pauseTime is longer than the time without keep-alives after which a node avoids another.
const pauseTime = 3 * time.Second

// Guards against a body that is given up, or sent twice, because one of the processes is
// paused: nothing but the deadline ends it.
func TestBodyOutlastsAPause(t *testing.T) {
	for _, who := range []string{"edge", "beside"} {
		t.Run(who, func(t *testing.T) {
			begun := make(chan struct{}, 10)
			p := startPair(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					begun <- struct{}{}
				}
				hashBody(w, r)
			})
			n := map[string]node{"edge": p.edge, "beside": p.beside}[who]
			p.postOne(t, func() {
				<-begun
				_ = n.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(pauseTime)
				_ = n.cmd.Process.Signal(syscall.SIGCONT)
			})
			if len(begun) != 0 {
				t.Errorf("the request began to run %d more times", len(begun))
			}
		})
	}
}

// postOne sends one body, the second half of it after middle, and checks the answer.
func (p pair) postOne(t *testing.T, middle func()) {
	t.Helper()
	b := pattern(1)
	want := sha256.Sum256(b)
	pr, pw := io.Pipe()
	go func() {
		_, _ = pw.Write(b[:streamBytes/2])
		middle()
		_, _ = pw.Write(b[streamBytes/2:])
		_ = pw.Close()
	}()
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.edge.edge+"/lending/x", pr)
	req.ContentLength = streamBytes
	resp, err := (&http.Client{Timeout: 2 * waitTime}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(got) != hex.EncodeToString(want[:]) {
		t.Errorf("status %d, %.200q, %v", resp.StatusCode, got, err)
	}
}

// Guards against a streamed body that breaks the order, or the framing, of a connection on
// which the caller sends requests ahead.
func TestStreamedBodyBetweenRequestsSentAhead(t *testing.T) {
	p := startPair(t, hashBody)
	conn, err := net.Dial("tcp", p.edge.edge)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTime))
	b := pattern(2)
	sum, empty := sha256.Sum256(b), sha256.Sum256(nil)
	const get = "GET /lending/x HTTP/1.1\r\nHost: node\r\n\r\n"
	go func() {
		_, _ = fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s%s", get, post, len(b), b, get)
		_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n%s", post, chunk(b), get)
	}()
	r := bufio.NewReader(conn)
	for i, want := range [][32]byte{empty, sum, empty, sum, empty} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || string(got) != hex.EncodeToString(want[:]) {
			t.Fatalf("response %d: status %d, %.200q, %v", i, resp.StatusCode, got, err)
		}
	}
}

// checkPeak checks that the node lives and that its peak is under the bound for large bodies.
func (n node) checkPeak(t *testing.T, name string) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil || !strings.Contains(string(status), "VmHWM:") {
		t.Fatalf("%s has ended: %v; its output ends with %s", name, err, tail(n.output()))
	}
	peak := peakBytes(string(status))
	t.Logf("%s: peak of the resident memory %.1f MB (bound %.1f)", name, mb(peak), mb(maxStreamPeakBytes))
	if peak > maxStreamPeakBytes {
		t.Errorf("%s: the peak of the resident memory is %.1f MB, the bound %.1f MB", name, mb(peak), mb(maxStreamPeakBytes))
	}
}
