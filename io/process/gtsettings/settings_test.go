package gtsettings

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const good = `
[node]
instance = "i1"
zone = "z1"
[backend]
address = "127.0.0.1:9000"
service = "s"
version = "1"
`

func TestSampleIsRightAndShowsTheDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	sample, err := Parse("sample", Sample)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var all []string
	for _, line := range strings.Split(Sample, "\n") {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(rest, " = ") {
			line = rest
		}
		all = append(all, line)
	}
	shown, err := Parse("sample", strings.Join(all, "\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shown.Node.Peers = nil
	g.Expect(shown).To(gomega.Equal(sample), "what the comments show is what holds")
}

func TestBadSettingsAreRefusedWithTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		good + "colour = \"red\"\n":                    "x.toml:9: backend.colour: unknown key",
		good + "slots = \"many\"\n":                    "x.toml:9",
		good + "slots = 0\n":                           "backend.slots: must be from 1",
		good + "[listen]\nedge = \"example.org:80\"\n": "listen.edge: expected an IP",
		good + "[listen]\nhop = \"0.0.0.0:7401\"\n":    "listen.hop: listens beyond loopback without [tls]",
		strings.Replace(good, "[node]", "[listen]\npeer = \"0.0.0.0:7402\"\n[node]\nopen = true", 1): "listen.peer: other nodes connect to this address",
		good + "[tls]\ncert = \"x\"\n":                              "tls: cert, key and ca go together",
		good + "[limit]\ndrain = \"soon\"\n":                        "x.toml:10",
		strings.Replace(good, `"i1"`, `""`, 1):                      "node.instance: needs 1 to 64",
		strings.Replace(good, `"127.0.0.1:9000"`, `"nine"`, 1):      "backend.address: expected an IP",
		good + "[node]\n":                                           "x.toml:9",
		good + "[trace]\nratio = 7.0\n":                             "trace.ratio: must be from 0 to 1",
		strings.Replace(good, "[node]", "[node]\npeers=[\"p\"]", 1): "node.peers: expected IPs",
	} {
		g := gomega.NewWithT(t)
		_, err := Parse("x.toml", text)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)), text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("[node]\ninstance = 3")
	f.Add("\xff")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse("x", text)
		if err == nil && cfg.Check() != nil {
			t.Fatal("settings that fail their check were returned")
		}
	})
}
