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
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"godwittide/core/connection/gtlive"
	"godwittide/core/process/gttimer"
	"godwittide/io/connection/gtpool"
)

const (
	// idleLimit is how long a caller's idle connection is kept. It is longer
	// than any client of this system keeps one.
	idleLimit = 2 * time.Minute
	// userTimeout is how long sent bytes may go unacknowledged before the
	// kernel gives a connection up.
	userTimeout = gtlive.Silence
	// shutdownLimit bounds the time to end what callers still use, and idleEvery
	// is the pause between two looks at connections that a request has come on.
	shutdownLimit = time.Second
	idleEvery     = 2 * time.Millisecond
	// peerLimit is the most control connections at a time.
	peerLimit = 256
)

// listeners are the open ports of a node.
type listeners struct {
	edge, hop, peer, admin net.Listener
}

// close closes the ports that are open.
func (l listeners) close() {
	for _, ln := range []net.Listener{l.edge, l.hop, l.peer, l.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// servers are the HTTP servers of a node.
type servers struct {
	edge, hop, admin *http.Server
	open             listeners
	callers, nodes   idleConns // on edge and hop
}

// listen opens the ports of the settings. An address with port 0 is replaced in
// the settings by the one that it got.
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
		if p.secure && n.keys != nil {
			ln = tls.NewListener(ln, n.keys.Config())
		}
		*p.out = ln
	}
	return l, nil
}

// dialNode opens a connection to another node, secured if there are keys.
func (n *Node) dialNode(ctx context.Context, addr string) (net.Conn, error) {
	dial := n.Dial
	if dial == nil {
		dial = dialPeer
	}
	conn, err := dial(ctx, addr)
	if err != nil || n.keys == nil {
		return conn, err
	}
	secure := tls.Client(conn, n.keys.Config())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errorx.Decorate(err, "secure the connection to %s", addr)
	}
	return secure, nil
}

func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: gtpool.DialLimit, Control: control}
	return d.DialContext(ctx, "tcp", addr)
}

// control lets the kernel give up connections that the network has lost.
func control(_, _ string, c syscallConn) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.Join(cerr, err)
}

func (n *Node) newServer(h http.Handler) *http.Server {
	limit := n.Settings.Limit
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(limit.Slow),
		ReadTimeout:       time.Duration(limit.Slow),
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    limit.Head,
		ErrorLog:          nil,
	}
}

// serve starts the servers.
func (n *Node) serve(ctx context.Context, l listeners) {
	front := http.Handler(n.edge)
	if n.Front != nil {
		front = n.Front(front)
	}
	n.server.edge = n.newServer(n.closing(front))
	n.server.hop = n.newServer(n.hop)
	n.server.admin = n.newServer(n.adminMux())
	n.server.open = l
	n.server.edge.ConnState, n.server.hop.ConnState = n.server.callers.follow, n.server.nodes.follow
	if n.Dialect.Refuse == nil { // others' callers may not know what to make of it
		n.server.callers.notice = endNotice
	}
	n.server.edge.ConnContext = withConn
	edge := &boundListener{Listener: l.edge, most: int64(n.Settings.Limit.Callers)}
	for _, s := range []struct {
		server *http.Server
		ln     net.Listener
	}{{n.server.edge, edge}, {n.server.hop, l.hop}, {n.server.admin, l.admin}} {
		s.server.ErrorLog = quietLog(n.Log)
		n.wg.Go(func() {
			if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				n.Log.Error().Err(err).Msg("node: server ended")
			}
		})
	}
	n.wg.Go(func() { n.acceptPeers(ctx, &boundListener{Listener: l.peer, most: peerLimit}) })
}

// closing asks callers to close their connections while the node drains.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.server.callers.told(r) {
			panic(http.ErrAbortHandler) // the request crossed the end of its connection
		}
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) acceptPeers(ctx context.Context, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.overlay.Accept(ctx, conn) })
	}
}

// shutdown stops the servers once nothing is in flight. First it closes the
// connections that wait for a request, so that none is cut off.
func (s *servers) shutdown(ctx context.Context, timer *gttimer.Service) {
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	_, _ = s.open.edge.Close(), s.open.hop.Close()
	for s.callers.close()+s.nodes.close() > 0 {
		if timer.Wait(ctx, idleEvery) != nil {
			break
		}
	}
	for _, server := range []*http.Server{s.edge, s.hop, s.admin} {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	_ = s.open.peer.Close()
}

// close ends the servers and their connections at once.
func (s *servers) close() {
	for _, server := range []*http.Server{s.edge, s.hop, s.admin} {
		_ = server.Close()
	}
	_ = s.open.peer.Close()
}

// boundListener closes connections beyond a number at once.
type boundListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept waits for the next connection that there is room for.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &boundConn{Conn: conn, owner: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type boundConn struct {
	net.Conn
	owner *boundListener
	once  sync.Once
}

// Close closes the connection and makes room for another.
func (c *boundConn) Close() error {
	c.once.Do(func() { c.owner.open.Add(-1) })
	return c.Conn.Close()
}
