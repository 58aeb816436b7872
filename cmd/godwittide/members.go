package main

import (
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("members", "List the instances known to a node.", &membersCommand{})
}

type membersCommand struct {
	adminOption
	Zone string `help:"Show only this availability zone."`
}

// Help returns examples.
func (c *membersCommand) Help() string {
	return gtcommand.Examples("godwittide members --zone z1", "godwittide members --json")
}

// Run prints the instances known to the node.
func (c *membersCommand) Run(env gtcommand.Env) error {
	var list, shown []gtwire.Record
	if err := c.getJSON(env.Context(), "/members", &list); err != nil {
		return err
	}
	env.Printf("%-24s %-8s %-16s %-8s %-9s %s\n", "INSTANCE", "ZONE", "SERVICE", "VERSION", "STATE", "HOP")
	for _, r := range list {
		if c.Zone != "" && r.Zone != c.Zone {
			continue
		}
		shown = append(shown, r)
		env.Printf("%-24s %-8s %-16s %-8s %-9s %s\n", r.Instance, r.Zone, r.Service, r.Version, r.State, r.HopAddress)
	}
	return env.PrintIfJSON(shown)
}
