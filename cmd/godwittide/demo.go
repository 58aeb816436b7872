package main

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtnode"
)

func init() {
	commands.Register("demo", "Run a small mesh on loopback and demonstrate its main functions.", &demoCommand{})
}

type demoCommand struct {
	Verbose bool `help:"Print the logs of the nodes." short:"v"`
}

// demo is one run of the small mesh.
type demo struct {
	env         gtcommand.Env
	cluster     *gtcluster.Cluster
	files       map[string]string
	drainedZone string
}

const demoConfig = `
[service.lending]
version = "1"
timeout = "2s"
[service.catalogue]
version = "1"
timeout = "2s"
[route.holds]
service = "lending"
path = "/lending"
[route.swans]
service = "catalogue"
path = "/catalogue"
`

// Help returns examples.
func (c *demoCommand) Help() string { return gtcommand.Examples("godwittide demo") }

// Run pushes a configuration change, moves traffic to a good and to a bad
// version, and drains a zone and undoes the drain. It fails if a step does
// not have the expected effect.
func (c *demoCommand) Run(env gtcommand.Env) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: env.Out()}).With().Timestamp().Logger()
	}
	d := &demo{env: env, cluster: &gtcluster.Cluster{Log: log}, files: map[string]string{"10-base.toml": demoConfig}, drainedZone: "z2"}
	if err := d.cluster.Open(env.Context()); err != nil {
		return err
	}
	defer d.cluster.Close()
	start := time.Now()
	for _, step := range []func() error{d.startNodes, d.pushConfig, d.runMoves, d.drainZone} {
		if err := step(); err != nil {
			return err
		}
	}
	env.Printf("all steps succeeded in %s\n", time.Since(start).Round(100*time.Millisecond))
	return env.PrintIfJSON(map[string]any{"seconds": time.Since(start).Seconds()})
}

// startNodes starts two versions of two services in each of three zones.
func (d *demo) startNodes() error {
	for _, zone := range []string{"z1", "z2", "z3"} {
		for _, service := range []string{"lending", "catalogue"} {
			for _, version := range []string{"1", "2"} {
				spec := gtcluster.SiteSpec{Zone: zone, Service: service, Version: version, ServiceTime: 2 * time.Millisecond, Jitter: 0.3}
				s, err := d.cluster.Add(spec)
				if err != nil {
					return err
				}
				if service == "catalogue" && version == "2" {
					s.Backend().SetFaults(gtfake.BackendFaults{ErrorShare: 0.5})
				}
			}
		}
	}
	sites := len(d.cluster.Sites())
	if !d.cluster.WaitUntil(10*time.Second, func() bool { return d.cluster.ReadyAtLeast(sites) }) {
		return errorx.TimeoutElapsed.New("the nodes did not discover each other")
	}
	d.env.Printf("%d nodes in 3 availability zones have discovered each other\n", sites)
	return nil
}

// push pushes the files and returns the time until they are active on every
// node.
func (d *demo) push() (time.Duration, error) {
	start := time.Now()
	version := d.cluster.Sites()[0].Node().Status().Version + 1
	if err := d.cluster.Push(d.files); err != nil {
		return 0, err
	}
	if !d.cluster.WaitUntil(10*time.Second, func() bool { return d.cluster.AllActiveAt(version) }) {
		return 0, errorx.TimeoutElapsed.New("version %d is not active on every node", version)
	}
	return time.Since(start), nil
}

func (d *demo) pushConfig() error {
	took, err := d.push()
	if err != nil {
		return err
	}
	d.env.Printf("a configuration change is active on every node after %s\n", took.Round(time.Millisecond))
	return nil
}

// startLoad sends requests to all nodes until stop is called.
func (d *demo) startLoad(path string, rate float64) (load *gtcluster.Load, stop func()) {
	load = &gtcluster.Load{Method: "GET", Path: path, Rate: rate}
	for _, s := range d.cluster.Sites() {
		load.EdgeURLs = append(load.EdgeURLs, s.EdgeURL())
	}
	ctx, cancel := context.WithCancel(d.env.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx)
	}()
	return load, func() {
		cancel()
		<-done
	}
}

