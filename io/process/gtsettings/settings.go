// Package gtsettings reads the settings file of a node. It rejects unknown keys,
// values of the wrong type and values out of range with an error that names the
// file and the key, and the line if the decoder found the error.
//
// # Usage
//
//	cfg, err := gtsettings.Load("node.toml")
//	fmt.Print(gtsettings.Sample)   // a commented file with every default
//
// docs/SETTINGS.md is the reference page.
package gtsettings

import (
	"cmp"
	_ "embed" // for Sample
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"godwittide/core/request/gtstream"
)

// Sample is a settings file with every key, its default and a comment.
//
//go:embed sample.toml
var Sample string

// Settings is the content of the settings file of a node.
type Settings struct {
	Node      Node      `toml:"node"`
	Listen    Listen    `toml:"listen"`
	Advertise Advertise `toml:"tell"`
	Backend   Backend   `toml:"backend"`
	Store     Store     `toml:"store"`
	Duty      Duty      `toml:"duty"`
	TLS       TLS       `toml:"tls"`
	Limit     Limits    `toml:"limit"`
	Account   Account   `toml:"account"`
	Log       Log       `toml:"log"`
	Trace     Trace     `toml:"trace"`
}

// Node identifies the node and lists its first peers.
type Node struct {
	Instance string   `toml:"instance"`
	Cluster  string   `toml:"cluster"`
	Zone     string   `toml:"zone"`
	Peers    []string `toml:"peers"`
	// AllowPlaintext allows the node to listen on other addresses than loopback
	// without TLS.
	AllowPlaintext bool `toml:"open"`
}

// Listen holds the listen addresses of the node, each an IP and a port.
type Listen struct {
	Edge  string `toml:"edge"`
	Hop   string `toml:"hop"`
	Peer  string `toml:"peer"`
	Admin string `toml:"admin"`
}

// Advertise holds the advertised addresses, for a node that others reach through a
// relay. An empty address means the listen address.
type Advertise struct {
	Hop  string `toml:"hop"`
	Peer string `toml:"peer"`
}

// HopAddress returns the advertised address for requests from other nodes.
func (s Settings) HopAddress() string { return cmp.Or(s.Advertise.Hop, s.Listen.Hop) }

// PeerAddress returns the advertised address for control links from other nodes.
func (s Settings) PeerAddress() string { return cmp.Or(s.Advertise.Peer, s.Listen.Peer) }

// Backend describes the local backend server.
type Backend struct {
	Address string `toml:"address"`
	Service string `toml:"service"`
	Version string `toml:"version"`
	// Slots is the number of requests that the warmed-up backend server can run at
	// once. It is the upper bound of the adaptive concurrency limit, which starts
	// lower. With FixedLimit it is the concurrency limit.
	Slots int `toml:"slots"`
	// MaxConnections is the maximum number of connections to the backend server,
	// and to each other node.
	MaxConnections int `toml:"connections"`
	// FixedLimit keeps the concurrency limit at Slots instead of adapting it.
	FixedLimit bool `toml:"fixed"`
	// ExactSlots says that the backend server has room for Slots requests at least, so that
	// resets, and responses that never come, don't lower the limit.
	ExactSlots bool `toml:"exact"`
	// Learn makes the node learn the speed and the capacity of the backend server, which
	// others then use to choose among the servers of its service.
	Learn bool `toml:"learn"`
	// MaxReuseIdle is the longest time that a connection to the backend server may
	// have been idle and still be reused. 0 means gtliveness.FreshNonIdempotent, or
	// gtliveness.FreshIdempotent for an idempotent request.
	MaxReuseIdle Duration `toml:"idle"`
}

// Store is the address of the platform's store and the prefix of its keys.
type Store struct {
	Endpoint string `toml:"endpoint"`
	Prefix   string `toml:"prefix"`
}

