package gtwire

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtsummary"
)

// Summaries must arrive as they were sent, in few bytes.
func TestSummariesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	i := gtsummary.NewInstance("sidecar 12/a", 1733, 3.5, 9).WithLearned(1.25, 6.5, 0.25).
		WithTimes([]gtsummary.RouteTime{gtsummary.NewRouteTime(12345, 110*time.Millisecond, 1), gtsummary.NewRouteTime(7, time.Second, 1)})
	got, err := DecodeInstance(EncodeInstance(i))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(EncodeInstance(got)).To(gomega.Equal(EncodeInstance(i)))
	g.Expect([]any{got.Name(), got.Seq(), got.Busy(), got.Limit(), got.Speed(), got.Concurrency(), got.Slowdown()}).
		To(gomega.Equal([]any{"sidecar 12/a", uint64(1733), 3.5, 9, 1.25, 6.5, 0.25}))
	g.Expect(got.Times()).To(gomega.Equal(i.Times()))
	z := gtsummary.NewZone("midlands-a", 99, 1733, []gtsummary.Service{
		gtsummary.NewService("kabo51", 12.5, 40),
		gtsummary.NewService("pu lo/780", 0, 40).WithTime(gtsummary.NewRouteTime(12345, 110*time.Millisecond, 5)),
	})
	gotZone, err := DecodeZone(EncodeZone(z))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(gotZone).To(gomega.Equal(z))
	g.Expect(len(EncodeZone(z))).To(gomega.BeNumerically("<", 80))
}

// A malformed summary must be refused: it closes the link, as any malformed message.
func TestMalformedSummariesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, s := range []string{
		"", "a", "a 1", "a 1 2", " 1 1/1/1/1/1", "a x 1/1/1/1/1", "a 1 -1/1/1/1/1", "a 1 1/0/1/1/1", "a 1 1/1/0/1/1", "a 1 1/1/1/1/1/5", "a 1 1/1/1/1/1/5/0",
		"a 1 1/1/1/1/1/1/1/1/1/1/1/1/1/1/1", "%zz 1 1/1/1/1/1", strings.Repeat("a", MaxNameBytes+1) + " 1 1/1/1/1/1",
	} {
		_, err := DecodeInstance(s)
		g.Expect(err).To(gomega.HaveOccurred(), s)
	}
	for _, s := range []string{"", "z", "z 1", "z 1/1 s", "z 1/1 s/1", "z 1/1 s/2/1", "z 1/1 s/1/2/3", "z 1/1 /1/2", "z zzzzzzzzzz/1 s/1/2", "z 1/1 s/1/2/1/0/1", "z 1/1 s/1/99999999999"} {
		_, err := DecodeZone(s)
		g.Expect(err).To(gomega.HaveOccurred(), s)
	}
}

func FuzzSummaries(f *testing.F) {
	f.Add("a 1 35/9/125/65/25/12345/1100")
	f.Add("z 2r/1cd kabo51/125/400 pulo/0/400/12345/1100/5")
	f.Fuzz(func(t *testing.T, text string) {
		if i, err := DecodeInstance(text); err == nil {
			if i.Limit() < 1 || i.Speed() <= 0 || i.Busy() < 0 || len(i.Times()) > gtsummary.MaxRoutes {
				t.Fatalf("%q: %+v", text, i)
			}
		}
		if z, err := DecodeZone(text); err == nil {
			for _, s := range z.Services() {
				if s.Spare() < 0 || s.Spare() > s.Capacity() || s.Name() == "" {
					t.Fatalf("%q: %+v", text, s)
				}
			}
		}
	})
}
