package gtconfig

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"godwittide/core/version/gtaccount"
)

// Class is the priority class of a request at admission; a lower value is more
// urgent.
type Class int

// The priority classes, most urgent first.
const (
	// Fast is for internal checks that other requests wait for.
	Fast Class = iota
	// Normal is for all other requests. A route with rank n has class
	// Normal+n, up to Normal+MaxRank.
	Normal
	// ClassCount is the number of classes.
	ClassCount = int(Normal) + MaxRank + 1
)

// String returns the class's name, as ParseClass reads it.
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

// PoolName returns the name of the connection pool that requests of the class
// use. Fast has its own pool, so that its requests don't queue behind others.
func (c Class) PoolName() string { return min(c, Normal).String() }

// ParseClass returns the class with the given name, or Normal if the name is
// unknown.
func ParseClass(name string) Class {
	for c := range Class(ClassCount) {
		if c.String() == name {
			return c
		}
	}
	return Normal
}

// Service is a group of backend servers that handle the same requests.
type Service struct {
	name    string
	version string
	timeout time.Duration

	maxConnections int
	warmUpRate     float64
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Version returns the version that receives the requests unless a move directs
// them elsewhere. An empty version means any.
func (s Service) Version() string { return s.version }

// Timeout returns the timeout of a call to the service.
func (s Service) Timeout() time.Duration { return s.timeout }

// MaxConnections returns the maximum number of connections to one backend
// server of the service, or 0 if the configuration sets none.
func (s Service) MaxConnections() int { return s.maxConnections }

// WarmUpRate returns the rate limit of a backend server that is warming up, in
// requests per second, or 0 if the configuration sets none.
func (s Service) WarmUpRate() float64 { return s.warmUpRate }

// Destination is a service that receives a weighted share of a route's
// requests.
type Destination struct {
	service string
	weight  float64
}

// Service returns the name of the service.
func (d Destination) Service() string { return d.service }

// Weight returns the destination's weight relative to the route's other
// destinations.
func (d Destination) Weight() float64 { return d.weight }

// Route matches requests by host, path and method, and defines their
// destinations and how they are handled.
type Route struct {
	name         string
	destinations []Destination
	host         string
	path         string
	methods      []string
	idempotency  Idempotency
	class        Class
	rankSteps    []rankStep
	open         bool
	maxAttempts  int
	timeout      time.Duration
	target       time.Duration
}

// rankStep is a condition on an account's priority: it is above limit, or equal to
// it if inclusive is set.
type rankStep struct {
	limit     float64
	inclusive bool
}

// Idempotency defines which requests of a route are idempotent.
type Idempotency int

// The values of Idempotency.
const (
	// IdempotencyByMethod treats GET, HEAD and OPTIONS as idempotent.
	IdempotencyByMethod Idempotency = iota
	// IdempotencyAlways treats every request as idempotent.
	IdempotencyAlways
	// IdempotencyNever treats no request as idempotent.
	IdempotencyNever
)

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Destinations returns the services that receive the route's requests. The
// slice is shared and must not be changed.
func (r Route) Destinations() []Destination { return r.destinations }

// Service returns the name of the service that draw, a number in [0,1), selects
// according to the weights.
func (r Route) Service(draw float64) string {
	total := 0.0
	for _, d := range r.destinations {
		total += d.weight
	}
	remaining := draw * total
	for _, d := range r.destinations {
		if remaining -= d.weight; remaining < 0 {
			return d.service
		}
	}
	return r.destinations[len(r.destinations)-1].service
}

// MaxAttempts returns the maximum number of backend servers that a request is
// tried on, or 0 if the configuration sets none.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Class returns the priority class of the route's requests.
func (r Route) Class() Class { return r.class }

// ClassFor returns the priority class of a request on the route on behalf of an
// account: the class Fast stays, and otherwise the account's rank takes precedence
// over the route's. If the route has conditions on the account's priority, the rank
// is the number of those that hold.
func (r Route) ClassFor(a gtaccount.Account) Class {
	if !a.HasRank() || r.class == Fast {
		return r.class
	}
	if r.rankSteps == nil {
		return Normal + Class(min(max(a.Rank(), 0), MaxRank))
	}
	rank := 0
	for _, s := range r.rankSteps {
		if a.Rank() > s.limit || s.inclusive && a.Rank() == s.limit {
			rank++
		}
	}
	return Normal + Class(rank)
}

// IsOpen reports whether requests on the route need no account's key.
func (r Route) IsOpen() bool { return r.open }

// Timeout returns the timeout of a call, or 0 if the service's timeout applies.
func (r Route) Timeout() time.Duration { return r.timeout }

// Target returns the latency up to which a response has its full value to the
// caller, or 0 if the configuration sets none.
func (r Route) Target() time.Duration { return r.target }

// DueAt returns the time up to which the response to a request that began at start has its
// full value, or the zero time if the route has no target.
func (r Route) DueAt(start time.Time) time.Time {
	if r.target == 0 {
		return time.Time{}
	}
	return start.Add(r.target)
}

// Idempotent reports whether a request on the route with the given method is
// idempotent.
func (r Route) Idempotent(method string) bool {
	switch r.idempotency {
	case IdempotencyAlways:
		return true
	case IdempotencyNever:
		return false
	default:
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
}

// matches reports whether the route applies to a request.
func (r Route) matches(method, host, path string) bool {
	if r.host != "" && !strings.EqualFold(r.host, host) {
		return false
	}
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	return hasPathPrefix(r.path, path)
}

// hasPathPrefix reports whether path begins with prefix and the prefix ends at
// a segment boundary.
func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// OtherVersions as the old version of a move stands for every version except
// the new one.
const OtherVersions = "*"

// Move shifts the traffic of a service from one version to another by a
// deadline.
type Move struct {
	name         string
	service      string
	from         string
	to           string
	deadline     time.Time
	within       time.Duration
	initialShare float64
	watchPeriod  time.Duration
}

// Name returns the move's name.
func (m Move) Name() string { return m.name }

// Service returns the name of the service whose traffic is moved.
func (m Move) Service() string { return m.service }

// From returns the old version, or OtherVersions.
func (m Move) From() string { return m.from }

// To returns the new version.
func (m Move) To() string { return m.to }

// Deadline returns the deadline by which the new version should receive all
// requests, for a move that started at the given time.
func (m Move) Deadline(started time.Time) time.Time {
	if m.deadline.IsZero() {
		return started.Add(m.within)
	}
	return m.deadline
}

// IsFrom reports whether traffic is moved away from the given version.
func (m Move) IsFrom(version string) bool {
	return version == m.from || m.from == OtherVersions && version != m.to
}

// InitialShare returns the initial share of traffic for the new version, above
// 0 and up to 1.
func (m Move) InitialShare() float64 { return m.initialShare }

// WatchPeriod returns how long the new version is monitored for faults after it
// receives all requests.
func (m Move) WatchPeriod() time.Duration { return m.watchPeriod }

// ID returns the move's identifier, made of its name, service and versions. A
// move with another service or other versions is a different move; one with
// another deadline is the same move.
func (m Move) ID() string { return joinDotted(m.name, m.service, m.from, m.to) }

// MoveIDSuffix returns the end, after a dot, of the IDs of all moves of a service between
// the given versions, whatever their names.
func MoveIDSuffix(service, from, to string) string { return joinDotted(service, from, to) }

// ReverseIDSuffix returns the suffix of the ID of any move in the opposite
// direction, whatever its name.
func (m Move) ReverseIDSuffix() string { return "." + MoveIDSuffix(m.service, m.to, m.from) }

// Config is the merged configuration of a folder. It is immutable.
type Config struct {
	services     map[string]Service
	routes       []Route
	routeNames   map[string]bool
	routesByPath map[string][]Route
	moves        []Move
	moveIndex    map[string]int
	drainedZones map[string]bool
	accounts     *gtaccount.Index
	checksum     string
}

// Empty returns a configuration without services, routes, moves, zones or accounts.
func Empty() *Config {
	cfg, _ := Merge(nil)
	return cfg
}

// Checksum returns the checksum of the merged entries, in hexadecimal.
func (c *Config) Checksum() string { return c.checksum }

// Service returns the service with the given name, and false if there is none.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceCount returns the number of services.
func (c *Config) ServiceCount() int { return len(c.services) }

// Routes returns all routes, most specific first. The slice is shared and must
// not be changed.
func (c *Config) Routes() []Route { return c.routes }

// HasRoute reports whether there is a route with the given name.
func (c *Config) HasRoute(name string) bool { return c.routeNames[name] }

// Moves returns all moves, ordered by name. The slice is shared and must not be
// changed.
func (c *Config) Moves() []Move { return c.moves }

// Move returns the move of the given service, and false if it has none.
func (c *Config) Move(service string) (Move, bool) {
	i, ok := c.moveIndex[service]
	if !ok {
		return Move{}, false
	}
	return c.moves[i], true
}

// Accounts returns the client accounts. Without any, requests need no key.
func (c *Config) Accounts() *gtaccount.Index { return c.accounts }

// IsZoneDrained reports whether operators have drained the availability zone.
func (c *Config) IsZoneDrained(zone string) bool { return c.drainedZones[zone] }

// HasDrainedZones reports whether operators have drained any availability zone.
func (c *Config) HasDrainedZones() bool { return len(c.drainedZones) > 0 }

// Match returns the most specific route for a request, and false if none
// applies. The longest path wins, then a route that names the host, then one
// that names the method.
func (c *Config) Match(method, host, path string) (Route, bool) {
	// Try the path itself, then each shorter prefix, with and without its trailing
	// slash.
	for prefix := path; ; {
		for _, r := range c.routesByPath[prefix] {
			if r.matches(method, host, path) {
				return r, true
			}
		}
		if prefix == "" {
			return Route{}, false
		}
		if trimmed := strings.TrimSuffix(prefix, "/"); trimmed != prefix {
			prefix = trimmed
			continue
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')+1]
	}
}

// sortRoutes sorts routes by the order that Match applies, then by name.
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
