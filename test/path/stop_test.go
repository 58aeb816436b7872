package path

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const slowConfig = `
[service.lending]
version = "1"
timeout = "8s"

[route.hold]
service = "lending"
path = "/lending"
`

// slowDown makes the backend servers take longer for each request.
func (c *cluster) slowDown(body string) {
	for _, p := range c.procs {
		if !strings.HasSuffix(p.cmd.Path, "godwitstand") || p.cmd.Args[1] != "backend" {
			continue
		}
		addr := p.out.waitFor(`listens on ([^; ]+);`)[0]
		resp, err := http.Post("http://"+addr+"/admin/faults", "application/json", strings.NewReader(body))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.Body.Close()).To(gomega.Succeed())
		gomega.Expect(resp.StatusCode).To(gomega.BeNumerically("<", 300))
	}
}

var _ = ginkgo.Describe("a stop", func() {
	// Whatever comes meanwhile, a request at work is answered, and the process ends by itself:
	// another SIGTERM, SIGHUP, a pause of the process, on the node that took the request
	// and on the one that runs it.
	ginkgo.It("cuts no request that is at work", func() {
		mesh := &cluster{dir: buildPrograms()}
		mesh.store = mesh.startProgram("godwitstand", "store", "--listen", anyPort).out.waitFor(`store listens on ([^; ]+);`)[0]
		a, peer := mesh.startNode("a1", "z1")
		b, _ := mesh.startNode("b1", "z1", peer)
		dir := mesh.writeFolder(map[string]string{"10-base.toml": slowConfig})
		gomega.Eventually(func() int {
			_, code := mesh.runCommand("config", "push", "--store", "http://"+mesh.store, dir)
			return code
		}, "10s", "100ms").Should(gomega.Equal(0))
		for _, n := range []*process{a, b} {
			gomega.Eventually(func() int { return n.status().Members }, "10s", "50ms").Should(gomega.Equal(2))
			gomega.Eventually(func() int64 { return n.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(1)))
		}
		mesh.slowDown(`{"slow":2500}`)
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				status, body := a.get("/lending/work")
				gomega.Expect(status).To(gomega.Equal(200), body)
			})
			time.Sleep(250 * time.Millisecond) // so that the second goes to the other node
		}
		for _, n := range []*process{a, b} {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
				gomega.Expect(n.cmd.Process.Signal(s)).To(gomega.Succeed())
				time.Sleep(20 * time.Millisecond)
			}
		}
		for _, n := range []*process{a, b} {
			gomega.Expect(n.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
			time.Sleep(700 * time.Millisecond)
			gomega.Expect(n.cmd.Process.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		}
		wg.Wait()
		for _, n := range []*process{a, b} {
			gomega.Expect(n.cmd.Wait()).To(gomega.Succeed())
			n.out.waitFor(`"failed":0,"abandoned":0,"cut":0,.*"message":"node: drained"`)
		}
		a.out.waitFor(`"answered":2,.*"message":"node: drained"`)
		b.out.waitFor(`"answered":1,.*"message":"node: drained"`)
	})
})
