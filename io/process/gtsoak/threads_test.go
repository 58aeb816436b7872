package gtsoak

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A node that was killed at the end of its grace time could have been blocked, or have got no
// processor time: the finding did not tell.
func TestThreadsTellBlockedFromStarved(t *testing.T) {
	g := gomega.NewWithT(t)
	own := threadsOf(os.Getpid())
	g.Expect(own.runnable + own.sleeping).To(gomega.BeNumerically(">", 0))
	g.Expect(own.ran).To(gomega.BeNumerically(">", 0))
	starved := threads{runnable: 3, sleeping: 1, ran: 120 * time.Millisecond, waited: 16 * time.Second}
	before := threads{ran: 20 * time.Millisecond, waited: time.Second}
	g.Expect(starved.since(before)).To(gomega.Equal("3 threads runnable, 1 asleep, ran 100ms and waited 15s for a processor meanwhile"))
	g.Expect(threads{runnable: 1, waited: time.Second}.since(starved)).To(gomega.Equal("it exits, with 1 threads left"))
}
