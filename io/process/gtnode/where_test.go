package gtnode

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtaccount"
	"godwittide/core/version/gtdelta"
	"godwittide/io/process/gtsettings"
	"godwittide/io/version/gtfolder"
)

// newWhereNode returns a node, not started, with a backend server of service s and another
// server in zone z2.
func newWhereNode(g *gomega.WithT) *Node {
	n := &Node{Settings: gtsettings.Default(), Log: zerolog.Nop()}
	n.Settings.Node.Instance, n.Settings.Node.Zone = "i", "z1"
	n.Settings.Backend.Service, n.Settings.Backend.Version, n.Settings.Backend.Slots = "s", "1", 10
	n.Settings.Account.StrictRevoke = false
	n.timer = &gttimer.Service{Now: time.Now}
	n.startTime = n.timer.Time()
	n.buildTables()
	n.buildRequestPath()
	files := map[string]string{"10.toml": "[service.s]\ntimeout = \"1s\"\n[service.t]\n" +
		"[route.r]\npath = \"/a\"\nservice = \"s\"\n" +
		"[account.acme]\nkeys = [\"" + gtaccount.DigestOf("secret-of-acme").String() + "\"]\nrank = 1\n"}
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	g.Expect(problems).To(gomega.BeEmpty())
	n.holder.Offer(gtdelta.NewSnapshot(7, 1, files), cfg)
	n.table.SetSelf(n.table.Self().WithState(gtmember.Ready))
	n.table.Merge(gtmember.NewRecord("j", "z2", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready))
	return n
}

// getWhere queries the page.
func getWhere(g *gomega.WithT, n *Node, query url.Values) (out Where, body string) {
	w := httptest.NewRecorder()
	n.adminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/where?"+query.Encode(), nil))
	g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(json.Unmarshal(w.Body.Bytes(), &out)).To(gomega.Succeed())
	return out, w.Body.String()
}

// The page must tell the route, the candidates and what the gate does, for the zone and
// account that were asked for, and no key.
func TestWherePage(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newWhereNode(g)
	out, body := getWhere(g, n, url.Values{"host": {"h"}, "path": {"/a/b"}, "account": {"acme"}})
	g.Expect(out.Refused).To(gomega.BeNil(), body)
	g.Expect([]any{out.Route, out.Zone, out.Account, out.Config}).To(gomega.Equal([]any{"r", "z1", "acme", int64(7)}))
	g.Expect(out.Services).To(gomega.HaveLen(1))
	s := out.Services[0]
	g.Expect([]any{s.Service, s.Share, s.By, len(s.Candidates)}).To(gomega.Equal([]any{"s", 1.0, "load", 2}))
	g.Expect([]any{s.Candidates[0].Instance, s.Candidates[0].Best, s.Candidates[0].Local}).To(gomega.Equal([]any{"i", true, true}))
	g.Expect(s.Gate).To(gomega.Equal(&WhereGate{Does: "run"}))
	g.Expect(body).NotTo(gomega.ContainSubstring("sha256"))
	g.Expect(body).NotTo(gomega.ContainSubstring("secret"))

	out, _ = getWhere(g, n, url.Values{"path": {"/a"}, "account": {"acme"}, "zone": {"z2"}})
	g.Expect(out.Services[0].Candidates[0].Instance).To(gomega.Equal("j"))

	for _, test := range []struct {
		path, account, kind string
	}{{"/a", "", "unauthenticated"}, {"/a", "secret-of-acme", "unauthenticated"}, {"/none", "acme", "noroute"}} {
		out, body = getWhere(g, n, url.Values{"path": {test.path}, "account": {test.account}})
		g.Expect(body).NotTo(gomega.ContainSubstring("secret"), "a key that was given as an account")
		g.Expect(out.Refused).NotTo(gomega.BeNil())
		g.Expect(out.Refused.Kind).To(gomega.Equal(test.kind))
	}

	n.gate.Close(gtkind.Leaving)
	out, _ = getWhere(g, n, url.Values{"path": {"/a"}, "account": {"acme"}})
	g.Expect(out.Services[0].Gate.Does).To(gomega.Equal("refuse"))
	g.Expect(out.Services[0].Gate.Refused.Kind).To(gomega.Equal("leaving"))
}

// Asking must change no counter: operators ask while they look at the metrics.
func TestWhereChangesNoCounter(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newWhereNode(g)
	metrics := func() string {
		var b bytes.Buffer
		g.Expect(n.metrics.Write(&b)).To(gomega.Succeed())
		return b.String()
	}
	counts := func() []any {
		byLoad, byEstimate, other := n.router.Choices()
		return []any{byLoad, byEstimate, other, n.gate.Refused(), n.gate.Load("r"), n.accounts.Counts("acme"), n.requests.Counts(), metrics()}
	}
	before := counts()
	for range 20 {
		getWhere(g, n, url.Values{"path": {"/a"}, "account": {"acme"}})
		getWhere(g, n, url.Values{"path": {"/a"}})
	}
	g.Expect(counts()).To(gomega.Equal(before))
}
