package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtheartbeat"
	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
	"godwittide/io/process/gtsoak"
)

const (
	// beatPeriod is the period of the backend server's heartbeats, and beatTimeout the
	// time without one after which the server counts as down.
	beatPeriod  = 500 * time.Millisecond
	beatTimeout = 3 * beatPeriod
)

func init() {
	commands.Register("beats", "Run a node whose backend server sends heartbeats, as on the users' platform.", &beatsCommand{})
}

type beatsCommand struct {
	Settings string `help:"Settings file." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run runs the node until the command is interrupted or terminated.
func (c *beatsCommand) Run(env gtcommand.Env) error {
	signal.Ignore(syscall.SIGHUP)
	cfg, err := gtsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	timer := &gttimer.Service{}
	node := &gtnode.Node{
		Settings: cfg, Log: gtlog.New(os.Stdout, zerolog.InfoLevel, cfg.Node.Instance), Timer: timer,
		Heartbeats: &gtheartbeat.Monitor{Now: timer.Time, Timeout: beatTimeout, PausedSince: timer.PausedSince, NodeStart: timer.Time()},
	}
	node.Init()
	go sendBeats(env.Context(), node, cfg)
	return node.Run(env.Context())
}

// sendBeats hands the node a heartbeat of its backend server every beatPeriod, until ctx
// ends. It has the time that the server says to be cold for.
func sendBeats(ctx context.Context, node *gtnode.Node, cfg gtsettings.Settings) {
	client := http.Client{Timeout: beatPeriod}
	for seq := int64(1); gttimer.Sleep(ctx, beatPeriod) == nil; seq++ {
		resp, err := client.Get("http://" + cfg.Backend.Address + gtsoak.HealthPath)
		if err != nil || !node.Started() {
			continue
		}
		_ = resp.Body.Close()
		started, _ := strconv.ParseInt(resp.Header.Get(gtsoak.StartHeader), 10, 64)
		cold, _ := time.ParseDuration(resp.Header.Get(gtsoak.ColdHeader))
		node.HandleHeartbeat(gtheartbeat.NewHeartbeat(cfg.Node.Instance, cfg.Backend.Version, cfg.Backend.Slots).WithOrder(started, seq).WithWarmUp(cold))
	}
}
