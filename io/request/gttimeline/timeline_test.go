package gttimeline

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// readLogs returns the timeline of a request from logs, which are given by name.
func readLogs(g *gomega.WithT, id string, logs map[string]string) Timeline {
	r := &Reader{ID: id}
	for name, text := range logs {
		g.Expect(r.Read(name, strings.NewReader(text))).To(gomega.Succeed())
	}
	return r.Timeline()
}

func texts(events []Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.Text())
	}
	return out
}

const edgeLog = `12.3 a-1 {"node":"a-1","kind":"retry full","request":"7","certainty":"not run","why":"instance b-1: queue is full","instance":"b-1","attempt":1,"left":900,"time":"2026-12-04T10:00:00.002Z","message":"request: tried again"}
not a log line
{"node":"a-1","kind":"answer cut","request":"7","certainty":"unknown","why":"instance c-1: read the answer","ms":20,"version":3,"age":100,"time":"2026-12-04T10:00:00.022Z","message":"request: answered"}
{"node":"a-1","kind":"answer none","request":"8","time":"2026-12-04T10:00:00.003Z","message":"request: answered"}
`

const backendLog = `{"kind":"run full","request":"7","certainty":"not run","why":"queue is full","busy":12,"limit":9,"pace":620,"backend":"v1","state":"ready","time":"2026-12-04T10:00:00.002Z","message":"request: came to its server"}
{"time":"2026-12-04T10:00:00.000Z","message":"store: lost","error":"timeout"}
{"time":"2026-12-04T09:00:00.000Z","message":"store: lost","error":"an hour before"}
`

func TestLinesAreOrderedAndMissingLogsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	timeline := readLogs(g, "7", map[string]string{"a-1": edgeLog, "b-1": backendLog})
	g.Expect(texts(timeline.Events())).To(gomega.Equal([]string{
		"b-1: full (not run) after 0 ms; the admission gate had 12 requests at a concurrency limit of 9, the route's service time was 620 ms; backend server version v1, ready: queue is full",
		"a-1: attempt 1 on b-1 failed (full, not run) with 900 ms remaining, retried: instance b-1: queue is full",
		"a-1: responded with cut (unknown) after 20 ms; configuration version 3, active for 100 ms: instance c-1: read the answer",
	}))
	g.Expect(texts(timeline.Related())).To(gomega.Equal([]string{"b-1: store: lost timeout"}))
	g.Expect(timeline.Missing()).To(gomega.Equal([]string{"the log of c-1, to which the request was sent, was not given"}))
}

func TestMissingLinesAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	timeline := readLogs(g, "7", map[string]string{"a-1": edgeLog, "b-1": backendLog, "c-1": `{"node":"c-1","message":"node: started"}`})
	g.Expect(timeline.Missing()).To(gomega.ConsistOf(gomega.HavePrefix("c-1 logged nothing about it")))
	timeline = readLogs(g, "7", map[string]string{"b-1": backendLog})
	g.Expect(timeline.Missing()).To(gomega.ConsistOf(gomega.HavePrefix("no line about the answer")))
	timeline = readLogs(g, "9", map[string]string{"a-1": edgeLog, "b-1": `{"kind":"run full","lines":30,"message":"request: more lines of this kind were left out"}`})
	g.Expect(timeline.Events()).To(gomega.BeEmpty())
	g.Expect(timeline.Missing()).To(gomega.ConsistOf(gomega.And(gomega.ContainSubstring("2 nodes"), gomega.ContainSubstring("30 lines"))))
}

