// Package gtwire defines the JSON encoding of the state that nodes exchange and
// keep in the store. The core packages don't depend on it: each message type has
// a function that converts a core value to the message, and a method that
// converts it back.
//
// # Usage
//
//	b, err := json.Marshal(gtwire.FromRecord(record))
//	var m gtwire.Record
//	err = json.Unmarshal(b, &m)
//	record, err := m.Decode()
//
// Decode validates received messages: names are bounded in length, addresses must
// parse, and enumerated values must be known.
package gtwire

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
)

// MaxNameBytes is the maximum length of a name in a message, in bytes.
const MaxNameBytes = 128

// Record is the message of a membership record.
type Record struct {
	Instance    string `json:"i"`
	Zone        string `json:"z"`
	Service     string `json:"s"`
	Version     string `json:"v"`
	HopAddress  string `json:"h"`
	PeerAddress string `json:"p"`
	Slots       int    `json:"n"`
	Incarnation uint64 `json:"c"`
	State       string `json:"t"`
	Departed    string `json:"l,omitempty"`
}

// FromRecord returns the message of a record.
func FromRecord(r gtmember.Record) Record {
	return Record{
		Instance: r.Instance(), Zone: r.Zone(), Service: r.Service(), Version: r.Version(), HopAddress: r.HopAddress(), PeerAddress: r.PeerAddress(),
		Slots: r.Slots(), Incarnation: r.Incarnation(), State: r.State().String(), Departed: r.Departed(),
	}
}

// FromRecords returns the messages of several records.
func FromRecords(list []gtmember.Record) []Record {
	out := make([]Record, len(list))
	for i, r := range list {
		out[i] = FromRecord(r)
	}
	return out
}

// Decode returns the record. It fails if a field is missing or invalid.
func (m Record) Decode() (gtmember.Record, error) {
	for _, s := range []string{m.Instance, m.Zone, m.Service, m.Version} {
		if len(s) == 0 || len(s) > MaxNameBytes {
			return gtmember.Record{}, errorx.IllegalFormat.New("record of instance %.40q has an empty or overlong name", m.Instance)
		}
	}
	if len(m.Departed) > MaxNameBytes {
		return gtmember.Record{}, errorx.IllegalFormat.New("record of instance %q names a departed process of %d bytes", m.Instance, len(m.Departed))
	}
	for _, a := range []string{m.HopAddress, m.PeerAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return gtmember.Record{}, errorx.IllegalFormat.New("record of instance %q has the invalid address %.60q", m.Instance, a)
		}
	}
	state, ok := gtmember.ParseState(m.State)
	if !ok || m.Slots < 1 || m.Slots > 10000 {
		return gtmember.Record{}, errorx.IllegalFormat.New("record of instance %q has an unknown state or an invalid number of slots", m.Instance)
	}
	r := gtmember.NewRecord(m.Instance, m.Zone, m.HopAddress, m.PeerAddress).WithBackend(m.Service, m.Version, m.Slots)
	return r.WithIncarnation(m.Incarnation).WithState(state).WithDeparted(m.Departed), nil
}

// Delta is the message of a change from one version of the configuration to the
// next.
type Delta struct {
	BaseVersion  int64             `json:"b"`
	BaseChecksum string            `json:"bs"`
	Version      int64             `json:"v"`
	Push         int64             `json:"p"`
	Checksum     string            `json:"s"`
	Changed      map[string]string `json:"set,omitempty"`
	Patches      map[string][]Edit `json:"edit,omitempty"`
	Removed      []string          `json:"del,omitempty"`
}

// Edit is the message of one part of a patched file. A node of an earlier release
// passes over it; the checksum then fails, and it fetches the whole version.
type Edit struct {
	From int    `json:"f,omitempty"`
	To   int    `json:"t,omitempty"`
	Text string `json:"x,omitempty"`
}

