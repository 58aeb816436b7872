// Package gtcluster runs a cluster of real nodes, with stand-ins for the store and
// the backend servers, inside one process. The demo, measurements and tests use
// it.
//
// # Usage
//
//	cluster := &gtcluster.Cluster{Log: zerolog.Nop()}
//	if err := cluster.Open(ctx); err != nil { ... }
//	defer cluster.Close()
//	site, err := cluster.Add(gtcluster.SiteSpec{Zone: "z1", Service: "lending", Version: "1"})
//	err = cluster.Push(map[string]string{"10-base.toml": text})
//
// Network faults can be injected between the nodes: zones can be partitioned from
// each other and from the store, open connections can be blackholed, and
// responses can be swapped between connections.
package gtcluster

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
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
	"godwittide/io/process/gtstore"
	"godwittide/io/version/gtrepository"
)

// SiteSpec describes a site: a node and its local backend server.
type SiteSpec struct {
	// Zone, Service and Version describe the backend server.
	Zone, Service, Version string
	// Slots, ServiceTime, Jitter and WarmUp configure the gtfake.Backend. 0 slots
	// mean 10.
	Slots       int
	ServiceTime time.Duration
	Jitter      float64
	WarmUp      time.Duration
	// Call, if set, is called by the backend server for each request and stands
	// for a call to another service.
	Call func(ctx context.Context, r *http.Request) error
	// NoPeers starts the node without peer addresses, so that it depends on the
	// store to find its peers.
	NoPeers bool
	// EditSettings, if set, changes the node's settings before it starts.
	EditSettings func(cfg *gtsettings.Settings)
}

// Site is a node and its local backend server.
type Site struct {
	settings gtsettings.Settings
	spec     SiteSpec

	mu          sync.Mutex
	node        *gtnode.Node
	backend     *gtfake.Backend
	nodeDone    chan struct{}
	stopNode    context.CancelFunc
	stopBackend context.CancelFunc
}

// Node returns the current node, or the last one if it has ended.
func (s *Site) Node() *gtnode.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Backend returns the local backend server.
func (s *Site) Backend() *gtfake.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

// lifecycle returns a channel that is closed when the node has ended, a function
// that starts its graceful shutdown, and one that stops the backend server.
func (s *Site) lifecycle() (nodeDone chan struct{}, stopNode, stopBackend context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodeDone, s.stopNode, s.stopBackend
}

// EdgeURL returns the base URL for callers, without a trailing slash.
func (s *Site) EdgeURL() string { return "http://" + s.settings.Listen.Edge }

// AdminAddress returns the address (host:port) of the node's admin pages.
func (s *Site) AdminAddress() string { return s.settings.Listen.Admin }

// Settings returns the node's settings.
func (s *Site) Settings() gtsettings.Settings { return s.settings }

// Instance returns the instance name.
func (s *Site) Instance() string { return s.settings.Node.Instance }

// Zone returns the site's availability zone.
func (s *Site) Zone() string { return s.spec.Zone }

// Cluster is a cluster of nodes with a store of its own. Its exported fields are
// set before Open.
type Cluster struct {
	// Log is the logger of all nodes.
	Log zerolog.Logger
	// Delay returns the round-trip time between two zones; nil means no delay.
	Delay func(from, to string) time.Duration
	// Net opens and accepts all connections; the default is Loopback.
	Net Net

	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	store            *gtfake.Store
	storeAddr        string
	mu               sync.Mutex
	sites            []*Site
	partitioned      map[string]bool        // zones partitioned from other zones
	storeUnreachable map[string]bool        // zones partitioned from the store
	zoneByAddr       map[string]string      // by hop and peer address
	hopAddrs         map[string]bool        // set of hop addresses
	connZones        map[net.Conn][2]string // zones of the dialing and the accepting node
	siteCount        int

	swapShare  atomic.Uint64 // 0 to 1, as the bits of a float64
	swapCount  atomic.Int64
	swapOffers chan swapOffer
}

