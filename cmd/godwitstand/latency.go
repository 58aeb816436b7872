package main

import (
	"context"
	"runtime"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
)

type measureLatency struct {
	Rates   []float64     `help:"Requests a second." default:"56,2000"`
	Time    time.Duration `help:"Time to measure at each rate." default:"10s"`
	Work    time.Duration `help:"Service time of the backend server." default:"1ms"`
	Rounds  int           `help:"Number of rounds; each measures direct calls and calls through the nodes." default:"3"`
	Profile string        `help:"File to write a CPU profile to." type:"path"`
	Buffer  int           `help:"Size in bytes up to which responses are buffered whole." default:"65536"`
	Untuned bool          `help:"Keep the default settings of the garbage collector."`
	Size    int           `help:"Size of a response in bytes." default:"0"`
}

// latencyRow holds the measurements at one rate, in milliseconds. CPU, Allocs
// and Bytes are what two nodes add to a call.
type latencyRow struct {
	Rate     float64 `json:"rate"`
	Direct50 float64 `json:"direct50"`
	Direct99 float64 `json:"direct99"`
	Mesh50   float64 `json:"mesh50"`
	Mesh99   float64 `json:"mesh99"`
	CPU      float64 `json:"cpu"`
	Allocs   float64 `json:"allocs"`
	Bytes    float64 `json:"bytes"`
	Failed   int     `json:"failed"`
}

// Run measures direct calls and calls through two nodes in alternation.
func (c *measureLatency) Run(env gtcommand.Env) error {
	if !c.Untuned {
		gtnode.TuneGC(0, int64(gtsettings.Default().Limit.MemoryBytes))
	}
	return withCPUProfile(c.Profile, func() error { return c.run(env) })
}

func (c *measureLatency) run(env gtcommand.Env) error {
	cluster := &gtcluster.Cluster{Log: zerolog.Nop()}
	if err := cluster.Open(env.Context()); err != nil {
		return err
	}
	defer cluster.Close()
	editSettings := func(cfg *gtsettings.Settings) { cfg.Limit.MaxBufferBytes = c.Buffer }
	front, err := cluster.Add(gtcluster.SiteSpec{Zone: "z1", Service: "front", Version: "1", EditSettings: editSettings})
	if err != nil {
		return err
	}
	target, err := cluster.Add(gtcluster.SiteSpec{Zone: "z1", Service: "lending", Version: "1", Slots: 100, ServiceTime: c.Work, EditSettings: editSettings})
	if err != nil {
		return err
	}
	if !cluster.WaitUntil(10*time.Second, func() bool { return cluster.ReadyAtLeast(2) }) {
		return errorx.TimeoutElapsed.New("the nodes did not discover each other")
	}
	if err := cluster.Push(map[string]string{"10.toml": frontConfig}); err != nil {
		return err
	}
	cluster.WaitUntil(10*time.Second, func() bool { return cluster.AllActiveAt(1) })
	var rows []latencyRow
	for _, rate := range c.Rates {
		c.runLoad(env.Context(), front.EdgeURL(), rate, 5*time.Second) // lets the concurrency limit rise to the load
		var direct, mesh []gtcluster.Result
		var directUsage, meshUsage usage
		roundTime := c.Time / time.Duration(c.Rounds)
		for range c.Rounds {
			begin := currentUsage()
			direct = append(direct, c.runLoad(env.Context(), "http://"+target.Settings().Backend.Address, rate, roundTime)...)
			middle := currentUsage()
			mesh = append(mesh, c.runLoad(env.Context(), front.EdgeURL(), rate, roundTime)...)
			directUsage, meshUsage = directUsage.plusInterval(middle, begin), meshUsage.plusInterval(currentUsage(), middle)
		}
		n := float64(max(len(mesh), 1))
		row := latencyRow{
			Rate: rate, Direct50: quantileMS(direct, 0.5), Direct99: quantileMS(direct, 0.99), Mesh50: quantileMS(mesh, 0.5), Mesh99: quantileMS(mesh, 0.99),
			CPU:    1000 * (meshUsage.cpu - directUsage.cpu).Seconds() / n,
			Allocs: float64(meshUsage.allocs-directUsage.allocs) / n, Bytes: float64(meshUsage.bytes-directUsage.bytes) / n,
			Failed: countFailed(mesh),
		}
		rows = append(rows, row)
		env.Printf("%.0f a second: direct p50 %.3f ms, p99 %.3f ms; two nodes p50 %.3f ms, p99 %.3f ms; added p50 %.3f ms, p99 %.3f ms, %.3f ms of CPU time, %.0f allocations, %.1f KB; %d of %d failed\n",
			rate, row.Direct50, row.Direct99, row.Mesh50, row.Mesh99, row.Mesh50-row.Direct50, row.Mesh99-row.Direct99, row.CPU, row.Allocs, row.Bytes/1000, row.Failed, len(mesh))
	}
	return env.PrintIfJSON(rows)
}

// usage is the CPU time, allocations and allocated bytes of this process.
type usage struct {
	cpu           time.Duration
	allocs, bytes int64
}

// currentUsage returns the usage since the start of the process.
func currentUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{cpu: cpuTime(), allocs: int64(m.Mallocs), bytes: int64(m.TotalAlloc)}
}

// plusInterval returns u plus the usage between begin and end.
func (u usage) plusInterval(end, begin usage) usage {
	return usage{cpu: u.cpu + end.cpu - begin.cpu, allocs: u.allocs + end.allocs - begin.allocs, bytes: u.bytes + end.bytes - begin.bytes}
}

// quantileMS returns the q-quantile of the latencies in milliseconds.
func quantileMS(results []gtcluster.Result, q float64) float64 {
	return 1000 * gtcluster.Quantile(results, q).Seconds()
}

func countFailed(results []gtcluster.Result) int {
	n := 0
	for _, r := range results {
		if !r.OK() {
			n++
		}
	}
	return n
}

func (c *measureLatency) runLoad(ctx context.Context, edgeURL string, rate float64, d time.Duration) []gtcluster.Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: rate, EdgeURLs: []string{edgeURL}, ResponseBytes: c.Size}
	load.Run(ctx)
	return load.Results()
}
