package main

import (
	"fmt"
	"time"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtnode"
)

func init() {
	commands.Register("moves", "Show the moves to new backend server versions.", &movesCommand{})
}

type movesCommand struct {
	adminOption
	Watch bool `help:"Keep printing changes until every move is done or rolled back."`
}

// Help returns examples.
func (c *movesCommand) Help() string {
	return gtcommand.Examples("godwittide moves --watch", "godwittide moves --admin 10.0.0.1:7403 --json")
}

// Run prints the moves known to the node. With --watch it polls the node and
// prints each change until every move is done or rolled back.
func (c *movesCommand) Run(env gtcommand.Env) error {
	printed := map[string]string{}
	for {
		var s gtnode.Status
		if err := c.getJSON(env.Context(), "/status", &s); err != nil {
			return err
		}
		finished := true
		for _, m := range s.Moves {
			line := formatMove(m)
			if printed[m.Name] != line {
				env.Printf("%s\n", line)
				printed[m.Name] = line
			}
			finished = finished && (m.Phase == "done" || m.Phase == "taken back")
		}
		if len(s.Moves) == 0 {
			env.Printf("no moves\n")
		}
		if finished || !c.Watch {
			return env.PrintIfJSON(s.Moves)
		}
		if err := gttimer.Sleep(env.Context(), 500*time.Millisecond); err != nil {
			return nil
		}
	}
}

func formatMove(m gtnode.MoveStatus) string {
	line := fmt.Sprintf("%-20s %s %s to %s: %s", m.Name, m.Service, m.From, m.To, m.Phase)
	if m.Phase == "running" {
		line += fmt.Sprintf(", %.0f%% of requests", 100*m.Share)
	}
	if !m.Ended.IsZero() {
		line += " at " + m.Ended.Format(time.TimeOnly)
	}
	if m.MissedDeadline {
		line += ", late: due " + m.Deadline.Format(time.RFC3339)
	}
	if m.Reason != "" {
		line += " (" + m.Reason + ")"
	}
	return line
}
