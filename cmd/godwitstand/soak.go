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
	commands.Register("soak", "Play random faults on nodes in processes of their own, and check the promises.", &soakCommand{})
}

type soakCommand struct {
	Program string  `help:"Program whose nodes are tried." default:"godwittide" placeholder:"FILE"`
	Seed    uint64  `help:"Seed of the first day." default:"1"`
	Seeds   int     `help:"Number of days, each with the next seed." default:"1"`
	Minutes float64 `help:"Minutes in which faults come, for each day." default:"1"`
	Sites   int     `help:"Number of backend servers, each with its node." default:"6"`
	Plant   string  `help:"Play it on nodes that break a promise: lie, twice, mix or leave, see plant --help." default:"" enum:",lie,twice,mix,leave"`
	Keep    string  `help:"Folder for settings and logs of the nodes; those of days without a finding are removed." placeholder:"DIR"`
}

// Help returns examples.
func (c *soakCommand) Help() string {
	return gtcommand.Examples("godwitstand soak --program ./godwittide --seed 7 --minutes 1", "godwitstand soak --program ./godwittide --seed 100 --seeds 50 --minutes 0.5")
}

// Run plays the days one after the other. It fails if a promise was broken.
func (c *soakCommand) Run(env gtcommand.Env) error {
	keep, err := c.folder()
	if err != nil {
		return err
	}
	node := []string{c.Program, "node"}
	if c.Plant != "" {
		self, err := os.Executable()
		if err != nil {
			return errorx.Decorate(err, "find this program")
		}
		node = []string{self, "plant", c.Plant}
	}
	broken := 0
	var reports []gtsoak.Report
	for i := range uint64(c.Seeds) {
		dir := filepath.Join(keep, fmt.Sprint(c.Seed+i))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return errorx.Decorate(err, "make a folder for the day")
		}
		soak := &gtsoak.Soak{Node: node, Dir: dir, Seed: c.Seed + i, Time: time.Duration(c.Minutes * float64(time.Minute)), Sites: c.Sites}
		report, err := soak.Run(env.Context())
		if err != nil {
			return err
		}
		reports = append(reports, report)
		c.print(env, report, dir)
		if len(report.Broken) > 0 {
			broken++
		} else if len(report.Slow) == 0 {
			_ = os.RemoveAll(dir)
		}
	}
	if err := env.Print(reports); err != nil {
		return err
	}
	if broken > 0 {
		return errorx.IllegalState.New("promises were broken on %d of %d days", broken, c.Seeds)
	}
	return nil
}

func (c *soakCommand) folder() (string, error) {
	if c.Keep != "" {
		return c.Keep, nil
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", errorx.Decorate(err, "make a folder for the nodes' logs")
	}
	return dir, nil
}

func (c *soakCommand) print(env gtcommand.Env, r gtsoak.Report, dir string) {
	env.Printf("seed %d: %d faults, in force %d ms after them; %v\n", r.Seed, r.Faults, r.Force, r.Calls)
	for _, s := range r.Slow {
		env.Printf("  slow: %s\n", s)
	}
	for _, s := range r.Broken {
		env.Printf("  broken: %s\n", s)
	}
	if len(r.Broken) > 0 {
		env.Printf("  logs in %s\n", dir)
	}
}
