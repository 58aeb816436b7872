// Package path checks the system from end to end, with separate processes.
package path

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtnode"
	"godwittide/test/gtbuild"
)

func TestPath(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "path")
}

const baseConfig = `
[service.lending]
version = "1"
timeout = "2s"

[route.hold]
service = "lending"
path = "/lending"
`

// anyPort makes a program listen on a free port, which it prints or logs.
const anyPort = "127.0.0.1:0"

// process is a program that a spec has started.
type process struct {
	cmd   *exec.Cmd
	out   *output
	admin string
	edge  string
}

// output collects what a program writes to stdout and stderr.
type output struct {
	mu   sync.Mutex
	text []byte
}

// Write appends b to the output and copies it to the log of the spec.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, b...)
	return ginkgo.GinkgoWriter.Write(b)
}

// waitFor waits until the output matches pattern, and returns the submatches.
func (o *output) waitFor(pattern string) []string {
	re := regexp.MustCompile(pattern)
	var found []string
	gomega.Eventually(func() []string {
		o.mu.Lock()
		defer o.mu.Unlock()
		found = re.FindStringSubmatch(string(o.text))
		return found
	}, "10s", "20ms").ShouldNot(gomega.BeEmpty(), "no output matches %s", pattern)
	return found[1:]
}

// cluster is the set of programs of a spec: a store, backend servers and nodes.
type cluster struct {
	dir   string
	store string
	procs []*process
	// settings are further sections of the settings file of each node.
	settings string
}

func buildPrograms() string {
	dir := ginkgo.GinkgoT().TempDir()
	gomega.Expect(gtbuild.Programs(dir)).To(gomega.Succeed())
	return dir
}

func (c *cluster) startProgram(name string, args ...string) *process {
	cmd := exec.Command(filepath.Join(c.dir, name), args...)
	p := &process{cmd: cmd, out: &output{}}
	cmd.Stdout, cmd.Stderr = p.out, p.out
	gomega.Expect(cmd.Start()).To(gomega.Succeed())
	c.procs = append(c.procs, p)
	ginkgo.DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return p
}

