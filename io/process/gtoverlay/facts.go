package gtoverlay

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/io/connection/gtwire"
)

// maxFacts bounds the facts of each sort in one message.
const maxFacts = 20000

// Facts is what nodes tell each other. Version and Sum name the version of the
// configuration that the sender has; a receiver with a lower one fetches it.
type Facts struct {
	Members []gtwire.Record `json:"m,omitempty"`
	Moves   []gtwire.Move   `json:"s,omitempty"`
	Halts   []gtwire.Halt   `json:"h,omitempty"`
	Crashes []gtwire.Crash  `json:"c,omitempty"`
	Version int64           `json:"v,omitempty"`
	Sum     string          `json:"vs,omitempty"`
}

func (f Facts) empty() bool {
	return len(f.Members)+len(f.Moves)+len(f.Halts)+len(f.Crashes) == 0 && f.Version == 0
}

func records(list []gtmember.Record) []gtwire.Record { return gtwire.FromRecords(list) }

// serve handles one message of a peer.
func (o *Overlay) serve(e *entry, method string, params json.RawMessage) (any, error) {
	switch method {
	case "hello":
		return o.serveHello(e, params)
	case "facts":
		var f Facts
		if err := decode(params, &f); err != nil {
			return nil, err
		}
		return nil, o.take(f, e)
	case "digest":
		var d Digest
		if err := decode(params, &d); err != nil {
			return nil, err
		}
		return o.repairFor(d, e)
	case "swap":
		var w Swap
		if err := decode(params, &w); err != nil {
			return nil, err
		}
		if len(w.Buckets) > gtshard.Count*gtmember.Buckets {
			return nil, errorx.IllegalFormat.New("swap of %d buckets", len(w.Buckets))
		}
		return o.bucketFacts(w.Buckets), o.take(w.Facts, e)
	case "fetch":
		var f Fetch
		if err := decode(params, &f); err != nil {
			return nil, err
		}
		return o.fetched(f), nil
	case "version":
		set := o.Holder.Current().Snapshot()
		return Fetch{Version: set.Version(), Sum: set.Checksum()}, nil
	case "report":
		return nil, o.serveReport(e, params)
	default:
		return nil, errorx.IllegalFormat.New("unknown message %.40q", method)
	}
}

func decode(params json.RawMessage, out any) error {
	if err := json.Unmarshal(params, out); err != nil {
		return errorx.IllegalFormat.Wrap(err, "decode a message")
	}
	return nil
}

func (o *Overlay) serveHello(e *entry, params json.RawMessage) (any, error) {
	var h Hello
	if err := decode(params, &h); err != nil {
		return nil, err
	}
	if e.outbound || e.instance != "" {
		return nil, errorx.IllegalFormat.New("greeting out of turn")
	}
	if h.Cluster == o.Cluster && o.crowded(h.Aside) {
		answer := o.hello(false)
		answer.Full, answer.Others = true, o.someOthers()
		return answer, nil
	}
	if err := o.accept(e, h, ""); err != nil {
		return nil, err
	}
	return o.hello(false), nil
}

func (o *Overlay) serveReport(e *entry, params json.RawMessage) error {
	var m gtwire.Report
	if err := decode(params, &m); err != nil {
		return err
	}
	r, err := m.Value()
	if err != nil {
		return err
	}
	e.used.Store(o.Timer.Time().UnixNano())
	o.Reported(r)
	return nil
}

// take merges facts and passes on what was news, to all but their sender.
func (o *Overlay) take(f Facts, from *entry) error {
	if len(f.Members) > maxFacts || len(f.Moves) > maxFacts || len(f.Halts) > maxFacts || len(f.Crashes) > maxFacts {
		return errorx.IllegalFormat.New("too many facts in one message")
	}
	var news Facts
	before := o.Table.Self().Incarnation()
	for _, m := range f.Members {
		r, err := m.Value()
		if err != nil {
			return err
		}
		if o.Table.Merge(r) {
			news.Members = append(news.Members, m)
		} else {
			o.toldBy(m, from)
		}
	}
	if err := o.takeMoves(f, &news); err != nil {
		return err
	}
	now := o.Timer.Time()
	for _, m := range f.Crashes {
		c, err := m.Value(now)
		if err != nil {
			return err
		}
		if o.Crashes.Merge(c) {
			news.Crashes = append(news.Crashes, m)
		}
	}
	o.spread(news, from)
	if self := o.Table.Self(); self.Incarnation() != before {
		o.Announce(self)
	}
	if f.Version > o.Holder.Current().Snapshot().Version() {
		o.fetchFrom(from, f.Version)
	}
	return nil
}

func (o *Overlay) takeMoves(f Facts, news *Facts) error {
	for _, m := range f.Moves {
		s, err := m.Value()
		if err != nil {
			return err
		}
		if o.Board.Merge(s) {
			news.Moves = append(news.Moves, m)
		}
	}
	for _, m := range f.Halts {
		h, err := m.Value()
		if err != nil {
			return err
		}
		if o.Board.AddHalt(h) {
			news.Halts = append(news.Halts, m)
		}
	}
	return nil
}
