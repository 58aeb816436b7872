package main

import (
	"os"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/io/process/gtboottime"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtnode"
	"godwittide/platform/gtplatform"
)

func init() {
	commands.Register("sidecar", "Run a node on the platform, as the sidecar of a backend server.", &sidecarCommand{})
}

type sidecarCommand struct {
	Level string `help:"Minimum log level: debug, info, warn or error." default:"info" placeholder:"LEVEL"`
}

// Help returns examples.
func (c *sidecarCommand) Help() string {
	return gtcommand.Examples("GODWITTIDE_BOOT=boot.toml godwittide sidecar")
}

// Run runs the node until the command is interrupted or terminated.
func (c *sidecarCommand) Run(env gtcommand.Env) error {
	signals := notifyHangups()
	path := os.Getenv(gtplatform.BootFileVariable)
	if path == "" {
		return errorx.IllegalArgument.New("environment variable %s is not set; it must name the platform's settings file", gtplatform.BootFileVariable)
	}
	boot, err := gtplatform.LoadBootSettings(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return errorx.Decorate(err, "parse --level")
	}
	gtnode.TuneGC(boot.MemoryLimit(), int64(boot.Settings().Limit.MemoryBytes))
	out := gtlog.Open(os.Stdout)
	defer out.Close()
	log := gtlog.New(out, level, boot.Settings().Node.Instance)
	return (&gtplatform.Adapter{Boot: boot, Log: log, SinceBoot: gtboottime.SinceBoot, BootFile: path, Hangups: signals}).Run(env.Context())
}
