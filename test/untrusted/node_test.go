// Package untrusted checks that callers that don't keep to the protocol, or send more than a
// node can hold, neither end a node nor take its memory.
package untrusted

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
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"godwittide/io/process/gtnode"
	"godwittide/test/gtbuild"
)

const (
	// budgetBytes is limit.memory of the node under test.
	budgetBytes = 32 << 20
	// bodyBytes is its limit.body.
	bodyBytes = 4 << 20
	// connections is the number of connections of the crowd.
	connections = 60
	// programBytes is the allowance for the program itself: 18 MB are resident before the
	// first request (docs/design/hard-load.md), and the pages of its code that are used later.
	programBytes = 32 << 20
	// connectionBytes is the allowance for a connection: the buffers of net/http, a head of
	// limit.head twice (as read and as parsed), and two stacks.
	connectionBytes = 128 << 10
	// garbageBytes is the allowance for what is not collected yet: as much as the budget.
	garbageBytes = budgetBytes
	// maxResidentBytes bounds the peak of the resident memory.
	maxResidentBytes = budgetBytes + programBytes + connections*connectionBytes + garbageBytes
	// maxDescriptors bounds the open descriptors: the crowd's, and the node's own.
	maxDescriptors = connections + 50
	// waitTime bounds each wait for the programs to start or to answer. It is no target.
	waitTime = 20 * time.Second
)

const folder = `
[service.lending]
version = "1"
timeout = "8s"

[route.hold]
service = "lending"
path = "/lending"

[route.long]
service = "lending"
path = "/lending/long"
timeout = "5m"
`

// process is a program that a test has started.
type process struct {
	cmd *exec.Cmd

	mu   sync.Mutex
	text []byte
}

// Write collects the output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = append(p.text, b...)
	return len(b), nil
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.text)
}

// start starts a program, which is killed at the end of the test.
func start(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(dir, name), args...)}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// waitFor waits until the output matches pattern and returns the submatches.
func (p *process) waitFor(t *testing.T, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	eventually(t, "output that matches "+pattern, func() bool {
		found = re.FindStringSubmatch(p.output())
		return found != nil
	})
	return found[1:]
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTime); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s in %s", what, waitTime)
		}
	}
}

// node is a running node with its backend server.
type node struct {
	*process
	edge, hop, peer, admin string
}

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		return "", err
	}
	return dir, gtbuild.Programs(dir)
})

// TestMain removes the programs that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := build(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// startNode starts a store, a backend server and a node with a configuration.
func startNode(t *testing.T) node {
	t.Helper()
	return startNodeWith(t, bodyBytes, budgetBytes)
}

// startNodeWith starts a node with the given limit.body and limit.memory, and further settings
// of the section limit, such as "hop = 20", or of backend, such as "backend.slots = 2".
func startNodeWith(t *testing.T, maxBody, budget int, settings ...string) node {
	t.Helper()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	const anyPort = "127.0.0.1:0"
	store := start(t, dir, "godwitstand", "store", "--listen", anyPort).waitFor(t, `store listens on ([^; ]+);`)[0]
	backend := start(t, dir, "godwitstand", "backend", "--listen", anyPort, "--name", "a1").waitFor(t, `listens on ([^; ]+);`)[0]
	n := startInstance(t, dir, instance{name: "a1", service: "lending", backend: backend, store: store, maxBody: maxBody, budget: budget, settings: settings})
	n.awaitConfig(t, dir, store, folder)
	return n
}

// instance is what the settings of a node under test say.
type instance struct {
	name, service, backend, store string
	maxBody, budget               int
	peers                         []string
	// settings are further lines of the section limit, or of backend with that prefix.
	settings []string
}

// startInstance starts a node. A program from before a setting of the section limit is started
// without it and held to the same bounds.
func startInstance(t *testing.T, dir string, i instance) node {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	var backendLines []string
	limits := []string{fmt.Sprintf("memory = %d", i.budget)}
	for _, line := range i.settings {
		if rest, ok := strings.CutPrefix(line, "backend."); ok {
			backendLines = append(backendLines, rest)
		} else {
			limits = append(limits, line)
		}
	}
	sample, err := exec.Command(filepath.Join(dir, "godwittide"), "node", "--sample").Output()
	if err != nil {
		t.Fatal(err)
	}
	limits = slices.DeleteFunc(limits, func(line string) bool {
		key, _, _ := strings.Cut(line, " ")
		_, known, _ := bytes.Cut(sample, []byte("[limit]"))
		return !bytes.Contains(known, []byte("\n# "+key+" ="))
	})
	peers := ""
	if len(i.peers) > 0 {
		peers = fmt.Sprintf("peers = [%q]", i.peers[0])
	}
	text := fmt.Sprintf(`
[node]
instance = %[6]q
zone = "z1"
%[8]s
[listen]
edge = %[1]q
hop = %[1]q
peer = %[1]q
admin = %[1]q
[backend]
address = %[2]q
service = %[7]q
version = "1"
%[9]s
[store]
endpoint = "http://%[3]s"
[limit]
body = %[4]d
%[5]s
`, anyPort, i.backend, i.store, i.maxBody, strings.Join(limits, "\n"), i.name, i.service, peers, strings.Join(backendLines, "\n"))
	file := filepath.Join(t.TempDir(), i.name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := node{process: start(t, dir, "godwittide", "node", "--settings", file)}
	found := n.waitFor(t, `"edge":"([^"]+)","hop":"([^"]+)","peer":"([^"]+)","admin":"([^"]+)".*node: started`)
	n.edge, n.hop, n.peer, n.admin = found[0], found[1], found[2], found[3]
	return n
}

// awaitConfig pushes the operators' folder and waits until the node works by it.
func (n node) awaitConfig(t *testing.T, dir, store, folder string) {
	t.Helper()
	operator := t.TempDir()
	if err := os.WriteFile(filepath.Join(operator, "10-base.toml"), []byte(folder), 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "accepted configuration", func() bool {
		return exec.Command(filepath.Join(dir, "godwittide"), "config", "push", "--store", "http://"+store, operator).Run() == nil
	})
	eventually(t, "active configuration", func() bool {
		resp, err := http.Get("http://" + n.admin + "/status")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var s gtnode.Status
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Version == 1
	})
}

// check checks that the node lives within its bounds and answers an ordinary GET.
func (n node) check(t *testing.T) {
	t.Helper()
	descriptors := 0
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err == nil {
		descriptors = len(entries)
	}
	client := http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.edge + "/lending/swans")
	if err != nil {
		t.Errorf("the ordinary GET failed: %v", err)
	} else {
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("the ordinary GET got status %d: %s", resp.StatusCode, b)
		}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil || !strings.Contains(string(status), "VmHWM:") {
		t.Fatalf("the node has ended: %v; its output ends with %s", err, tail(n.output()))
	}
	peak := peakBytes(string(status))
	t.Logf("peak of the resident memory %.1f MB (bound %.1f), descriptors %d (bound %d)", mb(peak), mb(maxResidentBytes), descriptors, maxDescriptors)
	if peak > maxResidentBytes {
		t.Errorf("the peak of the resident memory is %.1f MB, the bound %.1f MB", mb(peak), mb(maxResidentBytes))
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors are open, the bound is %d", descriptors, maxDescriptors)
	}
}

func mb(n int64) float64 { return float64(n) / (1 << 20) }

func tail(s string) string { return s[max(0, len(s)-2000):] }

// peakBytes returns the peak of the resident memory from the text of /proc/PID/status.
func peakBytes(status string) int64 {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
