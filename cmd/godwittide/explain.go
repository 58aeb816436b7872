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
	commands.Register("explain", "Show the timeline of a request from the logs of several nodes.", &explainCommand{})
}

type explainCommand struct {
	ID   string   `arg:"" help:"Request ID, from the request or the response."`
	Logs []string `arg:"" help:"Log files of nodes." type:"existingfile" placeholder:"LOG"`
}

// Help returns examples.
func (c *explainCommand) Help() string {
	return gtcommand.Examples("godwittide explain 1059 node-1.log node-2.log node-3.log")
}

// explanation is the JSON output of the command.
type explanation struct {
	Timeline []string `json:"way"`
	Related  []string `json:"beside"`
	Missing  []string `json:"missing"`
}

// Run prints the events of the request in order, other events from about the
// same time, and what is missing. It fails if no log contains the request.
func (c *explainCommand) Run(env gtcommand.Env) error {
	reader := &gttimeline.Reader{ID: c.ID}
	for _, name := range c.Logs {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	timeline := reader.Timeline()
	var out explanation
	env.Printf("timeline of request %s:\n", c.ID)
	for _, e := range timeline.Events() {
		out.Timeline = append(out.Timeline, e.Text())
		env.Printf("  %s  %s\n", e.Time().Format("15:04:05.000"), e.Text())
	}
	if len(timeline.Related()) > 0 {
		env.Printf("other events at about the same time:\n")
	}
	for _, e := range timeline.Related() {
		out.Related = append(out.Related, e.Text())
		env.Printf("  %s  %s\n", e.Time().Format("15:04:05.000"), e.Text())
	}
	out.Missing = timeline.Missing()
	for _, m := range out.Missing {
		env.Printf("missing: %s\n", m)
	}
	if err := env.PrintIfJSON(out); err != nil {
		return err
	}
	if len(timeline.Events()) == 0 {
		return errorx.IllegalArgument.New("no log contains request %s", c.ID)
	}
	return nil
}

// readLog reads a log file into reader. Lines without a node are attributed to the
// node that the file is named after.
func readLog(reader *gttimeline.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errorx.Decorate(err, "open a log")
	}
	defer f.Close()
	return reader.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}
