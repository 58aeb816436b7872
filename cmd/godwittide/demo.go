package main

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtstand"
)

func init() {
	commands.Register("demo", "Run a small site on loopback and show what it does.", &demoCommand{})
}

type demoCommand struct {
	Verbose bool `help:"Show the nodes' logs." short:"v"`
}

// demo is one run of the small site.
type demo struct {
	env   gtcommand.Env
	lab   *gtlab.Lab
	files map[string]string
	taken string
}

const demoBase = `
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

// Run shows a change, a good and a bad move, and a zone that leaves and
// returns. It fails unless all of it really happened.
func (c *demoCommand) Run(env gtcommand.Env) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: env.Out()}).With().Timestamp().Logger()
	}
	d := &demo{env: env, lab: &gtlab.Lab{Log: log}, files: map[string]string{"10-base.toml": demoBase}, taken: "z2"}
	if err := d.lab.Open(env.Context()); err != nil {
		return err
	}
	defer d.lab.Close()
	start := time.Now()
	for _, step := range []func() error{d.build, d.change, d.moves, d.zone} {
		if err := step(); err != nil {
			return err
		}
	}
	env.Printf("all of it happened, in %s\n", time.Since(start).Round(100*time.Millisecond))
	return env.Print(map[string]any{"seconds": time.Since(start).Seconds()})
}

// build starts three zones with both versions of two services.
func (d *demo) build() error {
	for _, zone := range []string{"z1", "z2", "z3"} {
		for _, service := range []string{"lending", "catalogue"} {
			for _, version := range []string{"1", "2"} {
				spec := gtlab.Spec{Zone: zone, Service: service, Version: version, Work: 2 * time.Millisecond, Noise: 0.3}
				s, err := d.lab.Add(spec)
				if err != nil {
					return err
				}
				if service == "catalogue" && version == "2" {
					s.Backend().Fail(gtstand.BackendFaults{Fail: 0.5})
				}
			}
		}
	}
	sites := len(d.lab.Sites())
	if !d.lab.Until(10*time.Second, func() bool { return d.lab.Know(sites) }) {
		return errorx.TimeoutElapsed.New("the nodes did not find each other")
	}
	d.env.Printf("%d nodes in 3 availability zones have found each other\n", sites)
	return nil
}

// push pushes the folder and returns the time until it is in force everywhere.
func (d *demo) push() (time.Duration, error) {
	start := time.Now()
	version := d.lab.Sites()[0].Node().Status().Version + 1
	if err := d.lab.Push(d.files); err != nil {
		return 0, err
	}
	if !d.lab.Until(10*time.Second, func() bool { return d.lab.InForce(version) }) {
		return 0, errorx.TimeoutElapsed.New("version %d is not in force everywhere", version)
	}
	return time.Since(start), nil
}

func (d *demo) change() error {
	took, err := d.push()
	if err != nil {
		return err
	}
	d.env.Printf("a configuration change is in force everywhere after %s\n", took.Round(time.Millisecond))
	return nil
}

// traffic sends requests to all edges until stop is called.
func (d *demo) traffic(path string, rate float64) (load *gtlab.Load, stop func()) {
	load = &gtlab.Load{Method: "GET", Path: path, Rate: rate}
	for _, s := range d.lab.Sites() {
		load.Edges = append(load.Edges, s.Edge())
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

// moves runs a good move of one service and a bad one of the other.
func (d *demo) moves() error {
	_, stopGood := d.traffic("/lending/x", 300)
	defer stopGood()
	bad, stopBad := d.traffic("/catalogue/x", 300)
	defer stopBad()
	by := time.Now().Add(15 * time.Second).UTC().Format(time.RFC3339)
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
`, by, by)
	if _, err := d.push(); err != nil {
		return err
	}
	if !d.lab.Until(10*time.Second, func() bool { return d.moved("catalogue-2").Phase == "taken back" }) {
		return errorx.TimeoutElapsed.New("the bad version was not taken back: %+v", d.moved("catalogue-2"))
	}
	m := d.moved("catalogue-2")
	failed, total := 0, 0
	for _, r := range bad.Results() {
		total++
		if r.Status == 500 {
			failed++
		}
	}
	d.env.Printf("the bad version of catalogue was taken back after %s: %s; %d of %d requests met its faults\n",
		m.Ended.Sub(m.Started).Round(100*time.Millisecond), m.Reason, failed, total)
	if !d.lab.Until(20*time.Second, func() bool { return d.moved("lending-2").Phase == "done" }) {
		return errorx.TimeoutElapsed.New("the good move is not done: %+v", d.moved("lending-2"))
	}
	m = d.moved("lending-2")
	if m.Late {
		return errorx.TimeoutElapsed.New("the good move is late")
	}
	d.env.Printf("the good version of lending has all requests after %s, %s before it was due\n",
		m.Ended.Sub(m.Started).Round(100*time.Millisecond), m.Deadline.Sub(m.Ended).Round(100*time.Millisecond))
	return nil
}

func (d *demo) moved(name string) gtnode.MoveStatus {
	for _, m := range d.lab.Sites()[0].Node().Status().Moves {
		if m.Name == name {
			return m
		}
	}
	return gtnode.MoveStatus{}
}

// zone takes a zone out under load and brings it back.
func (d *demo) zone() error {
	load, stop := d.traffic("/lending/y", 300)
	d.files["30-zones.toml"] = fmt.Sprintf("[zone.%s]\nout = true\n", d.taken)
	took, err := d.push()
	if err != nil {
		return err
	}
	settled := time.Now()
	if err := gttimer.Sleep(d.env.Context(), time.Second); err != nil {
		return err
	}
	if n := d.worked(settled.Add(200 * time.Millisecond)); n > 0 {
		return errorx.IllegalState.New("%d requests ran in the zone that was taken out", n)
	}
	d.env.Printf("availability zone %s gets no new work %s after it was taken out\n", d.taken, took.Round(time.Millisecond))
	delete(d.files, "30-zones.toml")
	if _, err := d.push(); err != nil {
		return err
	}
	back := time.Now()
	if !d.lab.Until(5*time.Second, func() bool { return d.worked(back) > 0 }) {
		return errorx.TimeoutElapsed.New("zone %s gets no work after its return", d.taken)
	}
	stop()
	failed := 0
	for _, r := range load.Results() {
		if !r.OK() {
			failed++
		}
	}
	if failed > 0 {
		return errorx.IllegalState.New("%d of %d requests failed while the zone left and returned", failed, len(load.Results()))
	}
	d.env.Printf("it works again; none of %d requests failed meanwhile\n", len(load.Results()))
	return nil
}

// worked counts the requests that the zone's backend servers have run since.
func (d *demo) worked(since time.Time) int {
	n := 0
	for _, s := range d.lab.Sites() {
		if s.Zone() != d.taken {
			continue
		}
		for _, r := range s.Backend().Log() {
			if r.At.After(since) {
				n++
			}
		}
	}
	return n
}
