// Package gtway finds the way of one request in the logs of several nodes.
//
// # Usage
//
//	reader := &gtway.Reader{ID: "1059"}
//	err := reader.Read("node-1.log", file)      // for each log
//	way := reader.Way()
//	for _, step := range way.Steps() { fmt.Println(step.Text()) }
//	for _, m := range way.Missing() { fmt.Println(m) }
//
// A log is lines of JSON, as gtlog writes them; text before the first brace of
// a line is passed over, as collectors of logs put their own there. What else the
// logs say about the same service, version or instances stands beside the way.
package gtway

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
	// around is how long before and after the request other lines still belong
	// beside its way.
	around = 5 * time.Second
)

// The messages of lines that tell of a request.
const (
	ran      = "request: came to its server"
	again    = "request: tried again"
	answered = "request: answered"
	leftOut  = "request: more lines of this kind were left out"
)

// beside are the beginnings of messages that can tell why a request failed.
var beside = []string{
	"move: new state", "move: new version halted", "backend: ", "store: ", "overlay: instance", "crash: ", "node: ", "config: ", "log: ", leftOut,
}

// line is a line of a log.
type line struct {
	Time      string  `json:"time"`
	Node      string  `json:"node"`
	Message   string  `json:"message"`
	Kind      string  `json:"kind"`
	Request   string  `json:"request"`
	Service   string  `json:"service"`
	Route     string  `json:"route"`
	Certainty string  `json:"certainty"`
	Why       string  `json:"why"`
	Instance  string  `json:"instance"`
	Attempt   int     `json:"attempt"`
	MS        int64   `json:"ms"`
	Left      int64   `json:"left"`
	Version   int64   `json:"version"`
	Age       int64   `json:"age"`
	Status    int     `json:"status"`
	Busy      int     `json:"busy"`
	Limit     int     `json:"limit"`
	Pace      int64   `json:"pace"`
	Backend   string  `json:"backend"`
	State     string  `json:"state"`
	Move      string  `json:"move"`
	Phase     string  `json:"phase"`
	Share     float64 `json:"share"`
	Reason    string  `json:"reason"`
	Lines     int     `json:"lines"`
	Dropped   int     `json:"dropped"`
	Error     string  `json:"error"`
}

// Step is one line of a request's way.
type Step struct {
	at   time.Time
	node string
	line line
}

// At returns the time of the line.
func (s Step) At() time.Time { return s.at }

// Node returns the node that wrote it.
func (s Step) Node() string { return s.node }

// Text says in words what the line tells.
func (s Step) Text() string {
	l := s.line
	switch l.Message {
	case ran:
		return fmt.Sprintf("%s: %s after %d ms; the gate had %d requests for %d slots, the route took %d ms there; backend server of version %s, %s%s",
			s.node, outcome(l), l.MS, l.Busy, l.Limit, l.Pace, l.Backend, l.State, why(l))
	case again:
		return fmt.Sprintf("%s: attempt %d at %s failed (%s, %s) with %d ms left, went on to another%s", s.node, l.Attempt, l.Instance, kind(l), l.Certainty, l.Left, why(l))
	case answered:
		return fmt.Sprintf("%s: answered %s after %d ms, by version %d of the configuration, in force for %d ms%s", s.node, outcome(l), l.MS, l.Version, l.Age, why(l))
	case "move: new state", "move: new version halted":
		return fmt.Sprintf("%s: %s: move %s is %s, share %.2f: %s", s.node, l.Message, l.Move, l.Phase, l.Share, l.Reason)
	case leftOut:
		return fmt.Sprintf("%s: left out %d lines of the kind %q", s.node, l.Lines, l.Kind)
	default:
		return strings.TrimRight(fmt.Sprintf("%s: %s %s", s.node, l.Message, cmp.Or(l.Error, l.Reason, l.Instance, l.State)), " ")
	}
}

// kind returns the error kind of a line, whose name begins with what it is
// about.
func kind(l line) string { return l.Kind[strings.LastIndexByte(l.Kind, ' ')+1:] }

func outcome(l line) string {
	if k := kind(l); k != "none" {
		return fmt.Sprintf("%s (%s)", k, l.Certainty)
	}
	if l.Status != 0 {
		return fmt.Sprintf("the backend server's %d", l.Status)
	}
	return "with the backend server's answer"
}

func why(l line) string {
	if l.Why == "" {
		return ""
	}
	return ": " + l.Why
}

// Reader reads logs for the lines about a request. Its exported field is set
// before Read.
type Reader struct {
	// ID is the request's id.
	ID string

	steps []Step
	other []Step
	nodes map[string]bool
}

