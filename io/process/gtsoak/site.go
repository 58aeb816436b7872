package gtsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtnode"
)

const (
	// stopTimeout bounds the time in which a node has to exit after a signal.
	stopTimeout = 30 * time.Second
	// grace is how long after SIGTERM the users' platform sends SIGKILL.
	grace = 6 * time.Second
	// lateInGrace is when the last sixth of the grace time begins.
	lateInGrace = grace * 5 / 6
)

// site is a backend server in this process with its node in a process of its own,
// and the proxies in front of the node's hop and peer ports.
type site struct {
	name, zone   string
	service      string
	version      string
	edgeURL      string
	adminAddress string
	settingsFile string
	logFile      string
	command      []string
	hop, peer    *proxy // nil in a run without network faults
	hopAddress   string // at which other nodes reach the node, as peerAddress
	peerAddress  string
	backend      *gtfake.Backend
	// onExitFailure is called if the process exits without being told to, or doesn't
	// exit within stopTimeout.
	onExitFailure func(s *site, err error)
	// onGraceEnd is called if the process still runs after grace, and is killed; nil
	// means that stopTimeout bounds the stop. threads describes what it did meanwhile.
	onGraceEnd func(s *site, threads string)

	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{}
	exitExpected bool // the process was told to exit
	disturbances []disturbance
}

// disturbance is a period in which a fault or a planned restart affected a site.
type disturbance struct {
	kind     string
	from, to time.Time
}

// writeSettings chooses the node's ports, starts the proxies and writes the
// settings file to dir. The ports stay the same over restarts.
func (s *site) writeSettings(ctx context.Context, dir, backend, store string, peers []string, p profile) error {
	hop, peer := gtcluster.FreeAddress(), gtcluster.FreeAddress()
	edge, admin := gtcluster.FreeAddress(), gtcluster.FreeAddress()
	s.edgeURL, s.adminAddress = "http://"+edge, admin
	s.hopAddress, s.peerAddress = hop, peer
	if p.proxies {
		if err := s.startProxies(ctx); err != nil {
			return errorx.Decorate(err, "start a proxy for fault injection")
		}
	}
	list, err := json.Marshal(peers)
	if err != nil {
		return errorx.Decorate(err, "encode the list of peers")
	}
	text := fmt.Sprintf("[node]\ninstance = %q\nzone = %q\npeers = %s\n[listen]\nedge = %q\nhop = %q\npeer = %q\nadmin = %q\n[tell]\nhop = %q\npeer = %q\n[backend]\naddress = %q\nservice = %q\nversion = %q\nslots = %d\nfixed = %t\n[store]\nendpoint = %q\n%s",
		s.name, s.zone, list, edge, hop, peer, admin, s.hopAddress, s.peerAddress, backend, s.service, s.version, p.slots, p.fixedLimit, store, p.limitSettings)
	s.settingsFile, s.logFile = filepath.Join(dir, s.name+".toml"), filepath.Join(dir, s.name+".log")
	if err := os.WriteFile(s.settingsFile, []byte(text), 0o600); err != nil {
		return errorx.Decorate(err, "write the settings file of a node")
	}
	return nil
}

// startProxies puts a proxy in front of the node's hop and peer ports.
func (s *site) startProxies(ctx context.Context) error {
	s.hop, s.peer = &proxy{ctx: ctx, target: s.hopAddress}, &proxy{ctx: ctx, target: s.peerAddress}
	for _, p := range []*proxy{s.hop, s.peer} {
		if err := p.listen(); err != nil {
			return err
		}
	}
	s.hopAddress, s.peerAddress = s.hop.addr(), s.peer.addr()
	return nil
}

// closeProxies closes the proxies, if there are any.
func (s *site) closeProxies() {
	if s.hop != nil {
		s.hop.close()
		s.peer.close()
	}
}

