package main

import (
	"os"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtnode"
	"godwittide/platform/gtplatform"
)

func init() {
	commands.Register("sidecar", "Run the node on the platform, beside a backend server.", &sidecarCommand{})
}

type sidecarCommand struct {
	Level string `help:"Least level that is logged: debug, info, warn or error." default:"info" placeholder:"LEVEL"`
}

// Help returns examples.
func (c *sidecarCommand) Help() string {
	return gtcommand.Examples("GODWITTIDE_BOOT=boot.toml godwittide sidecar")
}

// Run runs the node until it is asked to stop.
func (c *sidecarCommand) Run(env gtcommand.Env) error {
	hangups := catchHangups()
	path := os.Getenv(gtplatform.BootVariable)
	if path == "" {
		return errorx.IllegalArgument.New("%s is not set; it names the platform's settings file", gtplatform.BootVariable)
	}
	boot, err := gtplatform.LoadBoot(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return errorx.Decorate(err, "--level")
	}
	gtnode.TuneGC(boot.Memory())
	out := gtlog.Open(os.Stdout)
	defer out.Close()
	log := gtlog.New(out, level, boot.Settings().Node.Instance)
	go hangups.log(env.Context(), log)
	return (&gtplatform.Adapter{Boot: boot, Log: log}).Run(env.Context())
}
