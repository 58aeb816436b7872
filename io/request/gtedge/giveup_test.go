package gtedge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtdelta"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpool"
	"godwittide/io/process/gttrace"
	"godwittide/io/request/gthop"
	"godwittide/io/version/gtfolder"
	"godwittide/test/gtclock"
)

// serve serves h on a network in memory until the test ends and returns its address.
func serve(t *testing.T, network *gtpipe.Network, h http.Handler) string {
	t.Helper()
	ln, err := network.Listen(network.NewAddress())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// serveSilentPeer starts a peer that sends no keep-alives, like one that is short of processor
// time. Its backend server takes the time in the query of a request. It returns its record.
func serveSilentPeer(t *testing.T, network *gtpipe.Network, name string) gtmember.Record {
	backend := serve(t, network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, _ := time.ParseDuration(r.URL.RawQuery)
		time.Sleep(d)
		_, _ = w.Write([]byte("done"))
	}))
	pool := &gtpool.Pool{Dial: network.Dial, Now: time.Now, MaxConns: 10}
	t.Cleanup(pool.Close)
	self := gtmember.NewRecord(name, "z", "", "").WithBackend("lending", "1", 10).WithState(gtmember.Ready)
	addr := serve(t, network, &gthop.Handler{
		Timer: &gttimer.Service{}, MaxBodyBytes: func() int { return 100 },
		LocalBackend: &gthop.LocalBackend{
			Now: time.Now, Self: func() gtmember.Record { return self }, ReadyAt: time.Now, Address: backend, MaxBufferBytes: 1000, Pool: pool,
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 10, Fixed: true}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Trace: (&gttrace.Tracer{}).Start,
		},
	})
	return gtmember.NewRecord(name, "z", addr, addr).WithBackend("lending", "1", 10).WithState(gtmember.Ready)
}

// newEdge returns an edge that knows some peers, with a timeout of 2.5 s.
func newEdge(t *testing.T, network *gtpipe.Network, peers []gtmember.Record) *Edge {
	files := map[string]string{"10.toml": "[service.lending]\nversion = \"1\"\ntimeout = \"2500ms\"\n[route.holds]\nservice = \"lending\"\npath = \"/lending\"\n"}
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	gomega.NewWithT(t).Expect(problems).To(gomega.BeEmpty())
	holder := &gtdelta.Holder{Now: time.Now}
	holder.Offer(gtdelta.NewSnapshot(1, 1, files), cfg)
	pool := &gtpool.Pool{Dial: network.Dial, Now: time.Now, SupportsPing: true, MaxConns: 10}
	t.Cleanup(pool.Close)
	instances := func(string) []gtmember.Record { return peers }
	trace := (&gttrace.Tracer{}).Start
	return &Edge{
		Now: time.Now, MaxHops: 5, MaxBodyBytes: func() int { return 100 }, Split: &gtsplit.Split{Rand: func() float64 { return 0 }}, Holder: holder, Instances: instances,
		Crashes: &gtdedup.Crashes{Now: time.Now}, Retry: &gtretry.Policy{Now: time.Now}, Trace: trace,
		Router:     &gtroute.Router{Now: time.Now, Zone: "z", Rand: func() float64 { return 0 }, Instances: instances},
		Client:     &gthop.Client{Now: time.Now, Pool: pool, MaxBufferBytes: 1000, Trace: trace},
		OnResponse: func(gtcall.Call, error, time.Duration) {}, OnOutcome: func(string, string, string, gtcanary.Outcome) {},
		OnRetry: func(gtcall.Call, string, error, int) {},
	}
}

// A GET on which nothing was received for the keep-alive timeout was given up for another
// attempt, though 0.7 s were left and requests of its route take 1.5 s: the caller got 504
// where the response would have come in time (LOST).
func TestRequestAtWorkIsNotGivenUpForOneWithoutTime(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		peers := []gtmember.Record{serveSilentPeer(t, network, "a"), serveSilentPeer(t, network, "b")}
		e := newEdge(t, network, peers)
		get := func(query string) int {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest("GET", "/lending/x?"+query, nil))
			return w.Code
		}
		for range 5 {
			g.Expect(get("1500ms")).To(gomega.Equal(http.StatusOK))
		}
		g.Expect(get("2200ms")).To(gomega.Equal(http.StatusOK))
	})
}
