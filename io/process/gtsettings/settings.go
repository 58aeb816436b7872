// Package gtsettings reads the settings file of a node. Keys that are unknown,
// values of a wrong type and values out of range are refused with the file,
// the line and the key.
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
)

// Sample is a settings file with every key, its default and a comment.
//
//go:embed sample.toml
var Sample string

// Settings is the whole settings file of a node.
type Settings struct {
	Node    Node    `toml:"node"`
	Listen  Listen  `toml:"listen"`
	Tell    Tell    `toml:"tell"`
	Backend Backend `toml:"backend"`
	Store   Store   `toml:"store"`
	TLS     TLS     `toml:"tls"`
	Limit   Limit   `toml:"limit"`
	Log     Log     `toml:"log"`
	Trace   Trace   `toml:"trace"`
}

// Node says who the node is and whom it knows.
type Node struct {
	Instance string   `toml:"instance"`
	Cluster  string   `toml:"cluster"`
	Zone     string   `toml:"zone"`
	Peers    []string `toml:"peers"`
	Open     bool     `toml:"open"`
}

// Listen holds the addresses that the node listens on, each an IP and a port.
type Listen struct {
	Edge  string `toml:"edge"`
	Hop   string `toml:"hop"`
	Peer  string `toml:"peer"`
	Admin string `toml:"admin"`
}

// Tell holds the addresses that other nodes are told, where a relay stands
// before the ones that the node listens on; "" means those of Listen.
type Tell struct {
	Hop  string `toml:"hop"`
	Peer string `toml:"peer"`
}

// HopAddress returns the address that other nodes send requests to.
func (s Settings) HopAddress() string { return cmp.Or(s.Tell.Hop, s.Listen.Hop) }

// PeerAddress returns the address that other nodes open control links to.
func (s Settings) PeerAddress() string { return cmp.Or(s.Tell.Peer, s.Listen.Peer) }

