package main

import (
	"strconv"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtnode"
)

func init() {
	commands.Register("accounts", "Show the client accounts and what a node has answered them.", &accountsCommand{})
}

type accountsCommand struct {
	adminOption
}

// Help returns examples.
func (c *accountsCommand) Help() string {
	return gtcommand.Examples("godwittide accounts", "godwittide accounts --admin 10.0.0.1:7403 --json")
}

// Run prints the accounts of the active configuration with the requests that callers of
// the node have sent on their behalf.
func (c *accountsCommand) Run(env gtcommand.Env) error {
	var list []gtnode.AccountStatus
	if err := c.getJSON(env.Context(), "/accounts", &list); err != nil {
		return err
	}
	env.Printf("%-24s %8s %10s %10s %7s\n", "ACCOUNT", "RANK", "SERVED", "REFUSED", "SHARE")
	for _, a := range list {
		env.Printf("%-24s %8s %10d %10d %6.1f%%\n", a.Name, formatRank(a.Rank), a.Served, a.Refused, 100*a.Share)
	}
	if len(list) == 0 {
		env.Printf("no accounts: requests need no key\n")
	}
	return env.PrintIfJSON(list)
}

// formatRank returns an account's rank, or a dash if that of the route applies.
func formatRank(rank *float64) string {
	if rank == nil {
		return "-"
	}
	return strconv.FormatFloat(*rank, 'g', -1, 64)
}
