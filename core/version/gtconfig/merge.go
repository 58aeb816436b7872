package gtconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The defaults of keys that a file leaves out.
const (
	// DefaultTimeout is the time limit of a call.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest time limit of a call.
	MaxTimeout = 10 * time.Minute
	// DefaultStart is the share of requests that a new version begins with.
	DefaultStart = 0.05
	// DefaultWatch is how long faults are looked for after a move's end.
	DefaultWatch = 5 * time.Minute
	// MaxRank is the rank of the least urgent requests.
	MaxRank = 7
	// MaxAttempts is the largest number of backend servers for one request.
	MaxAttempts = 10
	// MaxWeight is the largest weight of a service in a split.
	MaxWeight = 1e6
	// MaxConnections is the largest number of connections to a backend server.
	MaxConnections = 10000
	// MaxRate is the largest rate of a cold backend server, in requests a
	// second.
	MaxRate = 1e6
	// MaxFiles is the largest number of files in a folder.
	MaxFiles = 4096
	// MaxFileBytes is the largest size of one file.
	MaxFileBytes = 256 << 10
)

// keys lists, for each section, the keys it takes and their types.
var keys = map[string]map[string]ValueType{
	"service": {
		"version": TypeString, "timeout": TypeString, "connections": TypeNumber, "coldrate": TypeNumber,
	},
	"route": {
		"service": TypeString, "split": TypeList, "host": TypeString, "path": TypeString, "method": TypeList,
		"repeat": TypeBool, "class": TypeString, "rank": TypeNumber, "attempts": TypeNumber, "timeout": TypeString,
	},
	"move": {
		"service": TypeString, "from": TypeString, "to": TypeString, "by": TypeTime, "within": TypeString,
		"start": TypeNumber, "watch": TypeString,
	},
	"zone": {"out": TypeBool},
}

// Merge merges and checks the files of a folder. It returns either the whole
// result or every problem found, never a part. The order in which the files
// are given does not matter: they are merged in the order of their names.
func Merge(files []File) (*Config, []Problem) {
	m := &merger{groups: map[string]map[string]group{}}
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.name, b.name) })
	for i, f := range files {
		if i > 0 && files[i-1].name == f.name {
			m.problems = append(m.problems, NewProblem(f.name, 0, "", "the folder holds this name twice"))
		}
		for i := range f.entries {
			m.take(&f.entries[i])
		}
	}
	cfg := m.build()
	if len(m.problems) > 0 {
		slices.SortStableFunc(m.problems, func(a, b Problem) int { return strings.Compare(a.file, b.file) })
		return nil, m.problems
	}
	return cfg, nil
}

// group is what all files say of one service, route, move or zone.
type group map[string]*Entry

type merger struct {
	groups   map[string]map[string]group
	problems []Problem
}

