// Package gtlab runs real nodes with stand-ins for the store and the backend
// servers in one process on loopback, for the demo, measurements and tests.
//
// # Usage
//
//	lab := &gtlab.Lab{Log: zerolog.Nop()}
//	if err := lab.Open(ctx); err != nil { ... }
//	defer lab.Close()
//	site, err := lab.Add(gtlab.Spec{Zone: "z1", Service: "lending", Version: "1"})
//	err = lab.Push(map[string]string{"10-base.toml": text})
//
// The network between sites can be cut by zone.
package gtlab

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/core/version/gtdelta"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
	"godwittide/io/process/gtstand"
	"godwittide/io/process/gtstore"
	"godwittide/io/version/gtrepository"
)

// Spec describes one site: a node and the backend server beside it.
type Spec struct {
	// Zone, Service and Version are those of the backend server.
	Zone, Service, Version string
	// Slots, Work, Noise and Warm are those of the stand-in.
	Slots int
	Work  time.Duration
	Noise float64
	Warm  time.Duration
	// Call makes the backend server call another service.
	Call func(ctx context.Context, r *http.Request) error
	// Lonely gives the node no peer addresses, so that it needs the store.
	Lonely bool
	// Settings changes the node's settings before it starts.
	Settings func(cfg *gtsettings.Settings)
}

// Site is a node and its backend server.
type Site struct {
	settings gtsettings.Settings
	spec     Spec

	mu      sync.Mutex
	node    *gtnode.Node
	backend *gtstand.Backend
	stopped chan struct{}
	cancel  context.CancelFunc
	kill    context.CancelFunc
}

// Node returns the node that runs, or ran last, at the site.
func (s *Site) Node() *gtnode.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Backend returns the stand-in beside the node.
func (s *Site) Backend() *gtstand.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

// life returns what ends with the node: a channel and two functions.
func (s *Site) life() (stopped chan struct{}, cancel, kill context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped, s.cancel, s.kill
}

// Edge returns the URL that callers use.
func (s *Site) Edge() string { return "http://" + s.settings.Listen.Edge }

// Admin returns the node's admin address.
func (s *Site) Admin() string { return s.settings.Listen.Admin }

// Settings returns the node's settings.
func (s *Site) Settings() gtsettings.Settings { return s.settings }

// Name returns the name of the instance.
func (s *Site) Name() string { return s.settings.Node.Instance }

// Zone returns the site's availability zone.
func (s *Site) Zone() string { return s.spec.Zone }

// Lab is a small site of its own. Its exported fields are set before Open.
type Lab struct {
	// Log takes the messages of all nodes.
	Log zerolog.Logger
	// Delay returns the round trip between two zones; nil means none.
	Delay func(from, to string) time.Duration
	// Net carries all connections; if it is not set, it is Loopback.
	Net Net

	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	store *gtstand.Store
	addr  string
	mu    sync.Mutex
	sites []*Site
	cut   map[string]bool
	away  map[string]bool
	zones map[string]string
	hops  map[string]bool
	conns map[net.Conn][2]string
	count int

	cross   atomic.Uint64 // the bits of a float64
	crossed atomic.Int64
	pieces  chan piece
}

// Open starts the store.
func (l *Lab) Open(ctx context.Context) error {
	l.ctx, l.stop = context.WithCancel(ctx)
	l.cut, l.away, l.zones = map[string]bool{}, map[string]bool{}, map[string]string{}
	l.conns, l.hops, l.pieces = map[net.Conn][2]string{}, map[string]bool{}, make(chan piece)
	l.store = &gtstand.Store{}
	if l.Net.Address == nil {
		l.Net = Loopback()
	}
	l.addr = l.Net.address()
	ln, err := l.Net.listen(l.addr)
	if err != nil {
		return errorx.Decorate(err, "start the store")
	}
	server := &http.Server{Handler: l.store.Handler()}
	l.wg.Go(func() { _ = server.Serve(ln) })
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	return nil
}

// Close ends everything.
func (l *Lab) Close() {
	for _, s := range l.Sites() {
		s.Node().Abort()
	}
	l.stop()
	l.wg.Wait()
}

// Store returns the stand-in of the store.
func (l *Lab) Store() *gtstand.Store { return l.store }

// Endpoint returns the store's URL.
func (l *Lab) Endpoint() string { return "http://" + l.addr }

// Sites returns all sites in the order in which they were added.
func (l *Lab) Sites() []*Site {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Site(nil), l.sites...)
}

// Add starts a backend server and the node beside it.
func (l *Lab) Add(spec Spec) (*Site, error) {
	l.mu.Lock()
	l.count++
	name := fmt.Sprintf("%s-%s-%d", spec.Service, spec.Zone, l.count)
	l.mu.Unlock()
	if spec.Slots == 0 {
		spec.Slots = 10
	}
	s := &Site{spec: spec, settings: gtsettings.Default()}
	s.settings.Node.Instance, s.settings.Node.Zone = name, spec.Zone
	s.settings.Backend.Service, s.settings.Backend.Version, s.settings.Backend.Slots = spec.Service, spec.Version, spec.Slots
	s.settings.Store.Endpoint = l.Endpoint()
	s.settings.Node.Peers = l.peers(spec)
	for _, addr := range []*string{
		&s.settings.Listen.Edge, &s.settings.Listen.Hop, &s.settings.Listen.Peer, &s.settings.Listen.Admin, &s.settings.Backend.Address,
	} {
		*addr = l.Net.address()
	}
	if spec.Settings != nil {
		spec.Settings(&s.settings)
	}
	if err := l.startBackend(s); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.sites = append(l.sites, s)
	l.zones[s.settings.Listen.Hop], l.zones[s.settings.Listen.Peer] = spec.Zone, spec.Zone
	l.hops[s.settings.Listen.Hop] = true
	l.mu.Unlock()
	l.startNode(s)
	return s, nil
}

