package gtsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtstand"
)

const (
	// slots and work are those of each backend server.
	slots = 10
	work  = 8 * time.Millisecond
	// drainLimit bounds the wait for a node that was told to stop.
	drainLimit = 30 * time.Second
)

// site is a backend server, in this process, and the node beside it, in its own.
type site struct {
	name, zone string
	edge       string
	admin      string
	file       string
	log        string
	command    []string
	hop, peer  *proxy
	backend    *gtstand.Backend
	ended      func(s *site, err error)

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	meant  bool // the process is to end
	spells []spell
}

// spell is a time in which a fault or planned work touched a site.
type spell struct {
	kind     string
	from, to time.Time
}

// write writes the node's settings. Its ports stay the same over restarts.
func (s *site) write(ctx context.Context, dir, backend, store string, peers []string) error {
	hop, peer := gtlab.FreeAddress(), gtlab.FreeAddress()
	edge, admin := gtlab.FreeAddress(), gtlab.FreeAddress()
	s.edge, s.admin = "http://"+edge, admin
	s.hop, s.peer = &proxy{ctx: ctx, to: hop}, &proxy{ctx: ctx, to: peer}
	for _, p := range []*proxy{s.hop, s.peer} {
		if err := p.open(); err != nil {
			return errorx.Decorate(err, "start a proxy")
		}
	}
	list, err := json.Marshal(peers)
	if err != nil {
		return errorx.Decorate(err, "write the list of peers")
	}
	text := fmt.Sprintf("[node]\ninstance = %q\nzone = %q\npeers = %s\n[listen]\nedge = %q\nhop = %q\npeer = %q\nadmin = %q\n[tell]\nhop = %q\npeer = %q\n[backend]\naddress = %q\nservice = \"lending\"\nversion = \"1\"\nslots = %d\n[store]\nendpoint = %q\n",
		s.name, s.zone, list, edge, hop, peer, admin, s.hop.addr(), s.peer.addr(), backend, slots, store)
	s.file, s.log = filepath.Join(dir, s.name+".toml"), filepath.Join(dir, s.name+".log")
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		return errorx.Decorate(err, "write settings")
	}
	return nil
}

// start starts the node, unless it runs.
func (s *site) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errorx.Decorate(err, "open the log of %s", s.name)
	}
	defer out.Close()
	cmd := exec.Command(s.command[0], append(s.command[1:], "--settings", s.file)...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errorx.Decorate(err, "start %s", s.name)
	}
	done := make(chan struct{})
	s.cmd, s.done, s.meant = cmd, done, false
	go s.wait(cmd, done)
	return nil
}

func (s *site) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	s.mu.Lock()
	meant := s.meant
	s.cmd = nil
	s.mu.Unlock()
	if !meant {
		s.ended(s, err)
	}
	close(done)
}

// signal sends a signal to the node, if it runs. Ends says whether it is to end
// of it; then signal waits for that.
func (s *site) signal(sig syscall.Signal, ends bool) {
	s.mu.Lock()
	cmd, done := s.cmd, s.done
	if cmd == nil {
		s.mu.Unlock()
		return
	}
	s.meant = s.meant || ends
	_ = cmd.Process.Signal(sig)
	s.mu.Unlock()
	if !ends {
		return
	}
	select {
	case <-done:
	case <-time.After(drainLimit):
		s.ended(s, errorx.TimeoutElapsed.New("still runs %s after %s", drainLimit, sig))
		_ = cmd.Process.Kill()
		<-done
	}
}

// pid returns the id of the node's process, or 0.
func (s *site) pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// touch notes that something happens to the site until the function that it
// returns is called.
func (s *site) touch(kind string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.spells)
	s.spells = append(s.spells, spell{kind: kind, from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spells[i].to = time.Now()
	}
}

// undisturbed says whether nothing but the given kind touched the site between
// two times.
func (s *site) undisturbed(kind string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sp := range s.spells {
		over := sp.to.IsZero() || sp.to.After(from)
		if sp.kind != kind && sp.from.Before(to) && over {
			return false
		}
	}
	return true
}

// status asks the node, and returns false if it does not answer soon.
func (s *site) status() (gtnode.Status, bool) {
	client := http.Client{Timeout: time.Second}
	var st gtnode.Status
	resp, err := client.Get("http://" + s.admin + "/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}
