package gtedge

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/io/process/gttrace"
	"godwittide/io/version/gtfolder"
)

const accountFolder = `
[service.lending]
version = "1"
[route.holds]
service = "lending"
path = "/lending"
rank = 5
[route.health]
service = "lending"
path = "/health"
open = true
[account.pulo780]
keys = ["k1"]
rank = 2
`

// unreadable fails the test if a request's body is read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, errors.New("the body was read")
}

// newAccountEdge returns an edge with the given folder and without instances. It stores
// the last call and its error.
func newAccountEdge(t *testing.T, folder string, last *gtcall.Call, lastErr *error) *Edge {
	t.Helper()
	files := map[string]string{"10.toml": folder}
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	holder := &gtdelta.Holder{Now: time.Now}
	holder.Offer(gtdelta.NewSnapshot(1, 1, files), cfg)
	noInstances := func(string) []gtmember.Record { return nil }
	return &Edge{
		Now: time.Now, MaxHops: 5, MaxBodyBytes: 100, Split: &gtsplit.Split{Rand: func() float64 { return 0 }}, Holder: holder, Instances: noInstances, Crashes: &gtdedup.Crashes{Now: time.Now},
		Retry: &gtretry.Policy{Now: time.Now}, Router: &gtroute.Router{Now: time.Now, Instances: noInstances},
		Trace:      (&gttrace.Tracer{}).Start,
		OnResponse: func(c gtcall.Call, err error, _ time.Duration) { *last, *lastErr = c, err },
	}
}

// A caller without a valid key must not make the node hold its body.
func TestKeyIsCheckedBeforeTheBodyIsRead(t *testing.T) {
	for name, keys := range map[string][]string{"none": nil, "unknown": {"k2"}, "empty": {""}, "two": {"k1", "k1"}, "scheme": {"Bearer k1"}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var c gtcall.Call
			var err error
			e := newAccountEdge(t, accountFolder, &c, &err)
			r := httptest.NewRequest("POST", "/lending/x", unreadable{t})
			r.Header["Gt-Key"] = keys
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			g.Expect(w.Code).To(gomega.Equal(401))
			g.Expect(w.Header().Get("Gt-Kind")).To(gomega.Equal("unauthenticated"))
			g.Expect(w.Header().Get("Gt-Certainty")).To(gomega.Equal("not run"))
			g.Expect(w.Header()).NotTo(gomega.HaveKey("Retry-After"))
			g.Expect(c.Route()).To(gomega.Equal("holds"))
			g.Expect(c.ID()).NotTo(gomega.BeEmpty())
			g.Expect(gtkind.Detail(err)).NotTo(gomega.ContainSubstring("k2"))
		})
	}
}

func TestCallHasAccountAndItsRank(t *testing.T) {
	g := gomega.NewWithT(t)
	var c gtcall.Call
	var err error
	send := func(e *Edge, path string) {
		r := httptest.NewRequest("GET", path, nil)
		r.Header.Set("Gt-Key", "k1")
		r.Header.Set("Gt-Account", "another")
		e.ServeHTTP(httptest.NewRecorder(), r)
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.NoBackend))
	}
	e := newAccountEdge(t, accountFolder, &c, &err)
	send(e, "/lending/x")
	g.Expect(c.Account()).To(gomega.Equal("pulo780"))
	g.Expect(c.Class()).To(gomega.Equal(gtconfig.Normal + 2))
	g.Expect(c.Header()).NotTo(gomega.HaveKey("Gt-Key"))
	g.Expect(c.Header()).NotTo(gomega.HaveKey("Gt-Account"))
	send(e, "/health")
	g.Expect(c.Account()).To(gomega.BeEmpty())
	g.Expect(c.Header()).NotTo(gomega.HaveKey("Gt-Key"))
	without := newAccountEdge(t, "[service.s]\ntimeout = \"1s\"\n[route.r]\nservice = \"s\"\npath = \"/\"\nrank = 5\n", &c, &err)
	send(without, "/x")
	g.Expect(c.Account()).To(gomega.BeEmpty())
	g.Expect(c.Class()).To(gomega.Equal(gtconfig.Normal + 5))
	g.Expect(c.Header().Get("Gt-Key")).To(gomega.Equal("k1"), "a field like any other")
}
