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
	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("measure", "Measure nodes with stand-in backend servers and a stand-in store on loopback.", &measureCommand{})
}

type measureCommand struct {
	Scale   measureScale   `cmd:"" help:"Control cost and propagation time against the number of nodes and the rate of changes."`
	Latency measureLatency `cmd:"" help:"Latency that two nodes add to a call, against direct calls to the backend server."`
	Against measureAgainst `cmd:"" help:"Added latency of several builds, as separate processes, in one run."`
	Admit   measureAdmit   `cmd:"" help:"Goodput of the adaptive and of a fixed concurrency limit against the offered load."`
	Table   measureTable   `cmd:"" help:"Memory and time of a node's tables at a given size."`
}

const lendingConfig = `
[service.lending]
version = "1"
timeout = "2s"
[route.holds]
service = "lending"
path = "/lending"
`

// frontConfig is lendingConfig with a second service, front, whose node receives
// the callers' requests.
const frontConfig = lendingConfig + "[service.front]\nversion = \"1\"\n"

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the size of the heap in bytes after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// withCPUProfile runs fn and writes a CPU profile of it to file, unless file is
// empty.
func withCPUProfile(file string, fn func() error) error {
	if file == "" {
		return fn()
	}
	f, err := os.Create(file)
	if err != nil {
		return errorx.Decorate(err, "create the CPU profile")
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return errorx.Decorate(err, "start the CPU profile")
	}
	defer pprof.StopCPUProfile()
	return fn()
}

type measureScale struct {
	Nodes   []int         `help:"Numbers of nodes." default:"10,50,100"`
	Rest    time.Duration `help:"Time to measure without changes." default:"10s"`
	Changes int           `help:"Number of changes to push." default:"20"`
	Every   time.Duration `help:"Time between changes." default:"500ms"`
	Bytes   int           `help:"Size of the file that each change replaces." default:"1000"`
	Profile string        `help:"File to write a CPU profile to." type:"path"`
	Zones   int           `help:"Number of availability zones." default:"3"`
	Regions int           `help:"Number of regions, each with an equal share of the zones." default:"1"`
	Near    time.Duration `help:"Round-trip time between zones of a region." default:"0s"`
	Far     time.Duration `help:"Round-trip time between regions." default:"0s"`
	Kill    int           `help:"Number of nodes, counted from the last, to kill at once after the other measurements."`
	Limit   time.Duration `help:"Time limit for the nodes to discover each other, and to detect the killed ones." default:"60s"`
	Verbose bool          `help:"Print the logs of the nodes."`
}

// scaleRow holds the measurements with one number of nodes. Fields that start with
// Join cover the discovery of the other nodes, Rest the time without changes,
// Change a pushed change, and Loss the killing of nodes.
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

// Run measures each number of nodes, one after the other.
func (c *measureScale) Run(env gtcommand.Env) error {
	return withCPUProfile(c.Profile, func() error {
		var rows []scaleRow
		for _, n := range c.Nodes {
			row, err := c.measure(env, n)
			if err != nil {
				return err
			}
			rows = append(rows, row)
			env.Printf("%4d nodes: discovered each other in %.1f s for %.0f B and %.0f ms of CPU time each, %.1f links; idle %.2f%% of a core, %.0f B/s sent, %.2f MB heap each; store %.1f reads/s, %.1f writes/s, %d watches; a change costs %.0f B and %.2f ms of CPU time each, active after p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
				row.Nodes, row.Converge, row.JoinSent, 1000*row.JoinCPU, row.MeanLinks, row.RestCPU, row.RestSent, row.Heap, row.RestReads, row.RestWrites, row.RestWatches, row.ChangeSent, row.ChangeCPU, row.P50, row.P99, row.Max)
		}
		return env.PrintIfJSON(rows)
	})
}

// measure measures a cluster of n nodes.
func (c *measureScale) measure(env gtcommand.Env, n int) (scaleRow, error) {
	ctx := env.Context()
	before := heapInUse()
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	cluster := &gtcluster.Cluster{Log: log, Delay: c.roundTrip}
	if err := cluster.Open(ctx); err != nil {
		return scaleRow{}, err
	}
	defer cluster.Close()
	row := scaleRow{Nodes: n}
	start, startCPU := time.Now(), cpuTime()
	for i := range n {
		spec := gtcluster.SiteSpec{Zone: fmt.Sprintf("z%d", i%c.Zones+1), Service: fmt.Sprintf("s%d", i/8), Version: "1"}
		if _, err := cluster.Add(spec); err != nil {
			return row, err
		}
	}
	if !cluster.WaitUntil(c.Limit, func() bool { return cluster.ReadyAtLeast(n) }) {
		readyCounts := map[int]int{}
		for _, s := range cluster.Sites() {
			readyCounts[s.Node().CountReady()]++
		}
		return row, errorx.TimeoutElapsed.New("%d nodes did not discover each other; count of nodes by the number of ready instances they know: %v", n, readyCounts)
	}
	row.Converge, row.JoinSent, row.JoinCPU = time.Since(start).Seconds(), bytesSent(cluster)/float64(n), (cpuTime()-startCPU).Seconds()/float64(n)
	files := map[string]string{"10-base.toml": lendingConfig}
	if err := cluster.Push(files); err != nil {
		return row, err
	}
	cluster.WaitUntil(10*time.Second, func() bool { return cluster.AllActiveAt(1) })
	_ = gttimer.Sleep(ctx, 3*time.Second)
	c.measureIdle(ctx, cluster, &row)
	row.Heap = float64(heapInUse()-before) / float64(n) / (1 << 20)
	if err := c.measureChanges(ctx, cluster, files, &row); err != nil || c.Kill == 0 {
		return row, err
	}
	return row, c.measureLoss(ctx, env, cluster, &row)
}