// Duty describes where the use of client accounts is reported, and when.
type Duty struct {
	// Address is the address of the calls; empty means that there are none.
	Address string `toml:"address"`
	// Rate is the number of calls a second that the address accepts from all nodes.
	Rate float64 `toml:"rate"`
	// Fenced tells that the address refuses calls with a lower token than an earlier one.
	Fenced bool `toml:"fenced"`
	// Lease is the lease time of the holder.
	Lease Duration `toml:"lease"`
	// Window is the length of a window, and Late the time after its end at which its
	// report is due.
	Window Duration `toml:"window"`
	Late   Duration `toml:"late"`
}

// TLS holds the paths of the PEM files for mutual TLS between nodes.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Limits holds the bounds on the resources of requests and on the phases of a
// shutdown. Sizes are in bytes.
type Limits struct {
	MaxBodyBytes int `toml:"body"`
	MaxHeadBytes int `toml:"head"`
	// MaxBufferBytes is the size up to which a response is buffered until it is
	// complete.
	MaxBufferBytes int `toml:"buffer"`
	// MaxHops is the maximum number of hops of one call.
	MaxHops int `toml:"hops"`
	// MaxCallerConnections is the maximum number of connections from callers.
	MaxCallerConnections int `toml:"callers"`
	// MaxAddressConnections is the maximum number of those from one address. 0 means that
	// MaxCallerConnections is the only limit, as where all callers have the same address.
	MaxAddressConnections int `toml:"address"`
	// MaxHopConnections is the maximum number of connections for requests of other nodes from one
	// address, MaxPeerConnections that of control links. 0 means what one node opens, with room
	// for a restart of it, except from the machine itself or behind a relay.
	MaxHopConnections  int `toml:"hop"`
	MaxPeerConnections int `toml:"peer"`
	// MaxNodeConnections is the maximum number of connections for requests of other nodes.
	MaxNodeConnections int `toml:"nodes"`
	// MaxAdminConnections is the maximum number of connections to the admin address.
	MaxAdminConnections int `toml:"admin"`
	// MemoryBytes is the size of the budget of what is held for callers, other nodes and the
	// backend server.
	MemoryBytes int `toml:"memory"`
	// Pipeline is the maximum number of requests on one connection that are read before the
	// first is answered. 1 means that each is read after the response to the one before.
	Pipeline int `toml:"pipeline"`
	// WholeBytes is the size up to which every request body is read whole before its request
	// is routed. Larger ones that are not kept for a retry are forwarded in windows.
	WholeBytes int `toml:"whole"`
	// ReadTimeout is the timeout for reading the head or the body of a request.
	ReadTimeout Duration `toml:"slow"`
	// DrainTimeout is the maximum time that a shutdown waits for requests in flight.
	DrainTimeout Duration `toml:"drain"`
	// RefusePeriod is how long a leaving node goes on refusing requests, so that every
	// peer learns that it is leaving.
	RefusePeriod Duration `toml:"quiet"`
	// LingerPeriod is how long a node that shuts down still admits requests for its
	// backend server.
	LingerPeriod Duration `toml:"linger"`
}

// Account holds the settings for client accounts.
type Account struct {
	// StrictRevoke makes the node refuse requests with keys while it can't tell whether
	// its configuration is current.
	StrictRevoke bool `toml:"strict"`
	// RevokeTime is the time after which a key that was removed must not be accepted
	// anywhere, with StrictRevoke.
	RevokeTime Duration `toml:"revoke"`
}

// Log holds the log level and the log format.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Trace holds the OTLP endpoint that spans are sent to, and the share of new
// traces that are recorded.
type Trace struct {
	Endpoint string  `toml:"endpoint"`
	Ratio    float64 `toml:"ratio"`
}