// runMoves moves one service to a good version and the other to a version that
// fails requests.
func (d *demo) runMoves() error {
	_, stopGood := d.startLoad("/lending/x", 300)
	defer stopGood()
	bad, stopBad := d.startLoad("/catalogue/x", 300)
	defer stopBad()
	deadline := time.Now().Add(15 * time.Second).UTC().Format(time.RFC3339)
	d.files["20-moves.toml"] = fmt.Sprintf(`
[move.lending-2]
service = "lending"
from = "1"
to = "2"
by = %s
watch = "1s"
[move.catalogue-2]
service = "catalogue"
from = "1"
to = "2"
by = %s
`, deadline, deadline)
	if _, err := d.push(); err != nil {
		return err
	}
	if !d.cluster.WaitUntil(10*time.Second, func() bool { return d.moveStatus("catalogue-2").Phase == "taken back" }) {
		return errorx.TimeoutElapsed.New("the move to the bad version was not rolled back: %+v", d.moveStatus("catalogue-2"))
	}
	m := d.moveStatus("catalogue-2")
	failed, total := 0, 0
	for _, r := range bad.Results() {
		total++
		if r.Status == 500 {
			failed++
		}
	}
	d.env.Printf("the move to the bad version of catalogue was rolled back after %s: %s; %d of %d requests failed on it\n",
		m.Ended.Sub(m.Started).Round(100*time.Millisecond), m.Reason, failed, total)
	if !d.cluster.WaitUntil(20*time.Second, func() bool { return d.moveStatus("lending-2").Phase == "done" }) {
		return errorx.TimeoutElapsed.New("the move to the good version is not done: %+v", d.moveStatus("lending-2"))
	}
	m = d.moveStatus("lending-2")
	if m.MissedDeadline {
		return errorx.TimeoutElapsed.New("the move to the good version ended after its deadline")
	}
	d.env.Printf("the good version of lending serves all requests after %s, %s before the deadline of the move\n",
		m.Ended.Sub(m.Started).Round(100*time.Millisecond), m.Deadline.Sub(m.Ended).Round(100*time.Millisecond))
	return nil
}

func (d *demo) moveStatus(name string) gtnode.MoveStatus {
	for _, m := range d.cluster.Sites()[0].Node().Status().Moves {
		if m.Name == name {
			return m
		}
	}
	return gtnode.MoveStatus{}
}

// drainZone drains a zone under load and undoes the drain.
func (d *demo) drainZone() error {
	load, stop := d.startLoad("/lending/y", 300)
	d.files["30-zones.toml"] = fmt.Sprintf("[zone.%s]\nout = true\n", d.drainedZone)
	took, err := d.push()
	if err != nil {
		return err
	}
	active := time.Now()
	if err := gttimer.Sleep(d.env.Context(), time.Second); err != nil {
		return err
	}
	if n := d.requestsInZone(active.Add(200 * time.Millisecond)); n > 0 {
		return errorx.IllegalState.New("%d requests ran in the zone after it was drained", n)
	}
	d.env.Printf("availability zone %s receives no new requests %s after the push that drains it\n", d.drainedZone, took.Round(time.Millisecond))
	delete(d.files, "30-zones.toml")
	if _, err := d.push(); err != nil {
		return err
	}
	restored := time.Now()
	if !d.cluster.WaitUntil(5*time.Second, func() bool { return d.requestsInZone(restored) > 0 }) {
		return errorx.TimeoutElapsed.New("zone %s receives no requests after its drain was undone", d.drainedZone)
	}
	stop()
	failed := 0
	for _, r := range load.Results() {
		if !r.OK() {
			failed++
		}
	}
	if failed > 0 {
		return errorx.IllegalState.New("%d of %d requests failed while the zone was drained and restored", failed, len(load.Results()))
	}
	d.env.Printf("the zone serves requests again; none of %d requests failed meanwhile\n", len(load.Results()))
	return nil
}

// requestsInZone returns the number of requests that backend servers in the
// zone started after since.
func (d *demo) requestsInZone(since time.Time) int {
	n := 0
	for _, s := range d.cluster.Sites() {
		if s.Zone() != d.drainedZone {
			continue
		}
		for _, e := range s.Backend().Executions() {
			if e.StartedAt.After(since) {
				n++
			}
		}
	}
	return n
}
