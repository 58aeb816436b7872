// Package gtcommand runs the commands of a program: it parses the arguments,
// runs the command that they name, and maps errors to exit codes.
//
// # Usage
//
//	var commands gtcommand.List
//	func init() { commands.Register("node", "Run a node.", &nodeCommand{}) }
//	func main() { os.Exit(gtcommand.Main(ctx, "prog", "What it is.", commands, os.Args[1:])) }
//
// A command is a struct whose fields are its flags and arguments, with kong's
// tags, and which has a method Run(gtcommand.Env) error.
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

// Exit codes of Main.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that an argument, a flag or an input file is invalid.
	ExitUsage = 2
)

// Env is the environment that a command runs in: its context and its output.
type Env struct {
	ctx        context.Context
	out        io.Writer
	writesJSON bool
}

// Context returns a context that is canceled when the program is asked to stop.
func (e Env) Context() context.Context { return e.ctx }

// Printf writes text to the output, unless the output format is JSON.
func (e Env) Printf(format string, args ...any) {
	if !e.writesJSON {
		_, _ = fmt.Fprintf(e.out, format, args...)
	}
}

// WritesJSON reports whether the output format is JSON.
func (e Env) WritesJSON() bool { return e.writesJSON }

// PrintIfJSON writes v as indented JSON if the output format is JSON, or else
// nothing.
func (e Env) PrintIfJSON(v any) error {
	if !e.writesJSON {
		return nil
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Out returns the output of the command.
func (e Env) Out() io.Writer { return e.out }

// List is the commands of a program.
type List struct {
	commands []command
}

// Names returns the names of the commands in the order of registration.
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

// Register adds a command with its name and help text.
func (l *List) Register(name, help string, cmd any) {
	l.commands = append(l.commands, command{name, help, cmd})
}

// Examples returns the section of command lines that ends the help of a command.
func Examples(lines ...string) string { return "Examples:\n\n  " + strings.Join(lines, "\n  ") }

// errorTypePrefix matches the names of errorx types in error messages. They are
// removed, since they mean nothing to an operator.
var errorTypePrefix = regexp.MustCompile(`\b(common|synthetic)\.[a-z_]+: `)

type globalFlags struct {
	JSON bool `help:"Write JSON." name:"json"`
}

// Main runs the command that the arguments name and returns the exit code. Without
// arguments it prints the help.
func Main(ctx context.Context, name, description string, list List, args []string) int {
	var flags globalFlags
	options := []kong.Option{
		kong.Name(name), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, c := range list.commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.cmd))
	}
	parser, err := kong.New(&flags, options...)
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
	if err := parsed.Run(Env{ctx: ctx, out: os.Stdout, writesJSON: flags.JSON}); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", name, errorTypePrefix.ReplaceAllString(err.Error(), ""))
		if errorx.IsOfType(err, errorx.IllegalArgument) {
			return ExitUsage
		}
		return ExitFailure
	}
	return ExitSuccess
}
