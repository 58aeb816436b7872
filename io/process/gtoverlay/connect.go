package gtoverlay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtpeer"
	"godwittide/io/connection/gtsocket"
	"godwittide/io/connection/gtwire"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// helloTimeout bounds the exchange of hello messages on it. It is longer than
	// dialTimeout, since a member that accepts the connection may only be slow.
	helloTimeout = gtlink.HeartbeatTimeout
	// limitHelloTime names it in reports, like the time for a head on other listeners.
	limitHelloTime = "slow"
)

// maxAlternatives is the maximum number of other members that a node names when
// it refuses a link because it is full.
const maxAlternatives = 8

// Hello is the first message on a link, in both directions. A node that has
// reached its link limit responds with Full and with other members to try.
type Hello struct {
	Cluster      string          `json:"cluster"`
	Sender       gtwire.Record   `json:"me"`
	Direct       bool            `json:"aside,omitempty"`
	Full         bool            `json:"full,omitempty"`
	Alternatives []gtwire.Record `json:"others,omitempty"`
	// Departed is what the sender of a response knows of the receiver's backend server:
	// the process that announced its shutdown.
	Departed string `json:"left,omitempty"`
	// SharesCurrent means that the sender knows the "current" message and wants it.
	SharesCurrent bool `json:"current,omitempty"`
	// Recalls means that the sender knows the "recall" message and responds to it.
	Recalls bool `json:"recall,omitempty"`
}

func (o *Overlay) newHello(direct bool) Hello {
	return Hello{Cluster: o.Cluster, Sender: gtwire.FromRecord(o.Table.Self()), Direct: direct, SharesCurrent: o.Current != nil, Recalls: o.OnRecall != nil}
}

// newHelloResponse returns the response to a hello message.
func (o *Overlay) newHelloResponse(h Hello) Hello {
	response := o.newHello(false)
	if r, ok := o.Table.Get(h.Sender.Instance); ok {
		response.Departed = r.Departed()
	}
	return response
}

func (o *Overlay) countBytes(sent, received int) {
	o.bytesSent.Add(int64(sent))
	o.bytesReceived.Add(int64(received))
}

// connect opens a link to a peer address and runs it. It fails if another
// instance than the given one responds; an empty name accepts any. An error of
// type RejectedOperation means that the peer is alive but the link is not
// wanted.
func (o *Overlay) connect(ctx context.Context, addr, instance string, direct bool) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := o.Dial(dialCtx, addr)
	cancel()
	if err != nil {
		return errorx.Decorate(err, "connect to peer %s", addr)
	}
	ctx, cancel = context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	pl := &peerLink{outbound: true, direct: direct}
	l := o.openLink(conn, pl)
	var response Hello
	if err := l.Call(ctx, "hello", o.newHello(direct), &response); err != nil {
		l.Close()
		return errorx.Decorate(err, "exchange hello messages with peer %s", addr)
	}
	if response.Departed != "" && o.OnDeparted != nil {
		o.OnDeparted(response.Departed)
	}
	if err := o.acceptPeer(pl, response, instance); err != nil {
		l.Close()
		return err
	}
	if response.Full {
		l.Close()
		o.links.Do(pl.key(), func(m map[string]*peerLink) { delete(m, pl.key()) })
		return o.mergeAlternatives(response)
	}
	o.runLink(pl)
	return nil
}

// mergeAlternatives merges the members that a full node named into the table.
// It always returns an error, of type RejectedOperation unless a record is
// malformed.
func (o *Overlay) mergeAlternatives(h Hello) error {
	for _, m := range h.Alternatives {
		r, err := m.Decode()
		if err != nil {
			return err
		}
		o.Table.Merge(r)
	}
	return errorx.RejectedOperation.New("instance %q refused the link: it has reached its link limit", h.Sender.Instance)
}

// randomReadyMembers returns up to maxAlternatives random members that are
// starting or ready.
func (o *Overlay) randomReadyMembers() []gtwire.Record {
	var list []gtwire.Record
	for _, i := range rand.Perm(gtshard.Count) {
		for _, r := range o.Table.ShardRecords(i) {
			if r.State() <= gtmember.Ready && len(list) < maxAlternatives {
				list = append(list, gtwire.FromRecord(r))
			}
		}
	}
	return list
}

func (o *Overlay) openLink(conn net.Conn, pl *peerLink) *gtpeer.Link {
	pl.link = &gtpeer.Link{Conn: conn, Timer: o.Timer, OnBytes: o.countBytes, Serve: func(_ *gtpeer.Link, method string, params json.RawMessage) (any, error) {
		return o.serve(pl, method, params)
	}}
	pl.lastUsed.Set(o.Timer.Time())
	pl.link.Open(o.ctx)
	return pl.link
}

