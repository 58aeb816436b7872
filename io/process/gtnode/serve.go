package gtnode

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
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
	edge := &limitListener{Listener: l.edge, maxConns: n.maxCallerConns, silentTimeout: idleTimeout}
	if n.Settings.Limit.Pipeline > 1 {
		n.servePipelining(edge, edgeHandler)
	}
	for _, s := range []struct {
		server *http.Server
		ln     net.Listener
	}{{n.servers.edge, edge}, {n.servers.hop, l.hop}, {n.servers.admin, l.admin}} {
		s.server.ErrorLog = debugLogger(n.Log)
		n.wg.Go(func() {
			if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				n.Log.Error().Err(err).Msg("node: HTTP server failed")
			}
		})
	}
	n.wg.Go(func() {
		n.acceptPeers(ctx, &limitListener{Listener: l.peer, maxConns: func() int64 { return maxPeerConns }})
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
		Limits:       gtsequence.Limits{Requests: limit.Pipeline, RequestBytes: maxAheadBytes, ResponseBytes: maxKeptBytes},
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
	ctx, cancel := context.WithTimeout(ctx, max(left, minShutdownTime))
	defer cancel()
	for gtsocket.HasPending(s.listeners.edge) || gtsocket.HasPending(s.listeners.hopSocket) {
		if timer.Sleep(ctx, idleCheckPeriod) != nil {
			break
		}
	}
	_, _ = s.listeners.edge.Close(), s.listeners.hop.Close()
	for s.edgeConns.close()+s.hopConns.close() > 0 {
		if timer.Sleep(ctx, idleCheckPeriod) != nil {
			break
		}
	}
	ok := true
	for _, server := range []*http.Server{s.edge, s.hop, s.admin} {
		ok = server.Shutdown(ctx) == nil && ok
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

// limitListener limits the number of open connections: it closes further ones
// at once.
type limitListener struct {
	net.Listener
	maxConns func() int64
	// silentTimeout is how long a connection may stay open before its first byte; 0 means
	// until the read deadline that its server sets. A client may open connections before
	// it has requests for them. One that is closed just as its first request comes fails
	// that request, which a client does not send again if it is not idempotent.
	silentTimeout time.Duration
	open          atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns() {
			return &limitConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// limitConn is a connection that counts towards the limit of its listener. It remembers
// whether bytes have been received.
type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
	received atomic.Bool
	begun    atomic.Bool  // bytes have been received
	headTime atomic.Int64 // time for the first request from its first byte on, or 0
}

// Read reads from the connection.
func (c *limitConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
		if d := c.headTime.Load(); !c.begun.Swap(true) && d > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(d)))
		}
	}
	return n, err
}

// SetReadDeadline sets the read deadline. Before the first byte, the time until then begins
// with that byte, which has to come within the listener's silentTimeout.
func (c *limitConn) SetReadDeadline(t time.Time) error {
	left := time.Until(t)
	if c.listener.silentTimeout == 0 || c.begun.Load() || t.IsZero() || left <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	c.headTime.Store(int64(left))
	return c.Conn.SetReadDeadline(time.Now().Add(max(left, c.listener.silentTimeout)))
}

// hasReceived reports whether bytes have been received since the last call of
// resetReceived.
func (c *limitConn) hasReceived() bool { return c.received.Load() }

func (c *limitConn) resetReceived() { c.received.Store(false) }

// resetReceived forgets that bytes have been received on a connection that waits for a request.
func resetReceived(c net.Conn) {
	if lc, ok := c.(*limitConn); ok {
		lc.resetReceived()
	}
}

// NetConn returns the connection that the limit is on.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and removes it from the listener's count.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
