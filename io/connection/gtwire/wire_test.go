package gtwire

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtcanary"
)

func TestEncodingRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	r := gtmember.NewRecord("i", "z", "127.0.0.1:1", "[::1]:2").WithBackend("s", "1", 4).WithState(gtmember.Leaving).WithIncarnation(1 << 60)
	b, err := json.Marshal(FromRecord(r))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var m Record
	g.Expect(json.Unmarshal(b, &m)).To(gomega.Succeed())
	decoded, err := m.Decode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(r))

	counter := &gtcanary.OutcomeCounter{}
	counter.Restart(3)
	counter.Add("a", gtcanary.NewOutcome(false, 3*time.Millisecond))
	counter.Add("a", gtcanary.NewOutcome(true, time.Second))
	report := counter.Report("i", "2")
	b, _ = json.Marshal(FromReport(report))
	var reportMessage Report
	g.Expect(json.Unmarshal(b, &reportMessage)).To(gomega.Succeed())
	decodedReport, err := reportMessage.Decode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decodedReport).To(gomega.Equal(report))
}

// Any message that a peer sends gives either an error or a valid value. The
// value of a record encodes to the same message again.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"i":"a","z":"z","s":"s","v":"1","h":"127.0.0.1:1","p":"127.0.0.1:2","n":1,"c":1,"t":"ready"}`,
		`{"id":"m.s.1.2","n":1,"p":"running","s":0.5}`, `{"p":"ff","n":2,"l":1000}`,
		`{"i":"a","c":1,"v":"1","r":{"x":{"n":1,"l":[0,1]}}}`, `{"i":"a","r":{"x":{"l":[900,1,3]}}}`, `{"v":1,"s":"x","f":{"a":"b"}}`, `null`, `[]`,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var r Record
		if json.Unmarshal([]byte(text), &r) == nil {
			if v, err := r.Decode(); err == nil && !reflect.DeepEqual(FromRecord(v), r) {
				t.Fatalf("record %q changed in the round trip", text)
			}
		}
		var m Move
		if json.Unmarshal([]byte(text), &m) == nil {
			_, _ = m.Decode()
		}
		var c Crash
		if json.Unmarshal([]byte(text), &c) == nil {
			_, _ = c.Decode(time.Unix(0, 0))
		}
		var report Report
		if json.Unmarshal([]byte(text), &report) == nil {
			_, _ = report.Decode()
		}
		var snapshot Snapshot
		if json.Unmarshal([]byte(text), &snapshot) == nil {
			_, _ = snapshot.Decode()
		}
		var h Halt
		if json.Unmarshal([]byte(text), &h) == nil {
			_, _ = h.Decode()
		}
	})
}
