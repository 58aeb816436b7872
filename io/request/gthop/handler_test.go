package gthop

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/process/gttrace"
	"godwittide/test/gtclock"
)

// runsAfterPause sends a request to a node that reads it only after the caller
// has disconnected, as after a process pause, and returns how often the backend
// server ran it.
func runsAfterPause(t *testing.T, network *gtpipe.Network) int64 {
	var runs atomic.Int64
	backend := serve(t, network, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "ran")
	})
	timer := &gttimer.Service{}
	go timer.Run(t.Context())
	self := func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "").WithBackend("s", "1", 1) }
	h := &Handler{
		Timer: timer, MaxBodyBytes: func() int { return 100 }, PausedSince: func(time.Time) bool { return true },
		LocalBackend: &LocalBackend{
			Now: time.Now, Self: self, ReadyAt: time.Now, Address: backend, MaxBufferBytes: 1000, Pool: newPool(t, network, false),
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 1}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Trace: (&gttrace.Tracer{}).Start,
		},
	}
	ln, err := network.Listen(network.NewAddress())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := network.Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\nGt-Call: 1/i/800//normal/s/r/0/0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	time.Sleep(time.Second)
	return runs.Load()
}

// A request that waited in its connection during a process pause must not run
// on the backend server if its caller has disconnected meanwhile.
func TestRequestIsNotRunIfCallerDisconnectedDuringPause(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		gomega.NewWithT(t).Expect(runsAfterPause(t, network)).To(gomega.BeZero())
	})
}

// A call that may not run on the backend server's version must not reach it, also if it
// waited for admission when that became known, and may be sent elsewhere.
func TestCallThatMayNotRunDoesNotReachTheBackend(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		for _, allowedChecks := range []int64{0, 1} {
			var runs, checks atomic.Int64
			backend := serve(t, network, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			b := &LocalBackend{
				Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "").WithBackend("s", "2", 1) }, ReadyAt: time.Now,
				Address: backend, MaxBufferBytes: 1000, Pool: newPool(t, network, false),
				Gate: &gtadmission.Gate{Now: time.Now, Slots: 1}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
				Trace: (&gttrace.Tracer{}).Start,
				MayRun: func(gtcall.Call) error {
					if checks.Add(1) <= allowedChecks {
						return nil
					}
					return gtkind.New(gtkind.Leaving, "rolled back")
				},
			}
			c := gtcall.New("mine", "GET", "/x").WithDeadline(time.Now().Add(time.Second)).WithRoute("s", "r", gtconfig.Normal).WithIdempotent(true)
			_, err := b.Run(t.Context(), c)
			g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Leaving))
			g.Expect(runs.Load()).To(gomega.BeZero())
			g.Expect(b.Gate.Load("r").Busy()).To(gomega.BeZero(), "the slot is free again")
		}
	})
}
