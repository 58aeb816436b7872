package gtfolder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"godwittide/core/version/gtconfig"
)

func merge(files map[string]string) (*gtconfig.Config, []gtconfig.Problem) {
	return (&Parser{}).Merge(files)
}

// naiveMerge merges the decoded trees key by key in the order of file names,
// without checks.
func naiveMerge(files map[string]string) map[string]any {
	out := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		var tree map[string]any
		if toml.Unmarshal([]byte(files[name]), &tree) != nil {
			return nil
		}
		mergeInto(out, tree)
	}
	return out
}

func mergeInto(into, from map[string]any) {
	for k, v := range from {
		sub, ok := v.(map[string]any)
		old, had := into[k].(map[string]any)
		if ok && had {
			mergeInto(old, sub)
			continue
		}
		if ok {
			fresh := map[string]any{}
			mergeInto(fresh, sub)
			v = fresh
		}
		into[k] = v
	}
}

// drawFile returns a random file that decodes without problems.
func drawFile(t *rapid.T) string {
	var b strings.Builder
	for _, s := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "services") {
		fmt.Fprintf(&b, "[service.%s]\n", s)
		if rapid.Bool().Draw(t, "version") {
			fmt.Fprintf(&b, "version = %q\n", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "v"))
		}
		fmt.Fprintf(&b, "timeout = %q\n", rapid.SampledFrom([]string{"1s", "250ms"}).Draw(t, "t"))
	}
	for _, r := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"r1", "r2"}), 0, 2, rapid.ID).Draw(t, "routes") {
		fmt.Fprintf(&b, "[route.%s]\npath = %q\n", r, rapid.SampledFrom([]string{"/x", "/x/y", "/"}).Draw(t, "path"))
		fmt.Fprintf(&b, "service = %q\n", rapid.SampledFrom([]string{"a", "b", "c", "nobody"}).Draw(t, "s"))
	}
	return b.String()
}

// Merge must give the same services, versions and routes as a naive merge, and
// must fail exactly when a route names an unknown service.
func TestMergeAgreesWithNaiveMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := map[string]string{}
		for i := range rapid.IntRange(1, 4).Draw(t, "files") {
			files[fmt.Sprintf("%d.toml", i)] = drawFile(t)
		}
		want := naiveMerge(files)
		services, _ := want["service"].(map[string]any)
		routes, _ := want["route"].(map[string]any)
		invalid := false
		for _, r := range routes {
			_, known := services[fmt.Sprint(r.(map[string]any)["service"])]
			invalid = invalid || !known
		}
		cfg, problems := merge(files)
		if invalid != (len(problems) > 0) {
			t.Fatalf("expected problems: %v, got %v", invalid, problems)
		}
		if invalid {
			if cfg != nil {
				t.Fatal("a configuration was returned together with problems")
			}
			return
		}
		for name, v := range services {
			s, ok := cfg.Service(name)
			version, _ := v.(map[string]any)["version"].(string)
			if !ok || s.Version() != version {
				t.Fatalf("service %s has version %q, expected %q", name, s.Version(), version)
			}
		}
		for _, r := range cfg.Routes() {
			if _, ok := cfg.Service(r.Service(0)); !ok {
				t.Fatalf("route %s names a service that is missing", r.Name())
			}
			if routes[r.Name()].(map[string]any)["service"] != r.Service(0) {
				t.Fatalf("route %s goes to %s", r.Name(), r.Service(0))
			}
		}
		if len(cfg.Routes()) != len(routes) || cfg.ServiceCount() != len(services) {
			t.Fatal("routes or services are missing")
		}
		again, _ := merge(files)
		if again.Checksum() != cfg.Checksum() {
			t.Fatal("the same files gave different checksums")
		}
	})
}