// Read reads one log. Name stands for its node where lines name none.
func (r *Reader) Read(name string, in io.Reader) error {
	if r.nodes == nil {
		r.nodes = map[string]bool{}
	}
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 64<<10), maxLine)
	for scan.Scan() {
		r.take(name, scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return errorx.Decorate(err, "read %s", name)
	}
	return nil
}

func (r *Reader) take(name string, b []byte) {
	from := bytes.IndexByte(b, '{')
	if from < 0 {
		return
	}
	var l line
	if json.Unmarshal(b[from:], &l) != nil {
		return // something else that a process has written, as a stack
	}
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		at = time.Time{}
	}
	s := Step{at: at, node: cmp.Or(l.Node, name), line: l}
	r.nodes[s.node] = true
	if l.Request == r.ID && r.ID != "" {
		r.steps = append(r.steps, s)
		return
	}
	if slices.ContainsFunc(beside, func(p string) bool { return strings.HasPrefix(l.Message, p) }) {
		r.other = append(r.other, s)
	}
}

// Way is what the logs tell of a request.
type Way struct {
	steps   []Step
	beside  []Step
	missing []string
}

// Steps returns the request's own lines, in order.
func (w Way) Steps() []Step { return w.steps }

// Beside returns other lines of about the same time that may tell the cause.
func (w Way) Beside() []Step { return w.beside }

// Missing says what the logs ought to hold and do not.
func (w Way) Missing() []string { return w.missing }

// Way returns what was read.
func (r *Reader) Way() Way {
	w := Way{steps: slices.Clone(r.steps)}
	slices.SortStableFunc(w.steps, func(a, b Step) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(order(a), order(b)))
	})
	if len(w.steps) == 0 {
		w.missing = []string{r.unknown()}
		return w
	}
	first, last := w.steps[0].at.Add(-around), w.steps[len(w.steps)-1].at.Add(around)
	for _, o := range r.other {
		if !o.at.Before(first) && !o.at.After(last) && related(o, w.steps) {
			w.beside = append(w.beside, o)
		}
	}
	slices.SortStableFunc(w.beside, func(a, b Step) int { return a.at.Compare(b.at) })
	w.missing = r.missing(w.steps)
	return w
}

// order is that of lines that bear the same time.
func order(s Step) int { return slices.Index([]string{ran, again, answered}, s.line.Message) }

// related says whether a line is of a node or instance on the way, or about a
// move. Of what was left out, only the kinds on the way matter.
func related(o Step, steps []Step) bool {
	if strings.HasPrefix(o.line.Message, "move: ") {
		return true
	}
	if o.line.Message == leftOut {
		return slices.ContainsFunc(steps, func(s Step) bool { return o.line.Kind == s.line.Kind })
	}
	return slices.ContainsFunc(steps, func(s Step) bool {
		return o.node == s.node || o.line.Instance != "" && (o.line.Instance == s.node || o.line.Instance == s.instance())
	})
}

// instance returns the instance that a line about an attempt names, or "".
func (s Step) instance() string {
	if s.line.Instance != "" {
		return s.line.Instance
	}
	rest, ok := strings.CutPrefix(s.line.Why, "instance ")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, ":")
	return name
}

func (r *Reader) unknown() string {
	n := 0
	for _, o := range r.other {
		n += o.line.Lines + o.line.Dropped
	}
	text := fmt.Sprintf("no line about request %q in the logs of %d nodes: it went well (one in 256 of those is logged), or was asked elsewhere", r.ID, len(r.nodes))
	if n > 0 {
		text += fmt.Sprintf(", or is among %d lines that were left out", n)
	}
	return text
}

// missing compares the lines with each other: who was asked, and who answered.
func (r *Reader) missing(steps []Step) []string {
	var out []string
	asked := false
	ranAt := map[string]bool{}
	for _, s := range steps {
		asked = asked || s.line.Message == answered
		if s.line.Message == ran {
			ranAt[s.node] = true
		}
	}
	told := map[string]bool{}
	for _, s := range steps {
		i := s.instance()
		if i == "" || ranAt[i] || told[i] {
			continue
		}
		told[i] = true
		if r.nodes[i] {
			out = append(out, fmt.Sprintf("%s logged nothing about it: it never came there, the node ended, or the line was left out", i))
		} else {
			out = append(out, fmt.Sprintf("the log of %s, which was asked, is not among these", i))
		}
	}
	if !asked {
		out = append(out, "no line about the answer: the log of the node that the caller asked is not among these, the caller left, the node ended, or the request went well in the end")
	}
	return out
}
