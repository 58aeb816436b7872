package gtnode

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"godwittide/core/connection/gtliveness"
	"godwittide/core/connection/gtsequence"
	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtpipeline"
	"godwittide/io/connection/gtpool"
	"godwittide/io/connection/gtsocket"
)

const (
	// idleTimeout is how long an idle connection of a caller or node is kept open.
	// It is longer than the idle timeout of any client in this system.
	idleTimeout = 2 * time.Minute
	// tcpUserTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	tcpUserTimeout = gtliveness.KeepAliveTimeout
	// minShutdownTime is the time that closing the connections of the servers gets at
	// least. It is part of what the platform gives a process beyond the drain.
	minShutdownTime = 400 * time.Millisecond
	// idleCheckPeriod is the period at which idle connections with unread bytes are
	// checked again during shutdown.
	idleCheckPeriod = 2 * time.Millisecond
	// minShutdownChecks is the minimum number of checks before the time of a step of the
	// shutdown counts as up. A process that gets no processor time for all of
	// minShutdownTime would otherwise cut off requests that it could answer at once.
	minShutdownChecks = 20
	// maxPeerConns is the maximum number of inbound control connections: overlay and
	// direct links, and connections that no link has come of yet.
	maxPeerConns = 640
)

// listeners are the open listeners of a node.
type listeners struct {
	edge, hop, peer, admin net.Listener
	// hopSocket is the listener below the TLS of hop.
	hopSocket net.Listener
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, ln := range []net.Listener{l.edge, l.hop, l.peer, l.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// servers are the HTTP servers of a node.
type servers struct {
	edge, hop, admin    *http.Server
	listeners           listeners
	edgeConns, hopConns idleConns
	// closed means that all connections have been closed, also those in use.
	closed atomic.Bool
}

// listen opens the listeners at the addresses of the settings. An address with
// port 0 is replaced in the settings by the one with the assigned port. On an
// error no listener stays open.
func (n *Node) listen() (listeners, error) {
	var l listeners
	ports := []struct {
		addr   *string
		secure bool
		out    *net.Listener
	}{
		{&n.Settings.Listen.Edge, false, &l.edge},
		{&n.Settings.Listen.Hop, true, &l.hop},
		{&n.Settings.Listen.Peer, true, &l.peer},
		{&n.Settings.Listen.Admin, false, &l.admin},
	}
	listen := n.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	for _, p := range ports {
		ln, err := listen(*p.addr)
		if err != nil {
			l.close()
			return l, errorx.Decorate(err, "listen on %s", *p.addr)
		}
		if port, err := netip.ParseAddrPort(*p.addr); err == nil && port.Port() == 0 {
			*p.addr = ln.Addr().String()
		}
		if p.out == &l.hop {
			l.hopSocket = ln
			// Below TLS the heads can't be seen, but there each node has a certificate.
			ln = &limitListener{Listener: ln, maxConns: fixedLimit(n.Settings.Limit.MaxNodeConnections), guardsHeads: n.credentials == nil}
		}
		if p.secure && n.credentials != nil {
			ln = tls.NewListener(ln, n.credentials.Config())
		}
		*p.out = ln
	}
	return l, nil
}

// dialNode opens a connection to another node, with TLS if it is configured.
func (n *Node) dialNode(ctx context.Context, addr string) (net.Conn, error) {
	dial := n.Dial
	if dial == nil {
		dial = dialPeer
	}
	conn, err := dial(ctx, addr)
	if err != nil || n.credentials == nil {
		return conn, err
	}
	secure := tls.Client(conn, n.credentials.Config())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errorx.Decorate(err, "TLS handshake with %s", addr)
	}
	return secure, nil
}

// dialPeer opens a TCP connection to another node.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: gtpool.DialTimeout, Control: setTCPUserTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// rawConn is the raw connection that net.Dialer passes to its Control function.
type rawConn = syscall.RawConn

// setTCPUserTimeout makes the kernel close the connection if sent data remains
// unacknowledged for tcpUserTimeout.
func setTCPUserTimeout(_, _ string, c rawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	})
	return errors.Join(controlErr, err)
}

func (n *Node) newServer(h http.Handler) *http.Server {
	limit := n.Settings.Limit
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(limit.ReadTimeout),
		ReadTimeout:       time.Duration(limit.ReadTimeout),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limit.MaxHeadBytes,
		ErrorLog:          nil,
	}
}

