package main

import (
	"net"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtfake"
)

func init() {
	commands.Register("backend", "Run a stand-in for a backend server.", &backendCommand{})
}

type backendCommand struct {
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:9000" placeholder:"IP:PORT"`
	Name    string        `help:"Name to include in every response." default:"backend"`
	Slots   int           `help:"Number of requests it runs concurrently." default:"10"`
	Work    time.Duration `help:"Mean service time of a request." default:"2ms"`
	Noise   float64       `help:"Jitter of the service time, as a fraction of the mean." default:"0.2"`
	Warm    time.Duration `help:"Warm-up time after a start." default:"0s"`
	Restart time.Duration `help:"Downtime after a crash." default:"1s"`
}

// Run serves until the command is interrupted or terminated.
func (c *backendCommand) Run(env gtcommand.Env) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errorx.Decorate(err, "listen for the backend server")
	}
	b := &gtfake.Backend{Name: c.Name, Slots: c.Slots, ServiceTime: c.Work, Jitter: c.Noise, WarmUp: c.Warm, CrashDowntime: c.Restart}
	env.Printf("backend server %s listens on %s; POST /admin/faults sets faults, GET /admin/log shows its executions\n", c.Name, ln.Addr())
	return b.Run(env.Context(), ln)
}
