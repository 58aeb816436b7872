package main

import (
	"runtime"
	"runtime/debug"

	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("version", "Show the version of this program.", &versionCommand{})
}

type versionCommand struct{}

// Help returns examples.
func (c *versionCommand) Help() string { return gtcommand.Examples("godwittide version --json") }

// Run prints the version of the program and of Go.
func (c *versionCommand) Run(env gtcommand.Env) error {
	version := "development"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	env.Printf("godwittide %s, %s\n", version, runtime.Version())
	return env.PrintIfJSON(map[string]string{"version": version, "go": runtime.Version()})
}