func (m *merger) take(e *Entry) {
	known, ok := keys[e.section]
	if !ok {
		m.refuse(e, "unknown section %q; use service, route, move or zone", e.section)
		return
	}
	if e.name == "" || e.key == "" {
		m.refuse(e, "write it as [%s.NAME] with keys below", e.section)
		return
	}
	want, ok := known[e.key]
	if !ok {
		m.refuse(e, "unknown key %q; [%s.NAME] takes %s", e.key, e.section, strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		return
	}
	if e.value.typ != want {
		m.refuse(e, "expected a %s, found a %s", want, e.value.typ)
		return
	}
	if m.groups[e.section] == nil {
		m.groups[e.section] = map[string]group{}
	}
	if m.groups[e.section][e.name] == nil {
		m.groups[e.section][e.name] = group{}
	}
	m.groups[e.section][e.name][e.key] = e
}

func (m *merger) refuse(e *Entry, format string, args ...any) {
	m.problems = append(m.problems, e.problem(format, args...))
}

func (m *merger) build() *Config {
	cfg := &Config{services: map[string]Service{}, byPath: map[string][]Route{}, moving: map[string]int{}, out: map[string]bool{}}
	for _, name := range m.names("service") {
		cfg.services[name] = m.service(name, m.groups["service"][name])
	}
	for _, name := range m.names("route") {
		cfg.routes = append(cfg.routes, m.route(cfg, name, m.groups["route"][name]))
	}
	for _, name := range m.names("move") {
		v := m.move(cfg, name, m.groups["move"][name])
		cfg.moving[v.service] = len(cfg.moves)
		cfg.moves = append(cfg.moves, v)
	}
	for _, name := range m.names("zone") {
		if e, ok := m.groups["zone"][name]["out"]; ok && e.value.flag {
			cfg.out[name] = true
		}
	}
	sortRoutes(cfg.routes)
	for _, r := range cfg.routes {
		cfg.byPath[r.path] = append(cfg.byPath[r.path], r)
	}
	cfg.sum = m.sum()
	return cfg
}

func (m *merger) names(section string) []string {
	return slices.Sorted(maps.Keys(m.groups[section]))
}

func (m *merger) service(name string, g group) Service {
	return Service{
		name: name, version: g.text("version"), timeout: m.duration(g, "timeout", DefaultTimeout),
		connections: int(m.number(g, "connections", 0, MaxConnections)), coldRate: m.number(g, "coldrate", 0, MaxRate),
	}
}

func (m *merger) route(cfg *Config, name string, g group) Route {
	r := Route{name: name, host: g.text("host"), path: g.text("path"), timeout: m.duration(g, "timeout", 0)}
	r.parts = m.parts(cfg, name, g)
	r.attempts = int(m.number(g, "attempts", 0, MaxAttempts))
	if !strings.HasPrefix(r.path, "/") {
		m.refuse(g.at("route", name, "path"), "a route needs a path that begins with /")
	}
	if e, ok := g["method"]; ok {
		r.methods = e.value.list
		if slices.ContainsFunc(r.methods, func(s string) bool { return s == "" || s != strings.ToUpper(s) }) {
			m.refuse(e, "write methods in upper case, as in [\"GET\", \"POST\"]")
		}
	}
	if e, ok := g["repeat"]; ok {
		r.repeat = RepeatNever
		if e.value.flag {
			r.repeat = RepeatAlways
		}
	}
	r.class = Normal + Class(m.number(g, "rank", 0, MaxRank))
	switch g.text("class") {
	case "", "normal":
	case "fast":
		r.class = Fast
	default:
		m.refuse(g["class"], "unknown class %q; use fast or normal", g.text("class"))
	}
	return r
}

// parts returns the services that a route's requests go to, with their weights.
func (m *merger) parts(cfg *Config, name string, g group) []Part {
	e, ok := g["split"]
	if !ok {
		return []Part{{service: m.serviceOf(cfg, "route", name, g), weight: 1}}
	}
	if g.text("service") != "" {
		m.refuse(e, "a route takes either service or split")
	}
	var parts []Part
	total := 0.0
	for _, text := range e.value.list {
		service, weight, _ := strings.Cut(text, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || !(w >= 0 && w <= MaxWeight) {
			m.refuse(e, "expected \"SERVICE=WEIGHT\" with a weight from 0 to %g, found %.60q", MaxWeight, text)
			continue
		}
		if _, ok := cfg.services[service]; !ok {
			m.refuse(e, "unknown service %q; add [service.%s]", service, service)
		}
		total += w
		parts = append(parts, Part{service: service, weight: w})
	}
	if total <= 0 {
		m.refuse(e, "the weights add up to nothing")
	}
	return parts
}

// number returns a number from low to high, and low where the file has none.
func (m *merger) number(g group, key string, low, high float64) float64 {
	e, ok := g[key]
	if !ok {
		return low
	}
	if !(e.value.number >= low && e.value.number <= high) {
		m.refuse(e, "must be from %g to %g", low, high)
		return low
	}
	return e.value.number
}

func (m *merger) serviceOf(cfg *Config, section, name string, g group) string {
	service := g.text("service")
	if service == "" {
		m.refuse(g.at(section, name, "service"), "a %s needs a service", section)
		return ""
	}
	if _, ok := cfg.services[service]; !ok {
		m.refuse(g["service"], "unknown service %q; add [service.%s]", service, service)
	}
	return service
}

func (m *merger) move(cfg *Config, name string, g group) Move {
	v := Move{name: name, from: g.text("from"), to: g.text("to"), start: DefaultStart}
	v.service = m.serviceOf(cfg, "move", name, g)
	v.watch = m.duration(g, "watch", DefaultWatch)
	if v.from == "" || v.to == "" {
		m.refuse(g.at("move", name, "to"), "a move needs from and to; from = %q is every other version", Others)
	} else if v.from == v.to {
		m.refuse(g["to"], "from and to are the same version")
	}
	v.within = m.duration(g, "within", 0)
	if e, ok := g["by"]; ok {
		v.by = e.value.at
	} else if v.within == 0 {
		m.refuse(g.at("move", name, "by"), "a move needs by, as in 2026-12-24T18:00:00Z, or within, as in \"20m\"")
	}
	if e, ok := g["start"]; ok {
		v.start = e.value.number
		if v.start <= 0 || v.start > 1 {
			m.refuse(e, "the share must be above 0 and at most 1")
		}
	}
	if other, ok := cfg.Move(v.service); ok && v.service != "" {
		m.refuse(g.at("move", name, "service"), "move %q already moves service %q; a service takes one move at a time", other.name, v.service)
	}
	return v
}

func (m *merger) duration(g group, key string, def time.Duration) time.Duration {
	e, ok := g[key]
	if !ok {
		return def
	}
	d, err := time.ParseDuration(e.value.text)
	if err != nil || d <= 0 || d > MaxTimeout && key == "timeout" {
		m.refuse(e, "expected a duration above 0 such as \"250ms\" or \"2s\" (a timeout at most %s)", MaxTimeout)
		return def
	}
	return d
}

func (g group) text(key string) string {
	if e, ok := g[key]; ok {
		return e.value.text
	}
	return ""
}

// at returns the entry of key, or, where it is missing, a place in the group's
// first line to hang a message on.
func (g group) at(section, name, key string) *Entry {
	if e, ok := g[key]; ok {
		return e
	}
	place := &Entry{section: section, name: name, key: key}
	for _, e := range g {
		if place.line == 0 || e.file < place.file || e.file == place.file && e.line < place.line {
			place.file, place.line = e.file, e.line
		}
	}
	return place
}

// sum returns a checksum of all entries, in order.
func (m *merger) sum() string {
	h := sha256.New()
	var line []byte
	for _, section := range slices.Sorted(maps.Keys(m.groups)) {
		for _, name := range m.names(section) {
			g := m.groups[section][name]
			for _, key := range slices.Sorted(maps.Keys(g)) {
				line = append(line[:0], section...)
				line = append(append(line, '.'), name...)
				line = append(append(line, '.'), key...)
				line = append(append(line, '='), g[key].value.canon()...)
				_, _ = h.Write(append(line, '\n'))
			}
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