// FromDelta returns the message of a delta.
func FromDelta(d gtdelta.Delta) Delta {
	m := Delta{BaseVersion: d.BaseVersion(), BaseChecksum: d.BaseChecksum(), Version: d.Version(), Push: d.Push(), Checksum: d.Checksum(), Changed: d.Changed(), Removed: d.Removed()}
	for name, p := range d.Patches() {
		if m.Patches == nil {
			m.Patches = map[string][]Edit{}
		}
		for _, e := range p {
			m.Patches[name] = append(m.Patches[name], Edit{From: e.From(), To: e.To(), Text: e.Text()})
		}
	}
	return m
}

// Decode returns the delta.
func (m Delta) Decode() gtdelta.Delta {
	patches := make(map[string]gtdelta.Patch, len(m.Patches))
	for name, edits := range m.Patches {
		for _, e := range edits {
			patches[name] = append(patches[name], gtdelta.NewEdit(e.From, e.To, e.Text))
		}
	}
	return gtdelta.NewDelta(m.BaseVersion, m.BaseChecksum, m.Version, m.Push, m.Checksum, m.Changed, m.Removed).WithPatches(patches)
}

// Snapshot is the message of a snapshot: one version of the configuration with
// all of its files.
type Snapshot struct {
	Version  int64             `json:"v"`
	Push     int64             `json:"p"`
	Checksum string            `json:"s"`
	Files    map[string]string `json:"f"`
}

// FromSnapshot returns the message of a snapshot.
func FromSnapshot(s gtdelta.Snapshot) Snapshot {
	return Snapshot{Version: s.Version(), Push: s.Push(), Checksum: s.Checksum(), Files: s.Files()}
}

// Decode returns the snapshot. It fails if the files don't match the checksum.
func (m Snapshot) Decode() (gtdelta.Snapshot, error) {
	s := gtdelta.NewSnapshot(m.Version, m.Push, m.Files)
	if s.Checksum() != m.Checksum {
		return gtdelta.Snapshot{}, errorx.IllegalFormat.New("snapshot of version %d has checksum %s, expected %s", m.Version, s.Checksum(), m.Checksum)
	}
	return s, nil
}

// Move is the message of a move's state. The ID is made of four names: the move,
// its service and the two versions.
type Move struct {
	ID      string    `json:"id"`
	Seq     int64     `json:"n"`
	Phase   string    `json:"p"`
	Share   float64   `json:"s"`
	Reason  string    `json:"why,omitempty"`
	Started time.Time `json:"t0"`
	Updated time.Time `json:"t1"`
	Ended   time.Time `json:"t2,omitzero"`
	Rev     int64     `json:"r,omitempty"`
}

// FromMove returns the message of a move's state.
func FromMove(s gtmove.State) Move {
	return Move{
		ID: s.ID(), Seq: s.Seq(), Phase: s.Phase().String(), Share: s.Share(), Reason: s.Reason(),
		Started: s.Started(), Updated: s.Updated(), Ended: s.Ended(), Rev: s.Rev(),
	}
}

// Decode returns the state. It fails if a field is invalid.
func (m Move) Decode() (gtmove.State, error) {
	phase, ok := gtmove.ParsePhase(m.Phase)
	if !ok || m.ID == "" || len(m.ID) > 4*MaxNameBytes || m.Share < 0 || m.Share > 1 {
		return gtmove.State{}, errorx.IllegalFormat.New("state of move %.60q has an invalid ID, phase or share", m.ID)
	}
	return gtmove.NewState(m.ID, m.Seq, phase, m.Share, m.Reason, m.Started, m.Updated, m.Ended).WithRev(m.Rev), nil
}

// Halt is the message by which a node halts the new version of a move.
type Halt struct {
	ID     string `json:"id"`
	By     string `json:"by"`
	Reason string `json:"why"`
}

// FromHalt returns the message of a halt.
func FromHalt(h gtmove.Halt) Halt { return Halt{ID: h.ID(), By: h.By(), Reason: h.Reason()} }