// serve starts the HTTP servers and the goroutine that accepts peer connections.
func (n *Node) serve(ctx context.Context, l listeners) {
	edgeHandler := http.Handler(n.edge)
	if n.Middleware != nil {
		edgeHandler = n.Middleware(edgeHandler)
	}
	edgeHandler = n.servers.edgeConns.closeWhen(n.drain.Begun, edgeHandler)
	n.servers.edge = n.newServer(edgeHandler)
	n.servers.hop = n.newServer(n.servers.hopConns.closeWhen(n.drain.LingerEnded, n.hopHandler))
	n.servers.admin = n.newServer(n.adminHandler())
	n.servers.listeners = l
	n.servers.edge.ConnState, n.servers.hop.ConnState = n.servers.edgeConns.trackState, n.servers.hopConns.trackState
	n.servers.hopConns.notice = closeNotice
	if n.Dialect.ErrorWriter == nil { // callers of other dialects may not understand the notice
		n.servers.edgeConns.notice = closeNotice
	}
	n.servers.edge.ConnContext, n.servers.hop.ConnContext = gtsocket.WithConn, gtsocket.WithConn
	limit := n.Settings.Limit
	edge := &limitListener{Listener: l.edge, maxConns: n.maxCallerConns, maxPerAddress: limit.MaxAddressConnections, guardsHeads: true, silentTimeout: idleTimeout}
	admin := LimitListener(l.admin, limit.MaxAdminConnections)
	if n.Settings.Limit.Pipeline > 1 {
		n.servePipelining(edge, edgeHandler)
	}
	for _, s := range []struct {
		server *http.Server
		serve  func(*http.Server, net.Listener) error
		ln     net.Listener
	}{
		{n.servers.edge, n.servers.edgeConns.serve, edge},
		{n.servers.hop, n.servers.hopConns.serve, l.hop},
		{n.servers.admin, (*http.Server).Serve, admin},
	} {
		s.server.ErrorLog = debugLogger(n.Log)
		n.wg.Go(func() {
			if err := s.serve(s.server, s.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				n.Log.Error().Err(err).Msg("node: HTTP server failed")
			}
		})
	}
	n.wg.Go(func() {
		n.acceptPeers(ctx, &limitListener{Listener: l.peer, maxConns: fixedLimit(maxPeerConns)})
	})
}

const (
	// maxAheadBytes is the maximum size of the requests of one connection that run ahead of
	// their turn. Larger ones wait for their turn with their body unread.
	maxAheadBytes = 256 << 10
	// maxKeptBytes is the maximum size of the responses of one connection that wait for their
	// turn.
	maxKeptBytes = 1 << 20
)

// servePipelining lets the server of callers' requests serve connections on which requests
// are sent ahead. It changes the server and the listener before they are used.
func (n *Node) servePipelining(edge *limitListener, h http.Handler) {
	server, limit := n.servers.edge, n.Settings.Limit
	pipeline := &gtpipeline.Server{
		Handler: h, Idempotent: n.edge.IsIdempotent, Draining: n.drain.Begun,
		Limits:  gtsequence.Limits{Requests: limit.Pipeline, RequestBytes: maxAheadBytes, ResponseBytes: maxKeptBytes},
		Reserve: n.budget.TryReserve, Release: n.budget.Release,
		MaxHeadBytes: limit.MaxHeadBytes, ReadTimeout: time.Duration(limit.ReadTimeout), IdleTimeout: idleTimeout,
		OnState: n.servers.edgeConns.trackTakenOver, OnWait: resetReceived, OnRequest: n.pipelines.recordRequest,
		OnTakeOver: n.logTakeOver, ErrorLog: debugLogger(n.Log),
	}
	server.Handler, server.ConnContext = pipeline, pipeline.ConnContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		pipeline.ConnState(c, state)
		n.servers.edgeConns.trackState(c, state)
	}
	edge.Listener = pipeline.Listener(edge.Listener)
}

// acceptPeers accepts control connections of peers until the listener is closed.
func (n *Node) acceptPeers(ctx context.Context, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.overlay.Accept(ctx, conn) })
	}
}

// shutdown stops the servers. It is called once no request is in flight, or the
// drain has timed out. It first waits until all connections are accepted that callers
// have opened, and then closes the idle ones that hold no unread bytes, so that no
// request that has arrived is lost. Requests that come meanwhile have the time that is
// left of the drain. It reports whether no connection is left in use; close closes those
// that are.
func (s *servers) shutdown(ctx context.Context, timer *gttimer.Service, left time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, max(left, minShutdownTime))
	defer cancel()
	wait := func(isDone func() bool) {
		for checks := 1; !isDone(); checks++ {
			if checks >= minShutdownChecks && limited.Err() != nil || timer.Sleep(ctx, idleCheckPeriod) != nil {
				return
			}
		}
	}
	wait(func() bool {
		return !gtsocket.HasPending(s.listeners.edge) && !gtsocket.HasPending(s.listeners.hopSocket)
	})
	_, _ = s.listeners.edge.Close(), s.listeners.hop.Close()
	// A connection that was accepted last may not be tracked yet.
	wait(func() bool { return !s.edgeConns.isAccepting() && !s.hopConns.isAccepting() })
	// From Shutdown on, net/http drops requests whose head has just been read, so all
	// connections have to be closed before.
	wait(func() bool { return s.edgeConns.close()+s.hopConns.close() == 0 })
	ok := true
	for _, server := range []*http.Server{s.edge, s.hop, s.admin} {
		ok = server.Shutdown(limited) == nil && ok
	}
	return ok && s.edgeConns.takenOverCount() == 0
}

// close closes the servers and their connections at once.
func (s *servers) close() {
	s.closed.Store(true)
	for _, server := range []*http.Server{s.edge, s.hop, s.admin} {
		_ = server.Close()
	}
	s.edgeConns.closeTakenOver()
	_ = s.listeners.peer.Close()
}
