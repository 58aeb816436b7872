package gtnode

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
)

// A connection that was closed and one that was reset have different causes.
func TestCauseOfALostConnectionIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, cause := range []error{io.EOF, syscall.ECONNRESET} {
		err := gtkind.Wrap(&net.OpError{Op: "read", Err: cause}, gtkind.ConnectionLost, "read the response of b-1")
		g.Expect(rootCause(gtkind.Wrap(err, gtkind.Crashed, "backend server crashed"))).To(gomega.Equal(cause))
	}
}
