package gtoverlay

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtpeer"
	"godwittide/io/connection/gtwire"
)

// maxFacts is the maximum number of facts of each kind in one message.
const maxFacts = 20000

// Facts is the body of the "facts" message. Version and Checksum identify the
// active version of the sender; a receiver with a lower version fetches it.
type Facts struct {
	Members []gtwire.Record `json:"m,omitempty"`
	Moves   []gtwire.Move   `json:"s,omitempty"`
	Halts   []gtwire.Halt   `json:"h,omitempty"`
	Crashes []gtwire.Crash  `json:"c,omitempty"`
	// Instances and Zones are summaries of backend servers and of zones, as text. Nodes
	// without them ignore the fields. They are not kept with the other facts and not
	// repaired.
	Instances []string `json:"u,omitempty"`
	Zones     []string `json:"z,omitempty"`
	Version   int64    `json:"v,omitempty"`
	Checksum  string   `json:"vs,omitempty"`
}

func (f Facts) isEmpty() bool {
	return len(f.Members)+len(f.Moves)+len(f.Halts)+len(f.Crashes)+len(f.Instances)+len(f.Zones) == 0 && f.Version == 0
}

func wireRecords(list []gtmember.Record) []gtwire.Record { return gtwire.FromRecords(list) }

// serve handles one message from a peer and returns the response.
func (o *Overlay) serve(pl *peerLink, method string, params json.RawMessage) (any, error) {
	switch method {
	case "hello":
		return o.serveHello(pl, params)
	case "facts":
		var f Facts
		if err := decode(params, &f); err != nil {
			return nil, err
		}
		return nil, o.mergeFacts(f, pl)
	case "digest":
		var d Digest
		if err := decode(params, &d); err != nil {
			return nil, err
		}
		return o.respondToDigest(d, pl)
	case "swap":
		var swap Swap
		if err := decode(params, &swap); err != nil {
			return nil, err
		}
		if len(swap.Buckets) > gtshard.Count*gtmember.Buckets {
			return nil, errorx.IllegalFormat.New("swap message names %d buckets, more than there are", len(swap.Buckets))
		}
		return o.bucketFacts(swap.Buckets), o.mergeFacts(swap.Facts, pl)
	case "fetch":
		var f VersionID
		if err := decode(params, &f); err != nil {
			return nil, err
		}
		return o.versionsAfter(f), nil
	case "version":
		snapshot := o.Holder.Current().Snapshot()
		return VersionID{Version: snapshot.Version(), Checksum: snapshot.Checksum()}, nil
	case "current":
		var m Current
		if err := decode(params, &m); err != nil {
			return nil, err
		}
		return o.serveCurrent(m, pl), nil
	case "report":
		return nil, o.serveReport(pl, params)
	case "watching":
		pl.lastUsed.Set(o.Timer.Time())
		if o.OnWatching != nil {
			o.OnWatching(pl.instance)
		}
		return nil, nil
	case "usage":
		return o.serveUsage(pl, params)
	case "recall":
		return o.serveRecall(pl)
	default:
		return nil, errorx.IllegalFormat.New("unknown method %.40q", method)
	}
}

func decode(params json.RawMessage, out any) error {
	if err := json.Unmarshal(params, out); err != nil {
		return errorx.IllegalFormat.Wrap(err, "decode the parameters of a message")
	}
	return nil
}

func (o *Overlay) serveHello(pl *peerLink, params json.RawMessage) (any, error) {
	var h Hello
	if err := decode(params, &h); err != nil {
		return nil, err
	}
	if pl.outbound || pl.instance != "" {
		return nil, errorx.IllegalFormat.New("unexpected hello message on an established link")
	}
	if h.Cluster == o.Cluster && o.isFull(h.Direct) {
		response := o.newHelloResponse(h)
		response.Full, response.Alternatives = true, o.randomReadyMembers()
		return response, nil
	}
	if err := o.acceptPeer(pl, h, ""); err != nil {
		return nil, err
	}
	return o.newHelloResponse(h), nil
}

