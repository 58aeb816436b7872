package path

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtnode"
)

const accountConfig = `
[account.pulo780]
keys = ["first-secret", "second-secret"]
rank = 1

[account.kabo51]
keys = ["third-secret"]

[route.health]
service = "lending"
path = "/lending/health"
open = true
`

// getWithKey sends a request with the key of an account.
func (p *process) getWithKey(path, key string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.edge+path, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Gt-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

var _ = ginkgo.Describe("client accounts", func() {
	// Guards against keys in anything that the programs write, and against commands that
	// don't fit the pages that they read.
	ginkgo.It("are authenticated, counted and shown without their keys", func() {
		mesh := &cluster{dir: buildPrograms()}
		mesh.store = mesh.startProgram("godwitstand", "store", "--listen", anyPort).out.waitFor(`store listens on ([^; ]+);`)[0]
		a, _ := mesh.startNode("a1", "z1")
		var shown strings.Builder
		run := func(want int, args ...string) string {
			out, code := mesh.runCommand(args...)
			gomega.Expect(code).To(gomega.Equal(want), out)
			shown.WriteString(out)
			return out
		}
		dir := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-accounts.toml": accountConfig})
		run(0, "config", "check", dir)
		run(0, "config", "diff", "--store", "http://"+mesh.store, dir)
		run(0, "config", "diff", "--json", "--store", "http://"+mesh.store, dir)
		run(0, "config", "push", "--store", "http://"+mesh.store, dir)
		gomega.Eventually(func() int64 { return a.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(1)))

		gomega.Eventually(func() int {
			status, _ := a.getWithKey("/lending/x", "first-secret")
			return status
		}, "10s", "50ms").Should(gomega.Equal(200))
		for key, want := range map[string]int{"second-secret": 200, "third-secret": 200, "other-secret": 401, "": 401} {
			status, body := a.getWithKey("/lending/x", key)
			gomega.Expect(status).To(gomega.Equal(want), body)
			shown.WriteString(body)
		}
		status, _ := a.get("/lending/health")
		gomega.Expect(status).To(gomega.Equal(200))

		var list []gtnode.AccountStatus
		gomega.Expect(json.Unmarshal([]byte(run(0, "accounts", "--json", "--admin", a.admin)), &list)).To(gomega.Succeed())
		gomega.Expect(list).To(gomega.HaveLen(2))
		gomega.Expect(list[0].Name).To(gomega.Equal("kabo51"))
		gomega.Expect(list[0].Rank).To(gomega.BeNil())
		gomega.Expect(list[0].Served).To(gomega.Equal(uint64(1)))
		gomega.Expect(*list[1].Rank).To(gomega.Equal(1.0))
		gomega.Expect(list[1].Served).To(gomega.BeNumerically(">=", 2))
		gomega.Expect(list[0].Share + list[1].Share).To(gomega.BeNumerically("~", 1, 1e-9))
		gomega.Expect(run(0, "accounts", "--admin", a.admin)).To(gomega.MatchRegexp(`kabo51 +- +1 +0`))
		for _, page := range []string{"/status", "/metrics", "/accounts", "/members"} {
			resp, err := http.Get("http://" + a.admin + page)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			shown.Write(b)
		}

		ginkgo.By("refusing a folder in which two accounts share a key")
		bad := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-accounts.toml": accountConfig, "30-more.toml": "[account.third]\nkeys = [\"own-secret\", \"third-secret\"]\n"})
		gomega.Expect(run(1, "config", "check", bad)).To(gomega.ContainSubstring(`30-more.toml:2: account.third.keys: key 2 is also one of account "kabo51" (20-accounts.toml:7)`))
		run(0, "config", "push", "--force", "--unchecked", "--store", "http://"+mesh.store, bad)
		gomega.Eventually(func() string { return run(0, "config", "status", "--store", "http://"+mesh.store) }, "10s", "50ms").Should(gomega.ContainSubstring("30-more.toml:2: "))
		a.out.waitFor("watch: push refused")

		a.out.mu.Lock()
		defer a.out.mu.Unlock()
		gomega.Expect(shown.String()).NotTo(gomega.ContainSubstring("-secret"))
		gomega.Expect(string(a.out.text)).NotTo(gomega.ContainSubstring("-secret"))
	})

	// Guards against evidence that a process takes for new as it goes on after a pause: the
	// response of the store that it finds then is from before the pause.
	ginkgo.It("are refused by a process that was paused while their key was removed", func() {
		mesh := &cluster{dir: buildPrograms(), settings: "[account]\nstrict = true\nrevoke = \"5s\"\n"}
		mesh.store = mesh.startProgram("godwitstand", "store", "--listen", anyPort).out.waitFor(`store listens on ([^; ]+);`)[0]
		a, peer := mesh.startNode("a1", "z1")
		b, _ := mesh.startNode("b1", "z1", peer)
		push := func(accounts string) {
			dir := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-accounts.toml": accounts})
			out, code := mesh.runCommand("config", "push", "--force", "--wait", "10s", "--admin", b.admin, "--store", "http://"+mesh.store, dir)
			gomega.Expect(code).To(gomega.Equal(0), out)
		}
		push(accountConfig)
		for _, n := range []*process{a, b} {
			gomega.Eventually(func() int {
				status, _ := n.getWithKey("/lending/x", "first-secret")
				return status
			}, "10s", "50ms").Should(gomega.Equal(200))
		}
		gomega.Expect(a.cmd.Process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
		dir := mesh.writeFolder(map[string]string{"10-base.toml": baseConfig, "20-accounts.toml": strings.ReplaceAll(accountConfig, "first-secret", "new-secret")})
		out, code := mesh.runCommand("config", "push", "--force", "--store", "http://"+mesh.store, dir)
		gomega.Expect(code).To(gomega.Equal(0), out)
		gomega.Eventually(func() int64 { return b.status().Version }, "10s", "50ms").Should(gomega.Equal(int64(2)))
		time.Sleep(5200 * time.Millisecond)
		statuses := make(chan int, 20)
		for range cap(statuses) {
			go func() {
				status, _ := a.getWithKey("/lending/x", "first-secret")
				statuses <- status
			}()
		}
		time.Sleep(200 * time.Millisecond) // the requests wait for the process
		gomega.Expect(a.cmd.Process.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		for range cap(statuses) {
			gomega.Expect(<-statuses).To(gomega.BeElementOf(401, 503))
		}
		gomega.Eventually(func() int {
			status, _ := a.getWithKey("/lending/x", "new-secret")
			return status
		}, "10s", "50ms").Should(gomega.Equal(200))
	})
})
