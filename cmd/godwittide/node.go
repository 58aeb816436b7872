package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"

	"godwittide/io/process/gtboottime"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
)

func init() {
	commands.Register("node", "Run a node for the local backend server.", &nodeCommand{})
}

type nodeCommand struct {
	Settings string `help:"Settings file." required:"" type:"existingfile" placeholder:"FILE" xor:"what"`
	Sample   bool   `help:"Print a commented settings file and exit." required:"" xor:"what"`
	Check    bool   `help:"Check the settings and exit."`
}

// Help returns examples.
func (c *nodeCommand) Help() string {
	return gtcommand.Examples("godwittide node --settings node.toml")
}

// Run runs the node until the command is interrupted or terminated.
func (c *nodeCommand) Run(env gtcommand.Env) error {
	if c.Sample {
		_, err := fmt.Fprint(env.Out(), gtsettings.Sample)
		return err
	}
	signals := notifyHangups()
	cfg, err := gtsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		env.Printf("%s is valid\n", c.Settings)
		return nil
	}
	out := gtlog.Open(os.Stdout)
	defer out.Close()
	log, err := newLog(cfg, out)
	if err != nil {
		return err
	}
	gtnode.TuneGC(0, int64(cfg.Limit.MemoryBytes))
	node := &gtnode.Node{
		Settings: cfg, Log: log, SinceBoot: gtboottime.SinceBoot,
		SettingsSource: gtnode.SettingsSource{Path: c.Settings, Load: gtsettings.Load, Hangups: signals, SetLogLevel: zerolog.SetGlobalLevel},
	}
	node.Init()
	return node.Run(env.Context())
}

// newLog returns a logger that writes to out, with the format of cfg. The level of cfg
// becomes that of the process, since it can change later.
func newLog(cfg gtsettings.Settings, out io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return zerolog.Nop(), err
	}
	if cfg.Log.Format == "text" {
		out = zerolog.ConsoleWriter{Out: out, NoColor: !isTerminal(os.Stdout)}
	}
	zerolog.SetGlobalLevel(level)
	return gtlog.New(out, zerolog.TraceLevel, cfg.Node.Instance), nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
