package gtnode

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtheartbeat"
	"godwittide/core/process/gtmember"
	"godwittide/io/connection/gtwire"
)

// An id of any length must not make a record that peers refuse, as that would cost the
// node its links.
func TestRecordWithALongDepartedIDIsValid(t *testing.T) {
	g := gomega.NewWithT(t)
	r := gtmember.NewRecord("i", "z", "127.0.0.1:1", "127.0.0.1:2").WithBackend("s", "1", 1)
	for n, want := range map[int]bool{1: true, 100: true, 200: false, 5000: false} {
		text := departedText(gtheartbeat.NewProcess(strings.Repeat("x", n), 1_700_000_000_000))
		g.Expect(text != "").To(gomega.Equal(want), "%d", n)
		_, err := gtwire.FromRecord(r.WithDeparted(text)).Decode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}
