package gtsettings

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const validSettings = `
[node]
instance = "i1"
zone = "z1"
[backend]
address = "127.0.0.1:9000"
service = "s"
version = "1"
`

func TestSampleParsesAndShowsDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	sample, err := Parse("sample", Sample)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var lines []string
	for _, line := range strings.Split(Sample, "\n") {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(rest, " = ") {
			line = rest
		}
		lines = append(lines, line)
	}
	uncommented, err := Parse("sample", strings.Join(lines, "\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	uncommented.Node.Peers = nil
	g.Expect(uncommented).To(gomega.Equal(sample), "the commented-out values are the defaults")
}

func TestInvalidSettingsReportKeyOrLine(t *testing.T) {
	for text, want := range map[string]string{
		validSettings + "colour = \"red\"\n":                                                                  "x.toml:9: backend.colour: unknown key",
		validSettings + "slots = \"many\"\n":                                                                  "x.toml:9",
		validSettings + "slots = 0\n":                                                                         "backend.slots: must be from 1",
		validSettings + "[listen]\nedge = \"example.org:80\"\n":                                               "listen.edge: expected an IP",
		validSettings + "[listen]\nhop = \"0.0.0.0:7401\"\n":                                                  "listen.hop: listens beyond loopback without [tls]",
		strings.Replace(validSettings, "[node]", "[listen]\npeer = \"0.0.0.0:7402\"\n[node]\nopen = true", 1): "listen.peer: other nodes connect to this address",
		validSettings + "[tls]\ncert = \"x\"\n":                                                               "tls: cert, key and ca go together",
		validSettings + "[duty]\naddress = \"here\"\n":                                                        "duty.address: expected an IP",
		validSettings + "[duty]\nlease = \"10ms\"\n":                                                          "duty.lease: must be from",
		validSettings + "[duty]\nwindow = \"0s\"\n":                                                           "duty.window: must be from",
		validSettings + "[duty]\nlate = \"-1s\"\n":                                                            "duty.late: must be from",
		validSettings + "[duty]\nrate = 0\n":                                                                  "duty.rate: must be from",
		validSettings + "[limit]\ndrain = \"soon\"\n":                                                         "x.toml:10",
		strings.Replace(validSettings, `"i1"`, `""`, 1):                                                       "node.instance: needs 1 to 64",
		strings.Replace(validSettings, `"127.0.0.1:9000"`, `"nine"`, 1):                                       "backend.address: expected an IP",
		validSettings + "[node]\n":                                                                            "x.toml:9",
		validSettings + "[trace]\nratio = 7.0\n":                                                              "trace.ratio: must be from 0 to 1",
		validSettings + "[log]\nlevel = \"loud\"\n":                                                           "log.level: use debug",
		validSettings + "[log]\nlevel = \"\"\n":                                                               "log.level: use debug",
		validSettings + "[log]\nformat = \"xml\"\n":                                                           "log.format: use json or text",
		strings.Replace(validSettings, "[node]", "[node]\npeers=[\"p\"]", 1):                                  "node.peers: expected IPs",
	} {
		g := gomega.NewWithT(t)
		_, err := Parse("x.toml", text)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)), text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[node]\ninstance = 3")
	f.Add("\xff")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse("x", text)
		if err == nil && cfg.Validate() != nil {
			t.Fatal("Parse returned settings that fail Validate")
		}
	})
}
