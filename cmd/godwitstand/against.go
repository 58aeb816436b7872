package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtstand"
)

type measureAgainst struct {
	Builds []string      `arg:"" help:"Programs to compare: godwittide of one build each, or 'relay' for two processes that only copy bytes."`
	Rates  []float64     `help:"Requests a second." default:"56,2000"`
	Time   time.Duration `help:"Time to measure each build at each rate." default:"10s"`
	Rounds int           `help:"Rounds in which direct calls and all builds take turns." default:"10"`
	Work   time.Duration `help:"Time that the backend server takes." default:"1ms"`
}

// relay names, in place of a build, two processes that only copy bytes.
const relay = "relay"

// rival is one build: two nodes of it, each a process, with a backend server
// beside each and a store of their own.
type rival struct {
	lab   *gtlab.Lab
	edge  string
	nodes []*exec.Cmd
	calls []gtlab.Result
	tails []float64
	spent time.Duration
}

// againstRow is what was measured of one build at one rate, in milliseconds,
// beside the direct calls of the same run. Steady is the median over the rounds
// of a round's p99: a moment in which the machine is held up spoils one round.
type againstRow struct {
	Build    string  `json:"build"`
	Rate     float64 `json:"rate"`
	Direct50 float64 `json:"direct50"`
	Direct99 float64 `json:"direct99"`
	Mesh50   float64 `json:"mesh50"`
	Mesh95   float64 `json:"mesh95"`
	Mesh99   float64 `json:"mesh99"`
	Steady   float64 `json:"steady"`
	Bare     float64 `json:"directsteady"`
	Failed   int     `json:"failed"`
	CPU      float64 `json:"cpu"`
}

// Run measures calls through two nodes of each build, and direct calls, in
// turn.
func (c *measureAgainst) Run(env gtcommand.Env) error {
	dir, err := os.MkdirTemp("", "against")
	if err != nil {
		return errorx.Decorate(err, "make a folder for settings")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	direct := ""
	var rivals []*rival
	for i, build := range c.Builds {
		r := &rival{}
		rivals = append(rivals, r)
		defer r.end()
		start := r.start
		if build == relay {
			start = r.startRelays
		}
		if direct, err = start(env.Context(), build, filepath.Join(dir, fmt.Sprint(i)), c.Work); err != nil {
			return err
		}
	}
	var rows []againstRow
	for _, rate := range c.Rates {
		for _, row := range c.atRate(env.Context(), rivals, direct, rate) {
			rows = append(rows, row)
			env.Printf("%.0f a second, %s: direct p50 %.3f ms, p99 %.3f ms; through two processes p50 %.3f ms, p95 %.3f ms, p99 %.3f ms; added p50 %.3f ms, p99 %.3f ms, median of the rounds' p99 %.3f ms; %.3f ms of processor time a call; %d failed\n",
				rate, row.Build, row.Direct50, row.Direct99, row.Mesh50, row.Mesh95, row.Mesh99, row.Mesh50-row.Direct50, row.Mesh99-row.Direct99, row.Steady-row.Bare, row.CPU, row.Failed)
		}
	}
	return env.Print(rows)
}

func (c *measureAgainst) atRate(ctx context.Context, rivals []*rival, direct string, rate float64) []againstRow {
	part := c.Time / time.Duration(c.Rounds)
	var bare []gtlab.Result
	var tails []float64
	for _, r := range rivals {
		r.calls, r.tails, r.spent = nil, nil, 0
		call(ctx, r.edge, rate, 3*time.Second) // the gate's limit rises
	}
	for range c.Rounds {
		results := call(ctx, direct, rate, part)
		bare, tails = append(bare, results...), append(tails, ms(results, 0.99))
		for _, r := range rivals {
			before := r.processorTime()
			results := call(ctx, r.edge, rate, part)
			r.calls, r.tails = append(r.calls, results...), append(r.tails, ms(results, 0.99))
			r.spent += time.Duration(float64(r.processorTime()-before) * float64(part) / float64(part+opening))
		}
	}
	var rows []againstRow
	for i, r := range rivals {
		row := againstRow{
			Build: c.Builds[i], Rate: rate, Direct50: ms(bare, 0.5), Direct99: ms(bare, 0.99), Mesh50: ms(r.calls, 0.5), Mesh95: ms(r.calls, 0.95), Mesh99: ms(r.calls, 0.99),
			Steady: middle(r.tails), Bare: middle(tails),
			CPU: 1000 * r.spent.Seconds() / float64(max(len(r.calls), 1)), Failed: failed(r.calls),
		}
		rows = append(rows, row)
	}
	return rows
}

// middle returns the median.
func middle(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// opening is the time at the start of a round that does not count: its
// connections are opened then.
const opening = 300 * time.Millisecond

// call sends calls for a time after the opening, and returns what came of them.
func call(ctx context.Context, edge string, rate float64, d time.Duration) []gtlab.Result {
	ctx, cancel := context.WithTimeout(ctx, opening+d)
	defer cancel()
	load := &gtlab.Load{Method: http.MethodGet, Path: "/lending/x", Rate: rate, Edges: []string{edge}}
	counted := time.Now().Add(opening)
	load.Run(ctx)
	return slices.DeleteFunc(load.Results(), func(r gtlab.Result) bool { return r.At.Before(counted) })
}

// start starts the build's processes and waits until they carry a call. It
// returns the URL of the backend server that answers.
func (r *rival) start(ctx context.Context, build, dir string, work time.Duration) (string, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return "", errorx.Decorate(err, "make a folder for settings")
	}
	r.lab = &gtlab.Lab{Log: zerolog.Nop()}
	if err := r.lab.Open(ctx); err != nil {
		return "", err
	}
	direct, peer := "", gtlab.FreeAddress()
	for _, service := range []string{"front", "lending"} {
		addr, err := serve(ctx, service, work)
		if err != nil {
			return "", err
		}
		direct = "http://" + addr
		edge, own := gtlab.FreeAddress(), peer
		if service == "front" {
			r.edge = "http://" + edge
		} else {
			own = gtlab.FreeAddress()
		}
		text := fmt.Sprintf("[node]\ninstance = %q\nzone = \"z1\"\npeers = [%q]\n[listen]\nedge = %q\nhop = %q\npeer = %q\nadmin = %q\n[backend]\naddress = %q\nservice = %q\nversion = \"1\"\nslots = 100\n[store]\nendpoint = %q\n[log]\nlevel = \"error\"\n",
			service, peer, edge, gtlab.FreeAddress(), own, gtlab.FreeAddress(), addr, service, r.lab.Endpoint())
		file := filepath.Join(dir, service+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return "", errorx.Decorate(err, "write settings")
		}
		cmd := exec.CommandContext(ctx, build, "node", "--settings", file)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			return "", errorx.Decorate(err, "start %s", build)
		}
		r.nodes = append(r.nodes, cmd)
	}
	if err := r.lab.Push(map[string]string{"10.toml": frontBase}); err != nil {
		return "", err
	}
	if !answers(ctx, r.edge) {
		return "", errorx.TimeoutElapsed.New("the nodes of %s carry no call", build)
	}
	return direct, nil
}

