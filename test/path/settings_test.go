package path

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the settings file", func() {
	// A changed file must take effect without a restart and without closing a caller's
	// connection, an invalid one must change nothing, and no changed value may be logged.
	ginkgo.It("is read again on SIGHUP and when it changes", func() {
		mesh := &cluster{dir: buildPrograms()}
		mesh.store = mesh.startProgram("godwitstand", "store", "--listen", anyPort).out.waitFor(`store listens on ([^; ]+);`)[0]
		n, _ := mesh.startNode("a1", "z1")
		dir := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig})
		gomega.Eventually(func() int {
			_, code := mesh.runCommand("config", "push", "--store", "http://"+mesh.store, dir)
			return code
		}, "10s", "100ms").Should(gomega.Equal(0))
		gomega.Eventually(func() int64 { return n.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(1)))
		dials := 0
		client := &http.Client{Transport: countingTransport(&dials)}
		post := func() int {
			resp, err := client.Post("http://"+n.edge+"/lending/x", "text/plain", strings.NewReader(strings.Repeat("x", 100)))
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is used again
			return resp.StatusCode
		}
		gomega.Eventually(post, "10s", "50ms").Should(gomega.Equal(200))
		dialsBefore := dials

		file := filepath.Join(mesh.dir, "a1.toml")
		text, err := os.ReadFile(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		write := func(more string) {
			gomega.Expect(os.WriteFile(file, []byte(string(text)+more), 0o600)).To(gomega.Succeed())
		}
		write("[limit]\nbody = -1\n")
		gomega.Expect(n.cmd.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
		n.out.waitFor(`limit.body: must be from.*"message":"settings: file refused`)
		gomega.Eventually(func() string { return n.status().Settings.Error }, "5s", "20ms").Should(gomega.ContainSubstring("limit.body"))
		gomega.Expect(post()).To(gomega.Equal(200))

		write("[limit]\nbody = 200\n[duty]\naddress = \"127.0.0.1:9\"\n[log]\nlevel = \"debug\"\n") // no signal
		n.out.waitFor(`"key":"limit.body",.*"message":"settings: changed"`)
		n.out.waitFor(`"key":"log.level",.*"message":"settings: changed"`)
		n.out.waitFor(`"key":"duty.address",.*"message":"settings: changed; takes effect at the next start"`)
		gomega.Expect(n.status().Settings.Error).To(gomega.BeEmpty())
		gomega.Expect(n.status().Settings.Pending).To(gomega.Equal([]string{"duty.address"}))
		gomega.Expect(post()).To(gomega.Equal(200))
		gomega.Expect(dials).To(gomega.Equal(dialsBefore), "a connection was closed")

		write("[limit]\nbody = 50\n")
		gomega.Expect(n.cmd.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
		gomega.Eventually(post, "10s", "50ms").Should(gomega.Equal(413))
		gomega.Expect(n.status().Settings.Pending).To(gomega.BeEmpty())
		n.out.mu.Lock()
		defer n.out.mu.Unlock()
		gomega.Expect(string(n.out.text)).NotTo(gomega.ContainSubstring("127.0.0.1:9\""))
	})
})

// countingTransport returns a transport that counts its connections.
func countingTransport(dials *int) *http.Transport {
	d := &net.Dialer{}
	return &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		*dials++
		return d.DialContext(ctx, network, addr)
	}}
}
