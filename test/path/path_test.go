// Package path checks the whole path with separate processes.
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

const base = `
[service.lending]
version = "1"
timeout = "2s"

[route.hold]
service = "lending"
path = "/lending"
`

// anyPort lets a program take a free port; it says which one it took.
const anyPort = "127.0.0.1:0"

// process is one program that a spec has started.
type process struct {
	cmd   *exec.Cmd
	out   *output
	admin string
	edge  string
}

// output keeps what a program writes.
type output struct {
	mu   sync.Mutex
	text []byte
}

// Write takes what the program writes.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, b...)
	return ginkgo.GinkgoWriter.Write(b)
}

// find waits for a line that matches, and returns its groups.
func (o *output) find(pattern string) []string {
	re := regexp.MustCompile(pattern)
	var found []string
	gomega.Eventually(func() []string {
		o.mu.Lock()
		defer o.mu.Unlock()
		found = re.FindStringSubmatch(string(o.text))
		return found
	}, "10s", "20ms").ShouldNot(gomega.BeEmpty(), "no line like %s", pattern)
	return found[1:]
}

type site struct {
	dir   string
	store string
	procs []*process
}

func build() string {
	dir := ginkgo.GinkgoT().TempDir()
	gomega.Expect(gtbuild.Programs(dir)).To(gomega.Succeed())
	return dir
}

func (s *site) start(name string, args ...string) *process {
	cmd := exec.Command(filepath.Join(s.dir, name), args...)
	p := &process{cmd: cmd, out: &output{}}
	cmd.Stdout, cmd.Stderr = p.out, p.out
	gomega.Expect(cmd.Start()).To(gomega.Succeed())
	s.procs = append(s.procs, p)
	ginkgo.DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return p
}

func (s *site) run(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(s.dir, "godwittide"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil {
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&exec.ExitError{}))
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// node starts a backend server and the node beside it.
func (s *site) node(name, zone string, peers ...string) (*process, string) {
	backend := s.start("godwitstand", "backend", "--listen", anyPort, "--name", name).out.find(`listens on ([^; ]+);`)[0]
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
`, name, zone, strings.Join(quoted, ", "), anyPort, backend, s.store)
	file := filepath.Join(s.dir, name+".toml")
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	p := s.start("godwittide", "node", "--settings", file)
	found := p.out.find(`"edge":"([^"]+)".*"peer":"([^"]+)","admin":"([^"]+)".*node: started`)
	p.edge, p.admin = found[0], found[2]
	return p, found[1]
}

func (s *site) folder(files map[string]string) string {
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
		s := &site{dir: build()}
		s.store = s.start("godwitstand", "store", "--listen", anyPort).out.find(`store listens on ([^; ]+);`)[0]
		a, peer := s.node("a1", "z1")
		b, _ := s.node("b1", "z2", peer)
		c, _ := s.node("c1", "z2") // finds the others by the contact list
		nodes := []*process{a, b, c}

		dir := s.folder(map[string]string{"10-base.toml": base})
		gomega.Eventually(func() int {
			_, code := s.run("config", "push", "--store", "http://"+s.store, dir)
			return code
		}, "10s", "100ms").Should(gomega.Equal(0))
		for _, n := range nodes {
			gomega.Eventually(func() int64 { return n.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(1)))
			gomega.Eventually(func() int { return n.status().Members }, "10s", "50ms").Should(gomega.Equal(3))
		}
		out, code := s.run("members", "--admin", a.admin)
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

		ginkgo.By("freezing a node and letting it return")
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		for range 20 {
			status, body := a.get("/lending/frozen")
			gomega.Expect(status).To(gomega.Equal(200), body)
		}
		ready := func() int {
			out, _ := s.run("members", "--admin", a.admin)
			return strings.Count(out, " ready ")
		}
		gomega.Eventually(ready, "15s", "100ms").Should(gomega.Equal(2))
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		gomega.Eventually(ready, "15s", "100ms").Should(gomega.Equal(3))

		ginkgo.By("killing one node and its backend server's part in the mesh")
		gomega.Expect(b.cmd.Process.Signal(syscall.SIGKILL)).To(gomega.Succeed())
		for range 20 {
			status, body := a.get("/lending/after")
			gomega.Expect(status).To(gomega.Equal(200), body)
		}

		ginkgo.By("refusing a bad push with file, line and key")
		bad := s.folder(map[string]string{"10-base.toml": base, "20-bad.toml": "[route.x]\nservice = \"nobody\"\npath = \"/x\"\n"})
		out, code = s.run("config", "push", "--force", "--store", "http://"+s.store, bad)
		gomega.Expect(code).To(gomega.Equal(1))
		gomega.Expect(out).To(gomega.ContainSubstring("20-bad.toml:2: route.x.service"))
		out, code = s.run("config", "push", "--force", "--unchecked", "--wait", "10s", "--admin", a.admin, "--store", "http://"+s.store, bad)
		gomega.Expect(code).To(gomega.Equal(1))
		gomega.Expect(out).To(gomega.ContainSubstring("20-bad.toml:2: route.x.service"))
		out, _ = s.run("config", "status", "--store", "http://"+s.store)
		gomega.Expect(out).To(gomega.ContainSubstring("version 1 stays in force"))
		gomega.Expect(a.status().Version).To(gomega.Equal(int64(1)))

		ginkgo.By("pushing a good change and waiting for it")
		good := s.folder(map[string]string{"10-base.toml": base, "20-more.toml": "[zone.z9]\nout = true\n"})
		out, code = s.run("config", "push", "--force", "--wait", "10s", "--admin", a.admin, "--store", "http://"+s.store, good)
		gomega.Expect(code).To(gomega.Equal(0), out)
		gomega.Expect(out).To(gomega.ContainSubstring("in force everywhere"))

		ginkgo.By("stopping a node gracefully")
		gomega.Expect(c.cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(c.cmd.Wait()).To(gomega.Succeed())
		status, body := a.get("/lending/last")
		gomega.Expect(status).To(gomega.Equal(200), body)
	})
})