func TestProblemsNameFileLineAndKey(t *testing.T) {
	cases := map[string]string{
		"[service.a]\ntimeout = 5\n":                                                               `x.toml:2: service.a.timeout: expected a string, found a number`,
		"[service.a]\ncolour = \"red\"\n":                                                          `x.toml:2: service.a.colour: unknown key "colour"`,
		"[servcie.a]\nversion = \"1\"\n":                                                           `x.toml:2: servcie.a.version: unknown section "servcie"`,
		"[service.a]\nversion = \"1\"\nversion = \"2\"\n":                                          `x.toml:3`,
		"[service.a]\ntimeout = \"-1s\"\n":                                                         `x.toml:2: service.a.timeout: expected a duration`,
		"[service.a]\nversion=\"1\"\n[route.r]\nservice = \"b\"\npath = \"/\"\n":                   `x.toml:4: route.r.service: unknown service "b"`,
		"[service.a]\nversion=\"1\"\n[route.r]\nservice = \"a\"\npath = \"x\"\n":                   `x.toml:5: route.r.path`,
		"[service.a]\nversion=\"1\"\n[route.r]\npath = \"/\"\n":                                    `x.toml:4: route.r.service: a route needs a service`,
		"[service.a]\nversion=\"1\"\n[move.m]\nservice=\"a\"\nfrom=\"1\"\nto=\"1\"\n":              `x.toml:6: move.m.to: from and to are the same version`,
		"[service.a]\nversion=\"1\"\n[move.m]\nservice=\"a\"\nfrom=\"1\"\nto=\"2\"\nstart=1.5\n":   `x.toml:7: move.m.start: the share`,
		"[zone.z1]\nout = \"yes\"\n":                                                               `x.toml:2: zone.z1.out: expected a true or false`,
		"service = 3\n":                                                                            `x.toml:1: service: write it as [service.NAME]`,
		"[service.a]\nversion = {x = 1}\n":                                                         `x.toml:2: service.a.version.x: unknown key`,
		"[service.a]\nversion=\"1\"\n[route.r]\nservice=\"a\"\npath=\"/\"\nmethod=[\"get\"]\n":     `x.toml:6: route.r.method`,
		"[service.a]\nversion=\"1\"\n[route.r]\nservice=\"a\"\npath=\"/\"\nclass=\"slow\"\n":       `x.toml:6: route.r.class: unknown class "slow"`,
		"[service.a]\nversion=\"1\"\n[move.m]\nservice=\"a\"\nfrom=\"1\"\nto=\"2\"\nby=\"soon\"\n": `x.toml:7: move.m.by: expected a date and time`,
	}
	for text, want := range cases {
		g := gomega.NewWithT(t)
		cfg, problems := merge(map[string]string{"x.toml": text})
		g.Expect(cfg).To(gomega.BeNil())
		var all []string
		for _, p := range problems {
			all = append(all, p.String())
		}
		g.Expect(strings.Join(all, "\n")).To(gomega.ContainSubstring(want), text)
	}
}

func TestLaterFileOverridesByKey(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg, problems := merge(map[string]string{
		"20.toml": "[service.a]\nversion = \"2\"\n",
		"10.toml": "[service.a]\nversion = \"1\"\ntimeout = \"3s\"\n",
	})
	g.Expect(problems).To(gomega.BeEmpty())
	s, _ := cfg.Service("a")
	g.Expect(s.Version()).To(gomega.Equal("2"))
	g.Expect(s.Timeout().String()).To(gomega.Equal("3s"))
}

func TestMatchPrefersTheMostSpecificRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg, problems := merge(map[string]string{"x.toml": `
[service.a]
version = "1"
[route.all]
service = "a"
path = "/"
[route.deep]
service = "a"
path = "/x/y"
[route.post]
service = "a"
path = "/x/y"
method = ["POST"]
`})
	g.Expect(problems).To(gomega.BeEmpty())
	for target, want := range map[string]string{"GET /": "all", "GET /x/yz": "all", "GET /x/y": "deep", "GET /x/y/z": "deep", "POST /x/y": "post"} {
		method, path, _ := strings.Cut(target, " ")
		r, ok := cfg.Match(method, "h", path)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(r.Name()).To(gomega.Equal(want), target)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "[service.a]\nversion = \"1\"", "a = [1, {b = 2}]", "[[x]]\ny.z = 1", "\x00", "[service.a]\ntimeout = 1979-05-27"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		cfg, problems := merge(map[string]string{"x.toml": text})
		if (cfg == nil) == (len(problems) == 0) {
			t.Fatalf("expected either a configuration or problems for %q", text)
		}
	})
}

// The decoder's messages quote values, and a file with accounts holds keys.
func TestSyntaxErrorsNeverHoldKeys(t *testing.T) {
	const secret = "98765432109876543210"
	for _, value := range []string{"[" + secret + "]", "[" + secret + "e999999]", `["` + secret, secret + "x", `["x" "` + secret + `"]`} {
		g := gomega.NewWithT(t)
		_, problems := (&Parser{}).Merge(map[string]string{"a.toml": "[account.a]\nkeys = " + value + "\n"})
		g.Expect(problems).NotTo(gomega.BeEmpty())
		texts := strings.Join(FormatProblems(problems), "\n")
		g.Expect(texts).To(gomega.HavePrefix("a.toml:2: "), value)
		g.Expect(texts).NotTo(gomega.ContainSubstring(secret))
	}
}
