package gtsoak

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// A run that met the limit of open files of its own process went on, and reported what
// failed for that reason as violations of the nodes.
func TestFileLimitEndsTheRunOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var errs []error
	guard := &fileGuard{Limit: 100, OnLimit: func(err error) { errs = append(errs, err) }}
	guard.record(89)
	guard.recordError(fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
	guard.recordError(nil)
	g.Expect(errs).To(gomega.BeEmpty())
	guard.record(90)
	guard.record(95)
	g.Expect(errs).To(gomega.HaveLen(1))
	g.Expect(guard.peakFiles()).To(gomega.Equal(95))

	errs = nil
	guard = &fileGuard{Limit: 100, OnLimit: func(err error) { errs = append(errs, err) }}
	guard.recordError(fmt.Errorf("dial: %w", syscall.EMFILE))
	g.Expect(errs).To(gomega.HaveLen(1))
}