// Open starts the store. It returns an error if the store can't listen.
func (c *Cluster) Open(ctx context.Context) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.partitioned, c.storeUnreachable, c.zoneByAddr = map[string]bool{}, map[string]bool{}, map[string]string{}
	c.connZones, c.hopAddrs, c.swapOffers = map[net.Conn][2]string{}, map[string]bool{}, make(chan swapOffer)
	c.store = &gtfake.Store{}
	if c.Net.NewAddress == nil {
		c.Net = Loopback()
	}
	c.storeAddr = c.Net.address()
	ln, err := c.Net.listen(c.storeAddr)
	if err != nil {
		return errorx.Decorate(err, "start the store")
	}
	server := &http.Server{Handler: c.store.Handler()}
	c.wg.Go(func() { _ = server.Serve(ln) })
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	return nil
}

// Close aborts the nodes, stops the store and the backend servers, and waits for
// all of them to end.
func (c *Cluster) Close() {
	for _, s := range c.Sites() {
		s.Node().Abort()
	}
	c.cancel()
	c.wg.Wait()
}

// Store returns the store.
func (c *Cluster) Store() *gtfake.Store { return c.store }

// StoreURL returns the base URL of the store.
func (c *Cluster) StoreURL() string { return "http://" + c.storeAddr }

// Sites returns all sites in the order of their addition, with those that have
// been stopped.
func (c *Cluster) Sites() []*Site {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Site(nil), c.sites...)
}

// Add starts a backend server and its node. It returns an error if the backend
// server can't listen.
func (c *Cluster) Add(spec SiteSpec) (*Site, error) {
	c.mu.Lock()
	c.siteCount++
	name := fmt.Sprintf("%s-%s-%d", spec.Service, spec.Zone, c.siteCount)
	c.mu.Unlock()
	if spec.Slots == 0 {
		spec.Slots = 10
	}
	s := &Site{spec: spec, settings: gtsettings.Default()}
	s.settings.Node.Instance, s.settings.Node.Zone = name, spec.Zone
	s.settings.Backend.Service, s.settings.Backend.Version, s.settings.Backend.Slots = spec.Service, spec.Version, spec.Slots
	s.settings.Store.Endpoint = c.StoreURL()
	s.settings.Node.Peers = c.bootstrapPeers(spec)
	for _, addr := range []*string{
		&s.settings.Listen.Edge, &s.settings.Listen.Hop, &s.settings.Listen.Peer, &s.settings.Listen.Admin, &s.settings.Backend.Address,
	} {
		*addr = c.Net.address()
	}
	if spec.EditSettings != nil {
		spec.EditSettings(&s.settings)
	}
	if err := c.startBackend(s); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.sites = append(c.sites, s)
	c.zoneByAddr[s.settings.Listen.Hop], c.zoneByAddr[s.settings.Listen.Peer] = spec.Zone, spec.Zone
	c.hopAddrs[s.settings.Listen.Hop] = true
	c.mu.Unlock()
	c.startNode(s)
	return s, nil
}

// bootstrapPeers returns the peer addresses of the first three sites, or none if
// spec.NoPeers is set.
func (c *Cluster) bootstrapPeers(spec SiteSpec) []string {
	if spec.NoPeers {
		return nil
	}
	var peers []string
	for _, s := range c.Sites() {
		if len(peers) < 3 {
			peers = append(peers, s.settings.Listen.Peer)
		}
	}
	return peers
}

func (c *Cluster) startBackend(s *Site) error {
	ln, err := gtfake.ListenWithRetry(c.ctx, c.Net.listen, s.settings.Backend.Address)
	if err != nil {
		return errorx.Decorate(err, "start a backend server")
	}
	backend := &gtfake.Backend{
		Name: s.settings.Node.Instance, Slots: s.spec.Slots, ServiceTime: s.spec.ServiceTime, Jitter: s.spec.Jitter, WarmUp: s.spec.WarmUp,
		CrashDowntime: time.Second, Call: s.spec.Call, Listen: c.Net.listen,
	}
	ctx, stopBackend := context.WithCancel(c.ctx)
	s.mu.Lock()
	s.backend, s.stopBackend = backend, stopBackend
	s.mu.Unlock()
	c.wg.Go(func() { _ = backend.Run(ctx, ln) })
	return nil
}

