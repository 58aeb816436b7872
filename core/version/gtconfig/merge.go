package gtconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwittide/core/version/gtaccount"
)

// The defaults of optional keys, and the limits of values, files and folders.
const (
	// DefaultTimeout is the timeout of a call.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest timeout of a call.
	MaxTimeout = 10 * time.Minute
	// DefaultInitialShare is the share of traffic that a new version receives
	// first.
	DefaultInitialShare = 0.05
	// DefaultWatchPeriod is how long a new version is monitored for faults
	// after it receives all requests.
	DefaultWatchPeriod = 5 * time.Minute
	// MaxRank is the rank of the least urgent requests.
	MaxRank = 7
	// MaxAttempts is the largest number of backend servers that one request is
	// tried on.
	MaxAttempts = 10
	// MaxWeight is the largest weight of a service in a split.
	MaxWeight = 1e6
	// MaxConnections is the largest number of connections to a backend server.
	MaxConnections = 10000
	// MaxWarmUpRate is the largest rate limit of a backend server that is
	// warming up, in requests per second.
	MaxWarmUpRate = 1e6
	// MaxFiles is the largest number of files in a folder.
	MaxFiles = 4096
	// MaxFileBytes is the largest size of one file, in bytes.
	MaxFileBytes = 256 << 10
)

// usualKeys is the number of keys that a section usually has at most. A map for more takes
// twice the memory.
const usualKeys = 8

// sectionKeys holds the permitted keys of each section, with their types.
var sectionKeys = map[string]map[string]ValueType{
	"service": {
		"version": TypeString, "timeout": TypeString, "connections": TypeNumber, "coldrate": TypeNumber,
	},
	"route": {
		"service": TypeString, "split": TypeList, "host": TypeString, "path": TypeString, "method": TypeList,
		"repeat": TypeBool, "class": TypeString, "rank": TypeNumber, "attempts": TypeNumber, "timeout": TypeString,
		"open": TypeBool, "ranks": TypeList, "target": TypeString,
	},
	"account": {"keys": TypeList, "rank": TypeNumber, "priority": TypeNumber},
	"move": {
		"service": TypeString, "from": TypeString, "to": TypeString, "by": TypeTime, "within": TypeString,
		"start": TypeNumber, "watch": TypeString,
	},
	"zone": {"out": TypeBool},
}

// Merge merges and checks the files of a folder, in the order of their names
// regardless of their order in the slice. It returns either the complete
// configuration or every problem found, never a partial result.
func Merge(files []File) (*Config, []Problem) {
	m := &merger{sections: map[string]map[string]entrySet{}}
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.name, b.name) })
	for i, f := range files {
		if i > 0 && files[i-1].name == f.name {
			m.problems = append(m.problems, NewProblem(f.name, 0, "", "the folder contains more than one file with this name"))
		}
		for i := range f.entries {
			m.add(&f.entries[i])
		}
	}
	cfg := m.build()
	if len(m.problems) > 0 {
		slices.SortStableFunc(m.problems, func(a, b Problem) int { return strings.Compare(a.file, b.file) })
		return nil, m.problems
	}
	return cfg, nil
}

// entrySet holds the merged entries of one service, route, move, zone or account,
// by key.
type entrySet map[string]*Entry

// merger collects entries by section and name, and the problems found.
type merger struct {
	sections              map[string]map[string]entrySet
	problems              []Problem
	lastSection, lastName string
	last                  entrySet
}

// add checks an entry's section, name, key and type. A valid entry replaces an
// earlier one with the same path; any other is reported as a problem.
func (m *merger) add(e *Entry) {
	knownKeys, ok := sectionKeys[e.section]
	if !ok {
		m.reject(e, "unknown section %q; use service, route, move, zone or account", e.section)
		return
	}
	if e.name == "" || e.key == "" {
		m.reject(e, "write it as [%s.NAME] with its keys on the following lines", e.section)
		return
	}
	wantType, ok := knownKeys[e.key]
	if !ok {
		m.reject(e, "unknown key %q; [%s.NAME] takes %s", e.key, e.section, strings.Join(slices.Sorted(maps.Keys(knownKeys)), ", "))
		return
	}
	if e.value.typ != wantType {
		m.reject(e, "expected a %s, found a %s", wantType, e.value.typ)
		return
	}
	m.entrySet(e.section, e.name)[e.key] = e
}

