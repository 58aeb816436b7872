package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlab"
)

func init() {
	commands.Register("measure", "Measure real nodes with stand-ins on loopback.", &measureCommand{})
}

type measureCommand struct {
	Scale   measureScale   `cmd:"" help:"Control cost and time in force against the number of nodes and the rate of changes."`
	Latency measureLatency `cmd:"" help:"Time that two nodes add to a call, against calling the backend server directly."`
	Against measureAgainst `cmd:"" help:"The same for nodes of several builds, as separate processes, in one run."`
	Admit   measureAdmit   `cmd:"" help:"Goodput of the adaptive and of a fixed limit against the offered load."`
	Table   measureTable   `cmd:"" help:"Memory and time of a node's tables at a given size."`
}

const measureBase = `
[service.lending]
version = "1"
timeout = "2s"
[route.holds]
service = "lending"
path = "/lending"
`

// frontBase adds the service beside whose node callers come in.
const frontBase = measureBase + "[service.front]\nversion = \"1\"\n"

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// profile writes a processor profile while fn runs, if a file is named.
func profile(file string, fn func() error) error {
	if file == "" {
		return fn()
	}
	f, err := os.Create(file)
	if err != nil {
		return errorx.Decorate(err, "write the profile")
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return errorx.Decorate(err, "write the profile")
	}
	defer pprof.StopCPUProfile()
	return fn()
}

type measureScale struct {
	Nodes   []int         `help:"Numbers of nodes." default:"10,50,100"`
	Rest    time.Duration `help:"Time to measure at rest." default:"10s"`
	Changes int           `help:"Number of changes to push." default:"20"`
	Every   time.Duration `help:"Time between changes." default:"500ms"`
	Bytes   int           `help:"Size of the file that each change replaces." default:"1000"`
	Profile string        `help:"Write a processor profile." type:"path"`
	Zones   int           `help:"Number of availability zones." default:"3"`
	Regions int           `help:"Number of regions, each with an equal share of the zones." default:"1"`
	Near    time.Duration `help:"Round trip between zones of a region." default:"0s"`
	Far     time.Duration `help:"Round trip between regions." default:"0s"`
	Kill    int           `help:"Number of nodes to kill at once in the end, the last ones."`
	Limit   time.Duration `help:"Time for the nodes to find each other." default:"60s"`
	Verbose bool          `help:"Show the nodes' logs."`
}