// Duration is a time.Duration that is written as text, such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText parses the text with time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Node:    Node{Cluster: "default"},
		Listen:  Listen{Edge: "127.0.0.1:7400", Hop: "127.0.0.1:7401", Peer: "127.0.0.1:7402", Admin: "127.0.0.1:7403"},
		Backend: Backend{Slots: 10, MaxConnections: 100, Learn: true},
		Store:   Store{Prefix: "godwittide/"},
		Duty:    Duty{Rate: 50, Lease: Duration(3 * time.Second), Window: Duration(5 * time.Second), Late: Duration(10 * time.Second)},
		Limit: Limits{
			MaxBodyBytes: 1 << 20, MaxHeadBytes: 32 << 10, MaxBufferBytes: 64 << 10, MaxHops: 16, MaxCallerConnections: 4096, MaxNodeConnections: 1 << 15, MaxAdminConnections: 256, MemoryBytes: 150 << 20, Pipeline: 16, WholeBytes: gtstream.DefaultWholeBytes,
			ReadTimeout: Duration(10 * time.Second), DrainTimeout: Duration(20 * time.Second), RefusePeriod: Duration(1500 * time.Millisecond),
		},
		Account: Account{RevokeTime: Duration(5 * time.Second)},
		Log:     Log{Level: "info", Format: "json"},
		Trace:   Trace{Ratio: 0.01},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errorx.Decorate(err, "read the settings file")
	}
	return Parse(path, string(text))
}

// Parse decodes and validates settings. Errors name the file as name.
func Parse(name, text string) (Settings, error) {
	cfg := Default()
	d := toml.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return Settings{}, AddPosition(name, err)
	}
	if err := cfg.Validate(); err != nil {
		return Settings{}, errorx.IllegalArgument.New("%s: %s", name, err.Error())
	}
	return cfg, nil
}