// entrySet returns the entry set of a section and a name. Entries of one set usually
// follow each other, so the last one is looked at first.
func (m *merger) entrySet(section, name string) entrySet {
	if m.last != nil && m.lastSection == section && m.lastName == name {
		return m.last
	}
	if m.sections[section] == nil {
		m.sections[section] = map[string]entrySet{}
	}
	es := m.sections[section][name]
	if es == nil {
		es = make(entrySet, min(len(sectionKeys[section]), usualKeys))
		m.sections[section][name] = es
	}
	m.lastSection, m.lastName, m.last = section, name, es
	return es
}

func (m *merger) reject(e *Entry, format string, args ...any) {
	m.problems = append(m.problems, e.newProblem(format, args...))
}

// build checks the collected entries against each other and returns the
// configuration, which is valid only if no problem was reported.
func (m *merger) build() *Config {
	cfg := &Config{services: map[string]Service{}, routeNames: make(map[string]bool, len(m.sections["route"])), moveIndex: map[string]int{}, drainedZones: map[string]bool{}}
	for _, name := range m.sortedNames("service") {
		cfg.services[name] = m.service(name, m.sections["service"][name])
	}
	cfg.routes = make([]Route, 0, len(m.sections["route"]))
	for _, name := range m.sortedNames("route") {
		cfg.routes = append(cfg.routes, m.route(cfg, name, m.sections["route"][name]))
	}
	for _, name := range m.sortedNames("move") {
		mv := m.move(cfg, name, m.sections["move"][name])
		cfg.moveIndex[mv.service] = len(cfg.moves)
		cfg.moves = append(cfg.moves, mv)
	}
	for _, name := range m.sortedNames("zone") {
		if e, ok := m.sections["zone"][name]["out"]; ok && e.value.boolean {
			cfg.drainedZones[name] = true
		}
	}
	cfg.accounts = m.accounts()
	sortRoutes(cfg.routes)
	for _, r := range cfg.routes {
		cfg.routeNames[r.name] = true
	}
	cfg.routesByPath = indexByPath(cfg.routes)
	cfg.checksum = m.checksum()
	return cfg
}

func (m *merger) sortedNames(section string) []string {
	return slices.Sorted(maps.Keys(m.sections[section]))
}

func (m *merger) service(name string, es entrySet) Service {
	return Service{
		name: name, version: es.text("version"), timeout: m.duration(es, "timeout", DefaultTimeout),
		maxConnections: int(m.number(es, "connections", 0, MaxConnections)), warmUpRate: m.number(es, "coldrate", 0, MaxWarmUpRate),
	}
}

func (m *merger) route(cfg *Config, name string, es entrySet) Route {
	r := Route{name: name, host: es.text("host"), path: es.text("path"), timeout: m.duration(es, "timeout", 0), target: m.duration(es, "target", 0)}
	r.destinations = m.destinations(cfg, name, es)
	r.maxAttempts = int(m.number(es, "attempts", 0, MaxAttempts))
	if !strings.HasPrefix(r.path, "/") {
		m.reject(es.entryOrPlaceholder("route", name, "path"), "a route needs a path that begins with /")
	}
	if e, ok := es["method"]; ok {
		r.methods = e.value.list
		if slices.ContainsFunc(r.methods, func(s string) bool { return s == "" || s != strings.ToUpper(s) }) {
			m.reject(e, "write each method in upper case, as in [\"GET\", \"POST\"]")
		}
	}
	if e, ok := es["repeat"]; ok {
		r.idempotency = IdempotencyNever
		if e.value.boolean {
			r.idempotency = IdempotencyAlways
		}
	}
	if e, ok := es["open"]; ok {
		r.open = e.value.boolean
	}
	r.class = Normal + Class(m.number(es, "rank", 0, MaxRank))
	r.rankSteps = m.rankSteps(es)
	switch es.text("class") {
	case "", "normal":
	case "fast":
		r.class = Fast
	default:
		m.reject(es["class"], "unknown class %q; use fast or normal", es.text("class"))
	}
	return r
}

