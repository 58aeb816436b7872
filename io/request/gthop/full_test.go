package gthop

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtcanary"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/process/gttrace"
	"godwittide/test/gtclock"
)

// fullServer is a stand-in for a backend server that runs a number of requests at once and has
// no room for more. It then resets the connection, or never responds to the request nor to
// any further one on its connection.
type fullServer struct {
	capacity int64
	resets   bool
	running  atomic.Int64
	mu       sync.Mutex
	most     int64
	rejected atomic.Int64
	hangs    atomic.Bool // no request gets a response
	release  chan struct{}
}

func (s *fullServer) serve(w http.ResponseWriter, r *http.Request) {
	n := s.running.Add(1)
	defer s.running.Add(-1)
	if n > s.capacity || s.hangs.Load() {
		s.rejected.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		if s.resets {
			_ = conn.Close()
			return
		}
		s.running.Add(-1)
		defer s.running.Add(1)
		defer conn.Close()
		select {
		case <-s.release:
		case <-readToEnd(conn):
		}
		return
	}
	s.mu.Lock()
	s.most = max(s.most, n)
	s.mu.Unlock()
	d, _ := time.ParseDuration(r.URL.RawQuery)
	time.Sleep(d)
}

// readToEnd returns a channel that is closed when the other side has closed the connection.
func readToEnd(conn net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(done)
	}()
	return done
}

// newFullBackend returns the local backend with a fixed limit of some slots in front of s.
func newFullBackend(t *testing.T, network *gtpipe.Network, s *fullServer, slots int) *LocalBackend {
	s.release = make(chan struct{})
	t.Cleanup(func() { close(s.release) })
	addr := serve(t, network, s.serve)
	pool := newPool(t, network, false)
	pool.MaxConns = 20
	return &LocalBackend{
		Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "").WithBackend("s", "1", slots) }, ReadyAt: time.Now,
		Address: addr, MaxBufferBytes: 1000, Pool: pool,
		Gate: &gtadmission.Gate{Now: time.Now, Slots: slots, Fixed: true}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
		CheckDown: func(context.Context) bool { return false }, Trace: (&gttrace.Tracer{}).Start,
	}
}

// offer sends requests of 100 ms at a period for d, and returns how often each kind was the
// outcome.
func offer(b *LocalBackend, period, d time.Duration, idempotent bool) map[gtkind.Kind]int {
	kinds := map[gtkind.Kind]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(period) {
		wg.Go(func() {
			c := gtcall.New("id", "GET", "/x?100ms").WithRoute("s", "r", 1).WithIdempotent(idempotent).WithDeadline(time.Now().Add(2 * time.Second))
			_, err := b.Run(context.Background(), c)
			mu.Lock()
			defer mu.Unlock()
			kinds[gtkind.Of(err)]++
		})
	}
	wg.Wait()
	return kinds
}

// Guards against taking a server that is full for one that has failed, and against sending
// it more than it can take again and again: it reports 8 slots and has room for 5.
func TestFullServerIsRecognised(t *testing.T) {
	for name, resets := range map[string]bool{"resets": true, "never responds": false} {
		t.Run(name, func(t *testing.T) {
			gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
				g := gomega.NewWithT(t)
				s := &fullServer{capacity: 5, resets: resets}
				b := newFullBackend(t, network, s, 8)
				offer(b, 100*time.Millisecond, 6*time.Second, true)
				first := offer(b, 14*time.Millisecond, 4*time.Second, true)
				t.Log(first, s.rejected.Load(), b.Gate.Overflows())
				g.Expect(first[gtkind.Overflowed]).To(gomega.BeNumerically(">", 0))
				g.Expect(first[gtkind.ConnectionLost]).To(gomega.BeZero())
				g.Expect(b.Gate.Overflows()).To(gomega.BeNumerically("==", first[gtkind.Overflowed]))
				s.rejected.Store(0)
				later := offer(b, 14*time.Millisecond, 10*time.Second, true)
				t.Log(later, s.rejected.Load())
				g.Expect(s.rejected.Load()).To(gomega.BeNumerically("<=", 12), "the limit is tried out rarely")
				g.Expect(later[gtkind.None]).To(gomega.BeNumerically(">", 350), "of the 450 that the server can run")
				// With room again, the limit comes back to what the server reports.
				s.capacity = 100
				offer(b, 14*time.Millisecond, 40*time.Second, true)
				g.Expect(b.Gate.Load("r").Limit()).To(gomega.Equal(8))
			})
		})
	}
}

// At the edge of full nothing is concluded: as many requests as fit get their responses.
func TestServerAtItsCapacityIsNotFull(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := &fullServer{capacity: 8}
		b := newFullBackend(t, network, s, 8)
		kinds := offer(b, 9*time.Millisecond, 5*time.Second, true)
		g.Expect(s.most).To(gomega.Equal(int64(8)))
		g.Expect(s.rejected.Load()).To(gomega.BeZero())
		g.Expect(kinds[gtkind.Overflowed]).To(gomega.BeZero())
		g.Expect(b.Gate.Load("r").Limit()).To(gomega.Equal(8))
	})
}

// A request that may have run isn't reported as one that has not: it gets 502, and only
// an idempotent one is sent elsewhere.
func TestFullServerMayHaveRunTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	row := gtkind.Overflowed.Row()
	g.Expect(row.Status()).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(row.Certainty()).To(gomega.Equal(gtkind.Unknown))
	g.Expect(row.RetryElsewhere()).To(gomega.BeTrue())
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		s := &fullServer{capacity: 5, resets: false}
		b := newFullBackend(t, network, s, 8)
		offer(b, 100*time.Millisecond, 6*time.Second, true)
		start := time.Now()
		kinds := offer(b, 14*time.Millisecond, 3*time.Second, false)
		gomega.NewWithT(t).Expect(kinds[gtkind.Overflowed]).To(gomega.BeNumerically(">", 0))
		gomega.NewWithT(t).Expect(kinds[gtkind.Deadline]).To(gomega.BeZero(), "they are answered long before their deadline")
		gomega.NewWithT(t).Expect(time.Since(start)).To(gomega.BeNumerically("<", 4500*time.Millisecond))
	})
}

// A crash and a freeze are not taken for a full server: the limit stays as it is.
func TestCrashAndFreezeAreNotTakenForFull(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := &fullServer{capacity: 100}
		b := newFullBackend(t, network, s, 8)
		offer(b, 20*time.Millisecond, time.Second, true)
		s.hangs.Store(true)
		frozen := offer(b, 20*time.Millisecond, time.Second, true)
		g.Expect(frozen[gtkind.Overflowed]).To(gomega.BeZero())
		g.Expect(frozen[gtkind.Deadline]).To(gomega.BeNumerically(">", 0))
		g.Expect(b.Gate.Load("r").Limit()).To(gomega.Equal(8))
	})
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := &fullServer{capacity: 100, resets: true}
		b := newFullBackend(t, network, s, 8)
		b.CheckDown = func(context.Context) bool { return true }
		b.OnCrash = func(gtdedup.Crash) {}
		s.hangs.Store(true)
		crashed := offer(b, 20*time.Millisecond, time.Second, true)
		g.Expect(crashed[gtkind.Overflowed]).To(gomega.BeZero())
		g.Expect(crashed[gtkind.Crashed]).To(gomega.BeNumerically(">", 0))
		g.Expect(b.Gate.Load("r").Limit()).To(gomega.Equal(8))
	})
}
