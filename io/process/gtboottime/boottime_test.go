package gtboottime

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestClockRunsForward(t *testing.T) {
	g := gomega.NewWithT(t)
	first := SinceBoot()
	g.Expect(first).To(gomega.BeNumerically(">", 0))
	time.Sleep(2 * time.Millisecond)
	g.Expect(SinceBoot() - first).To(gomega.BeNumerically(">=", 2*time.Millisecond))
}
