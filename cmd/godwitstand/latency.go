package main

import (
	"context"
	"runtime"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
)

type measureLatency struct {
	Rates   []float64     `help:"Requests a second." default:"56,2000"`
	Time    time.Duration `help:"Time to measure each rate." default:"10s"`
	Work    time.Duration `help:"Time that the backend server takes." default:"1ms"`
	Rounds  int           `help:"Rounds of direct and carried calls in turn." default:"3"`
	Profile string        `help:"Write a processor profile." type:"path"`
	Buffer  int           `help:"Answers up to this size are held until whole." default:"65536"`
	Untuned bool          `help:"Leave the collector as the language has it."`
	Size    int           `help:"Size of an answer in bytes." default:"0"`
}

// latencyRow is what was measured at one rate, in milliseconds. CPU, Allocs and
// Bytes are what two nodes add to a call.
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

// Run measures calls through two nodes and direct calls in turn.
func (c *measureLatency) Run(env gtcommand.Env) error {
	if !c.Untuned {
		gtnode.TuneGC(0)
	}
	return profile(c.Profile, func() error { return c.run(env) })
}

func (c *measureLatency) run(env gtcommand.Env) error {
	lab := &gtlab.Lab{Log: zerolog.Nop()}
	if err := lab.Open(env.Context()); err != nil {
		return err
	}
	defer lab.Close()
	settings := func(cfg *gtsettings.Settings) { cfg.Limit.Buffer = c.Buffer }
	edge, err := lab.Add(gtlab.Spec{Zone: "z1", Service: "front", Version: "1", Settings: settings})
	if err != nil {
		return err
	}
	target, err := lab.Add(gtlab.Spec{Zone: "z1", Service: "lending", Version: "1", Slots: 100, Work: c.Work, Settings: settings})
	if err != nil {
		return err
	}
	if !lab.Until(10*time.Second, func() bool { return lab.Know(2) }) {
		return errorx.TimeoutElapsed.New("the nodes did not find each other")
	}
	if err := lab.Push(map[string]string{"10.toml": frontBase}); err != nil {
		return err
	}
	lab.Until(10*time.Second, func() bool { return lab.InForce(1) })
	var rows []latencyRow
	for _, rate := range c.Rates {
		c.load(env.Context(), edge.Edge(), rate, 5*time.Second) // the gate's limit rises
		var direct, mesh []gtlab.Result
		var bare, carried spent
		part := c.Time / time.Duration(c.Rounds)
		for range c.Rounds {
			begin := spentNow()
			direct = append(direct, c.load(env.Context(), "http://"+target.Settings().Backend.Address, rate, part)...)
			middle := spentNow()
			mesh = append(mesh, c.load(env.Context(), edge.Edge(), rate, part)...)
			bare, carried = bare.plus(middle, begin), carried.plus(spentNow(), middle)
		}
		n := float64(max(len(mesh), 1))
		row := latencyRow{
			Rate: rate, Direct50: ms(direct, 0.5), Direct99: ms(direct, 0.99), Mesh50: ms(mesh, 0.5), Mesh99: ms(mesh, 0.99),
			CPU:    1000 * (carried.cpu - bare.cpu).Seconds() / n,
			Allocs: float64(carried.allocs-bare.allocs) / n, Bytes: float64(carried.bytes-bare.bytes) / n,
			Failed: failed(mesh),
		}
		rows = append(rows, row)
		env.Printf("%.0f a second: direct p50 %.3f ms, p99 %.3f ms; two nodes p50 %.3f ms, p99 %.3f ms; added p50 %.3f ms, p99 %.3f ms, %.3f ms of processor time, %.0f allocations, %.1f KB; %d of %d failed\n",
			rate, row.Direct50, row.Direct99, row.Mesh50, row.Mesh99, row.Mesh50-row.Direct50, row.Mesh99-row.Direct99, row.CPU, row.Allocs, row.Bytes/1000, row.Failed, len(mesh))
	}
	return env.Print(rows)
}

// spent is what this process has used since its start.
type spent struct {
	cpu           time.Duration
	allocs, bytes int64
}

func spentNow() spent {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return spent{cpu: cpuTime(), allocs: int64(m.Mallocs), bytes: int64(m.TotalAlloc)}
}

// plus adds what was used between two moments.
func (s spent) plus(end, begin spent) spent {
	return spent{cpu: s.cpu + end.cpu - begin.cpu, allocs: s.allocs + end.allocs - begin.allocs, bytes: s.bytes + end.bytes - begin.bytes}
}

func ms(results []gtlab.Result, q float64) float64 {
	return 1000 * gtlab.Quantile(results, q).Seconds()
}

func failed(results []gtlab.Result) int {
	n := 0
	for _, r := range results {
		if !r.OK() {
			n++
		}
	}
	return n
}

func (c *measureLatency) load(ctx context.Context, edge string, rate float64, d time.Duration) []gtlab.Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	load := &gtlab.Load{Method: "GET", Path: "/lending/x", Rate: rate, Edges: []string{edge}, Size: c.Size}
	load.Run(ctx)
	return load.Results()
}