// Backend describes the backend server beside the node.
type Backend struct {
	Address     string `toml:"address"`
	Service     string `toml:"service"`
	Version     string `toml:"version"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
	Fixed       bool   `toml:"fixed"`
	// Idle is how long an idle connection to the backend server is used without
	// further proof that it is alive.
	Idle Duration `toml:"idle"`
}

// Store says where the platform's store is.
type Store struct {
	Endpoint string `toml:"endpoint"`
	Prefix   string `toml:"prefix"`
}

// TLS names the files for mutual TLS between nodes.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Limit bounds what a request may cost.
type Limit struct {
	Body    int      `toml:"body"`
	Head    int      `toml:"head"`
	Buffer  int      `toml:"buffer"`
	Hops    int      `toml:"hops"`
	Callers int      `toml:"callers"`
	Slow    Duration `toml:"slow"`
	Drain   Duration `toml:"drain"`
	Quiet   Duration `toml:"quiet"`
	Linger  Duration `toml:"linger"`
}

// Log says how much is logged and how.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Trace says where spans go.
type Trace struct {
	Endpoint string  `toml:"endpoint"`
	Ratio    float64 `toml:"ratio"`
}

// Duration is a time.Duration written as in "250ms" or "2s".
type Duration time.Duration

// UnmarshalText reads the duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Default returns the settings that hold where the file says nothing.
func Default() Settings {
	return Settings{
		Node:    Node{Cluster: "default"},
		Listen:  Listen{Edge: "127.0.0.1:7400", Hop: "127.0.0.1:7401", Peer: "127.0.0.1:7402", Admin: "127.0.0.1:7403"},
		Backend: Backend{Slots: 10, Connections: 100},
		Store:   Store{Prefix: "godwittide/"},
		Limit: Limit{
			Body: 1 << 20, Head: 32 << 10, Buffer: 64 << 10, Hops: 16, Callers: 4096,
			Slow: Duration(10 * time.Second), Drain: Duration(20 * time.Second), Quiet: Duration(1500 * time.Millisecond),
		},
		Log:   Log{Level: "info", Format: "json"},
		Trace: Trace{Ratio: 0.01},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errorx.Decorate(err, "read settings")
	}
	return Parse(path, string(text))
}

// Parse reads and checks settings; name stands in messages.
func Parse(name, text string) (Settings, error) {
	cfg := Default()
	d := toml.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return Settings{}, Place(name, err)
	}
	if err := cfg.Check(); err != nil {
		return Settings{}, errorx.IllegalArgument.New("%s: %s", name, err.Error())
	}
	return cfg, nil
}

// Place returns an error of the decoder with the file, the line and the key.
func Place(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		e := unknown.Errors[0]
		line, _ := e.Position()
		return errorx.IllegalArgument.New("%s:%d: %s: unknown key; docs/SETTINGS.md lists them", name, line, strings.Join(e.Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return errorx.IllegalArgument.New("%s:%d: %s: %s", name, line, strings.Join(bad.Key(), "."), bad.Error())
	}
	return errorx.IllegalArgument.New("%s: %s", name, err.Error())
}

// namePattern is what names of instances, zones, services and versions look
// like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Check says what is wrong with the settings.
func (s Settings) Check() error {
	names := []struct{ key, value string }{
		{"node.instance", s.Node.Instance},
		{"node.cluster", s.Node.Cluster},
		{"node.zone", s.Node.Zone},
		{"backend.service", s.Backend.Service},
		{"backend.version", s.Backend.Version},
	}
	for _, v := range names {
		if !namePattern.MatchString(v.value) {
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
		told       bool // other nodes are told the address
	}{
		{"listen.edge", s.Listen.Edge, false},
		{"listen.hop", s.Listen.Hop, s.Tell.Hop == ""},
		{"listen.peer", s.Listen.Peer, s.Tell.Peer == ""},
		{"listen.admin", s.Listen.Admin, false},
	}
	for _, v := range listen {
		addr, err := netip.ParseAddrPort(v.value)
		if err != nil {
			return fmt.Errorf("%s: expected an IP and a port as in 127.0.0.1:7400, found %q", v.key, v.value)
		}
		if !addr.Addr().IsLoopback() && !s.Secure() && !s.Node.Open {
			return fmt.Errorf("%s: listens beyond loopback without [tls]; set the tls files, or node.open = true on a network that you trust", v.key)
		}
		if v.told && addr.Addr().IsUnspecified() {
			return fmt.Errorf("%s: other nodes connect to this address; name the IP of the instance, not %s", v.key, addr.Addr())
		}
	}
	for key, value := range map[string]string{"tell.hop": s.Tell.Hop, "tell.peer": s.Tell.Peer} {
		if _, err := netip.ParseAddrPort(value); value != "" && err != nil {
			return fmt.Errorf("%s: expected an IP and a port, found %q", key, value)
		}
	}
	if _, err := netip.ParseAddrPort(s.Backend.Address); err != nil {
		return fmt.Errorf("backend.address: expected an IP and a port, found %q", s.Backend.Address)
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
		key             string
		value, low, top int
	}{
		{"backend.slots", s.Backend.Slots, 1, 10000},
		{"backend.connections", s.Backend.Connections, 1, 10000},
		{"limit.body", s.Limit.Body, 0, 64 << 20},
		{"limit.head", s.Limit.Head, 1 << 10, 1 << 20},
		{"limit.buffer", s.Limit.Buffer, 0, 16 << 20},
		{"limit.hops", s.Limit.Hops, 1, 64},
		{"limit.callers", s.Limit.Callers, 1, 1 << 20},
	}
	for _, v := range ranges {
		if v.value < v.low || v.value > v.top {
			return fmt.Errorf("%s: must be from %d to %d, found %d", v.key, v.low, v.top, v.value)
		}
	}
	if s.Limit.Slow <= 0 || s.Limit.Drain <= 0 || s.Limit.Quiet <= 0 {
		return errors.New("limit.slow, limit.drain, limit.quiet: must be above 0")
	}
	if s.Backend.Idle < 0 || s.Limit.Linger < 0 {
		return errors.New("backend.idle, limit.linger: must not be below 0")
	}
	if s.Trace.Ratio < 0 || s.Trace.Ratio > 1 {
		return errors.New("trace.ratio: must be from 0 to 1")
	}
	tls := []string{s.TLS.Cert, s.TLS.Key, s.TLS.CA}
	if s.Secure() && (tls[0] == "" || tls[1] == "" || tls[2] == "") {
		return errors.New("tls: cert, key and ca go together")
	}
	return nil
}

// Secure says whether links between nodes use TLS.
func (s Settings) Secure() bool { return s.TLS.Cert != "" || s.TLS.Key != "" || s.TLS.CA != "" }
