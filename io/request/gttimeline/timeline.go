// Package gttimeline reconstructs the timeline of one request from the logs of
// several nodes.
//
// # Usage
//
//	reader := &gttimeline.Reader{ID: "1059"}
//	err := reader.Read("node-1.log", file)      // for each log
//	timeline := reader.Timeline()
//	for _, event := range timeline.Events() { fmt.Println(event.Text()) }
//	for _, m := range timeline.Missing() { fmt.Println(m) }
//
// A log consists of JSON lines, as gtlog writes them. Text before the first brace
// of a line is skipped, as log collectors add prefixes there. Lines about the
// nodes and instances involved, and about moves, from about the same time are
// collected as related events.
package gttimeline

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
	// maxLineBytes bounds one line of a log, in bytes.
	maxLineBytes = 1 << 20
	// relatedWindow is how long before the first and after the last line about
	// the request other lines count as related.
	relatedWindow = 5 * time.Second
)

// The messages of lines about a request.
const (
	msgRan      = "request: came to its server"
	msgRetried  = "request: tried again"
	msgResponse = "request: answered"
	msgInFlight = "request: in flight as the drain timed out"
	msgOmitted  = "request: more lines of this kind were left out"
	msgDrained  = "node: drained"
)

// relatedPrefixes are the prefixes of messages that may explain why a request
// failed.
var relatedPrefixes = []string{
	"move: new state", "move: new version halted", "backend: ", "store: ", "overlay: instance", "crash: ", "node: ", "config: ", "log: ", msgOmitted,
}

