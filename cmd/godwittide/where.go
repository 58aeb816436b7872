package main

import (
	"fmt"
	"net/url"
	"time"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtnode"
)

func init() {
	commands.Register("where", "Show where a request would go now and why, without sending it.", &whereCommand{})
}

type whereCommand struct {
	adminOption
	Host    string `help:"Host of the request." required:"" placeholder:"HOST"`
	Path    string `help:"Path of the request." required:"" placeholder:"PATH"`
	Method  string `help:"Method of the request." default:"GET" placeholder:"METHOD"`
	Account string `help:"Name of the account that the request is sent for; never a key." placeholder:"NAME"`
	Zone    string `help:"Ask as if the request came from this zone." placeholder:"ZONE"`
}

// Help returns examples.
func (c *whereCommand) Help() string {
	return gtcommand.Examples("godwittide where --host shop.example --path /book", "godwittide where --admin 10.0.0.1:7403 --host shop.example --path /book --method POST --account acme --json")
}

// Run prints the route, the candidates and what the node's gate would do.
func (c *whereCommand) Run(env gtcommand.Env) error {
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "account": {c.Account}, "zone": {c.Zone}}
	var w gtnode.Where
	if err := c.getJSON(env.Context(), "/where?"+query.Encode(), &w); err != nil {
		return err
	}
	if w.Route != "" {
		env.Printf("route %s, class %s, from zone %s, configuration version %d\n", w.Route, w.Class, w.Zone, w.Config)
	}
	if w.Refused != nil {
		env.Printf("refused: %s: %s\n", w.Refused.Kind, w.Refused.Detail)
	}
	for _, s := range w.Services {
		printService(env, s)
	}
	return env.PrintIfJSON(w)
}

// printService prints the candidates of a service.
func printService(env gtcommand.Env, s gtnode.WhereService) {
	env.Printf("service %s, share %.0f%%, by %s\n", s.Service, 100*s.Share, s.By)
	for _, v := range s.Versions {
		if v.Version != "" {
			env.Printf("version %s, share %.1f%%\n", v.Version, 100*v.Share)
		}
	}
	if s.Refused != nil {
		env.Printf("refused: %s: %s\n", s.Refused.Kind, s.Refused.Detail)
	}
	env.Printf("  %-24s %-8s %-8s %9s %6s %8s %8s %8s %6s  %s\n", "INSTANCE", "ZONE", "VERSION", "LOAD", "SPEED", "CAPACITY", "SERVICE", "TRIP", "LATE", "EXCLUDED")
	for _, c := range s.Candidates {
		printCandidate(env, c)
	}
	if g := s.Gate; g != nil {
		env.Printf("gate of this node: %s, expected wait %d ms\n", g.Does, g.WaitMS)
		if g.Refused != nil {
			env.Printf("  %s: %s\n", g.Refused.Kind, g.Refused.Detail)
		}
	}
}

// printCandidate prints an instance, with a star if it is the best one.
func printCandidate(env gtcommand.Env, c gtnode.WhereCandidate) {
	mark, late, excluded := " ", "-", c.Excluded
	if c.Best {
		mark = "*"
	}
	if c.Late != nil {
		late = fmt.Sprintf("%.1f%%", 100**c.Late)
	}
	if !c.EjectedUntil.IsZero() {
		excluded += " until " + c.EjectedUntil.Format(time.RFC3339Nano)
	}
	env.Printf("%s %-24s %-8s %-8s %9s %6s %8s %6dms %6dus %6s  %s\n", mark, c.Instance, c.Zone, c.Version, fmt.Sprintf("%d/%d", c.Busy, c.Limit),
		formatLearned(c.Speed), formatLearned(c.Capacity), c.ServiceMS, c.RoundTripUS, late, excluded)
}

// formatLearned returns a learned value, or a dash if it is unknown.
func formatLearned(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", v)
}