// scaleRow is what was measured with one number of nodes.
type scaleRow struct {
	Nodes       int     `json:"nodes"`
	Converge    float64 `json:"converge"`
	JoinSent    float64 `json:"joinsent"`
	JoinCPU     float64 `json:"joincpu"`
	RestCPU     float64 `json:"restcpu"`
	RestSent    float64 `json:"restsent"`
	Heap        float64 `json:"heap"`
	ChangeSent  float64 `json:"changesent"`
	ChangeCPU   float64 `json:"changecpu"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	Max         float64 `json:"max"`
	StoreCalls  float64 `json:"storecalls"`
	MeanLinks   float64 `json:"links"`
	RestReads   float64 `json:"restreads"`
	RestWrites  float64 `json:"restwrites"`
	RestWatches int     `json:"watches"`
	LossSent    float64 `json:"losssent"`
	LossCPU     float64 `json:"losscpu"`
	LossKnown   float64 `json:"lossknown"`
}

// Run measures each number of nodes in turn.
func (c *measureScale) Run(env gtcommand.Env) error {
	return profile(c.Profile, func() error {
		var rows []scaleRow
		for _, n := range c.Nodes {
			row, err := c.measure(env, n)
			if err != nil {
				return err
			}
			rows = append(rows, row)
			env.Printf("%4d nodes: found each other in %.1f s for %.0f B and %.0f ms of processor each, %.1f links; at rest %.2f%% of a core, %.0f B/s sent, %.2f MB heap each; store %.1f reads/s, %.1f writes/s, %d watches; a change costs %.0f B and %.2f ms of processor each, in force after p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
				row.Nodes, row.Converge, row.JoinSent, 1000*row.JoinCPU, row.MeanLinks, row.RestCPU, row.RestSent, row.Heap, row.RestReads, row.RestWrites, row.RestWatches, row.ChangeSent, row.ChangeCPU, row.P50, row.P99, row.Max)
		}
		return env.Print(rows)
	})
}

func (c *measureScale) measure(env gtcommand.Env, n int) (scaleRow, error) {
	ctx := env.Context()
	before := heap()
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	lab := &gtlab.Lab{Log: log, Delay: c.trip}
	if err := lab.Open(ctx); err != nil {
		return scaleRow{}, err
	}
	defer lab.Close()
	row := scaleRow{Nodes: n}
	start, began := time.Now(), cpuTime()
	for i := range n {
		spec := gtlab.Spec{Zone: fmt.Sprintf("z%d", i%c.Zones+1), Service: fmt.Sprintf("s%d", i/8), Version: "1"}
		if _, err := lab.Add(spec); err != nil {
			return row, err
		}
	}
	if !lab.Until(c.Limit, func() bool { return lab.Know(n) }) {
		know := map[int]int{}
		for _, s := range lab.Sites() {
			know[s.Node().CountReady()]++
		}
		return row, errorx.TimeoutElapsed.New("%d nodes did not find each other: nodes by the number they know: %v", n, know)
	}
	row.Converge, row.JoinSent, row.JoinCPU = time.Since(start).Seconds(), sent(lab)/float64(n), (cpuTime()-began).Seconds()/float64(n)
	files := map[string]string{"10-base.toml": measureBase}
	if err := lab.Push(files); err != nil {
		return row, err
	}
	lab.Until(10*time.Second, func() bool { return lab.InForce(1) })
	_ = gttimer.Sleep(ctx, 3*time.Second)
	c.rest(ctx, lab, &row)
	row.Heap = float64(heap()-before) / float64(n) / (1 << 20)
	if err := c.changes(ctx, lab, files, &row); err != nil || c.Kill == 0 {
		return row, err
	}
	return row, c.loss(ctx, env, lab, &row)
}

// lossTime is how long bytes are counted after a loss: until all is declared
// gone and told.
const lossTime = 20 * time.Second

// loss kills nodes at once, and measures what that costs those that are left.
func (c *measureScale) loss(ctx context.Context, env gtcommand.Env, lab *gtlab.Lab, row *scaleRow) error {
	left := row.Nodes - c.Kill
	for _, s := range lab.Sites()[left:] {
		s.Node().Abort()
	}
	for _, s := range lab.Sites()[left:] {
		lab.Kill(s)
	}
	sum := func() (bytes float64) {
		for _, s := range lab.Sites()[:left] {
			bytes += float64(s.Node().Status().Sent)
		}
		return bytes
	}
	began, bytes, start := cpuTime(), sum(), time.Now()
	if !lab.Until(c.Limit, func() bool { return lab.Only(left) }) {
		return errorx.TimeoutElapsed.New("the loss of %d nodes is not known everywhere", c.Kill)
	}
	row.LossKnown = time.Since(start).Seconds()
	_ = gttimer.Sleep(ctx, lossTime-time.Since(start))
	row.LossSent = (sum()-bytes)/float64(left) - row.RestSent*lossTime.Seconds()
	row.LossCPU = 1000 * ((cpuTime()-began).Seconds()/float64(left) - row.RestCPU/100*lossTime.Seconds())
	env.Printf("%4d nodes: the loss of %d was known everywhere after %.1f s, for %.0f B and %.0f ms of processor each\n", row.Nodes, c.Kill, row.LossKnown, row.LossSent, row.LossCPU)
	return nil
}

// trip returns the round trip between two zones.
func (c *measureScale) trip(from, to string) time.Duration {
	if from == to || to == "" {
		return 0
	}
	if c.region(from) == c.region(to) {
		return c.Near
	}
	return c.Far
}

func (c *measureScale) region(zone string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(zone, "z"))
	return (n - 1) * c.Regions / c.Zones
}

func sent(lab *gtlab.Lab) float64 {
	total := 0.0
	for _, s := range lab.Sites() {
		total += float64(s.Node().Status().Sent)
	}
	return total
}

func (c *measureScale) rest(ctx context.Context, lab *gtlab.Lab, row *scaleRow) {
	n := float64(row.Nodes)
	a, bytes, counts, start := cpuTime(), sent(lab), lab.Store().Counts(), time.Now()
	_ = gttimer.Sleep(ctx, c.Rest)
	took := time.Since(start).Seconds()
	row.RestCPU = 100 * (cpuTime() - a).Seconds() / took / n
	row.RestSent = (sent(lab) - bytes) / took / n
	now := lab.Store().Counts()
	row.RestReads = float64(now.Reads-counts.Reads) / took
	row.RestWrites = float64(now.Writes-counts.Writes) / took
	row.RestWatches = now.Waiting
	for _, s := range lab.Sites() {
		row.MeanLinks += float64(s.Node().Status().Links) / n
	}
}

// changes pushes changes and measures the time until each node has each.
func (c *measureScale) changes(ctx context.Context, lab *gtlab.Lab, files map[string]string, row *scaleRow) error {
	n := float64(row.Nodes)
	a, bytes, start := cpuTime(), sent(lab), time.Now()
	var times []float64
	for i := range c.Changes {
		pad := make([]byte, c.Bytes)
		for k := range pad {
			pad[k] = 'x'
		}
		files["20-change.toml"] = fmt.Sprintf("# %s\n[zone.n%d]\nout = true\n", pad, i)
		next := time.Now().Add(c.Every)
		pushed := time.Now()
		if err := lab.Push(files); err != nil {
			return err
		}
		if !lab.Until(10*time.Second, func() bool { return lab.InForce(int64(i + 2)) }) {
			return errorx.TimeoutElapsed.New("change %d is not in force", i)
		}
		for _, s := range lab.Sites() {
			times = append(times, 1000*s.Node().Status().ActiveSince.Sub(pushed).Seconds())
		}
		_ = gttimer.Sleep(ctx, time.Until(next))
	}
	took := time.Since(start).Seconds()
	slices.Sort(times)
	row.P50, row.P99, row.Max = times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
	row.ChangeSent = ((sent(lab)-bytes)/n - row.RestSent*took) / float64(c.Changes)
	row.ChangeCPU = 1000 * ((cpuTime()-a).Seconds()/n - row.RestCPU/100*took) / float64(c.Changes)
	return nil
}
