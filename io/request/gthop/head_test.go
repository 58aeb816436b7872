package gthop

import (
	"bufio"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

func TestCallsSurviveTheHop(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	c := gtcall.New("id-1", "POST", "/x?y=1").WithRoute("s", "r", gtconfig.Fast).WithIdempotent(false).WithKey("k", true, true).
		WithNested(true).WithHops(3).WithCrashes(1).WithDeadline(now.Add(250 * time.Millisecond)).WithFind().WithBody([]byte("b"))
	r, _ := http.NewRequest("POST", "http://h/x?y=1", nil)
	r.Header.Set("Connection", "X-Private")
	r.Header.Set("X-Private", "1")
	r.Header.Set("X-Public", "2")
	encodeCall(r.Header, c, "i", now)
	got, err := decodeCall(r, []byte("b"), now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.WithHeader(nil)).To(gomega.Equal(c.WithHeader(nil)))
	g.Expect(got.Header()).To(gomega.HaveKey("X-Public"))
	g.Expect(got.Header()).NotTo(gomega.HaveKey("X-Private"))
	g.Expect(got.Header()).NotTo(gomega.HaveKey("Connection"))
}

func TestKindsRowsAreComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, k := range gtkind.All() {
		g.Expect(k.Row().Name()).NotTo(gomega.BeEmpty())
		g.Expect(k.Row().Status()).To(gomega.BeNumerically(">=", 400))
		g.Expect(gtkind.Parse(k.Row().Name())).To(gomega.Equal(k))
		g.Expect(gtkind.Of(gtkind.New(k, "x"))).To(gomega.Equal(k))
	}
}

// naiveClean deletes the fields one by one from a whole copy.
func naiveClean(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, f := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(f))
		}
	}
	for _, f := range append(connectionFields, hopFields...) {
		out.Del(f)
	}
	return out
}

func TestCleanIsAsTheNaiveOne(t *testing.T) {
	fields := append([]string{"X-Private", "x-public", "Accept", HeaderLeft, HeaderKey}, append(connectionFields, hopFields...)...)
	rapid.Check(t, func(t *rapid.T) {
		h := http.Header{}
		for _, f := range rapid.SliceOfN(rapid.SampledFrom(fields), 0, 12).Draw(t, "fields") {
			value := rapid.SampledFrom([]string{"", "1", "close", "x-private, Accept", ", gt-left ,X-Public"}).Draw(t, "value")
			h.Add(f, value)
		}
		was := h.Clone()
		got := Clean(h)
		if want := naiveClean(was); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("%v: got %v, want %v", was, got, want)
		}
		got.Set("Accept", "changed")
		if !maps.EqualFunc(h, was, slices.Equal) {
			t.Fatalf("%v was changed to %v", was, h)
		}
	})
}

func FuzzDecodeCall(f *testing.F) {
	f.Add("POST /x HTTP/1.1\r\nHost: a\r\nGt-Id: 1\r\nGt-Service: s\r\nGt-Left: 100\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nGt-Id: 1\r\nGt-Service: s\r\nGt-Left: -9223372036854775808\r\nGt-Hops: x\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nConnection: Gt-Id, , x\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		c, err := decodeCall(r, nil, now)
		if err == nil && (c.ID() == "" || c.Deadline().Sub(now) > gtconfig.MaxTimeout) {
			t.Fatalf("call %+v", c)
		}
		_ = decodeLoad(r.Header.Get(HeaderLoad))
	})
}