// logLine holds the fields of a log line that are used here.
type logLine struct {
	Time        string  `json:"time"`
	Node        string  `json:"node"`
	Message     string  `json:"message"`
	Kind        string  `json:"kind"`
	Request     string  `json:"request"`
	Service     string  `json:"service"`
	Route       string  `json:"route"`
	Certainty   string  `json:"certainty"`
	Why         string  `json:"why"`
	Instance    string  `json:"instance"`
	Attempt     int     `json:"attempt"`
	MS          int64   `json:"ms"`
	Remaining   *int64  `json:"left"`
	Paused      bool    `json:"paused"`
	Ended       string  `json:"ended"`
	Origin      string  `json:"origin"`
	From        string  `json:"from"`
	Stage       string  `json:"stage"`
	Answered    int     `json:"answered"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Abandoned   int     `json:"abandoned"`
	Cut         int     `json:"cut"`
	Version     int64   `json:"version"`
	Age         int64   `json:"age"`
	Status      int     `json:"status"`
	Busy        int     `json:"busy"`
	Limit       int     `json:"limit"`
	ServiceTime int64   `json:"pace"`
	Backend     string  `json:"backend"`
	State       string  `json:"state"`
	Move        string  `json:"move"`
	Phase       string  `json:"phase"`
	Share       float64 `json:"share"`
	Reason      string  `json:"reason"`
	Lines       int     `json:"lines"`
	Dropped     int     `json:"dropped"`
	Error       string  `json:"error"`
}

// Event is one log line.
type Event struct {
	time time.Time
	node string
	line logLine
}

// Time returns the time of the line.
func (e Event) Time() time.Time { return e.time }

// Node returns the name of the node that wrote the line.
func (e Event) Node() string { return e.node }

// Text describes the event in one line of text.
func (e Event) Text() string {
	l := e.line
	switch l.Message {
	case msgRan:
		return fmt.Sprintf("%s: %s after %d ms; the admission gate had %d requests at a concurrency limit of %d, the route's service time was %d ms; backend server version %s, %s%s",
			e.node, outcome(l), l.MS, l.Busy, l.Limit, l.ServiceTime, l.Backend, l.State, detail(l))
	case msgRetried:
		return fmt.Sprintf("%s: attempt %d on %s failed (%s, %s)%s, retried%s", e.node, l.Attempt, l.Instance, errorKind(l), l.Certainty, remaining(l, " with "), detail(l))
	case msgResponse:
		return fmt.Sprintf("%s: responded with %s after %d ms; configuration version %d, active for %d ms%s", e.node, outcome(l), l.MS, l.Version, l.Age, detail(l))
	case msgInFlight:
		return fmt.Sprintf("%s: still in flight as the drain timed out: %s, received from %s %s %d ms before%s", e.node, stage(l), l.Origin, l.From, l.Age, remaining(l, ", "))
	case msgDrained:
		return fmt.Sprintf("%s: stopped serving after %d ms; meanwhile %d requests were answered, %d refused, %d failed, %d abandoned by their callers, %d cut off", e.node, l.MS, l.Answered, l.Refused, l.Failed, l.Abandoned, l.Cut)
	case "move: new state", "move: new version halted":
		return fmt.Sprintf("%s: %s: move %s is %s, share of traffic %.2f: %s", e.node, l.Message, l.Move, l.Phase, l.Share, l.Reason)
	case msgOmitted:
		return fmt.Sprintf("%s: omitted %d lines of kind %q", e.node, l.Lines, l.Kind)
	default:
		return strings.TrimRight(fmt.Sprintf("%s: %s %s", e.node, l.Message, cmp.Or(l.Error, l.Reason, l.Instance, l.State)), " ")
	}
}

// errorKind returns the error kind of a line. In the field "kind", a word for what
// the line is about and a space precede it.
func errorKind(l logLine) string { return l.Kind[strings.LastIndexByte(l.Kind, ' ')+1:] }

func outcome(l logLine) string {
	if k := errorKind(l); k != "none" {
		return fmt.Sprintf("%s (%s)", k, l.Certainty)
	}
	if l.Status != 0 {
		return fmt.Sprintf("status %d of the backend server", l.Status)
	}
	return "the response of the backend server"
}

// stages describes the stages of a request in flight.
var stages = map[string]string{
	"reading": "its body had not been received",
	"routing": "its destination was being chosen",
	"queued":  "it waited for the admission gate",
	"working": "it was at work",
	"writing": "its response was being written",
}

func stage(l logLine) string {
	if l.Instance == "" {
		return cmp.Or(stages[l.Stage], l.Stage)
	}
	return cmp.Or(stages[l.Stage], l.Stage) + " on " + l.Instance
}

// remaining returns the remaining time until the deadline after prefix, or "" if the
// line doesn't tell it.
func remaining(l logLine, prefix string) string {
	if l.Remaining == nil {
		return ""
	}
	return fmt.Sprintf("%s%d ms remaining", prefix, *l.Remaining)
}

// enders describes who ended a canceled request.
var enders = map[string]string{
	"sender":   "the caller or peer closed the connection",
	"deadline": "its deadline passed",
	"stop":     "the node closed the connection at the end of its stop",
}

// detail returns why a request failed, and the circumstances that the line tells.
func detail(l logLine) string {
	if l.Why == "" {
		return ""
	}
	text := ": " + l.Why
	if l.Error != "" {
		text += " (" + l.Error + ")"
	}
	if l.Ended != "" {
		text += "; ended as " + cmp.Or(enders[l.Ended], l.Ended)
	}
	if l.Message != msgRetried {
		text += remaining(l, "; ")
	}
	if l.Paused {
		text += "; the node's process was paused meanwhile"
	}
	return text
}

// Reader collects the lines about a request from logs. Its exported field is set
// before Read.
type Reader struct {
	// ID is the request ID.
	ID string

	events     []Event
	candidates []Event // events that may be related to the request
	nodes      map[string]bool
}

// Read reads one log. Lines without a node are taken as written by the node with
// the given name. It fails if the log can't be read, or has a line of more than
// maxLineBytes.
func (r *Reader) Read(name string, in io.Reader) error {
	if r.nodes == nil {
		r.nodes = map[string]bool{}
	}
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scan.Scan() {
		r.parseLine(name, scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return errorx.Decorate(err, "read log %s", name)
	}
	return nil
}

// parseLine adds the event of a log line about the request, or about something
// that may be related to it, and drops other lines.
func (r *Reader) parseLine(name string, b []byte) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return
	}
	var l logLine
	if json.Unmarshal(b[start:], &l) != nil {
		return // not a log line, such as part of a stack trace
	}
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		at = time.Time{}
	}
	e := Event{time: at, node: cmp.Or(l.Node, name), line: l}
	r.nodes[e.node] = true
	if l.Request == r.ID && r.ID != "" {
		r.events = append(r.events, e)
		return
	}
	if slices.ContainsFunc(relatedPrefixes, func(p string) bool { return strings.HasPrefix(l.Message, p) }) {
		r.candidates = append(r.candidates, e)
	}
}

// Timeline holds the events of a request, related events, and notes on missing
// lines.
type Timeline struct {
	events  []Event
	related []Event
	missing []string
}

// Events returns the events of the request in order of time.
func (t Timeline) Events() []Event { return t.events }

// Related returns the related events: other lines from about the same time that
// may tell the cause of a failure.
func (t Timeline) Related() []Event { return t.related }

// Missing describes the lines and logs that were expected but not found.
func (t Timeline) Missing() []string { return t.missing }

// Timeline returns the timeline of the request from the logs read so far.
func (r *Reader) Timeline() Timeline {
	t := Timeline{events: slices.Clone(r.events)}
	slices.SortStableFunc(t.events, func(a, b Event) int {
		return cmp.Or(a.time.Compare(b.time), cmp.Compare(messageRank(a), messageRank(b)))
	})
	if len(t.events) == 0 {
		t.missing = []string{r.notFoundText()}
		return t
	}
	first, last := t.events[0].time.Add(-relatedWindow), t.events[len(t.events)-1].time.Add(relatedWindow)
	for _, other := range r.candidates {
		if !other.time.Before(first) && !other.time.After(last) && isRelated(other, t.events) {
			t.related = append(t.related, other)
		}
	}
	slices.SortStableFunc(t.related, func(a, b Event) int { return a.time.Compare(b.time) })
	t.missing = r.missingLines(t.events)
	return t
}

// messageRank returns the order of an event among those with the same time.
func messageRank(e Event) int {
	return slices.Index([]string{msgInFlight, msgRan, msgRetried, msgResponse}, e.line.Message)
}

// isRelated reports whether an event is about a move, or about a node or instance
// that the events involve. A count of omitted lines is related if the events have
// a line of the same kind.
func isRelated(other Event, events []Event) bool {
	if strings.HasPrefix(other.line.Message, "move: ") {
		return true
	}
	if other.line.Message == msgOmitted {
		return slices.ContainsFunc(events, func(e Event) bool { return other.line.Kind == e.line.Kind })
	}
	return slices.ContainsFunc(events, func(e Event) bool {
		return other.node == e.node || other.line.Instance != "" && (other.line.Instance == e.node || other.line.Instance == e.instance())
	})
}

// instance returns the name of the instance that a line about an attempt names,
// or "". It is in the field "instance", or before the colon at the beginning of the
// error's text.
func (e Event) instance() string {
	if e.line.Instance != "" {
		return e.line.Instance
	}
	rest, ok := strings.CutPrefix(e.line.Why, "instance ")
	if !ok {
		return ""
	}
	name, _, ok := strings.Cut(rest, ":")
	if !ok || strings.Contains(name, " ") {
		return "" // the text goes on after the name, as in "instance b-1 serves"
	}
	return name
}

// notFoundText describes why the logs may have no line about the request.
func (r *Reader) notFoundText() string {
	n := 0
	for _, other := range r.candidates {
		n += other.line.Lines + other.line.Dropped
	}
	text := fmt.Sprintf("no line about request %q in the logs of %d nodes: it succeeded (one in 256 of those is logged), or was sent to another node", r.ID, len(r.nodes))
	if n > 0 {
		text += fmt.Sprintf(", or is among %d lines that were omitted", n)
	}
	return text
}

// missingLines describes the lines that the events imply but don't include: those
// of instances that the request was sent to, and the one about the response.
func (r *Reader) missingLines(events []Event) []string {
	var out []string
	responded := false
	ranAt := map[string]bool{}
	for _, e := range events {
		responded = responded || e.line.Message == msgResponse
		if e.line.Message == msgRan {
			ranAt[e.node] = true
		}
	}
	reported := map[string]bool{}
	for _, e := range events {
		instance := e.instance()
		if instance == "" || ranAt[instance] || reported[instance] {
			continue
		}
		reported[instance] = true
		if r.nodes[instance] {
			out = append(out, fmt.Sprintf("%s logged nothing about it: the request never arrived there, the node stopped, or the line was omitted", instance))
		} else {
			out = append(out, fmt.Sprintf("the log of %s, to which the request was sent, was not given", instance))
		}
	}
	if !responded {
		out = append(out, "no line about the answer: the log of the node that received the request from the caller was not given, the caller disconnected, the node stopped, or the request succeeded in the end")
	}
	return out
}