// Accept serves an inbound connection from a peer. It returns when the link is
// closed.
func (o *Overlay) Accept(ctx context.Context, conn net.Conn) {
	pl := &peerLink{}
	l := o.openLink(conn, pl)
	helloTimer := o.Timer.After(helloTimeout)
	defer helloTimer.Stop()
	o.spawn(func() {
		select {
		case <-helloTimer.C():
			if _, ok := o.links.Get(pl.key()); !ok {
				gtsocket.ReportLimit(conn, limitHelloTime, helloTimeout.Milliseconds())
				l.Close()
			}
		case <-l.Done():
		}
	})
	l.Run(ctx)
	o.removeLink(pl)
}

// acceptPeer checks the hello message of the peer, adds the link and propagates
// the peer's record if it is new.
func (o *Overlay) acceptPeer(pl *peerLink, h Hello, expected string) error {
	if h.Cluster != o.Cluster {
		return errorx.IllegalFormat.New("peer belongs to cluster %.40q, expected %q", h.Cluster, o.Cluster)
	}
	r, err := h.Sender.Decode()
	if err != nil {
		return err
	}
	if r.Instance() == o.Table.Self().Instance() || expected != "" && r.Instance() != expected {
		return errorx.IllegalState.New("unexpected instance %q at the peer address", r.Instance())
	}
	pl.instance, pl.zone, pl.direct = r.Instance(), r.Zone(), pl.direct || h.Direct
	pl.sharesCurrent = o.Current != nil && h.SharesCurrent
	pl.recalls = h.Recalls
	if !o.addLink(pl) {
		return errorx.RejectedOperation.New("a link to instance %q is already open", r.Instance())
	}
	if o.Table.Merge(r) {
		o.propagate(Facts{Members: []gtwire.Record{h.Sender}}, pl)
	}
	return nil
}

func (o *Overlay) isFull(direct bool) bool {
	inbound := 0
	for _, pl := range o.listLinks(direct) {
		if !pl.outbound {
			inbound++
		}
	}
	if direct {
		return inbound >= maxInboundDirect
	}
	return inbound >= gtlink.MaxInbound
}

// key returns the key of the link in Overlay.links. An instance has at most one
// overlay link, and one direct link in each direction.
func (pl *peerLink) key() string {
	switch {
	case pl.direct && pl.outbound:
		return "to " + pl.instance
	case pl.direct:
		return "from " + pl.instance
	default:
		return pl.instance
	}
}

// addLink adds a link and closes the one that it replaces. It returns false if
// the existing link is kept. When both ends open a link at the same time, both
// keep the one that the instance with the lower name opened.
func (o *Overlay) addLink(pl *peerLink) bool {
	var old *peerLink
	ok := true
	o.links.Do(pl.key(), func(m map[string]*peerLink) {
		old = m[pl.key()]
		if old != nil && old.link.LastReceived().Add(gtlink.HeartbeatPeriod*2).After(o.Timer.Time()) {
			lower := o.Table.Self().Instance() < pl.instance
			if old.outbound == pl.outbound || pl.outbound != lower {
				ok, old = false, nil
				return
			}
		}
		m[pl.key()] = pl
	})
	if old != nil {
		old.link.Close()
	}
	return ok
}

// runLink runs an outbound link in its own goroutine and, for an overlay link,
// exchanges digests with the peer.
func (o *Overlay) runLink(pl *peerLink) {
	running := o.spawn(func() {
		pl.link.Run(o.ctx)
		o.removeLink(pl)
	})
	if !running {
		pl.link.Close()
		o.removeLink(pl)
		return
	}
	if !pl.direct {
		o.spawn(func() { o.syncWith(o.ctx, pl) })
	}
}

// removeLink removes a closed link. If it was the overlay link to an instance
// that is believed alive, the instance is probed.
func (o *Overlay) removeLink(pl *peerLink) {
	registered := false
	o.links.Do(pl.key(), func(m map[string]*peerLink) {
		if m[pl.key()] == pl {
			delete(m, pl.key())
			registered = true
		}
	})
	if !registered || pl.direct || o.ctx.Err() != nil {
		return
	}
	if r, ok := o.Table.Get(pl.instance); ok && r.Alive() {
		o.spawn(func() { o.probe(r) })
	}
}

// probe connects to an instance whose link was closed. It gives up when the
// instance accepts or refuses a link, and marks it as suspected after
// failuresToSuspect failures.
func (o *Overlay) probe(r gtmember.Record) {
	for n := 1; n <= failuresToSuspect; n++ {
		err := o.connect(o.ctx, r.PeerAddress(), r.Instance(), true)
		if err == nil || errorx.IsOfType(err, errorx.RejectedOperation) {
			return
		}
		if o.Timer.Sleep(o.ctx, gtlink.BackoffBase) != nil {
			return
		}
	}
	o.markSuspect(r.Instance())
}
