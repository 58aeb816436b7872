package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtsoak"
)

func init() {
	commands.Register("soak", "Inject random faults into nodes in separate processes, and check the guarantees.", &soakCommand{})
}

type soakCommand struct {
	Program string  `help:"Program to run the nodes with." default:"godwittide" placeholder:"FILE"`
	Seed    uint64  `help:"Seed of the first run." default:"1"`
	Seeds   int     `help:"Number of runs, each with the next seed." default:"1"`
	Minutes float64 `help:"Minutes during which faults are injected, in each run." default:"1"`
	Sites   int     `help:"Number of backend servers, each with its own node." default:"6"`
	Stops   bool    `help:"Stop nodes in turn, overlapping, under requests that take long, in place of random faults." xor:"faults"`
	Pauses  bool    `help:"With stops, pause nodes for moments, as if they were short of processor time."`
	Duties  bool    `help:"Report the use of accounts, and kill and pause the holder of that duty in place of random faults." xor:"faults"`
	Busy    int     `help:"Processes that only compute beside the nodes." default:"0"`
	Plant   string  `help:"Run nodes with a fault: lie, twice, mix or leave, see plant --help." default:"" enum:",lie,twice,mix,leave"`
	Keep    string  `help:"Folder for settings and logs of the nodes; those of runs without findings are removed." placeholder:"DIR"`
}

// Help returns examples.
func (c *soakCommand) Help() string {
	return gtcommand.Examples("godwitstand soak --program ./godwittide --seed 7 --minutes 1", "godwitstand soak --program ./godwittide --seed 100 --seeds 50 --minutes 0.5",
		"godwitstand soak --program ./godwittide --seed 1 --stops --sites 40 --busy 8 --minutes 0.5")
}

// Run runs the soak tests one after the other. It fails if a guarantee was
// violated.
func (c *soakCommand) Run(env gtcommand.Env) error {
	root, err := c.folder()
	if err != nil {
		return err
	}
	nodeCommand := []string{c.Program, "node"}
	if c.Plant != "" {
		self, err := os.Executable()
		if err != nil {
			return errorx.Decorate(err, "find the path of this program")
		}
		nodeCommand = []string{self, "plant", c.Plant}
	}
	violated := 0
	var reports []gtsoak.Report
	for i := range uint64(c.Seeds) {
		dir := filepath.Join(root, fmt.Sprint(c.Seed+i))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return errorx.Decorate(err, "create the folder of a run")
		}
		soak := &gtsoak.Soak{NodeCommand: nodeCommand, Dir: dir, Seed: c.Seed + i, FaultTime: time.Duration(c.Minutes * float64(time.Minute)), Sites: c.Sites, Stops: c.Stops, Pauses: c.Pauses, Duties: c.Duties, Busy: c.Busy}
		report, err := soak.Run(env.Context())
		if err != nil {
			return err
		}
		reports = append(reports, report)
		c.print(env, report, dir)
		if len(report.Violations) > 0 {
			violated++
		} else if len(report.TooSlow) == 0 {
			_ = os.RemoveAll(dir)
		}
	}
	if err := env.PrintIfJSON(reports); err != nil {
		return err
	}
	if violated > 0 {
		return errorx.IllegalState.New("guarantees were violated in %d of %d runs", violated, c.Seeds)
	}
	return nil
}

// folder returns the folder of --keep, or else a new temporary one.
func (c *soakCommand) folder() (string, error) {
	if c.Keep != "" {
		return c.Keep, nil
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", errorx.Decorate(err, "create a folder for the nodes' logs")
	}
	return dir, nil
}

func (c *soakCommand) print(env gtcommand.Env, r gtsoak.Report, dir string) {
	env.Printf("seed %d: %d faults, configuration active %d ms after them, at most %d files open; %v\n", r.Seed, r.Faults, r.PropagationMS, r.Files, r.Calls)
	if c.Duties {
		env.Printf("  counts of %d windows compared\n", r.Windows)
	}
	for _, s := range r.TooSlow {
		env.Printf("  slow: %s\n", s)
	}
	for _, s := range r.Violations {
		env.Printf("  broken: %s\n", s)
	}
	if len(r.Violations) > 0 {
		env.Printf("  logs in %s\n", dir)
	}
}
