package gtnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtsocket"
)

// The listeners, as they are named in log lines and metrics.
const (
	listenerEdge  = "edge"
	listenerHop   = "hop"
	listenerPeer  = "peer"
	listenerAdmin = "admin"
)

// The limits on connections and heads, as they are named in log lines and metrics. Those on
// responses and bodies are named in gthop, that on hello messages in gtoverlay.
const (
	limitConnections = "connections"
	limitAddress     = "address"
	limitDescriptors = "descriptors"
	limitHeadBytes   = "head"
	limitHeadLines   = "lines"
	limitEmptyLines  = "empty"
	limitHeadTime    = "slow"
)

// headSlack is what net/http reads of a head above its limit.
const headSlack = 4096

// limitReportPeriod is the least time between two log lines about one limit.
const limitReportPeriod = time.Second

// limitReports counts how often each limit has acted, and logs it at a bounded rate.
type limitReports struct {
	limits gtshard.Map[*limitReport]
}

// limitReport is what is known about one limit.
type limitReport struct {
	lastLine   time.Time
	suppressed int64
	counts     map[string]int64 // by listener, since the metrics were updated
}

// add records that a limit of the given value has acted on a connection of an address. Of each
// limit one line in limitReportPeriod is logged.
func (r *limitReports) add(log *zerolog.Logger, now time.Time, limit, listener, address string, value int64) {
	logged, suppressed := false, int64(0)
	r.limits.Do(limit, func(m map[string]*limitReport) {
		l := m[limit]
		if l == nil {
			l = &limitReport{counts: map[string]int64{}}
			m[limit] = l
		}
		l.counts[listener]++
		if !l.lastLine.IsZero() && now.Sub(l.lastLine) < limitReportPeriod {
			l.suppressed++
			return
		}
		logged, suppressed = true, l.suppressed
		l.lastLine, l.suppressed = now, 0
	})
	if logged {
		log.Warn().Str("limit", limit).Str("listener", listener).Str("address", address).Int64("value", value).
			Int64("suppressed", suppressed).Msg("node: limit reached")
	}
}

// take returns how often each limit has acted on each listener since the last call.
func (r *limitReports) take(each func(limit, listener string, count int64)) {
	r.limits.Each(func(m map[string]*limitReport) {
		for limit, l := range m {
			for listener, count := range l.counts {
				each(limit, listener, count)
			}
			clear(l.counts)
		}
	})
}

// updateLimitMetrics reports the limits that have acted since the last call.
func (n *Node) updateLimitMetrics() {
	n.limits.take(func(limit, listener string, count int64) {
		n.scope.Tagged(map[string]string{"limit": limit, "listener": listener}).Counter("limited").Inc(count)
	})
}

// reportLimit returns the function by which a listener reports that a limit has acted.
func (n *Node) reportLimit(listener string) func(limit, address string, value int64) {
	return func(limit, address string, value int64) {
		n.limits.add(&n.Log, time.Now(), limit, listener, address, value)
	}
}

// linksPerPeer is the maximum number of control links that one node opens to another at a time: an
// overlay link, a direct link, and as many that are not accepted yet.
const linksPerPeer = 4

// restartRoom is the factor by which a limit for one address exceeds what a node opens: after a
// restart of the node the connections of the process before may not be closed yet.
const restartRoom = 2

// addressLimit returns the maximum number of connections to a listener from one address, where 0
// means none, and whether those from the machine itself are excepted. On a listener of maxConns
// connections that is not for nodes or callers, one address leaves half of them to others.
func (n *Node) addressLimit(name string, maxConns int64) (limit int, sparesOwn bool) {
	s := n.Settings
	set, peer, relay := 0, 0, ""
	switch name {
	case listenerEdge:
		return s.Limit.MaxAddressConnections, false
	case listenerHop:
		set, peer, relay = s.Limit.MaxHopConnections, s.Backend.MaxConnections, s.Advertise.Hop
	case listenerPeer:
		set, peer, relay = s.Limit.MaxPeerConnections, linksPerPeer, s.Advertise.Peer
	default:
		return int(max(1, maxConns/2)), false
	}
	switch {
	case set > 0:
		return set, false
	case relay != "": // all nodes come from its address
		return 0, false
	default:
		return restartRoom * peer, true
	}
}

// bound returns a listener with the bounds that all listeners have.
func (n *Node) bound(name string, ln net.Listener, maxConns func() int64) *limitListener {
	perAddress, sparesOwn := n.addressLimit(name, maxConns())
	return &limitListener{
		maxPerAddress: perAddress, sparesOwn: sparesOwn,
		Listener: ln, maxConns: maxConns, guardsHeads: true,
		maxHeadBytes: int64(n.Settings.Limit.MaxHeadBytes), headTime: time.Duration(n.Settings.Limit.ReadTimeout),
		report: n.reportLimit(name),
	}
}

// Serve serves HTTP requests on a listener of the given name until the server is closed, with
// the bounds that all listeners of the node have. It returns the server, and the function that
// serves, which returns the error that ended it.
func (n *Node) Serve(name string, ln net.Listener, maxConns int, h http.Handler) (*http.Server, func() error) {
	s := n.newServer(endHeads(h))
	s.ConnContext = gtsocket.WithConn
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			resetReceived(c)
		}
	}
	s.ErrorLog = debugLogger(n.Log)
	bounded := n.bound(name, ln, fixedLimit(maxConns))
	return s, func() error { return s.Serve(bounded) }
}

// endHeads wraps a handler so that what follows the head of a request is not taken for a head.
func endHeads(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		endHead(r.Context())
		h.ServeHTTP(w, r)
	})
}

// endHead tells that the head of a request is complete on the connection of its context. It may
// have been read together with the request before it.
func endHead(ctx context.Context) {
	if c, ok := gtsocket.Conn(ctx).(*limitConn); ok {
		c.restart.Store(false)
		c.inBody.Store(true)
	}
}

// countHeads wraps a handler so that the head of a request counts in the budget while the request
// is served. One that was read together with the request before it does not.
func (n *Node) countHeads(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := gtsocket.Conn(r.Context()).(*limitConn); ok {
			size := c.headBytes.Swap(0)
			n.budget.Hold(size)
			defer n.budget.Hold(-size)
		}
		h.ServeHTTP(w, r)
	})
}
