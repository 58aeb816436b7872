package main

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtsettings"
)

type measureAdmit struct {
	Slots  int           `help:"Number of requests that the backend server runs concurrently." default:"8"`
	Claim  int           `help:"Number of slots in the settings." default:"16"`
	Work   time.Duration `help:"Mean service time of a request." default:"10ms"`
	Time   time.Duration `help:"Time to measure at each offered load." default:"5s"`
	Factor []float64     `help:"Offered load as a multiple of the capacity." default:"0.5,1,2,5"`
}

// admitRow holds the measurements at one offered load, with times in
// milliseconds. Refused is the share of requests that the node refused, and Shed
// the share that the backend server shed.
type admitRow struct {
	Factor   float64 `json:"factor"`
	Fixed    bool    `json:"fixed"`
	Goodput  float64 `json:"goodput"`
	P50      float64 `json:"p50"`
	P95      float64 `json:"p95"`
	P99      float64 `json:"p99"`
	Refused  float64 `json:"refused"`
	Shed     float64 `json:"shed"`
	RefuseMS float64 `json:"refusems"`
}

// Run measures the adaptive concurrency limit and then a fixed one. By default
// the settings claim more slots than the backend server has.
func (c *measureAdmit) Run(env gtcommand.Env) error {
	var rows []admitRow
	for _, fixed := range []bool{false, true} {
		for _, f := range c.Factor {
			row, err := c.measure(env.Context(), f, fixed)
			if err != nil {
				return err
			}
			rows = append(rows, row)
			limit := "adaptive"
			if fixed {
				limit = "fixed"
			}
			env.Printf("%-8s limit, %.1f times capacity: goodput %.0f/s, responses p50 %.1f, p95 %.1f, p99 %.1f ms, refused %.0f%% (in %.2f ms), shed by the server %.0f%%\n",
				limit, f, row.Goodput, row.P50, row.P95, row.P99, 100*row.Refused, row.RefuseMS, 100*row.Shed)
		}
	}
	return env.PrintIfJSON(rows)
}

// measure measures one offered load on a cluster of one node.
func (c *measureAdmit) measure(ctx context.Context, factor float64, fixed bool) (admitRow, error) {
	row := admitRow{Factor: factor, Fixed: fixed}
	cluster := &gtcluster.Cluster{Log: zerolog.Nop()}
	if err := cluster.Open(ctx); err != nil {
		return row, err
	}
	defer cluster.Close()
	site, err := cluster.Add(gtcluster.SiteSpec{
		Zone: "z1", Service: "lending", Version: "1", Slots: c.Slots, ServiceTime: c.Work, Jitter: 0.3,
		EditSettings: func(cfg *gtsettings.Settings) { cfg.Backend.Slots, cfg.Backend.FixedLimit = c.Claim, fixed },
	})
	if err != nil {
		return row, err
	}
	cluster.WaitUntil(5*time.Second, func() bool { return cluster.ReadyAtLeast(1) })
	if err := cluster.Push(map[string]string{"10.toml": lendingConfig}); err != nil {
		return row, err
	}
	if !cluster.WaitUntil(10*time.Second, func() bool { return cluster.AllActiveAt(1) }) {
		return row, errorx.TimeoutElapsed.New("the configuration did not become active")
	}
	rate := factor * float64(c.Slots) / c.Work.Seconds()
	c.runLoad(ctx, site, rate, 4*time.Second)
	results := c.runLoad(ctx, site, rate, c.Time)
	var good, refused []gtcluster.Result
	shed := 0
	for _, r := range results {
		switch {
		case r.OK():
			good = append(good, r)
		case r.Certainty == "not run":
			refused = append(refused, r)
		case r.Status == 503:
			shed++
		}
	}
	n := float64(len(results))
	row.Goodput = float64(len(good)) / c.Time.Seconds()
	row.P50, row.P95, row.P99 = quantileMS(good, 0.5), quantileMS(good, 0.95), quantileMS(good, 0.99)
	row.RefuseMS = quantileMS(refused, 0.5)
	row.Refused, row.Shed = float64(len(refused))/n, float64(shed)/n
	return row, nil
}

func (c *measureAdmit) runLoad(ctx context.Context, site *gtcluster.Site, rate float64, d time.Duration) []gtcluster.Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: rate, EdgeURLs: []string{site.EdgeURL()}}
	load.Run(ctx)
	return load.Results()
}
