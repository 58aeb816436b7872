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
	"godwittide/io/connection/gtwire"
)

const (
	// dialLimit bounds the time to open a connection.
	dialLimit = time.Second
	// helloLimit bounds the time from there until both ends know each other. A
	// member that takes the connection may only be slow, and is given more time
	// than one that does not.
	helloLimit = gtlink.HeartbeatTimeout
)

// others is the number of members that a node with no room for another link
// names instead.
const others = 8

// Hello opens a link. A node that has no room for it answers with Full, and
// with other members to try.
type Hello struct {
	Cluster string          `json:"cluster"`
	Me      gtwire.Record   `json:"me"`
	Aside   bool            `json:"aside,omitempty"`
	Full    bool            `json:"full,omitempty"`
	Others  []gtwire.Record `json:"others,omitempty"`
}

func (o *Overlay) hello(aside bool) Hello {
	return Hello{Cluster: o.Cluster, Me: gtwire.FromRecord(o.Table.Self()), Aside: aside}
}

func (o *Overlay) counted(sent, received int) {
	o.sent.Add(int64(sent))
	o.received.Add(int64(received))
}

// connect opens a link to a peer address. The name of the instance that is
// expected there may be empty.
func (o *Overlay) connect(ctx context.Context, addr, instance string, aside bool) error {
	dialing, cancel := context.WithTimeout(ctx, dialLimit)
	conn, err := o.Dial(dialing, addr)
	cancel()
	if err != nil {
		return errorx.Decorate(err, "connect to peer %s", addr)
	}
	ctx, cancel = context.WithTimeout(ctx, helloLimit)
	defer cancel()
	e := &entry{outbound: true, aside: aside}
	l := o.open(conn, e)
	var answer Hello
	if err := l.Call(ctx, "hello", o.hello(aside), &answer); err != nil {
		l.Close()
		return errorx.Decorate(err, "greet peer %s", addr)
	}
	if err := o.accept(e, answer, instance); err != nil {
		l.Close()
		return err
	}
	if answer.Full {
		l.Close()
		o.links.Do(e.key(), func(m map[string]*entry) { delete(m, e.key()) })
		return o.redirected(answer)
	}
	o.watch(e)
	return nil
}

// redirected takes in the members that a node without room has named.
func (o *Overlay) redirected(h Hello) error {
	for _, m := range h.Others {
		r, err := m.Value()
		if err != nil {
			return err
		}
		o.Table.Merge(r)
	}
	return errorx.RejectedOperation.New("instance %q has no room for another link", h.Me.Instance)
}

// someOthers returns random members that are ready.
func (o *Overlay) someOthers() []gtwire.Record {
	var list []gtwire.Record
	for _, i := range rand.Perm(gtshard.Count) {
		for _, r := range o.Table.ShardRecords(i) {
			if r.State() <= gtmember.Ready && len(list) < others {
				list = append(list, gtwire.FromRecord(r))
			}
		}
	}
	return list
}

func (o *Overlay) open(conn net.Conn, e *entry) *gtpeer.Link {
	e.link = &gtpeer.Link{Conn: conn, Timer: o.Timer, CountBytes: o.counted, Serve: func(_ *gtpeer.Link, method string, params json.RawMessage) (any, error) {
		return o.serve(e, method, params)
	}}
	e.used.Store(o.Timer.Time().UnixNano())
	e.link.Open(o.ctx)
	return e.link
}

// Accept takes a connection from a peer. It returns when the link has ended.
func (o *Overlay) Accept(ctx context.Context, conn net.Conn) {
	e := &entry{}
	l := o.open(conn, e)
	limit := o.Timer.After(helloLimit)
	defer limit.Stop()
	o.spawn(func() {
		select {
		case <-limit.C():
			if _, ok := o.links.Get(e.key()); !ok {
				l.Close()
			}
		case <-l.Done():
		}
	})
	l.Run(ctx)
	o.ended(e)
}

// accept checks the other end's greeting and enters the link.
func (o *Overlay) accept(e *entry, h Hello, expected string) error {
	if h.Cluster != o.Cluster {
		return errorx.IllegalFormat.New("peer is of cluster %.40q, not %q", h.Cluster, o.Cluster)
	}
	r, err := h.Me.Value()
	if err != nil {
		return err
	}
	if r.Instance() == o.Table.Self().Instance() || expected != "" && r.Instance() != expected {
		return errorx.IllegalState.New("peer is instance %q", r.Instance())
	}
	e.instance, e.zone, e.aside = r.Instance(), r.Zone(), e.aside || h.Aside
	if !o.enter(e) {
		return errorx.RejectedOperation.New("instance %q has a link already", r.Instance())
	}
	if o.Table.Merge(r) {
		o.spread(Facts{Members: []gtwire.Record{h.Me}}, e)
	}
	return nil
}

func (o *Overlay) crowded(aside bool) bool {
	inbound := 0
	for _, e := range o.list(aside) {
		if !e.outbound {
			inbound++
		}
	}
	if aside {
		return inbound >= maxAside
	}
	return inbound >= gtlink.MaxInbound
}

// key is the name that a link is entered under: one link in the overlay for
// each instance, and one beside it in each direction.
func (e *entry) key() string {
	switch {
	case e.aside && e.outbound:
		return "to " + e.instance
	case e.aside:
		return "from " + e.instance
	default:
		return e.instance
	}
}

// enter adds a link. When both ends open one at once, both keep the one that
// was opened by the instance with the lower name.
func (o *Overlay) enter(e *entry) bool {
	var old *entry
	ok := true
	o.links.Do(e.key(), func(m map[string]*entry) {
		old = m[e.key()]
		if old != nil && old.link.LastReceived().Add(gtlink.HeartbeatPeriod*2).After(o.Timer.Time()) {
			lower := o.Table.Self().Instance() < e.instance
			if old.outbound == e.outbound || e.outbound != lower {
				ok, old = false, nil
				return
			}
		}
		m[e.key()] = e
	})
	if old != nil {
		old.link.Close()
	}
	return ok
}

// watch runs an outbound link in a thread of its own.
func (o *Overlay) watch(e *entry) {
	running := o.spawn(func() {
		e.link.Run(o.ctx)
		o.ended(e)
	})
	if !running {
		e.link.Close()
		o.ended(e)
		return
	}
	if !e.aside {
		o.spawn(func() { o.digestWith(o.ctx, e) })
	}
}

// ended removes a link. If it was the last to an instance that should be
// there, the instance is tried again, which finds out whether it is.
func (o *Overlay) ended(e *entry) {
	entered := false
	o.links.Do(e.key(), func(m map[string]*entry) {
		if m[e.key()] == e {
			delete(m, e.key())
			entered = true
		}
	})
	if !entered || e.aside || o.ctx.Err() != nil {
		return
	}
	if r, ok := o.Table.Get(e.instance); ok && r.Alive() {
		o.spawn(func() { o.verify(r) })
	}
}

// verify tries an instance whose link ended, until it is reached, suspected,
// or known to be leaving.
func (o *Overlay) verify(r gtmember.Record) {
	for n := 1; n <= failuresToSuspect; n++ {
		err := o.connect(o.ctx, r.PeerAddress(), r.Instance(), true)
		if err == nil || errorx.IsOfType(err, errorx.RejectedOperation) {
			return
		}
		if o.Timer.Wait(o.ctx, gtlink.BackoffBase) != nil {
			return
		}
	}
	o.suspect(r.Instance())
}
