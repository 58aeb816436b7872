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
	Watch bool `help:"Go on until every move is done or taken back."`
}

// Help returns examples.
func (c *movesCommand) Help() string {
	return gtcommand.Examples("godwittide moves --watch", "godwittide moves --admin 10.0.0.1:7403 --json")
}

// Run shows the moves as the node sees them.
func (c *movesCommand) Run(env gtcommand.Env) error {
	last := map[string]string{}
	for {
		var s gtnode.Status
		if err := c.ask(env.Context(), "/status", &s); err != nil {
			return err
		}
		over := true
		for _, m := range s.Moves {
			line := moveLine(m)
			if last[m.Name] != line {
				env.Printf("%s\n", line)
				last[m.Name] = line
			}
			over = over && (m.Phase == "done" || m.Phase == "taken back")
		}
		if len(s.Moves) == 0 {
			env.Printf("no moves\n")
		}
		if over || !c.Watch {
			return env.Print(s.Moves)
		}
		if err := gttimer.Sleep(env.Context(), 500*time.Millisecond); err != nil {
			return nil
		}
	}
}

func moveLine(m gtnode.MoveStatus) string {
	line := fmt.Sprintf("%-20s %s %s to %s: %s", m.Name, m.Service, m.From, m.To, m.Phase)
	if m.Phase == "running" {
		line += fmt.Sprintf(", %.0f%% of requests", 100*m.Share)
	}
	if !m.Ended.IsZero() {
		line += " at " + m.Ended.Format(time.TimeOnly)
	}
	if m.Late {
		line += ", late: due " + m.Deadline.Format(time.RFC3339)
	}
	if m.Reason != "" {
		line += " (" + m.Reason + ")"
	}
	return line
}
