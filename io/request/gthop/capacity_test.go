package gthop

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// What a node learns of its backend server must reach the sender, in few bytes: they are
// paid for in calls between availability zones.
func TestCapacityRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	l := gtroute.NewLoad(3, 4)
	c := gtroute.NewCapacity(1.25, 6.5, 0.25).WithServiceTime(110 * time.Millisecond)
	h := http.Header{}
	setCapacity(h, l.WithCapacity(c), 123400*time.Microsecond)
	g.Expect(h.Get(HeaderCapacity)).To(gomega.Equal("125/65/25/110/1234"))
	got := withCapacity(l, h.Get(HeaderCapacity))
	g.Expect(got.Capacity().Speed()).To(gomega.BeNumerically("~", 1.25, 1e-9))
	g.Expect(got.Capacity().Concurrency()).To(gomega.BeNumerically("~", 6.5, 1e-9))
	g.Expect(got.Capacity().Slowdown()).To(gomega.BeNumerically("~", 0.25, 1e-9))
	g.Expect(got.Capacity().ServiceTime()).To(gomega.Equal(110 * time.Millisecond))
	g.Expect(got.Elapsed()).To(gomega.Equal(123400 * time.Microsecond))
	g.Expect(got.Busy()).To(gomega.Equal(3))
	g.Expect(withCapacity(l, "125/65/25/110/1234/7").Capacity()).To(gomega.Equal(got.Capacity()), "a later version may add numbers")
}

// A node that learns nothing, one of an earlier version and a malformed field must leave
// the load as it is.
func TestMissingOrMalformedCapacityIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	l := gtroute.NewLoad(3, 4)
	h := http.Header{}
	setCapacity(h, l, time.Second)
	g.Expect(h).To(gomega.BeEmpty())
	for _, s := range []string{"", "1", "1/2/3/4", "0/0/0/0/0", "-1/0/0/0/0", "x/0/0/0/0", "100/0/0/99999999/0", "100/0/0/0/x", "100/0/0/16777216/0"} {
		g.Expect(withCapacity(l, s)).To(gomega.Equal(l), s)
	}
	g.Expect(ForwardableHeader(http.Header{HeaderCapacity: {"1/2/3/4/5"}})).To(gomega.BeEmpty(), "only a node may set it")
}

func FuzzCapacity(f *testing.F) {
	f.Add("125/65/25/110/1234")
	f.Add("16777217/1/1/1/1")
	f.Add("////")
	f.Fuzz(func(t *testing.T, text string) {
		l := withCapacity(gtroute.NewLoad(1, 2), text)
		c := l.Capacity()
		if c.Speed() < 0 || c.Concurrency() < 0 || c.Slowdown() < 0 || c.ServiceTime() < 0 || c.ServiceTime() > gtconfig.MaxTimeout || l.Elapsed() < 0 {
			t.Fatalf("%q: %+v", text, l)
		}
	})
}