func (o *Overlay) serveReport(pl *peerLink, params json.RawMessage) error {
	var m gtwire.Report
	if err := decode(params, &m); err != nil {
		return err
	}
	r, err := m.Decode()
	if err != nil {
		return err
	}
	pl.lastUsed.Set(o.Timer.Time())
	o.OnReport(r)
	return nil
}

func (o *Overlay) serveUsage(pl *peerLink, params json.RawMessage) (any, error) {
	var m gtwire.Usage
	if err := decode(params, &m); err != nil {
		return nil, err
	}
	if o.OnUsage == nil || pl.instance == "" {
		return nil, errorx.RejectedOperation.New("this node collects no counts of accounts")
	}
	pl.lastUsed.Set(o.Timer.Time())
	return o.OnUsage(pl.instance, m)
}

// serveRecall reads departures from the store for a peer.
func (o *Overlay) serveRecall(pl *peerLink) (any, error) {
	if o.OnRecall == nil || pl.instance == "" {
		return nil, errorx.RejectedOperation.New("this node reads no departures for others")
	}
	pl.lastUsed.Set(o.Timer.Time())
	if !pl.recalling.CompareAndSwap(false, true) {
		return nil, errorx.RejectedOperation.New("an earlier message asks for the same")
	}
	return gtpeer.Deferred(func() (any, error) {
		defer pl.recalling.Store(false)
		ctx, cancel := context.WithTimeout(o.ctx, recallTimeout)
		defer cancel()
		texts, err := o.OnRecall(ctx, pl.instance)
		return Recall{Departed: texts}, err
	}), nil
}

// mergeFacts merges facts and propagates those that were new to all peers except
// their sender. If a higher version is named, it is fetched from the sender.
func (o *Overlay) mergeFacts(f Facts, from *peerLink) error {
	if len(f.Instances) > maxFacts || len(f.Zones) > maxFacts || len(f.Members) > maxFacts || len(f.Moves) > maxFacts || len(f.Halts) > maxFacts || len(f.Crashes) > maxFacts {
		return errorx.IllegalFormat.New("message has too many facts of one kind")
	}
	var changes Facts
	before := o.Table.Self().Incarnation()
	for _, m := range f.Members {
		r, err := m.Decode()
		if err != nil {
			return err
		}
		if o.Table.Merge(r) {
			changes.Members = append(changes.Members, m)
		} else {
			o.noteSender(m, from)
		}
	}
	if err := o.mergeMoves(f, &changes, from); err != nil {
		return err
	}
	now := o.Timer.Time()
	for _, m := range f.Crashes {
		c, err := m.Decode(now)
		if err != nil {
			return err
		}
		if o.Crashes.Merge(c) {
			changes.Crashes = append(changes.Crashes, m)
		}
	}
	if err := o.mergeSummaries(f, from); err != nil {
		return err
	}
	o.propagate(changes, from)
	if self := o.Table.Self(); self.Incarnation() != before {
		o.Announce(self)
	}
	if f.Version > o.Holder.Current().Snapshot().Version() {
		o.fetchFrom(from, f.Version)
	}
	return nil
}

func (o *Overlay) mergeMoves(f Facts, changes *Facts, from *peerLink) error {
	for _, m := range f.Moves {
		s, err := m.Decode()
		if err != nil {
			return err
		}
		if o.Moves.Merge(s) {
			changes.Moves = append(changes.Moves, m)
		}
	}
	for _, m := range f.Halts {
		h, err := m.Decode()
		if err != nil {
			return err
		}
		if o.Moves.AddHalt(h) {
			changes.Halts = append(changes.Halts, m)
			if o.OnHalt != nil {
				o.OnHalt(h, from.instance)
			}
		}
	}
	return nil
}
