package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
	"godwittide/io/request/gttimeline"
)

func init() {
	commands.Register("explain", "Show the way of a request in the logs of several nodes.", &explainCommand{})
}

type explainCommand struct {
	ID   string   `arg:"" help:"Id of the request, as its caller or the answer tells it."`
	Logs []string `arg:"" help:"Logs of nodes." type:"existingfile" placeholder:"LOG"`
}

// Help returns examples.
func (c *explainCommand) Help() string {
	return gtcommand.Examples("godwittide explain 1059 node-1.log node-2.log node-3.log")
}

// explained is the way as JSON.
type explained struct {
	Way     []string `json:"way"`
	Beside  []string `json:"beside"`
	Missing []string `json:"missing"`
}

// Run prints the way in order, what stands beside it, and what is missing. It
// fails if no log knows the request.
func (c *explainCommand) Run(env gtcommand.Env) error {
	reader := &gttimeline.Reader{ID: c.ID}
	for _, name := range c.Logs {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	way := reader.Timeline()
	var out explained
	env.Printf("way of request %s:\n", c.ID)
	for _, s := range way.Events() {
		out.Way = append(out.Way, s.Text())
		env.Printf("  %s  %s\n", s.Time().Format("15:04:05.000"), s.Text())
	}
	if len(way.Related()) > 0 {
		env.Printf("about the same time:\n")
	}
	for _, s := range way.Related() {
		out.Beside = append(out.Beside, s.Text())
		env.Printf("  %s  %s\n", s.Time().Format("15:04:05.000"), s.Text())
	}
	out.Missing = way.Missing()
	for _, m := range out.Missing {
		env.Printf("missing: %s\n", m)
	}
	if err := env.Print(out); err != nil {
		return err
	}
	if len(way.Events()) == 0 {
		return errorx.IllegalArgument.New("no log knows request %s", c.ID)
	}
	return nil
}

func readLog(reader *gttimeline.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errorx.Decorate(err, "open a log")
	}
	defer f.Close()
	return reader.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}
