package gtconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// naiveMatch looks at every route and keeps the most specific that fits.
func naiveMatch(cfg *Config, method, host, path string) (Route, bool) {
	for _, r := range cfg.Routes() { // the most specific first
		if r.matches(method, host, path) {
			return r, true
		}
	}
	return Route{}, false
}

func TestMatchIsAsTheNaiveOne(t *testing.T) {
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
				entries = append(entries, NewEntry("f", 2, "route", name, "methods", ListValue([]string{"POST"})))
			}
		}
		cfg, problems := Merge([]File{NewFile("f", entries)})
		if len(problems) > 0 {
			return // two routes for the same requests
		}
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "request's method")
		host := hosts.Draw(t, "request's host")
		path := paths.Draw(t, "request's path") + rapid.SampledFrom([]string{"", "/", "/x", "x"}).Draw(t, "rest")
		got, ok := cfg.Match(method, strings.ToUpper(host), path)
		want, fits := naiveMatch(cfg, method, host, path)
		if ok != fits || got.Name() != want.Name() {
			t.Fatalf("%s %s %s: got %q, want %q of %v", method, host, path, got.Name(), want.Name(), cfg.Routes())
		}
	})
}

func TestClassesHaveNames(t *testing.T) {
	g := gomega.NewWithT(t)
	for c := range Class(Classes) {
		g.Expect(ParseClass(c.String())).To(gomega.Equal(c))
	}
	g.Expect(ParseClass("of a later version")).To(gomega.BeNumerically(">", Fast))
	g.Expect(Fast.Lane()).NotTo(gomega.Equal(Normal.Lane()))
	g.Expect((Normal + 3).Lane()).To(gomega.Equal(Normal.Lane()))
}

// The same entries make the same configuration and checksum, in whatever files
// and order they stand.
func TestSumIsThatOfTheContent(t *testing.T) {
	g := gomega.NewWithT(t)
	service := NewEntry("a", 1, "service", "s", "timeout", StringValue("1s"))
	other := NewEntry("b", 1, "service", "t", "timeout", StringValue("1s"))
	one, _ := Merge([]File{NewFile("a", []Entry{service, other})})
	two, _ := Merge([]File{NewFile("b", []Entry{other}), NewFile("a", []Entry{service})})
	three, _ := Merge([]File{NewFile("a", []Entry{service})})
	g.Expect(one.Sum()).To(gomega.Equal(two.Sum()))
	g.Expect(one.Sum()).NotTo(gomega.Equal(three.Sum()))
	g.Expect(Empty().Services()).To(gomega.BeZero())
}
