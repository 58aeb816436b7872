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
	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtfake"
)

type measureAgainst struct {
	Builds []string      `arg:"" help:"Builds of godwittide to compare, or 'relay' for two processes that only copy bytes."`
	Rates  []float64     `help:"Requests a second." default:"56,2000"`
	Time   time.Duration `help:"Time to measure each build at each rate." default:"10s"`
	Rounds int           `help:"Number of rounds; each measures direct calls and every build." default:"10"`
	Work   time.Duration `help:"Service time of the backend server." default:"1ms"`
}

// relayBuild, in place of a build, stands for two processes that only copy
// bytes.
const relayBuild = "relay"

// buildRun holds the processes and measurements of one build: two nodes in
// processes of their own, each with a local backend server, and a store that only
// these nodes use. For relayBuild, there are two relays and one backend server.
type buildRun struct {
	cluster   *gtcluster.Cluster
	edgeURL   string
	processes []*exec.Cmd
	results   []gtcluster.Result
	roundP99s []float64
	// cpu is the CPU time of the rounds, without the share for connectPeriod.
	cpu time.Duration
}

// againstRow holds the measurements of one build at one rate, in milliseconds,
// with the direct calls of the same run. MedianP99 is the median of the rounds'
// p99, so that a short stall of the machine affects one round only.
type againstRow struct {
	Build           string  `json:"build"`
	Rate            float64 `json:"rate"`
	Direct50        float64 `json:"direct50"`
	Direct99        float64 `json:"direct99"`
	Mesh50          float64 `json:"mesh50"`
	Mesh95          float64 `json:"mesh95"`
	Mesh99          float64 `json:"mesh99"`
	MedianP99       float64 `json:"steady"`
	DirectMedianP99 float64 `json:"directsteady"`
	Failed          int     `json:"failed"`
	CPU             float64 `json:"cpu"`
}

// Run measures direct calls and calls through two nodes of each build, in
// alternation.
func (c *measureAgainst) Run(env gtcommand.Env) error {
	dir, err := os.MkdirTemp("", "against")
	if err != nil {
		return errorx.Decorate(err, "create a folder for settings")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	directURL := ""
	var runs []*buildRun
	for i, build := range c.Builds {
		r := &buildRun{}
		runs = append(runs, r)
		defer r.stop()
		start := r.start
		if build == relayBuild {
			start = r.startRelays
		}
		if directURL, err = start(env.Context(), build, filepath.Join(dir, fmt.Sprint(i)), c.Work); err != nil {
			return err
		}
	}
	var rows []againstRow
	for _, rate := range c.Rates {
		for _, row := range c.measureRate(env.Context(), runs, directURL, rate) {
			rows = append(rows, row)
			env.Printf("%.0f a second, %s: direct p50 %.3f ms, p99 %.3f ms; through two processes p50 %.3f ms, p95 %.3f ms, p99 %.3f ms; added p50 %.3f ms, p99 %.3f ms, median of the rounds' p99 %.3f ms; %.3f ms of CPU time a call; %d failed\n",
				rate, row.Build, row.Direct50, row.Direct99, row.Mesh50, row.Mesh95, row.Mesh99, row.Mesh50-row.Direct50, row.Mesh99-row.Direct99, row.MedianP99-row.DirectMedianP99, row.CPU, row.Failed)
		}
	}
	return env.PrintIfJSON(rows)
}

// measureRate measures all builds at one rate and returns a row for each.
func (c *measureAgainst) measureRate(ctx context.Context, runs []*buildRun, directURL string, rate float64) []againstRow {
	roundTime := c.Time / time.Duration(c.Rounds)
	var directResults []gtcluster.Result
	var directP99s []float64
	for _, r := range runs {
		r.results, r.roundP99s, r.cpu = nil, nil, 0
		runLoad(ctx, r.edgeURL, rate, 3*time.Second) // lets the concurrency limit rise to the load
	}
	for range c.Rounds {
		results := runLoad(ctx, directURL, rate, roundTime)
		directResults, directP99s = append(directResults, results...), append(directP99s, quantileMS(results, 0.99))
		for _, r := range runs {
			before := r.cpuTime()
			results := runLoad(ctx, r.edgeURL, rate, roundTime)
			r.results, r.roundP99s = append(r.results, results...), append(r.roundP99s, quantileMS(results, 0.99))
			r.cpu += time.Duration(float64(r.cpuTime()-before) * float64(roundTime) / float64(roundTime+connectPeriod))
		}
	}
	var rows []againstRow
	for i, r := range runs {
		row := againstRow{
			Build: c.Builds[i], Rate: rate, Direct50: quantileMS(directResults, 0.5), Direct99: quantileMS(directResults, 0.99), Mesh50: quantileMS(r.results, 0.5), Mesh95: quantileMS(r.results, 0.95), Mesh99: quantileMS(r.results, 0.99),
			MedianP99: median(r.roundP99s), DirectMedianP99: median(directP99s),
			CPU: 1000 * r.cpu.Seconds() / float64(max(len(r.results), 1)), Failed: countFailed(r.results),
		}
		rows = append(rows, row)
	}
	return rows
}

// median sorts list and returns its median.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// connectPeriod is the time at the start of a load in which connections are
// opened. Calls sent during it are not counted.
const connectPeriod = 300 * time.Millisecond

// runLoad sends calls for connectPeriod and then for d, and returns the results
// of the calls sent during d.
func runLoad(ctx context.Context, edgeURL string, rate float64, d time.Duration) []gtcluster.Result {
	ctx, cancel := context.WithTimeout(ctx, connectPeriod+d)
	defer cancel()
	load := &gtcluster.Load{Method: http.MethodGet, Path: "/lending/x", Rate: rate, EdgeURLs: []string{edgeURL}}
	counted := time.Now().Add(connectPeriod)
	load.Run(ctx)
	return slices.DeleteFunc(load.Results(), func(r gtcluster.Result) bool { return r.SentAt.Before(counted) })
}

// start starts the build's processes and waits until a call through them
// succeeds. It returns the URL of the backend server that handles the calls.
func (r *buildRun) start(ctx context.Context, build, dir string, work time.Duration) (string, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return "", errorx.Decorate(err, "create a folder for settings")
	}
	r.cluster = &gtcluster.Cluster{Log: zerolog.Nop()}
	if err := r.cluster.Open(ctx); err != nil {
		return "", err
	}
	directURL, peer := "", gtcluster.FreeAddress()
	for _, service := range []string{"front", "lending"} {
		addr, err := startBackend(ctx, service, work)
		if err != nil {
			return "", err
		}
		directURL = "http://" + addr
		edge, peerListen := gtcluster.FreeAddress(), peer
		if service == "front" {
			r.edgeURL = "http://" + edge
		} else {
			peerListen = gtcluster.FreeAddress()
		}
		text := fmt.Sprintf("[node]\ninstance = %q\nzone = \"z1\"\npeers = [%q]\n[listen]\nedge = %q\nhop = %q\npeer = %q\nadmin = %q\n[backend]\naddress = %q\nservice = %q\nversion = \"1\"\nslots = 100\n[store]\nendpoint = %q\n[log]\nlevel = \"error\"\n",
			service, peer, edge, gtcluster.FreeAddress(), peerListen, gtcluster.FreeAddress(), addr, service, r.cluster.StoreURL())
		file := filepath.Join(dir, service+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return "", errorx.Decorate(err, "write settings")
		}
		cmd := exec.CommandContext(ctx, build, "node", "--settings", file)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			return "", errorx.Decorate(err, "start %s", build)
		}
		r.processes = append(r.processes, cmd)
	}
	if err := r.cluster.Push(map[string]string{"10.toml": frontConfig}); err != nil {
		return "", err
	}
	if !waitReady(ctx, r.edgeURL) {
		return "", errorx.TimeoutElapsed.New("no call through the nodes of %s succeeded", build)
	}
	return directURL, nil
}

