package main

import (
	"strings"

	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("duties", "Show which node holds each duty and how far it is.", &dutiesCommand{})
}

type dutiesCommand struct {
	adminOption
}

// Help returns examples.
func (c *dutiesCommand) Help() string {
	return gtcommand.Examples("godwittide duties", "godwittide duties --admin 10.0.0.1:7403 --json")
}

// Run prints the duties as the node knows them, or as their holder does if that responds.
func (c *dutiesCommand) Run(env gtcommand.Env) error {
	var list []gtwire.DutyStatus
	if err := c.getJSON(env.Context(), "/duties", &list); err != nil {
		return err
	}
	env.Printf("%-14s %-24s %10s %12s %8s %9s %6s  %s\n", "DUTY", "HOLDER", "TOKEN", "LAST WINDOW", "LAG", "REPORTED", "LOST", "CANDIDATES")
	for _, s := range list {
		holder := s.Holder
		if holder == "" {
			holder = "-"
		}
		env.Printf("%-14s %-24s %10d %12d %7.1fs %9d %6d  %s\n", s.Name, holder, s.Token, s.LastWindow, s.LagSeconds, s.Reported, s.Lost, strings.Join(s.Candidates, " "))
	}
	if len(list) == 0 {
		env.Printf("no duties: this node has no duty address\n")
	}
	return env.PrintIfJSON(list)
}