// rankSteps returns the steps under the key ranks, in their order.
func (m *merger) rankSteps(es entrySet) []rankStep {
	e, ok := es["ranks"]
	if !ok {
		return nil
	}
	var steps []rankStep
	for _, text := range e.value.list {
		limit, inclusive := strings.CutPrefix(text, ">=")
		if !inclusive {
			limit = strings.TrimPrefix(text, ">")
		}
		f, err := strconv.ParseFloat(limit, 64)
		if err != nil || limit == text || len(steps) == MaxRank {
			m.reject(e, "expected at most %d conditions on the account's priority such as \">0\" or \">=2\", found %.60q", MaxRank, text)
			return nil
		}
		steps = append(steps, rankStep{limit: f, inclusive: inclusive})
	}
	return steps
}

// accounts returns the index of the client accounts. A problem with a key names
// the accounts, but never the key.
func (m *merger) accounts() *gtaccount.Index {
	var accounts []gtaccount.Account
	var keys []gtaccount.Key
	owners := map[gtaccount.Digest]*Entry{}
	for _, name := range m.sortedNames("account") {
		es := m.sections["account"][name]
		accounts = append(accounts, m.account(name, es))
		e, ok := es["keys"]
		if !ok {
			m.reject(es.entryOrPlaceholder("account", name, "keys"), "an account needs keys; keys = [] refuses all of its requests")
			continue
		}
		for i, text := range e.value.list {
			digest, err := gtaccount.ParseKey(text)
			if err != nil {
				m.reject(e, "key %d: %s", i+1, err)
				continue
			}
			owner, taken := owners[digest]
			switch {
			case !taken:
				owners[digest] = e
				keys = append(keys, gtaccount.NewKey(digest, len(accounts)-1))
			case owner.name != name:
				m.reject(e, "key %d is also one of account %q (%s); a key belongs to one account", i+1, owner.name, owner.location())
			default:
			}
		}
	}
	return gtaccount.NewIndex(accounts, keys)
}

// account returns an account with its rank or priority.
func (m *merger) account(name string, es entrySet) gtaccount.Account {
	a := gtaccount.NewAccount(name)
	if !gtaccount.IsValidName(name) {
		m.reject(es.entryOrPlaceholder("account", name, "keys"), "an account's name has at most %d bytes, no control characters and no space at its ends", gtaccount.MaxNameBytes)
	}
	if _, ok := es["rank"]; ok {
		a = a.WithRank(m.number(es, "rank", 0, MaxRank))
	}
	if e, ok := es["priority"]; ok {
		if a.HasRank() {
			m.reject(e, "an account takes either rank or priority, not both")
		}
		a = a.WithRank(e.value.number)
	}
	return a
}