func (c *Cluster) startNode(s *Site) {
	zone := s.spec.Zone
	node := &gtnode.Node{
		Settings: s.settings, Log: c.Log.With().Str("node", s.settings.Node.Instance).Logger(),
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return c.dial(ctx, zone, addr) },
		DialBackend: c.Net.Connect,
		Listen:      c.Net.listen,
		Store:       c.storeFor(zone),
	}
	node.Init()
	ctx, stopNode := context.WithCancel(c.ctx)
	nodeDone := make(chan struct{})
	s.mu.Lock()
	s.node, s.nodeDone, s.stopNode = node, nodeDone, stopNode
	s.mu.Unlock()
	c.wg.Go(func() {
		defer close(nodeDone)
		if err := node.Run(ctx); err != nil {
			c.Log.Error().Err(err).Msg("cluster: node ended with an error")
		}
	})
}

// Stop shuts the node down gracefully and waits until it has ended. The backend
// server continues to run.
func (c *Cluster) Stop(s *Site) {
	nodeDone, stopNode, _ := s.lifecycle()
	stopNode()
	<-nodeDone
}

// Kill aborts the node and then stops the backend server, so that the node can't
// announce to its peers that it leaves.
func (c *Cluster) Kill(s *Site) {
	nodeDone, _, stopBackend := s.lifecycle()
	s.Node().Abort()
	<-nodeDone
	stopBackend()
}

// Restart starts the node and the backend server again after Stop or Kill. It
// returns an error if the backend server can't listen.
func (c *Cluster) Restart(s *Site) error {
	_, _, stopBackend := s.lifecycle()
	stopBackend()
	if err := c.startBackend(s); err != nil {
		return err
	}
	c.startNode(s)
	return nil
}

// Push replaces the configuration folder in the store with the given files, a map
// from file name to text. It returns an error if the store fails or if another
// push came in between.
func (c *Cluster) Push(files map[string]string) error {
	repo := &gtrepository.Repository{Store: gtstore.NewEtcd(c.StoreURL(), gtstore.NewClientWithDial(c.Net.Connect)), Prefix: gtsettings.Default().Store.Prefix}
	base, err := repo.Read(c.ctx)
	if err != nil {
		return err
	}
	old, err := repo.Files(c.ctx)
	if err != nil {
		return err
	}
	changed, removed := gtdelta.Changes(old, files)
	_, err = repo.Push(c.ctx, base, "lab", changed, removed)
	return err
}

// WaitUntil polls condition every 10 ms until it is true. It returns false if the
// timeout or the cluster's context ends first.
func (c *Cluster) WaitUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		if gttimer.Sleep(c.ctx, 10*time.Millisecond) != nil {
			return false
		}
	}
	return true
}

// AllActiveAt reports whether the active version of every node that has not been
// stopped is at least the given one.
func (c *Cluster) AllActiveAt(version int64) bool {
	return c.allNodes(func(n *gtnode.Node) bool { return n.Status().Version >= version })
}

// allNodes reports whether every node that has not been stopped has started and
// meets a condition.
func (c *Cluster) allNodes(condition func(n *gtnode.Node) bool) bool {
	for _, s := range c.Sites() {
		if !s.Stopped() && (!s.Running() || !condition(s.Node())) {
			return false
		}
	}
	return true
}

// Stopped reports whether the node has ended.
func (s *Site) Stopped() bool {
	nodeDone, _, _ := s.lifecycle()
	select {
	case <-nodeDone:
		return true
	default:
		return false
	}
}

// Running reports whether the node has started and not ended.
func (s *Site) Running() bool { return !s.Stopped() && s.Node().Started() }

// ReadyAtMost reports whether no running node counts more than the given number of
// ready instances.
func (c *Cluster) ReadyAtMost(ready int) bool {
	for _, s := range c.Sites() {
		if s.Running() && s.Node().CountReady() > ready {
			return false
		}
	}
	return true
}

// ReadyAtLeast reports whether every node that has not been stopped counts at least
// the given number of ready instances.
func (c *Cluster) ReadyAtLeast(ready int) bool {
	return c.allNodes(func(n *gtnode.Node) bool { return n.CountReady() >= ready })
}