// AddPosition returns an error of the TOML decoder as an IllegalArgument error
// that names the file and, if the decoder reports them, the line and the key.
func AddPosition(name string, err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		e := strictErr.Errors[0]
		line, _ := e.Position()
		return errorx.IllegalArgument.New("%s:%d: %s: unknown key; docs/SETTINGS.md lists them", name, line, strings.Join(e.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return errorx.IllegalArgument.New("%s:%d: %s: %s", name, line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
	}
	return errorx.IllegalArgument.New("%s: %s", name, err.Error())
}

// validName matches valid names of instances, clusters, zones, services and
// versions.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate returns an error that describes the first invalid setting.
func (s Settings) Validate() error {
	names := []struct{ key, value string }{
		{"node.instance", s.Node.Instance},
		{"node.cluster", s.Node.Cluster},
		{"node.zone", s.Node.Zone},
		{"backend.service", s.Backend.Service},
		{"backend.version", s.Backend.Version},
	}
	for _, v := range names {
		if !validName.MatchString(v.value) {
			return fmt.Errorf("%s: needs 1 to 64 letters, digits, dots, dashes or underscores, found %q", v.key, v.value)
		}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	return s.checkRanges()
}

func (s Settings) checkAddresses() error {
	listen := []struct {
		key, value string
		advertised bool // other nodes connect to the address
	}{
		{"listen.edge", s.Listen.Edge, false},
		{"listen.hop", s.Listen.Hop, s.Advertise.Hop == ""},
		{"listen.peer", s.Listen.Peer, s.Advertise.Peer == ""},
		{"listen.admin", s.Listen.Admin, false},
	}
	for _, v := range listen {
		addr, err := netip.ParseAddrPort(v.value)
		if err != nil {
			return fmt.Errorf("%s: expected an IP and a port as in 127.0.0.1:7400, found %q", v.key, v.value)
		}
		if !addr.Addr().IsLoopback() && !s.UsesTLS() && !s.Node.AllowPlaintext {
			return fmt.Errorf("%s: listens beyond loopback without [tls]; set the tls files, or node.open = true on a network that you trust", v.key)
		}
		if v.advertised && addr.Addr().IsUnspecified() {
			return fmt.Errorf("%s: other nodes connect to this address; name the IP of the instance, not %s", v.key, addr.Addr())
		}
	}
	for key, value := range map[string]string{"tell.hop": s.Advertise.Hop, "tell.peer": s.Advertise.Peer} {
		if _, err := netip.ParseAddrPort(value); value != "" && err != nil {
			return fmt.Errorf("%s: expected an IP and a port, found %q", key, value)
		}
	}
	if _, err := netip.ParseAddrPort(s.Backend.Address); err != nil {
		return fmt.Errorf("backend.address: expected an IP and a port, found %q", s.Backend.Address)
	}
	if _, err := netip.ParseAddrPort(s.Duty.Address); s.Duty.Address != "" && err != nil {
		return fmt.Errorf("duty.address: expected an IP and a port, found %q", s.Duty.Address)
	}
	for _, p := range s.Node.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("node.peers: expected IPs and ports, found %q", p)
		}
	}
	return nil
}

func (s Settings) checkRanges() error {
	ranges := []struct {
		key              string
		value, low, high int
	}{
		{"backend.slots", s.Backend.Slots, 1, 10000},
		{"backend.connections", s.Backend.MaxConnections, 1, 10000},
		{"limit.body", s.Limit.MaxBodyBytes, 0, 64 << 20},
		{"limit.head", s.Limit.MaxHeadBytes, 1 << 10, 1 << 20},
		{"limit.buffer", s.Limit.MaxBufferBytes, 0, 16 << 20},
		{"limit.hops", s.Limit.MaxHops, 1, 64},
		{"limit.callers", s.Limit.MaxCallerConnections, 1, 1 << 20},
		{"limit.address", s.Limit.MaxAddressConnections, 0, 1 << 20},
		{"limit.hop", s.Limit.MaxHopConnections, 0, 1 << 20},
		{"limit.peer", s.Limit.MaxPeerConnections, 0, 1 << 20},
		{"limit.nodes", s.Limit.MaxNodeConnections, 1, 1 << 20},
		{"limit.admin", s.Limit.MaxAdminConnections, 1, 1 << 20},
		{"limit.memory", s.Limit.MemoryBytes, 1 << 20, 1 << 40},
		{"limit.pipeline", s.Limit.Pipeline, 1, 256},
		{"limit.whole", s.Limit.WholeBytes, 0, 64 << 20},
	}
	for _, v := range ranges {
		if v.value < v.low || v.value > v.high {
			return fmt.Errorf("%s: must be from %d to %d, found %d", v.key, v.low, v.high, v.value)
		}
	}
	if s.Limit.ReadTimeout <= 0 || s.Limit.DrainTimeout <= 0 || s.Limit.RefusePeriod <= 0 {
		return errors.New("limit.slow, limit.drain, limit.quiet: must be above 0")
	}
	if err := s.Duty.check(); err != nil {
		return err
	}
	if s.Account.RevokeTime <= 0 {
		return errors.New("account.revoke: must be above 0")
	}
	if s.Backend.MaxReuseIdle < 0 || s.Limit.LingerPeriod < 0 {
		return errors.New("backend.idle, limit.linger: must not be below 0")
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil || s.Log.Level == "" {
		return fmt.Errorf("log.level: use debug, info, warn or error, found %q", s.Log.Level)
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return fmt.Errorf("log.format: use json or text, found %q", s.Log.Format)
	}
	if s.Trace.Ratio < 0 || s.Trace.Ratio > 1 {
		return errors.New("trace.ratio: must be from 0 to 1")
	}
	tls := []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA}
	if s.UsesTLS() && (tls[0] == "" || tls[1] == "" || tls[2] == "") {
		return errors.New("tls: cert, key and ca go together")
	}
	return nil
}

// check returns an error that describes the first invalid setting.
func (d Duty) check() error {
	switch {
	case d.Rate < 1 || d.Rate > 10000:
		return fmt.Errorf("duty.rate: must be from 1 to 10000, found %g", d.Rate)
	case time.Duration(d.Lease) < time.Second || time.Duration(d.Lease) > time.Minute:
		return errors.New("duty.lease: must be from 1s to 1m")
	case time.Duration(d.Window) < time.Second || time.Duration(d.Window) > time.Hour:
		return errors.New("duty.window: must be from 1s to 1h")
	case time.Duration(d.Late) < 2*time.Second || time.Duration(d.Late) > time.Hour:
		return errors.New("duty.late: must be from 2s to 1h")
	default:
		return nil
	}
}

// UsesTLS reports whether connections between nodes use TLS.
func (s Settings) UsesTLS() bool { return s.TLS.Cert != "" || s.TLS.Key != "" || s.TLS.CA != "" }
