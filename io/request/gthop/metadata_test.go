package gthop

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// callerDialect takes request IDs from a header field of the callers.
var callerDialect = Dialect{
	RequestID:           func(r *http.Request) string { return r.Header.Get("Caller-Id") },
	BackendHeaderFields: []string{"Caller-Left"},
}

func TestCallMetadataRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z /%\-]{1,12}`)
		flag := rapid.Bool()
		c := gtcall.New(text.Draw(t, "id"), "POST", "/x?y=1").
			WithRoute(text.Draw(t, "service"), text.Draw(t, "route"), rapid.SampledFrom([]gtconfig.Class{gtconfig.Fast, gtconfig.Normal, gtconfig.Normal + 3}).Draw(t, "class")).
			WithAccount(rapid.SampledFrom([]string{"", "pulo780", "a b/%ö"}).Draw(t, "account")).
			WithVersion(rapid.SampledFrom([]string{"", "1", "v 2/%"}).Draw(t, "version")).
			WithIdempotent(flag.Draw(t, "idempotent")).WithKey("k", flag.Draw(t, "resend"), flag.Draw(t, "released by all")).
			WithRetry(flag.Draw(t, "retry")).WithHops(rapid.IntRange(0, 20).Draw(t, "hops")).WithCrashes(rapid.IntRange(0, 2).Draw(t, "crashes")).
			WithDeadline(now.Add(250 * time.Millisecond)).WithBody([]byte("b")).
			WithCaller(rapid.SampledFrom([]string{"", "lending", "l /%"}).Draw(t, "caller")).WithNested(flag.Draw(t, "nested"))
		if flag.Draw(t, "target") {
			c = c.WithDueAt(now.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "until target")) * time.Millisecond))
		}
		if flag.Draw(t, "lookup only") {
			c = c.WithLookupOnly()
		}
		r, err := http.NewRequest("POST", "http://h/x?y=1", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(HeaderIdempotencyKey, "k")
		r.Header.Set("Caller-Id", rapid.SampledFrom([]string{c.ID(), "another", ""}).Draw(t, "caller's id"))
		instance := text.Draw(t, "instance")
		callerDialect.encodeCall(r, c, instance, now)
		meta, err := callerDialect.decodeMeta(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeCall(r, meta, []byte("b"), now)
		if err != nil {
			t.Fatal(err)
		}
		gomega.NewWithT(t).Expect(got.WithHeader(nil)).To(gomega.Equal(c.WithHeader(nil)))
		gomega.NewWithT(t).Expect(meta[metaInstance]).To(gomega.Equal(instance))
	})
}

// The time to wait of a refusal reaches the node that the caller is connected to. Peers that
// don't know the field, or send nonsense, leave the error as it is.
func TestWaitCrossesAHop(t *testing.T) {
	g := gomega.NewWithT(t)
	refusal := gtkind.New(gtkind.Full, "no room")
	h := http.Header{}
	setWait(h, refusal)
	g.Expect(h).To(gomega.BeEmpty())
	setWait(h, gtkind.WithWait(refusal, 137*time.Millisecond))
	g.Expect(h).To(gomega.Equal(http.Header{"Gt-Wait": {"137"}}))
	wait, ok := gtkind.WaitOf(withWait(gtkind.New(gtkind.Full, "instance i: no room"), h))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.Equal(137 * time.Millisecond))
	for _, v := range []string{"", "-1", "x", "99999999999"} {
		_, ok := gtkind.WaitOf(withWait(refusal, http.Header{"Gt-Wait": {v}}))
		g.Expect(ok).To(gomega.BeFalse(), v)
	}
	g.Expect(ForwardableHeader(http.Header{"Gt-Wait": {"1"}, "Gt-Caller": {"s"}, "Gt-Target": {"1"}})).To(gomega.BeEmpty(), "only nodes may set them")
}

func TestHopForwardsCallerHeader(t *testing.T) {
	g := gomega.NewWithT(t)
	c := gtcall.New("id-1", "GET", "/").WithRoute("s", "r", gtconfig.Normal).WithDeadline(time.Unix(1001, 0))
	r, err := http.NewRequest("GET", "http://h/", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, f := range []string{"X-Private", "X-Public", "Caller-Left", HeaderRemaining, HeaderHops} {
		r.Header.Set(f, "2")
	}
	r.Header.Set("Connection", "X-Private")
	callerDialect.encodeCall(r, c, "i", time.Unix(1000, 0))
	meta, err := callerDialect.decodeMeta(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := decodeCall(r, meta, nil, time.Unix(1000, 0))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Header()).To(gomega.Equal(http.Header{"X-Public": {"2"}}))
}

// Every byte that a hop adds is paid for in calls between availability zones.
func TestHopMetadataIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	c := gtcall.New("a6ef38844d07e824", "GET", "/").WithRoute("catalogue", "r-xjh497g", gtconfig.Normal+3).
		WithIdempotent(false).WithDeadline(time.Unix(1000, 0).Add(596 * time.Millisecond))
	r, err := http.NewRequest("GET", "http://h/", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Caller-Id", c.ID())
	callerDialect.encodeCall(r, c, "sidecar-norte-b-3", time.Unix(1000, 0))
	g.Expect(len(r.Header.Get(HeaderCall))).To(gomega.BeNumerically("<", 64))
	g.Expect(len(encodeResponseMeta(responseMeta{id: c.ID(), load: gtroute.NewLoad(16, 12).WithServiceTime(88 * time.Millisecond)}))).To(gomega.BeNumerically("<", 32))
}

func TestResponseMetadataRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, k := range gtkind.All() {
		r := responseMeta{id: "a/b %", load: gtroute.NewLoad(3, 4).WithServiceTime(20 * time.Millisecond).WithErrorRate(0.25), kind: k}
		g.Expect(decodeResponseMeta(encodeResponseMeta(r))).To(gomega.Equal(r))
	}
	for _, s := range []string{"", "id", "id/1/2/3/4", "id/1/2/3/4/5/6", "%zz/1/2/3/4/"} {
		g.Expect(decodeResponseMeta(s)).To(gomega.Equal(responseMeta{}), s)
	}
	for _, s := range []string{"id/-1/2/3/4/", "id/1/0/3/4/", "id/1/2/3/101/", "id/1/2/999999999/4/", "id/x/2/3/4/"} {
		g.Expect(decodeResponseMeta(s)).To(gomega.Equal(responseMeta{id: "id"}), s)
	}
}

func FuzzDecodeCall(f *testing.F) {
	f.Add("POST /x HTTP/1.1\r\nHost: a\r\nGt-Call: 1/i/100/o/fast/s/r/0/0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nGt-Call: 1/i/-9223372036854775808//normal/s/r/x/0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nCaller-Id: 7\r\nGt-Call: /i/1//normal/s/r/0/0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nConnection: Gt-Call, , x\r\nGt-Call: %/////////\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		meta, err := callerDialect.decodeMeta(r)
		if err != nil {
			return
		}
		c, err := decodeCall(r, meta, nil, now)
		if err == nil && (c.ID() == "" || c.Service() == "" || c.Deadline().Sub(now) > gtconfig.MaxTimeout) {
			t.Fatalf("call %+v", c)
		}
	})
}

func FuzzRemainingTime(f *testing.F) {
	for _, s := range []string{"1200", "-1", "9223372036854775807", "x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, ok := remainingTime(&http.Request{Header: http.Header{HeaderRemaining: {text}}})
		if !ok && d != 0 || d < 0 || d > gtconfig.MaxTimeout {
			t.Fatalf("%q: %s, %v", text, d, ok)
		}
	})
}

func FuzzDecodeResponseMeta(f *testing.F) {
	f.Add("id/1/2/3/4/full")
	f.Add("%zz/1/2/3/4/")
	f.Add("id/9223372036854775807/1/9223372036854775807/100/")
	f.Fuzz(func(t *testing.T, text string) {
		r := decodeResponseMeta(text)
		if r.load.Limit() < 0 || r.load.Busy() < 0 || r.load.ServiceTime() > gtconfig.MaxTimeout {
			t.Fatalf("response metadata %+v", r)
		}
	})
}
