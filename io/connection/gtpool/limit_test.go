package gtpool

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

// The limit that the server's service sets may change while requests run.
func TestConnectionLimitFollowsTheService(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool { return writeOK(w) })
		p := newPool(network)
		defer p.Close()
		limit := 1
		p.ConnLimit = func() int { return limit }
		hold := func() (*http.Response, error) {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
			return p.Do(context.Background(), addr, "normal", req, true)
		}
		first, err := hold()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer first.Body.Close()
		_, err = hold()
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
		limit = 2
		second, err := hold()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer second.Body.Close()
		limit = 0
		for range p.MaxConns - 2 {
			resp, err := hold()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
		}
		_, err = hold()
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full), "the limit of the settings holds without one of the service")
	})
}

// A limit that has fallen below the number of idle connections must not refuse a request
// while these are all that is in the way, whatever class they are kept for.
func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool { return writeOK(w) })
		p := newPool(network)
		defer p.Close()
		limit := 0
		p.ConnLimit = func() int { return limit }
		var held []*http.Response
		hold := func(class string) {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
			resp, err := p.Do(context.Background(), addr, class, req, true)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			held = append(held, resp)
		}
		for range 4 {
			hold("normal")
		}
		for _, resp := range held {
			_, err := io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
		}
		g.Expect(p.OpenConns(addr)).To(gomega.Equal(4))
		limit = 2
		hold("fast")
		g.Expect(p.OpenConns(addr)).To(gomega.Equal(2))
		held[4].Body.Close()
	})
}

// Guards against buffers of connections that are not counted, or stay counted once the
// connections are closed.
func TestBuffersOfConnectionsAreCounted(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		addr, _ := servePeer(t, network, func(_ int, w io.Writer, _ *http.Request) bool { return writeOK(w) })
		p := newPool(network)
		held := int64(0)
		p.Hold = func(n int64) { held += n }
		var bodies []io.Closer
		for range 3 {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
			resp, err := p.Do(context.Background(), addr, "normal", req, true)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			bodies = append(bodies, resp.Body)
		}
		g.Expect(held).To(gomega.Equal(int64(3 * 8 << 10)))
		for _, b := range bodies {
			_ = b.Close()
		}
		p.Close()
		g.Expect(held).To(gomega.BeZero())
	})
}
