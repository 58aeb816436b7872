// Command stand-2 plays the cases of the second review that no day of the bench can hold: it
// starts nodes as the deploy file does, with stand-ins of the store, the backend servers and the
// clients on loopback addresses, and checks one rule.
//
// # Usage
//
//	stand-2 --node target/godwittide --record record.txt CASE
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. The variable TROUBLE=0 leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds the time that a case takes.
const maxTime = 115 * time.Second

// contact is the time after a disruption from which a machine is in touch, of the settings.
const contact = 3 * time.Second

// play is one case: it plays the disruption if trouble is true, and reports whether the rule
// was broken.
type play func(s *site, trouble bool) (broken bool, err error)

// plays holds the cases by name.
var plays = map[string]play{}

func main() {
	node := flag.String("node", "target/godwittide", "program of a node")
	path := flag.String("record", "record.txt", "file that the record is written to")
	flag.Parse()
	os.Exit(run(*node, *path, flag.Arg(0)))
}

// run plays a case and returns the exit code.
func run(node, path, name string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(rec, node)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- verdict(s, p) }()
	code := exitNotRun
	select {
	case code = <-result:
	case <-signals:
		rec.add("interrupted")
	case <-time.After(maxTime):
		rec.add("the case took longer than %s", maxTime)
	}
	s.stop()
	return code
}

// verdict plays a case and returns the exit code.
func verdict(s *site, p play) int {
	trouble := os.Getenv("TROUBLE") != "0"
	s.rec.add("trouble: %v", trouble)
	broken, err := p(s, trouble)
	switch {
	case err != nil:
		s.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		s.rec.add("RULE BROKEN")
		return exitBroken
	default:
		s.rec.add("rule held")
		return exitHeld
	}
}