// startBackend runs a backend server until ctx ends, and returns its address.
func startBackend(ctx context.Context, name string, work time.Duration) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errorx.Decorate(err, "listen for a backend server")
	}
	backend := &gtfake.Backend{Name: name, Slots: 100, ServiceTime: work}
	go func() { _ = backend.Run(ctx, ln) }()
	return ln.Addr().String(), nil
}

// startRelays starts two relay processes in a chain in front of a backend
// server, and returns the URL of the backend server.
func (r *buildRun) startRelays(ctx context.Context, _, _ string, work time.Duration) (string, error) {
	addr, err := startBackend(ctx, relayBuild, work)
	if err != nil {
		return "", err
	}
	self, err := os.Executable()
	if err != nil {
		return "", errorx.Decorate(err, "find the path of this program")
	}
	to := addr
	for range 2 {
		listen := gtcluster.FreeAddress()
		cmd := exec.CommandContext(ctx, self, "relay", "--listen", listen, "--to", to)
		if err := cmd.Start(); err != nil {
			return "", errorx.Decorate(err, "start a relay")
		}
		r.processes = append(r.processes, cmd)
		to = listen
	}
	r.edgeURL = "http://" + to
	if !waitReady(ctx, r.edgeURL) {
		return "", errorx.TimeoutElapsed.New("no call through the relays succeeded")
	}
	return "http://" + addr, nil
}

// waitReady repeats a call until one succeeds, up to 200 times, and reports
// whether one did.
func waitReady(ctx context.Context, edgeURL string) bool {
	probe := &gtcluster.Load{Method: http.MethodGet, Path: "/lending/x", Timeout: time.Second}
	probe.CreateClient()
	for range 200 {
		if probe.Send(edgeURL, "probe", false).OK() {
			return true
		}
		_ = gttimer.Sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// cpuTime returns the CPU time of the build's processes, or 0 if the system does
// not report it.
func (r *buildRun) cpuTime() time.Duration {
	var sum time.Duration
	for _, cmd := range r.processes {
		sum += processCPU(cmd.Process.Pid)
	}
	return sum
}

// processCPU returns a process's user and system time, or 0 if the system does not
// report them. The kernel counts them in ticks of 10 ms.
func processCPU(pid int) time.Duration {
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

// stop terminates the processes and closes the cluster.
func (r *buildRun) stop() {
	for _, cmd := range r.processes {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range r.processes {
		_ = cmd.Wait()
	}
	if r.cluster != nil {
		r.cluster.Close()
	}
}