// lossPeriod is the time for which bytes are counted after a loss. Within it the
// killed nodes are declared gone and the other nodes learn of it.
const lossPeriod = 20 * time.Second

// measureLoss kills c.Kill nodes at once, and measures the cost to the remaining
// nodes and the time until all of them have detected the loss.
func (c *measureScale) measureLoss(ctx context.Context, env gtcommand.Env, cluster *gtcluster.Cluster, row *scaleRow) error {
	remaining := row.Nodes - c.Kill
	for _, s := range cluster.Sites()[remaining:] {
		s.Node().Abort()
	}
	for _, s := range cluster.Sites()[remaining:] {
		cluster.Kill(s)
	}
	totalSent := func() (bytes float64) {
		for _, s := range cluster.Sites()[:remaining] {
			bytes += float64(s.Node().Status().ControlBytesSent)
		}
		return bytes
	}
	startCPU, bytes, start := cpuTime(), totalSent(), time.Now()
	if !cluster.WaitUntil(c.Limit, func() bool { return cluster.ReadyAtMost(remaining) }) {
		return errorx.TimeoutElapsed.New("not every node detected the loss of %d nodes", c.Kill)
	}
	row.LossKnown = time.Since(start).Seconds()
	_ = gttimer.Sleep(ctx, lossPeriod-time.Since(start))
	row.LossSent = (totalSent()-bytes)/float64(remaining) - row.RestSent*lossPeriod.Seconds()
	row.LossCPU = 1000 * ((cpuTime()-startCPU).Seconds()/float64(remaining) - row.RestCPU/100*lossPeriod.Seconds())
	env.Printf("%4d nodes: every node had detected the loss of %d after %.1f s, for %.0f B and %.0f ms of CPU time each\n", row.Nodes, c.Kill, row.LossKnown, row.LossSent, row.LossCPU)
	return nil
}

// roundTrip returns the round-trip time between two zones.
func (c *measureScale) roundTrip(from, to string) time.Duration {
	if from == to || to == "" {
		return 0
	}
	if c.region(from) == c.region(to) {
		return c.Near
	}
	return c.Far
}

// region returns the index of the zone's region.
func (c *measureScale) region(zone string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(zone, "z"))
	return (n - 1) * c.Regions / c.Zones
}

// bytesSent returns the number of bytes that all nodes have sent.
func bytesSent(cluster *gtcluster.Cluster) float64 {
	total := 0.0
	for _, s := range cluster.Sites() {
		total += float64(s.Node().Status().ControlBytesSent)
	}
	return total
}

// measureIdle measures CPU time, bytes sent and store calls while no change is
// pushed.
func (c *measureScale) measureIdle(ctx context.Context, cluster *gtcluster.Cluster, row *scaleRow) {
	n := float64(row.Nodes)
	startCPU, bytes, counts, start := cpuTime(), bytesSent(cluster), cluster.Store().Counts(), time.Now()
	_ = gttimer.Sleep(ctx, c.Rest)
	took := time.Since(start).Seconds()
	row.RestCPU = 100 * (cpuTime() - startCPU).Seconds() / took / n
	row.RestSent = (bytesSent(cluster) - bytes) / took / n
	now := cluster.Store().Counts()
	row.RestReads = float64(now.Reads-counts.Reads) / took
	row.RestWrites = float64(now.Writes-counts.Writes) / took
	row.RestWatches = now.OpenWatches
	for _, s := range cluster.Sites() {
		row.MeanLinks += float64(s.Node().Status().Links) / n
	}
}

// measureChanges pushes changes and measures their cost and the time until each
// is active on each node.
func (c *measureScale) measureChanges(ctx context.Context, cluster *gtcluster.Cluster, files map[string]string, row *scaleRow) error {
	n := float64(row.Nodes)
	startCPU, bytes, start := cpuTime(), bytesSent(cluster), time.Now()
	var times []float64
	for i := range c.Changes {
		padding := make([]byte, c.Bytes)
		for k := range padding {
			padding[k] = 'x'
		}
		files["20-change.toml"] = fmt.Sprintf("# %s\n[zone.n%d]\nout = true\n", padding, i)
		next := time.Now().Add(c.Every)
		pushed := time.Now()
		if err := cluster.Push(files); err != nil {
			return err
		}
		if !cluster.WaitUntil(10*time.Second, func() bool { return cluster.AllActiveAt(int64(i + 2)) }) {
			return errorx.TimeoutElapsed.New("change %d did not become active", i)
		}
		for _, s := range cluster.Sites() {
			times = append(times, 1000*s.Node().Status().ActiveSince.Sub(pushed).Seconds())
		}
		_ = gttimer.Sleep(ctx, time.Until(next))
	}
	took := time.Since(start).Seconds()
	slices.Sort(times)
	row.P50, row.P99, row.Max = times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
	row.ChangeSent = ((bytesSent(cluster)-bytes)/n - row.RestSent*took) / float64(c.Changes)
	row.ChangeCPU = 1000 * ((cpuTime()-startCPU).Seconds()/n - row.RestCPU/100*took) / float64(c.Changes)
	return nil
}