// start starts the node's process, unless it is running already, and appends its
// output to the log file.
func (s *site) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(s.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errorx.Decorate(err, "open the log file of node %s", s.name)
	}
	defer out.Close()
	cmd := exec.Command(s.command[0], append(s.command[1:], "--settings", s.settingsFile)...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errorx.Decorate(err, "start the process of node %s", s.name)
	}
	done := make(chan struct{})
	s.cmd, s.done, s.exitExpected = cmd, done, false
	go s.waitForExit(cmd, done)
	return nil
}

// waitForExit waits until the process exits, closes done and reports an exit that
// wasn't expected.
func (s *site) waitForExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	s.mu.Lock()
	expected := s.exitExpected
	s.cmd = nil
	s.mu.Unlock()
	if !expected {
		s.onExitFailure(s, err)
	}
	close(done)
}

// signal sends a signal to the node's process, if it is running. If expectExit is
// set, it waits until the process has exited and kills it after stopTimeout.
func (s *site) signal(sig syscall.Signal, expectExit bool) {
	s.mu.Lock()
	cmd, done := s.cmd, s.done
	if cmd == nil {
		s.mu.Unlock()
		return
	}
	s.exitExpected = s.exitExpected || expectExit
	_ = cmd.Process.Signal(sig)
	s.mu.Unlock()
	if !expectExit {
		return
	}
	timeout, onTimeout := stopTimeout, func() {
		s.onExitFailure(s, errorx.TimeoutElapsed.New("process still runs %s after signal %s", stopTimeout, sig))
	}
	if s.onGraceEnd != nil {
		before := threadsOf(cmd.Process.Pid)
		timeout, onTimeout = grace, func() { s.onGraceEnd(s, threadsOf(cmd.Process.Pid).since(before)) }
	}
	select {
	case <-done:
	case <-time.After(timeout):
		onTimeout()
		_ = cmd.Process.Kill()
		<-done
	}
}

// pid returns the process ID of the node, or 0 if it isn't running.
func (s *site) pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// pause stops the node's process by SIGSTOP for d, unless that would last until the end of
// its grace time: such a process can keep no promise.
func (s *site) pause(d time.Duration, sleep func(time.Duration)) {
	end := time.Now().Add(d)
	if begun, ok := s.stopBegun(end); ok && end.After(begun.Add(lateInGrace)) {
		return
	}
	defer s.beginDisturbance("pause")()
	s.signal(syscall.SIGSTOP, false)
	sleep(d)
	s.signal(syscall.SIGCONT, false)
}

// beginDisturbance records a disturbance that begins now. The returned function
// ends it.
func (s *site) beginDisturbance(kind string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.disturbances)
	s.disturbances = append(s.disturbances, disturbance{kind: kind, from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[i].to = time.Now()
	}
}

// undisturbedExcept reports whether no disturbance other than those of the given
// kinds overlaps the period between two times.
func (s *site) undisturbedExcept(from, to time.Time, kinds ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		endsAfter := d.to.IsZero() || d.to.After(from)
		if !slices.Contains(kinds, d.kind) && d.from.Before(to) && endsAfter {
			return false
		}
	}
	return true
}

// stopBegun returns when the stop that was under way at a time began, or false if none was.
func (s *site) stopBegun(t time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if d.kind == "term" && !d.from.After(t) && (d.to.IsZero() || d.to.After(t)) {
			return d.from, true
		}
	}
	return time.Time{}, false
}

// disturbedAt returns the kinds of the disturbances at a time, each with the time since its
// begin.
func (s *site) disturbedAt(t time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []string
	for _, d := range s.disturbances {
		if !d.from.After(t) && (d.to.IsZero() || d.to.After(t)) {
			kinds = append(kinds, d.kind+"+"+t.Sub(d.from).Round(time.Millisecond).String())
		}
	}
	return strings.Join(kinds, " ")
}

// fetchStatus returns the node's status page, or false if the node doesn't respond
// within a second.
func (s *site) fetchStatus() (gtnode.Status, bool) {
	client := http.Client{Timeout: time.Second}
	var st gtnode.Status
	resp, err := client.Get("http://" + s.adminAddress + "/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}
