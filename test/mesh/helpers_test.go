package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
	"godwittide/io/request/gthop"
)

// startServer serves h until the end of the spec and returns its URL.
func startServer(h http.Handler) string {
	ln, err := network.ListenOnFreeAddress()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: h}
	cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	return "http://" + ln.Addr().String()
}

// sendRaw sends text on a new connection and returns the first bytes of the
// response, or the error if the connection can't be opened.
func sendRaw(addr, text string) string {
	conn, err := network.Connect(context.Background(), addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(conn, text)
	buf := make([]byte, 4096)
	n, _ := conn.Read(buf)
	return string(buf[:n])
}

// sendCall sends a call to a site as a peer would that picked a backend server of the
// given version, and returns the first bytes of the response.
func sendCall(s *gtcluster.Site, version string) string {
	call := fmt.Sprintf("raw/%s/800//normal/lending/holds/0/0", s.Instance())
	return sendRaw(s.Settings().HopAddress(), "GET /lending/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"+
		gthop.HeaderVersion+": "+version+"\r\n"+gthop.HeaderCall+": "+call+"\r\n\r\n")
}

// callNextService returns a function by which a backend server calls service n
// through its local node. It forwards the deadline, hop, retry and trace headers
// of the request that the backend server is handling. local is read at each call,
// since the site is added later.
func callNextService(local **gtcluster.Site, n int) func(context.Context, *http.Request) error {
	client := gtcluster.NewClient(network, 64)
	return func(ctx context.Context, r *http.Request) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/s%d/x", (*local).EdgeURL(), n), nil)
		if err != nil {
			return err
		}
		for _, k := range []string{"Gt-Left", "Gt-Hops", "Gt-Retry", "Traceparent"} {
			if v := r.Header.Get(k); v != "" {
				req.Header.Set(k, v)
			}
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("service %d responded %s", n, resp.Status)
		}
		return err
	}
}

// restartWarmUp makes a backend server start its warm-up again.
var restartWarmUp = gtfake.BackendFaults{RestartWarmUp: true}