// Decode returns the halt. It fails if the move's ID is empty or overlong, or the
// name of the instance is overlong.
func (m Halt) Decode() (gtmove.Halt, error) {
	if m.ID == "" || len(m.ID) > 4*MaxNameBytes || len(m.By) > MaxNameBytes {
		return gtmove.Halt{}, errorx.IllegalFormat.New("halt of move %.60q has an invalid ID or instance", m.ID)
	}
	return gtmove.NewHalt(m.ID, m.By, m.Reason), nil
}

// Crash is the message of the record of a request that was in flight when backend
// servers crashed. Fingerprint is a hexadecimal number, Count is the number of
// crashes, and RemainingMs is the time until the record expires, in milliseconds.
type Crash struct {
	Fingerprint   string `json:"p"`
	Count         int    `json:"n"`
	NonIdempotent bool   `json:"o,omitempty"`
	RemainingMs   int64  `json:"l"`
}

// FromCrash returns the message of a crash.
func FromCrash(c gtdedup.Crash, now time.Time) Crash {
	return Crash{Fingerprint: strconv.FormatUint(c.Fingerprint(), 16), Count: c.Count(), NonIdempotent: c.NonIdempotent(), RemainingMs: c.Expires().Sub(now).Milliseconds()}
}

// Decode returns the crash. It fails if the fingerprint is not a hexadecimal
// number.
func (m Crash) Decode(now time.Time) (gtdedup.Crash, error) {
	fingerprint, err := strconv.ParseUint(m.Fingerprint, 16, 64)
	if err != nil {
		return gtdedup.Crash{}, errorx.IllegalFormat.Wrap(err, "parse the fingerprint of a crash")
	}
	return gtdedup.NewCrash(fingerprint, m.Count, m.NonIdempotent, now.Add(time.Duration(m.RemainingMs)*time.Millisecond)), nil
}

// Counts is the message of an instance's request counts on one route. Latency
// holds pairs of the index and the count of a bucket, without empty buckets.
type Counts struct {
	Total   uint64   `json:"n"`
	Failed  uint64   `json:"f,omitempty"`
	Latency []uint64 `json:"l,omitempty"`
}

// Report is the message of an instance's request counts by route.
type Report struct {
	Instance    string            `json:"i"`
	StartMillis uint64            `json:"c"`
	Version     string            `json:"v"`
	Routes      map[string]Counts `json:"r"`
}

// FromReport returns the message of a report.
func FromReport(r gtcanary.Report) Report {
	m := Report{Instance: r.Instance(), StartMillis: r.StartMillis(), Version: r.Version(), Routes: map[string]Counts{}}
	for route, c := range r.Routes() {
		counts := Counts{Total: c.Total(), Failed: c.Failed()}
		for i, n := range c.LatencyCounts() {
			if n > 0 {
				counts.Latency = append(counts.Latency, uint64(i), n)
			}
		}
		m.Routes[route] = counts
	}
	return m
}

// Decode returns the report. It fails if a field is invalid.
func (m Report) Decode() (gtcanary.Report, error) {
	if m.Instance == "" || len(m.Instance) > MaxNameBytes || len(m.Routes) > gtcanary.MaxRoutes+1 {
		return gtcanary.Report{}, errorx.IllegalFormat.New("report of instance %.40q has an invalid name or too many routes", m.Instance)
	}
	routes := map[string]gtcanary.Counts{}
	for route, c := range m.Routes {
		var latencyCounts [gtcanary.LatencyBuckets]uint64
		if len(c.Latency)%2 != 0 {
			return gtcanary.Report{}, errorx.IllegalFormat.New("report of instance %q has an odd number of latency values", m.Instance)
		}
		for i := 0; i < len(c.Latency); i += 2 {
			if c.Latency[i] >= gtcanary.LatencyBuckets {
				return gtcanary.Report{}, errorx.IllegalFormat.New("report of instance %q has an unknown latency bucket", m.Instance)
			}
			latencyCounts[c.Latency[i]] = c.Latency[i+1]
		}
		routes[route] = gtcanary.NewCounts(c.Total, c.Failed, latencyCounts[:])
	}
	return gtcanary.NewReport(m.Instance, m.StartMillis, m.Version, routes), nil
}
