package gtway

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// read returns the way of a request in logs, each a name and lines.
func read(g *gomega.WithT, id string, logs map[string]string) Way {
	r := &Reader{ID: id}
	for name, text := range logs {
		g.Expect(r.Read(name, strings.NewReader(text))).To(gomega.Succeed())
	}
	return r.Way()
}

func texts(steps []Step) []string {
	var out []string
	for _, s := range steps {
		out = append(out, s.Text())
	}
	return out
}

const asked = `12.3 a-1 {"node":"a-1","kind":"retry full","request":"7","certainty":"not run","why":"instance b-1: queue is full","instance":"b-1","attempt":1,"left":900,"time":"2026-12-04T10:00:00.002Z","message":"request: tried again"}
not a line of a log
{"node":"a-1","kind":"answer cut","request":"7","certainty":"unknown","why":"instance c-1: read the answer","ms":20,"version":3,"age":100,"time":"2026-12-04T10:00:00.022Z","message":"request: answered"}
{"node":"a-1","kind":"answer none","request":"8","time":"2026-12-04T10:00:00.003Z","message":"request: answered"}
`

const full = `{"kind":"run full","request":"7","certainty":"not run","why":"queue is full","busy":12,"limit":9,"pace":620,"backend":"v1","state":"ready","time":"2026-12-04T10:00:00.002Z","message":"request: came to its server"}
{"time":"2026-12-04T10:00:00.000Z","message":"store: lost","error":"timeout"}
{"time":"2026-12-04T09:00:00.000Z","message":"store: lost","error":"an hour before"}
`

func TestWayIsInOrderAndSaysWhatIsMissing(t *testing.T) {
	g := gomega.NewWithT(t)
	way := read(g, "7", map[string]string{"a-1": asked, "b-1": full})
	g.Expect(texts(way.Steps())).To(gomega.Equal([]string{
		"b-1: full (not run) after 0 ms; the gate had 12 requests for 9 slots, the route took 620 ms there; backend server of version v1, ready: queue is full",
		"a-1: attempt 1 at b-1 failed (full, not run) with 900 ms left, went on to another: instance b-1: queue is full",
		"a-1: answered cut (unknown) after 20 ms, by version 3 of the configuration, in force for 100 ms: instance c-1: read the answer",
	}))
	g.Expect(texts(way.Beside())).To(gomega.Equal([]string{"b-1: store: lost timeout"}))
	g.Expect(way.Missing()).To(gomega.Equal([]string{"the log of c-1, which was asked, is not among these"}))
}

func TestMissingLinesAreNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	way := read(g, "7", map[string]string{"a-1": asked, "b-1": full, "c-1": `{"node":"c-1","message":"node: started"}`})
	g.Expect(way.Missing()).To(gomega.ConsistOf(gomega.HavePrefix("c-1 logged nothing about it")))
	way = read(g, "7", map[string]string{"b-1": full})
	g.Expect(way.Missing()).To(gomega.ConsistOf(gomega.HavePrefix("no line about the answer")))
	way = read(g, "9", map[string]string{"a-1": asked, "b-1": `{"kind":"run full","lines":30,"message":"request: more lines of this kind were left out"}`})
	g.Expect(way.Steps()).To(gomega.BeEmpty())
	g.Expect(way.Missing()).To(gomega.ConsistOf(gomega.And(gomega.ContainSubstring("2 nodes"), gomega.ContainSubstring("30 lines"))))
}

// The failures that docs/OPERATIONS.md explains are explained here too.
func TestDocumentedFailuresAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	way := read(g, "1059", map[string]string{"all": string(page)})
	g.Expect(texts(way.Steps())).To(gomega.ConsistOf(gomega.ContainSubstring("12 requests for 9 slots"), gomega.ContainSubstring("answered full")))
	g.Expect(way.Missing()).To(gomega.BeEmpty())
	_, cut, _ := strings.Cut(string(page), "## Uncertain after a cut")
	cut, back, _ := strings.Cut(cut, "## Sent to a version that was taken back")
	way = read(g, "1", map[string]string{"all": cut})
	g.Expect(texts(way.Steps())).To(gomega.ConsistOf(gomega.ContainSubstring("node-10.0.0.3: cut (unknown)"), gomega.ContainSubstring("answered cut (unknown)")))
	way = read(g, "1", map[string]string{"all": back})
	g.Expect(texts(way.Steps())).To(gomega.ConsistOf(gomega.ContainSubstring("the backend server's 500")))
	g.Expect(texts(way.Beside())).To(gomega.ConsistOf(gomega.ContainSubstring("move r9 is taken back")))
}