// runCommand runs godwittide and returns its output and its exit code.
func (c *cluster) runCommand(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(c.dir, "godwittide"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil {
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&exec.ExitError{}))
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// startNode starts a backend server and its local node. It returns the node and
// the node's address for peers.
func (c *cluster) startNode(name, zone string, peers ...string) (*process, string) {
	backend := c.startProgram("godwitstand", "backend", "--listen", anyPort, "--name", name).out.waitFor(`listens on ([^; ]+);`)[0]
	quoted := make([]string, len(peers))
	for i, p := range peers {
		quoted[i] = fmt.Sprintf("%q", p)
	}
	text := fmt.Sprintf(`
[node]
instance = %[1]q
zone = %[2]q
peers = [%[3]s]
[listen]
edge = %[4]q
hop = %[4]q
peer = %[4]q
admin = %[4]q
[backend]
address = %[5]q
service = "lending"
version = "1"
[store]
endpoint = "http://%[6]s"
%[7]s
`, name, zone, strings.Join(quoted, ", "), anyPort, backend, c.store, c.settings)
	file := filepath.Join(c.dir, name+".toml")
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	p := c.startProgram("godwittide", "node", "--settings", file)
	found := p.out.waitFor(`"edge":"([^"]+)".*"peer":"([^"]+)","admin":"([^"]+)".*node: started`)
	p.edge, p.admin = found[0], found[2]
	return p, found[1]
}

// writeFolder writes files to a new folder and returns its path.
func (c *cluster) writeFolder(files map[string]string) string {
	dir := ginkgo.GinkgoT().TempDir()
	for name, text := range files {
		gomega.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(gomega.Succeed())
	}
	return dir
}

func (p *process) status() gtnode.Status {
	var s gtnode.Status
	resp, err := http.Get("http://" + p.admin + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

func (p *process) get(path string) (int, string) {
	resp, err := http.Get("http://" + p.edge + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

var _ = ginkgo.Describe("separate processes", func() {
	ginkgo.It("serve a request end to end, survive a kill, and refuse a bad push", func() {
		mesh := &cluster{dir: buildPrograms()}
		mesh.store = mesh.startProgram("godwitstand", "store", "--listen", anyPort).out.waitFor(`store listens on ([^; ]+);`)[0]
		a, peer := mesh.startNode("a1", "z1")
		b, _ := mesh.startNode("b1", "z2", peer)
		c, _ := mesh.startNode("c1", "z2") // discovers the others by the contact list in the store
		nodes := []*process{a, b, c}

		dir := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig})
		gomega.Eventually(func() int {
			_, code := mesh.runCommand("config", "push", "--store", "http://"+mesh.store, dir)
			return code
		}, "10s", "100ms").Should(gomega.Equal(0))
		for _, n := range nodes {
			gomega.Eventually(func() int64 { return n.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(1)))
			gomega.Eventually(func() int { return n.status().Members }, "10s", "50ms").Should(gomega.Equal(3))
		}
		out, code := mesh.runCommand("members", "--admin", a.admin)
		gomega.Expect(code).To(gomega.Equal(0))
		gomega.Expect(out).To(gomega.ContainSubstring("c1"))

		seen := map[string]bool{}
		for i := range 60 {
			path := fmt.Sprintf("/lending/swans?n=%d", i)
			status, body := nodes[i%3].get(path)
			gomega.Expect(status).To(gomega.Equal(200), body)
			gomega.Expect(body).To(gomega.ContainSubstring("GET " + path))
			seen[strings.Fields(body)[0]] = true
		}
		gomega.Expect(seen).To(gomega.HaveLen(3))

		ginkgo.By("pausing the process of a node and resuming it")
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		for range 20 {
			status, body := a.get("/lending/paused")
			gomega.Expect(status).To(gomega.Equal(200), body)
		}
		ready := func() int {
			out, _ := mesh.runCommand("members", "--admin", a.admin)
			return strings.Count(out, " ready ")
		}
		gomega.Eventually(ready, "15s", "100ms").Should(gomega.Equal(2))
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		gomega.Eventually(ready, "15s", "100ms").Should(gomega.Equal(3))

		ginkgo.By("killing a node, which takes its backend server out of the mesh")
		gomega.Expect(b.cmd.Process.Signal(syscall.SIGKILL)).To(gomega.Succeed())
		for range 20 {
			status, body := a.get("/lending/after")
			gomega.Expect(status).To(gomega.Equal(200), body)
		}

		ginkgo.By("pushing a bad configuration, which is refused with file, line and key")
		bad := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-bad.toml": "[route.x]\nservice = \"nobody\"\npath = \"/x\"\n"})
		out, code = mesh.runCommand("config", "push", "--force", "--store", "http://"+mesh.store, bad)
		gomega.Expect(code).To(gomega.Equal(1))
		gomega.Expect(out).To(gomega.ContainSubstring("20-bad.toml:2: route.x.service"))
		out, code = mesh.runCommand("config", "push", "--force", "--unchecked", "--wait", "10s", "--admin", a.admin, "--store", "http://"+mesh.store, bad)
		gomega.Expect(code).To(gomega.Equal(1))
		gomega.Expect(out).To(gomega.ContainSubstring("20-bad.toml:2: route.x.service"))
		out, _ = mesh.runCommand("config", "status", "--store", "http://"+mesh.store)
		gomega.Expect(out).To(gomega.ContainSubstring("version 1 stays in force"))
		gomega.Expect(a.status().Version).To(gomega.Equal(int64(1)))

		ginkgo.By("pushing a good change and waiting for it")
		good := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-more.toml": "[zone.z9]\nout = true\n"})
		out, code = mesh.runCommand("config", "push", "--force", "--wait", "10s", "--admin", a.admin, "--store", "http://"+mesh.store, good)
		gomega.Expect(code).To(gomega.Equal(0), out)
		gomega.Expect(out).To(gomega.ContainSubstring("in force everywhere"))

		ginkgo.By("stopping a node gracefully")
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(c.cmd.Wait()).To(gomega.Succeed())
		status, body := a.get("/lending/last")
		gomega.Expect(status).To(gomega.Equal(200), body)
	})
})
