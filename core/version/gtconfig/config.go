package gtconfig

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Class orders requests at admission.
type Class int

// The classes, the most urgent first.
const (
	// Fast is for internal checks that others wait for.
	Fast Class = iota
	// Normal is for all other requests. The ranks of routes make further,
	// less urgent classes of it, up to Normal+MaxRank.
	Normal
	// Classes is the number of classes.
	Classes = int(Normal) + MaxRank + 1
)

// String returns the class's name.
func (c Class) String() string {
	switch c {
	case Fast:
		return "fast"
	case Normal:
		return "normal"
	default:
		return "normal-" + strconv.Itoa(int(c-Normal))
	}
}

// Lane returns the name of the connections that requests of the class share:
// urgent ones do not wait behind the others.
func (c Class) Lane() string { return min(c, Normal).String() }

// ParseClass returns the class with the given name, and Normal for a name that
// is none.
func ParseClass(name string) Class {
	for c := range Class(Classes) {
		if c.String() == name {
			return c
		}
	}
	return Normal
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	name    string
	version string
	timeout time.Duration

	connections int
	coldRate    float64
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Version returns the version that gets the requests while no move says
// otherwise; empty means any.
func (s Service) Version() string { return s.version }

// Timeout returns the time limit of a call.
func (s Service) Timeout() time.Duration { return s.timeout }

// Connections returns how many connections a backend server of the service
// takes, or 0 if the configuration does not say.
func (s Service) Connections() int { return s.connections }

// ColdRate returns how many requests a second a backend server bears while it
// is cold, or 0 if the configuration does not say.
func (s Service) ColdRate() float64 { return s.coldRate }

// Part is one of the services that a route's requests are split among.
type Part struct {
	service string
	weight  float64
}

// Service returns the service's name.
func (p Part) Service() string { return p.service }

// Weight returns the part's weight among all parts.
func (p Part) Weight() float64 { return p.weight }

// Route says which requests go to a service, and how.
type Route struct {
	name     string
	parts    []Part
	host     string
	path     string
	methods  []string
	repeat   Repeat
	class    Class
	attempts int
	timeout  time.Duration
}

// Repeat says which requests of a route may be repeated.
type Repeat int

// The values of Repeat.
const (
	// RepeatByMethod lets GET, HEAD and OPTIONS be repeated.
	RepeatByMethod Repeat = iota
	// RepeatAlways lets every request be repeated.
	RepeatAlways
	// RepeatNever lets none be repeated.
	RepeatNever
)

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Parts returns the services that requests go to. The slice is shared.
func (r Route) Parts() []Part { return r.parts }

// Service returns the service for a draw from [0,1), by the weights.
func (r Route) Service(draw float64) string {
	total := 0.0
	for _, p := range r.parts {
		total += p.weight
	}
	left := draw * total
	for _, p := range r.parts {
		if left -= p.weight; left < 0 {
			return p.service
		}
	}
	return r.parts[len(r.parts)-1].service
}

// Attempts returns on how many backend servers a request may be tried, or 0 if
// the configuration does not say.
func (r Route) Attempts() int { return r.attempts }

// Class returns the class of the requests.
func (r Route) Class() Class { return r.class }

// Timeout returns the time limit of a call, or zero for the service's.
func (r Route) Timeout() time.Duration { return r.timeout }

// Idempotent says whether a request with the method may be repeated.
func (r Route) Idempotent(method string) bool {
	switch r.repeat {
	case RepeatAlways:
		return true
	case RepeatNever:
		return false
	default:
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
}

func (r Route) matches(method, host, path string) bool {
	if r.host != "" && !strings.EqualFold(r.host, host) {
		return false
	}
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	return underPath(r.path, path)
}

func underPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Others stands as a move's old version for every version but the new one.
const Others = "*"

// Move takes a service from one version to another by a given time.
type Move struct {
	name    string
	service string
	from    string
	to      string
	by      time.Time
	within  time.Duration
	start   float64
	watch   time.Duration
}

// Name returns the move's name.
func (m Move) Name() string { return m.name }

// Service returns the service that moves.
func (m Move) Service() string { return m.service }

// From returns the old version, or Others.
func (m Move) From() string { return m.from }

// To returns the new version.
func (m Move) To() string { return m.to }

// By returns the time at which the new version should have all requests, for a
// move that started at the given time.
func (m Move) By(started time.Time) time.Time {
	if m.by.IsZero() {
		return started.Add(m.within)
	}
	return m.by
}

// IsFrom says whether a version is the old one.
func (m Move) IsFrom(version string) bool {
	return version == m.from || m.from == Others && version != m.to
}

// Start returns the share of requests to begin with, above 0 and up to 1.
func (m Move) Start() float64 { return m.start }

// Watch returns how long faults are looked for after the end.
func (m Move) Watch() time.Duration { return m.watch }

// ID identifies the change that the move makes: another service or other
// versions make another move, another time does not.
func (m Move) ID() string { return joinPath(m.name, m.service, m.from, m.to) }

// ReverseID returns what the identity of a move in the other direction ends in.
func (m Move) ReverseID() string { return "." + joinPath(m.service, m.to, m.from) }

// Config is the merged result of a folder. It is never changed once made.
type Config struct {
	services map[string]Service
	routes   []Route
	byPath   map[string][]Route
	moves    []Move
	moving   map[string]int
	out      map[string]bool
	sum      string
}

// Empty returns a configuration with nothing in it.
func Empty() *Config {
	cfg, _ := Merge(nil)
	return cfg
}

// Sum returns a checksum of the merged result, in hex.
func (c *Config) Sum() string { return c.sum }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the number of services.
func (c *Config) Services() int { return len(c.services) }

// Routes returns all routes, the most specific first. The slice is shared: it
// must not be changed.
func (c *Config) Routes() []Route { return c.routes }

// Moves returns all moves, ordered by name. The slice is shared.
func (c *Config) Moves() []Move { return c.moves }

// Move returns the move of a service.
func (c *Config) Move(service string) (Move, bool) {
	i, ok := c.moving[service]
	if !ok {
		return Move{}, false
	}
	return c.moves[i], true
}

// ZoneOut says whether operators have taken the availability zone out.
func (c *Config) ZoneOut(zone string) bool { return c.out[zone] }

// Match returns the most specific route for a request: the longest path, then
// one that names the host, then one that names the method.
func (c *Config) Match(method, host, path string) (Route, bool) {
	for prefix := path; ; {
		for _, r := range c.byPath[prefix] {
			if r.matches(method, host, path) {
				return r, true
			}
		}
		if prefix == "" {
			return Route{}, false
		}
		if short := strings.TrimSuffix(prefix, "/"); short != prefix {
			prefix = short
			continue
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')+1]
	}
}

func sortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int {
		if len(a.path) != len(b.path) {
			return len(b.path) - len(a.path)
		}
		if (a.host == "") != (b.host == "") {
			return strings.Compare(b.host, a.host)
		}
		if (len(a.methods) == 0) != (len(b.methods) == 0) {
			return len(b.methods) - len(a.methods)
		}
		return strings.Compare(a.name, b.name)
	})
}
