// Package gtcommand runs the commands of a program: it parses the arguments,
// runs the command that they name, and turns errors into exit codes.
//
// # Usage
//
//	var commands gtcommand.List
//	func init() { commands.Register("node", "Run a node.", &nodeCommand{}) }
//	func main() { os.Exit(gtcommand.Main(ctx, "prog", "What it is.", commands, os.Args[1:])) }
//
// A command is a struct whose fields are its options, by kong's tags, and
// which has a method Run(gtcommand.Env) error.
package gtcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"
)

// The exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// Env is what a command runs in.
type Env struct {
	ctx  context.Context
	out  io.Writer
	json bool
}

// Context ends when the program is asked to stop.
func (e Env) Context() context.Context { return e.ctx }

// Printf writes text for people, unless the output is JSON.
func (e Env) Printf(format string, args ...any) {
	if !e.json {
		_, _ = fmt.Fprintf(e.out, format, args...)
	}
}

// JSON says whether the output is JSON.
func (e Env) JSON() bool { return e.json }

// Print writes v as JSON, if that is asked for.
func (e Env) Print(v any) error {
	if !e.json {
		return nil
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Out returns the output.
func (e Env) Out() io.Writer { return e.out }

// List is the commands of a program.
type List struct {
	commands []command
}

// Names returns the names of the commands.
func (l *List) Names() []string {
	names := make([]string, len(l.commands))
	for i, c := range l.commands {
		names[i] = c.name
	}
	return names
}

type command struct {
	name, help string
	cmd        any
}

// Register adds a command.
func (l *List) Register(name, help string, cmd any) {
	l.commands = append(l.commands, command{name, help, cmd})
}

// Examples returns the text that the help of a command ends with.
func Examples(lines ...string) string { return "Examples:\n\n  " + strings.Join(lines, "\n  ") }

// kinds matches the names of error types, which say nothing to operators.
var kinds = regexp.MustCompile(`\b(common|synthetic)\.[a-z_]+: `)

type globals struct {
	JSON bool `help:"Write JSON." name:"json"`
}

// Main runs the command that the arguments name and returns the exit code.
func Main(ctx context.Context, name, about string, list List, args []string) int {
	var g globals
	options := []kong.Option{
		kong.Name(name), kong.Description(about), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, c := range list.commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.cmd))
	}
	parser, err := kong.New(&g, options...)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", name, err)
		return ExitUsage
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s; see %s --help\n", name, err, name)
		return ExitUsage
	}
	if err := parsed.Run(Env{ctx: ctx, out: os.Stdout, json: g.JSON}); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", name, kinds.ReplaceAllString(err.Error(), ""))
		if errorx.IsOfType(err, errorx.IllegalArgument) {
			return ExitUsage
		}
		return ExitRefused
	}
	return ExitDone
}
