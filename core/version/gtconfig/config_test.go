package gtconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// linearMatch scans all routes and returns the most specific one that applies.
func linearMatch(cfg *Config, method, host, path string) (Route, bool) {
	for _, r := range cfg.Routes() { // most specific first
		if r.matches(method, host, path) {
			return r, true
		}
	}
	return Route{}, false
}

func TestMatchAgreesWithLinearScan(t *testing.T) {
	paths := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/b", "/a//b"})
	hosts := rapid.SampledFrom([]string{"", "x.example", "y.example"})
	rapid.Check(t, func(t *rapid.T) {
		entries := []Entry{NewEntry("f", 1, "service", "s", "timeout", StringValue("1s"))}
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			name := fmt.Sprintf("r%d", i)
			entries = append(entries, NewEntry("f", 2, "route", name, "service", StringValue("s")),
				NewEntry("f", 2, "route", name, "path", StringValue(paths.Draw(t, "path"))))
			if host := hosts.Draw(t, "host"); host != "" {
				entries = append(entries, NewEntry("f", 2, "route", name, "host", StringValue(host)))
			}
			if rapid.Bool().Draw(t, "method") {
				entries = append(entries, NewEntry("f", 2, "route", name, "method", ListValue([]string{"POST"})))
			}
		}
		cfg, problems := Merge([]File{NewFile("f", entries)})
		if len(problems) > 0 {
			t.Fatalf("the configuration is refused: %s", problems[0])
		}
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "request's method")
		host := hosts.Draw(t, "request's host")
		path := paths.Draw(t, "request's path") + rapid.SampledFrom([]string{"", "/", "/x", "x"}).Draw(t, "rest")
		got, ok := cfg.Match(method, strings.ToUpper(host), path)
		want, wantOK := linearMatch(cfg, method, host, path)
		if ok != wantOK || got.Name() != want.Name() {
			t.Fatalf("%s %s %s: got %q, want %q of %v", method, host, path, got.Name(), want.Name(), cfg.Routes())
		}
	})
}

func TestClassNamesAndPools(t *testing.T) {
	g := gomega.NewWithT(t)
	for c := range Class(ClassCount) {
		g.Expect(ParseClass(c.String())).To(gomega.Equal(c))
	}
	g.Expect(ParseClass("of a later version")).To(gomega.BeNumerically(">", Fast))
	g.Expect(Fast.PoolName()).NotTo(gomega.Equal(Normal.PoolName()))
	g.Expect((Normal + 3).PoolName()).To(gomega.Equal(Normal.PoolName()))
}

// The checksum depends on the entries alone, neither on the files that hold them
// nor on their order, so that nodes that merge the same files agree.
func TestChecksumDependsOnEntriesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	service := NewEntry("a", 1, "service", "s", "timeout", StringValue("1s"))
	other := NewEntry("b", 1, "service", "t", "timeout", StringValue("1s"))
	full, _ := Merge([]File{NewFile("a", []Entry{service, other})})
	reordered, _ := Merge([]File{NewFile("b", []Entry{other}), NewFile("a", []Entry{service})})
	partial, _ := Merge([]File{NewFile("a", []Entry{service})})
	g.Expect(full.Checksum()).To(gomega.Equal(reordered.Checksum()))
	g.Expect(full.Checksum()).NotTo(gomega.Equal(partial.Checksum()))
	g.Expect(Empty().ServiceCount()).To(gomega.BeZero())
}

// A target out of range must be reported, as a timeout is, and a missing one be 0.
func TestRouteTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	merge := func(entries ...Entry) (*Config, []Problem) {
		return Merge([]File{NewFile("f", append(entries,
			NewEntry("f", 1, "service", "s", "timeout", StringValue("1s")),
			NewEntry("f", 2, "route", "r", "service", StringValue("s")),
			NewEntry("f", 3, "route", "r", "path", StringValue("/"))))})
	}
	cfg, problems := merge()
	g.Expect(problems).To(gomega.BeEmpty())
	g.Expect(cfg.Routes()[0].Target()).To(gomega.BeZero())
	cfg, problems = merge(NewEntry("f", 4, "route", "r", "target", StringValue("250ms")))
	g.Expect(problems).To(gomega.BeEmpty())
	g.Expect(cfg.Routes()[0].Target()).To(gomega.Equal(250 * time.Millisecond))
	for _, text := range []string{"0s", "-1s", "250", "11m"} {
		_, problems = merge(NewEntry("f", 4, "route", "r", "target", StringValue(text)))
		g.Expect(problems).To(gomega.HaveLen(1), text)
		g.Expect(problems[0].String()).To(gomega.HavePrefix("f:4: route.r.target: "))
	}
}
