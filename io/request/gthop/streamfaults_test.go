package gthop

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var faultSeed = flag.Uint64("fault-seed", 0, "seed of TestStreamedBodiesUnderFaults; 0 draws one")

// The behaviours of a server in TestStreamedBodiesUnderFaults.
const (
	readsAll = iota
	readsSlowly
	respondsEarly
	dies
	behaviours
)

// Guards against a truncated body that looks complete, bytes of one body in another request, a
// request that runs twice, and slots that are lost, whatever callers and the server
// do to streamed bodies that share connections. Run one seed again with -fault-seed.
func TestStreamedBodiesUnderFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	seed := *faultSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("-fault-seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	begun, whole := map[string]int{}, map[string]bool{}
	h := (&hops{slots: 100, backend: func(w http.ResponseWriter, r *http.Request) {
		id, want := r.URL.Query().Get("id"), r.URL.Query().Get("hash")
		behaviour, _ := strconv.Atoi(r.URL.Query().Get("do"))
		mu.Lock()
		begun[id]++
		mu.Unlock()
		switch behaviour {
		case readsSlowly:
			time.Sleep(100 * time.Millisecond)
		case respondsEarly:
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.CopyN(io.Discard, r.Body, 1000)
			w.WriteHeader(http.StatusForbidden)
			return
		case dies:
			_, _ = io.CopyN(io.Discard, r.Body, 1000)
			panic(http.ErrAbortHandler)
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if hashOf(b) != want {
			t.Errorf("request %s: %d bytes that are not its body look complete", id, len(b))
		}
		mu.Lock()
		whole[id] = true
		mu.Unlock()
		_, _ = io.WriteString(w, want)
	}}).start(t)
	var wg sync.WaitGroup
	const requests = 120
	for i := range requests {
		size, behaviour := 300<<10+rnd.IntN(2<<20), max(0, rnd.IntN(2*behaviours)-behaviours)
		isChunked, cut, wait := rnd.IntN(2) == 0, rnd.IntN(4) == 0, time.Duration(rnd.IntN(3000))*time.Millisecond
		cutAt := rnd.IntN(size)
		wg.Go(func() {
			time.Sleep(wait)
			b := testBody()[i*16 : i*16+size]
			b[0] = byte(i)
			conn, err := net.Dial("tcp", h.edge)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(2 * hopTimeout))
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
			if isChunked {
				framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)
			}
			_, _ = fmt.Fprintf(conn, "POST /x?id=%d&do=%d&hash=%s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n%s", i, behaviour, hashOf(b), framing)
			if cut {
				_, _ = conn.Write(b[:cutAt])
				return
			}
			_, _ = conn.Write(b)
			if isChunked {
				_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
			}
			answer, _ := io.ReadAll(conn)
			mu.Lock()
			ran := begun[strconv.Itoa(i)] > 0
			mu.Unlock()
			isWhole := strings.HasPrefix(string(answer), "HTTP/1.1 200 ") && strings.HasSuffix(string(answer), hashOf(b))
			// One that was refused, as all connections were in use, may meet a reset while it writes.
			if ran && (behaviour <= readsSlowly && !isWhole || strings.HasPrefix(string(answer), "HTTP/1.1 503 ")) {
				t.Errorf("request %d ran and got %.300q", i, answer)
			}
		})
	}
	wg.Wait()
	g.Eventually(func() int { return h.local.Gate.Load("r").Busy() }, hopTimeout).Should(gomega.BeZero())
	mu.Lock()
	defer mu.Unlock()
	for id, n := range begun {
		g.Expect(n).To(gomega.Equal(1), "request %s ran %d times", id, n)
	}
	g.Expect(len(whole)).To(gomega.BeNumerically(">", requests/4))
}