// serve runs a backend server until ctx ends, and returns its address.
func serve(ctx context.Context, name string, work time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errorx.Decorate(err, "start a backend server")
	}
	backend := &gtstand.Backend{Name: name, Slots: 100, Work: work}
	go func() { _ = backend.Run(ctx, ln) }()
	return ln.Addr().String(), nil
}

// startRelays starts two processes that copy bytes, one behind the other.
func (r *rival) startRelays(ctx context.Context, _, _ string, work time.Duration) (string, error) {
	addr, err := serve(ctx, relay, work)
	if err != nil {
		return "", err
	}
	self, err := os.Executable()
	if err != nil {
		return "", errorx.Decorate(err, "find this program")
	}
	to := addr
	for range 2 {
		listen := gtlab.FreeAddress()
		cmd := exec.CommandContext(ctx, self, "relay", "--listen", listen, "--to", to)
		if err := cmd.Start(); err != nil {
			return "", errorx.Decorate(err, "start a relay")
		}
		r.nodes = append(r.nodes, cmd)
		to = listen
	}
	r.edge = "http://" + to
	if !answers(ctx, r.edge) {
		return "", errorx.TimeoutElapsed.New("the relays carry no call")
	}
	return "http://" + addr, nil
}

// answers waits until a call is answered.
func answers(ctx context.Context, edge string) bool {
	probe := &gtlab.Load{Method: http.MethodGet, Path: "/lending/x", Limit: time.Second}
	probe.Open()
	for range 200 {
		if probe.Send(edge, "probe", false).OK() {
			return true
		}
		_ = gttimer.Sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// processorTime returns what the build's nodes have used, or 0 where the
// system does not say.
func (r *rival) processorTime() time.Duration {
	var sum time.Duration
	for _, cmd := range r.nodes {
		sum += usedBy(cmd.Process.Pid)
	}
	return sum
}

// usedBy reads a process's user and system time, in ticks of 10 ms.
func usedBy(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	var user, system int64
	var skip string
	if _, err := fmt.Sscan(string(text), &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &user, &system); err != nil {
		return 0
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}

// end ends the processes.
func (r *rival) end() {
	for _, cmd := range r.nodes {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range r.nodes {
		_ = cmd.Wait()
	}
	if r.lab != nil {
		r.lab.Close()
	}
}
