package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtcommand"
	"godwittide/io/version/gtfolder"
)

type measureTable struct {
	Instances int `help:"Number of instances." default:"16000"`
	Services  int `help:"Number of services." default:"2000"`
	Zones     int `help:"Number of availability zones." default:"15"`
}

// Run fills the membership table and the configuration, and measures their
// memory and the time of their operations.
func (c *measureTable) Run(env gtcommand.Env) error {
	before := heapInUse()
	table := &gtmember.Table{Now: time.Now}
	start := time.Now()
	for i := range c.Instances {
		table.Merge(c.record(i))
	}
	fill := time.Since(start)
	membersMB := float64(heapInUse()-before) / (1 << 20)
	change := c.meanMicros(2000, func(i int) { table.Merge(c.record(i).WithIncarnation(uint64(i + 2))) })
	digest := c.meanMicros(200, func(int) { table.Digest() })
	rank := c.meanMicros(50, func(int) { gtrank.Rank("watch", "i1", table.ZoneMembers("z1")) })
	expire := c.meanMicros(20, func(int) { table.Expire() })
	env.Printf("membership of %d: %.1f MB, %.1f us a record to fill, %.1f us a change, digest %.1f us, rank in zone %.0f us, sweep %.0f us\n",
		c.Instances, membersMB, micros(fill)/float64(c.Instances), change, digest, rank, expire)

	before = heapInUse()
	files := c.configFiles()
	parser := &gtfolder.Parser{}
	start = time.Now()
	cfg, problems := parser.Merge(files)
	first := time.Since(start)
	if len(problems) > 0 {
		return fmt.Errorf("the generated configuration is invalid: %s", problems[0])
	}
	configMB := float64(heapInUse()-before) / (1 << 20)
	again := c.meanMicros(10, func(i int) {
		files["0000.toml"] = fmt.Sprintf("[zone.n%d]\nout = true\n", i)
		parser.Merge(files)
	})
	match := c.meanMicros(2000, func(i int) { cfg.Match("GET", "h", fmt.Sprintf("/s%d/x", i%c.Services)) })
	router := &gtroute.Router{Now: time.Now, Rand: func() float64 { return 0.4 }, Zone: "z1", Instances: table.ServiceMembers, MoveShare: func(gtconfig.Move) float64 { return 0 }}
	pick := c.meanMicros(20000, func(i int) { _, _ = router.Pick(cfg, gtroute.NewQuery(fmt.Sprintf("s%d", i%c.Services))) })
	size := 0
	for name, text := range files {
		size += len(name) + len(text)
	}
	env.Printf("configuration of %d services in %d files, %d bytes: %.1f MB, %.0f ms for the first merge, %.1f ms after a change of one file; match %.2f us, pick %.2f us\n",
		c.Services, len(files), size, configMB, micros(first)/1000, again/1000, match, pick)
	one, err := reportSize(1)
	if err != nil {
		return err
	}
	ten, err := reportSize(10)
	if err != nil {
		return err
	}
	env.Printf("a report of request outcomes: %d bytes with 1 route, %d with 10\n", one, ten)
	runtime.KeepAlive(table)
	runtime.KeepAlive(parser)
	return env.PrintIfJSON(map[string]float64{
		"membersmb": membersMB, "changeus": change, "digestus": digest, "rankus": rank, "sweepus": expire,
		"configmb": configMB, "firstms": micros(first) / 1000, "againms": again / 1000, "matchus": match, "pickus": pick, "bytes": float64(size),
		"report1": float64(one), "report10": float64(ten),
	})
}

// reportSize returns the size in bytes of the message that an instance sends
// about the given number of routes, before it is compressed.
func reportSize(routes int) (int, error) {
	var counter gtcanary.OutcomeCounter
	for i := range routes {
		for k := range 1000 {
			latency := time.Duration(1+k%50) * time.Millisecond
			counter.Add(fmt.Sprintf("route-%d", i), gtcanary.NewOutcome(k%100 == 0, latency))
		}
	}
	b, err := json.Marshal(gtwire.FromReport(counter.Report("service-1-instance-1", "1")))
	if err != nil {
		return 0, errorx.Decorate(err, "encode a report of request outcomes")
	}
	return len(b), nil
}

// micros returns d in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// meanMicros calls fn n times and returns the mean time of a call in
// microseconds.
func (c *measureTable) meanMicros(n int, fn func(i int)) float64 {
	start := time.Now()
	for i := range n {
		fn(i)
	}
	return micros(time.Since(start)) / float64(n)
}

// record returns the membership record of instance i.
func (c *measureTable) record(i int) gtmember.Record {
	name, zone := fmt.Sprintf("service-%d-instance-%d", i%c.Services, i), fmt.Sprintf("z%d", i%c.Zones)
	return gtmember.NewRecord(name, zone, fmt.Sprintf("10.%d.%d.1:7401", i>>8, i&255), fmt.Sprintf("10.%d.%d.1:7402", i>>8, i&255)).
		WithBackend(fmt.Sprintf("s%d", i%c.Services), "1", 10).WithState(gtmember.Ready)
}

// configFiles returns configuration files with ten services each.
func (c *measureTable) configFiles() map[string]string {
	files := map[string]string{}
	for i := range c.Services {
		name := fmt.Sprintf("%04d.toml", 1+i/10)
		files[name] += fmt.Sprintf("[service.s%d]\nversion = \"1\"\ntimeout = \"2s\"\n[route.r%d]\nservice = \"s%d\"\npath = \"/s%d\"\nmethod = [\"GET\", \"POST\"]\n", i, i, i, i)
	}
	return files
}