func (l *Lab) peers(spec Spec) []string {
	if spec.Lonely {
		return nil
	}
	var peers []string
	for _, s := range l.Sites() {
		if len(peers) < 3 {
			peers = append(peers, s.settings.Listen.Peer)
		}
	}
	return peers
}

func (l *Lab) startBackend(s *Site) error {
	ln, err := gtstand.Listen(l.ctx, l.Net.listen, s.settings.Backend.Address)
	if err != nil {
		return errorx.Decorate(err, "start a backend server")
	}
	backend := &gtstand.Backend{
		Name: s.settings.Node.Instance, Slots: s.spec.Slots, Work: s.spec.Work, Noise: s.spec.Noise, Warm: s.spec.Warm,
		Restart: time.Second, Call: s.spec.Call, Listen: l.Net.listen,
	}
	ctx, cancel := context.WithCancel(l.ctx)
	s.mu.Lock()
	s.backend, s.kill = backend, cancel
	s.mu.Unlock()
	l.wg.Go(func() { _ = backend.Run(ctx, ln) })
	return nil
}

func (l *Lab) startNode(s *Site) {
	zone := s.spec.Zone
	node := &gtnode.Node{
		Settings: s.settings, Log: l.Log.With().Str("node", s.settings.Node.Instance).Logger(),
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return l.dial(ctx, zone, addr) },
		DialBackend: l.Net.Connect,
		Listen:      l.Net.listen,
		Store:       l.storeFor(zone),
	}
	node.Init()
	ctx, cancel := context.WithCancel(l.ctx)
	stopped := make(chan struct{})
	s.mu.Lock()
	s.node, s.stopped, s.cancel = node, stopped, cancel
	s.mu.Unlock()
	l.wg.Go(func() {
		defer close(stopped)
		if err := node.Run(ctx); err != nil {
			l.Log.Error().Err(err).Msg("lab: node ended")
		}
	})
}

// Stop stops the node gracefully and waits for it.
func (l *Lab) Stop(s *Site) {
	stopped, cancel, _ := s.life()
	cancel()
	<-stopped
}

// Kill ends the node at once, and then the backend server, so that the node
// has no time to tell of its end.
func (l *Lab) Kill(s *Site) {
	stopped, _, kill := s.life()
	s.Node().Abort()
	<-stopped
	kill()
}

// Restart starts node and backend server again after Stop or Kill.
func (l *Lab) Restart(s *Site) error {
	_, _, kill := s.life()
	kill()
	if err := l.startBackend(s); err != nil {
		return err
	}
	l.startNode(s)
	return nil
}

// Push makes the folder in the store hold just the given files.
func (l *Lab) Push(files map[string]string) error {
	vault := &gtrepository.Repository{Store: gtstore.Etcd(l.Endpoint(), gtstore.ClientOver(l.Net.Connect)), Prefix: gtsettings.Default().Store.Prefix}
	base, err := vault.Read(l.ctx)
	if err != nil {
		return err
	}
	old, err := vault.Files(l.ctx)
	if err != nil {
		return err
	}
	set, removed := gtdelta.Changes(old, files)
	_, err = vault.Push(l.ctx, base, "lab", set, removed)
	return err
}

// Until polls check until it is true or the time is over.
func (l *Lab) Until(limit time.Duration, check func() bool) bool {
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			return false
		}
		if gttimer.Sleep(l.ctx, 10*time.Millisecond) != nil {
			return false
		}
	}
	return true
}

// InForce says whether every site that has not been ended has at least the given version in force.
func (l *Lab) InForce(version int64) bool {
	return l.all(func(n *gtnode.Node) bool { return n.Status().Version >= version })
}

// all says whether every node that has not been ended has started and meets a
// condition.
func (l *Lab) all(meets func(n *gtnode.Node) bool) bool {
	for _, s := range l.Sites() {
		if !s.Stopped() && (!s.Running() || !meets(s.Node())) {
			return false
		}
	}
	return true
}

// Stopped says whether the site's node has ended.
func (s *Site) Stopped() bool {
	stopped, _, _ := s.life()
	select {
	case <-stopped:
		return true
	default:
		return false
	}
}

// Running says whether the site's node has started and not ended.
func (s *Site) Running() bool { return !s.Stopped() && s.Node().Started() }

// Only says whether every node that has not been ended counts no more than the
// given number of ready instances.
func (l *Lab) Only(ready int) bool {
	for _, s := range l.Sites() {
		if s.Running() && s.Node().CountReady() > ready {
			return false
		}
	}
	return true
}

// Know says whether every node that has not been ended counts at least the given number of
// ready instances.
func (l *Lab) Know(ready int) bool {
	return l.all(func(n *gtnode.Node) bool { return n.CountReady() >= ready })
}
