package gthop

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtcall"
)

// The backend server must never see an account that the caller wrote there, also while
// the node that took the request had a configuration without accounts.
func TestBackendServerGetsTheAccountOfTheCall(t *testing.T) {
	for name, c := range map[string]struct {
		account string
		inUse   bool
		want    []string
	}{
		"account":                    {"pulo780", true, []string{"pulo780"}},
		"account of a newer version": {"pulo780", false, []string{"pulo780"}},
		"exempt route":               {"", true, nil},
		"configuration without them": {"", false, []string{"forged", "twice"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := &LocalBackend{Now: time.Now, Address: "h:1", HasAccounts: func() bool { return c.inUse }, Dialect: Dialect{AccountField: "X-Account"}}
			call := gtcall.New("i", "GET", "/").WithAccount(c.account).WithHeader(http.Header{"X-Account": {"forged", "twice"}})
			req, err := b.newBackendRequest(call)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(req.Header.Values("X-Account")).To(gomega.Equal(c.want))
			g.Expect(call.Header()["X-Account"]).To(gomega.HaveLen(2), "the header of the call is shared by attempts")
		})
	}
	req, err := (&LocalBackend{Now: time.Now, Address: "h:1"}).newBackendRequest(gtcall.New("i", "GET", "/").WithAccount("pulo780"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(req.Header.Get("Gt-Account")).To(gomega.Equal("pulo780"))
}

// Otherwise one account would get the response to another's request.
func TestAccountsNeverShareIdempotencyKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	c := gtcall.New("i", "POST", "/").WithRoute("s", "r", 0).WithKey("k", false, false)
	g.Expect(keyID(c)).To(gomega.Equal("s k"))
	g.Expect(keyID(c.WithAccount("a"))).NotTo(gomega.Equal(keyID(c.WithAccount("b"))))
}
