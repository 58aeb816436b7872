package gtsoak

import (
	"math/rand/v2"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
	"godwittide/io/process/gtfake"
	"godwittide/io/version/gtfolder"
)

// The ways in which the new version is bad.
const (
	kindErrors = "errors" // requests fail
	kindSlow   = "slow"   // requests take longer by slowFactor
	kindLoad   = "load"   // requests fail while more than loadLimit are in flight
	kindClass  = "class"  // requests of one route fail
	kindLate   = "late"   // requests fail from lateDelay after the start of the server
	kindGood   = "good"
)

// RolloutKinds lists the ways in which the new version is bad, and good.
var RolloutKinds = []string{kindErrors, kindSlow, kindLoad, kindClass, kindLate, kindGood}

// RolloutTroubles lists the troubles beside a rollout.
var RolloutTroubles = []string{
	"none", "turns", "drivers", "release", "freeze", "busy", "store slow", "store loses", "store down", "store slow+drivers", "freeze+turns", "busy+release", "drivers frozen",
	"old together", "old together+store slow", "drivers+store down", "old together+busy", "old away",
}

const (
	// contactTime is how long a node has to be undisturbed to be in touch.
	contactTime = 3 * time.Second
	// busyProcesses is the number of processes that only compute.
	busyProcesses = 12
	// turnInterval is the time between the stops of two nodes that are stopped in turn.
	turnInterval = 1300 * time.Millisecond
	// releaseInterval is the same for a release, in which stops overlap.
	releaseInterval = 800 * time.Millisecond
	// awayTime is the downtime of the old version's nodes when they are away.
	awayTime = 4 * time.Second
	// maxFreezeTime bounds the duration for which a node is frozen.
	maxFreezeTime = 4 * time.Second
	// maxTroubleDelay bounds the time between the order and the start of a trouble.
	maxTroubleDelay = 7 * time.Second
)

// playTrouble plays a trouble and returns when it has ended.
func (r *rolloutRun) playTrouble(name string, rnd *rand.Rand) {
	delay := time.Duration(rnd.Float64() * float64(maxTroubleDelay))
	duration := 2*time.Second + time.Duration(rnd.Float64()*float64(maxTroubleDelay))
	nodes := slices.Clone(r.sites)
	rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	switch name {
	case "turns":
		r.sleep(delay / 2)
		r.restartInTurn(nodes, turnInterval, seriesDowntime)
	case "drivers":
		r.sleep(delay)
		r.restartInTurn(r.drivers(), 0, seriesDowntime)
	case "old together":
		r.sleep(delay)
		r.restartInTurn(r.old, 0, seriesDowntime)
	case "old away":
		r.sleep(delay)
		r.restartInTurn(r.old, 0, awayTime)
	case "release":
		r.sleep(delay)
		r.restartInTurn(r.old, releaseInterval, seriesDowntime)
	case "freeze":
		r.freeze(nodes[:len(nodes)/3], rnd)
	case "drivers frozen":
		r.sleep(delay)
		r.freezeTogether(r.drivers(), maxFreezeTime)
	case "busy":
		r.starve(r.rollout.RolloutTime)
	case "store slow":
		r.sleep(delay)
		r.injectStoreFault(fault{kind: name, duration: duration}, gtfake.StoreFaults{SlowMS: 400 + rnd.IntN(1600)})
	case "store loses":
		r.sleep(delay)
		r.injectStoreFault(fault{kind: name, duration: duration}, gtfake.StoreFaults{LoseResponseShare: 0.7})
	case "store down":
		r.sleep(delay)
		r.injectStoreFault(fault{kind: name, duration: duration}, gtfake.StoreFaults{Down: true})
	}
}

// restartInTurn restarts nodes after a downtime, each the interval after the one before.
func (r *rolloutRun) restartInTurn(nodes []*site, interval, downtime time.Duration) {
	var wg sync.WaitGroup
	for _, s := range nodes {
		wg.Go(func() { r.restartNode(s, downtime) })
		r.sleep(interval)
	}
	wg.Wait()
}

// freeze freezes the nodes again and again, each for up to maxFreezeTime, until the
// rollout's deadline.
func (r *rolloutRun) freeze(nodes []*site, rnd *rand.Rand) {
	var wg sync.WaitGroup
	for _, s := range nodes {
		own := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		wg.Go(func() {
			for time.Since(r.orderedAt) < r.rollout.RolloutTime && r.ctx.Err() == nil {
				r.sleep(time.Duration(own.Float64() * float64(maxFreezeTime)))
				r.freezeTogether([]*site{s}, 300*time.Millisecond+time.Duration(own.Float64()*float64(maxFreezeTime-300*time.Millisecond)))
			}
		})
	}
	wg.Wait()
}

// freezeTogether freezes nodes at the same moment.
func (r *rolloutRun) freezeTogether(nodes []*site, d time.Duration) {
	for _, s := range nodes {
		defer s.beginDisturbance("freeze")()
		s.signal(syscall.SIGSTOP, false)
	}
	r.sleep(d)
	for _, s := range nodes {
		s.signal(syscall.SIGCONT, false)
	}
}

// starve runs processes that only compute, for d.
func (r *rolloutRun) starve(d time.Duration) {
	var busy []*exec.Cmd
	for range busyProcesses {
		cmd := exec.CommandContext(r.ctx, "sh", "-c", "while :; do :; done")
		if cmd.Start() == nil {
			busy = append(busy, cmd)
		}
	}
	r.sleep(d)
	for _, cmd := range busy {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// drivers returns the first two nodes that drive the move, as the nodes rank them.
func (r *rolloutRun) drivers() []*site {
	ranked := append(slices.Clone(r.old), r.new...)
	slices.SortFunc(ranked, func(a, b *site) int {
		if gtshard.Hash("move "+r.moveID, a.name) < gtshard.Hash("move "+r.moveID, b.name) {
			return -1
		}
		return 1
	})
	return ranked[:2]
}

// moveIDOf returns the ID of the move in the files of a configuration.
func moveIDOf(files map[string]string) (string, error) {
	var parsed []gtconfig.File
	for name, text := range files {
		f, problems := gtfolder.Parse(name, text)
		if len(problems) > 0 {
			return "", errorx.IllegalFormat.New("parse %s: %v", name, problems)
		}
		parsed = append(parsed, f)
	}
	cfg, problems := gtconfig.Merge(parsed)
	if len(problems) > 0 || len(cfg.Moves()) != 1 {
		return "", errorx.IllegalFormat.New("merge the configuration: %v", problems)
	}
	return cfg.Moves()[0].ID(), nil
}