// destinations returns the services that receive a route's requests, with their
// weights.
func (m *merger) destinations(cfg *Config, name string, es entrySet) []Destination {
	e, ok := es["split"]
	if !ok {
		return []Destination{{service: m.requireService(cfg, "route", name, es), weight: 1}}
	}
	if es.text("service") != "" {
		m.reject(e, "a route takes either service or split, not both")
	}
	var result []Destination
	total := 0.0
	for _, text := range e.value.list {
		service, weight, _ := strings.Cut(text, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || !(w >= 0 && w <= MaxWeight) {
			m.reject(e, "expected \"SERVICE=WEIGHT\" with a weight from 0 to %g, found %.60q", MaxWeight, text)
			continue
		}
		if _, ok := cfg.services[service]; !ok {
			m.reject(e, "unknown service %q; add [service.%s]", service, service)
		}
		total += w
		result = append(result, Destination{service: service, weight: w})
	}
	if total <= 0 {
		m.reject(e, "the sum of the weights must be above 0")
	}
	return result
}

// number returns the number under key, or low if the key is missing. A number
// outside low to high is reported as a problem.
func (m *merger) number(es entrySet, key string, low, high float64) float64 {
	e, ok := es[key]
	if !ok {
		return low
	}
	if !(e.value.number >= low && e.value.number <= high) {
		m.reject(e, "must be from %g to %g", low, high)
		return low
	}
	return e.value.number
}

// requireService returns the service that an entry set names. A missing or
// unknown service is reported as a problem.
func (m *merger) requireService(cfg *Config, section, name string, es entrySet) string {
	service := es.text("service")
	if service == "" {
		m.reject(es.entryOrPlaceholder(section, name, "service"), "a %s needs a service", section)
		return ""
	}
	if _, ok := cfg.services[service]; !ok {
		m.reject(es["service"], "unknown service %q; add [service.%s]", service, service)
	}
	return service
}

func (m *merger) move(cfg *Config, name string, es entrySet) Move {
	mv := Move{name: name, from: es.text("from"), to: es.text("to"), initialShare: DefaultInitialShare}
	mv.service = m.requireService(cfg, "move", name, es)
	mv.watchPeriod = m.duration(es, "watch", DefaultWatchPeriod)
	if mv.from == "" || mv.to == "" {
		m.reject(es.entryOrPlaceholder("move", name, "to"), "a move needs from and to; from = %q stands for every other version", OtherVersions)
	} else if mv.from == mv.to {
		m.reject(es["to"], "from and to are the same version")
	}
	mv.within = m.duration(es, "within", 0)
	if e, ok := es["by"]; ok {
		mv.deadline = *e.value.timestamp
	} else if mv.within == 0 {
		m.reject(es.entryOrPlaceholder("move", name, "by"), "a move needs by, as in 2026-12-24T18:00:00Z, or within, as in \"20m\"")
	}
	if e, ok := es["start"]; ok {
		mv.initialShare = e.value.number
		if mv.initialShare <= 0 || mv.initialShare > 1 {
			m.reject(e, "the share must be above 0 and at most 1")
		}
	}
	if other, ok := cfg.Move(mv.service); ok && mv.service != "" {
		m.reject(es.entryOrPlaceholder("move", name, "service"), "move %q already moves service %q; only one move per service is allowed", other.name, mv.service)
	}
	return mv
}

// duration returns the duration under key, or def if the key is missing. A
// duration that is malformed, not above 0 or, for a timeout or a target, above
// MaxTimeout is reported as a problem.
func (m *merger) duration(es entrySet, key string, def time.Duration) time.Duration {
	e, ok := es[key]
	if !ok {
		return def
	}
	d, err := time.ParseDuration(e.value.text)
	if err != nil || d <= 0 || d > MaxTimeout && (key == "timeout" || key == "target") {
		m.reject(e, "expected a duration above 0 such as \"250ms\" or \"2s\" (at most %s for a timeout or a target)", MaxTimeout)
		return def
	}
	return d
}

// text returns the string under key, or the empty string if the key is missing.
func (es entrySet) text(key string) string {
	if e, ok := es[key]; ok {
		return e.value.text
	}
	return ""
}

// entryOrPlaceholder returns the entry under key. If the key is missing, it
// returns a placeholder at the first line of the entry set, for use in a problem.
func (es entrySet) entryOrPlaceholder(section, name, key string) *Entry {
	if e, ok := es[key]; ok {
		return e
	}
	placeholder := &Entry{section: section, name: name, key: key}
	for _, e := range es {
		if placeholder.line == 0 || e.file < placeholder.file || e.file == placeholder.file && e.line < placeholder.line {
			placeholder.file, placeholder.line = e.file, e.line
		}
	}
	return placeholder
}

// checksum returns the checksum of all entries, ordered by section, name and
// key, in hexadecimal.
func (m *merger) checksum() string {
	h := sha256.New()
	var line []byte
	var keys []string
	for _, section := range slices.Sorted(maps.Keys(m.sections)) {
		for _, name := range m.sortedNames(section) {
			es := m.sections[section][name]
			keys = slices.AppendSeq(keys[:0], maps.Keys(es))
			slices.Sort(keys)
			line = line[:0]
			for _, key := range keys {
				line = append(line, section...)
				line = append(append(line, '.'), name...)
				line = append(append(line, '.'), key...)
				line = es[key].value.appendCanonical(append(line, '='))
				line = append(line, '\n')
			}
			_, _ = h.Write(line)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
