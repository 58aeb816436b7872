package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtsoak"
)

func init() {
	commands.Register("rollout", "Play rollouts beside troubles with nodes in separate processes, and check how many requests a bad version gets.", &rolloutCommand{})
}

type rolloutCommand struct {
	Program string `help:"Program to run the nodes with, without heartbeats of the backend servers; this program's beats command if empty." placeholder:"FILE"`
	Seed    uint64 `help:"Seed of the first run." default:"1"`
	Seeds   int    `help:"Number of runs, each with the next seed." default:"1"`
	Kind    string `help:"How the new version is bad: errors, slow, load, class, late, or good; drawn from the seed if empty." default:""`
	Trouble string `help:"What happens beside the rollout; drawn from the seed if empty." default:""`
	Keep    string `help:"Folder for settings, logs and traces." placeholder:"DIR"`
}

// Help returns examples.
func (c *rolloutCommand) Help() string {
	return gtcommand.Examples("godwitstand rollout --program ./godwittide --seed 7", "godwitstand rollout --program ./godwittide --seed 1 --seeds 5 --kind slow --trouble none")
}

// Run plays the rollouts one after the other. It fails if the rule was violated.
func (c *rolloutCommand) Run(env gtcommand.Env) error {
	violated := 0
	var reports []gtsoak.RolloutReport
	for i := range uint64(c.Seeds) {
		report, err := c.runSeed(env, c.Seed+i)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		if len(report.Violations) > 0 {
			violated++
		}
	}
	if err := env.PrintIfJSON(reports); err != nil {
		return err
	}
	if violated > 0 {
		return errorx.IllegalState.New("the rule was violated in %d of %d runs", violated, c.Seeds)
	}
	return nil
}

// runSeed plays one rollout and prints its report.
func (c *rolloutCommand) runSeed(env gtcommand.Env, seed uint64) (gtsoak.RolloutReport, error) {
	root := c.Keep
	if root == "" {
		root = os.TempDir()
	}
	dir := filepath.Join(root, fmt.Sprintf("rollout-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return gtsoak.RolloutReport{}, errorx.Decorate(err, "create the folder of a run")
	}
	kinds, troubles := uint64(len(gtsoak.RolloutKinds)), uint64(len(gtsoak.RolloutTroubles))
	nodeCommand := []string{c.Program, "node"}
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return gtsoak.RolloutReport{}, errorx.Decorate(err, "find the path of this program")
		}
		nodeCommand = []string{self, "beats"}
	}
	rollout := &gtsoak.Rollout{
		NodeCommand: nodeCommand, Dir: dir, Seed: seed, Kind: c.Kind, Trouble: c.Trouble,
		RolloutTime: gtsoak.RolloutTime, SteadyTime: gtsoak.SteadyTime,
	}
	if rollout.Kind == "" {
		rollout.Kind = gtsoak.RolloutKinds[seed%kinds]
	}
	if rollout.Trouble == "" {
		rollout.Trouble = gtsoak.RolloutTroubles[seed/kinds%troubles]
	}
	report, err := rollout.Run(env.Context())
	if err != nil {
		return report, err
	}
	env.Printf("seed %d, %s, %s, %.0f/s: new version got %d (in touch %d) of %d, %d bad answers, last request %d ms (in touch %d) after %d of them, share up to %.2f, %s\n",
		seed, report.Kind, report.Trouble, report.Rate, report.New, report.NewInTouch, report.Total, report.BadAnswers, report.LateMS, report.LateInTouchMS, gtsoak.MaxBadAnswers, report.MaxShare, report.Phase)
	for _, s := range report.Violations {
		env.Printf("  broken: %s; logs in %s\n", s, dir)
	}
	return report, nil
}