// The lines of a stop that cuts a request off, on the node that took it and on the one that
// ran it, must tell where it was and who ended it.
func TestRequestCutByAStopIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := map[string]string{
		"a-1": `{"node":"a-1","left":1,"time":"2026-12-04T10:00:05.200Z","message":"node: drain timed out"}
{"node":"a-1","request":"7","route":"hold","origin":"caller","from":"10.0.0.9:1","stage":"working","instance":"b-1","age":5400,"left":4600,"time":"2026-12-04T10:00:05.200Z","message":"request: in flight as the drain timed out"}
{"node":"a-1","request":"8","route":"hold","origin":"caller","from":"10.0.0.9:2","stage":"reading","instance":"","age":900,"time":"2026-12-04T10:00:05.200Z","message":"request: in flight as the drain timed out"}
{"node":"a-1","kind":"answer canceled","request":"7","certainty":"unknown","why":"wait for the response of 10.0.0.2:1","left":4200,"paused":false,"ended":"stop","ms":5800,"version":3,"age":100,"time":"2026-12-04T10:00:05.600Z","message":"request: answered"}
{"node":"a-1","ms":5600,"answered":40,"refused":3,"failed":0,"abandoned":2,"cut":1,"time":"2026-12-04T10:00:05.600Z","message":"node: drained"}
`,
		"b-1": `{"node":"b-1","kind":"run canceled","request":"7","certainty":"unknown","why":"wait for the response of 10.0.0.2:2","left":4190,"paused":true,"ended":"sender","status":0,"ms":5700,"time":"2026-12-04T10:00:05.605Z","message":"request: came to its server"}
`,
	}
	timeline := readLogs(g, "7", logs)
	g.Expect(texts(timeline.Events())).To(gomega.HaveExactElements(
		"a-1: still in flight as the drain timed out: it was at work on b-1, received from caller 10.0.0.9:1 5400 ms before, 4600 ms remaining",
		gomega.HaveSuffix("ended as the node closed the connection at the end of its stop; 4200 ms remaining"),
		gomega.HaveSuffix("ended as the caller or peer closed the connection; 4190 ms remaining; the node's process was paused meanwhile"),
	))
	g.Expect(texts(timeline.Related())).To(gomega.ContainElement("a-1: stopped serving after 5600 ms; meanwhile 40 requests were answered, 3 refused, 0 failed, 2 abandoned by their callers, 1 cut off"))
	g.Expect(timeline.Missing()).To(gomega.BeEmpty())
	timeline = readLogs(g, "8", logs)
	g.Expect(texts(timeline.Events())).To(gomega.Equal([]string{
		"a-1: still in flight as the drain timed out: its body had not been received, received from caller 10.0.0.9:2 900 ms before",
	}))
}

// The failures that docs/OPERATIONS.md documents with log lines must be explained
// from these lines.
func TestDocumentedFailuresAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	timeline := readLogs(g, "865", map[string]string{"all": string(page)})
	g.Expect(texts(timeline.Events())).To(gomega.ConsistOf(gomega.ContainSubstring("12 requests at a concurrency limit of 9"), gomega.ContainSubstring("responded with full")))
	g.Expect(timeline.Missing()).To(gomega.BeEmpty())
	_, lostConnection, _ := strings.Cut(string(page), "## Uncertain after a cut")
	lostConnection, rolledBack, _ := strings.Cut(lostConnection, "## Sent to a version that was taken back")
	timeline = readLogs(g, "1", map[string]string{"all": lostConnection})
	g.Expect(texts(timeline.Events())).To(gomega.ConsistOf(gomega.ContainSubstring("node-10.0.0.3: cut (unknown)"), gomega.ContainSubstring("responded with cut (unknown)")))
	timeline = readLogs(g, "3", map[string]string{"all": rolledBack})
	g.Expect(texts(timeline.Events())).To(gomega.ConsistOf(gomega.ContainSubstring("status 500 of the backend server")))
	g.Expect(texts(timeline.Related())).To(gomega.ConsistOf(gomega.ContainSubstring("move r9 is taken back")))
}

// An error's text that begins with an instance's name and goes on is not a name.
func TestTextAfterAnInstanceIsNotItsName(t *testing.T) {
	g := gomega.NewWithT(t)
	line := `{"kind":"run refused","request":"7","certainty":"not run","why":"instance b-1 serves \"x\", not \"y\": moved","time":"2026-12-04T10:00:00.002Z","message":"request: came to its server"}`
	timeline := readLogs(g, "7", map[string]string{"b-1": line})
	for _, m := range timeline.Missing() {
		g.Expect(m).NotTo(gomega.ContainSubstring("serves"))
	}
}
