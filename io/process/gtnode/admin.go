package gtnode

import (
	"encoding/json"
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtmetric"
)

// Status is the state of a node, as returned by GET /status of the admin address.
// Busy and Limit are the load and the concurrency limit of the admission gate,
// Links is the number of overlay links, and ControlBytesSent and
// ControlBytesReceived are the bytes of control messages.
type Status struct {
	Instance             string         `json:"instance"`
	Zone                 string         `json:"zone"`
	Service              string         `json:"service"`
	BackendVersion       string         `json:"backend"`
	State                string         `json:"state"`
	Version              int64          `json:"version"`
	Checksum             string         `json:"sum"`
	ActiveSince          time.Time      `json:"since"`
	Members              int            `json:"members"`
	Links                int            `json:"links"`
	Busy                 int            `json:"busy"`
	Limit                int            `json:"limit"`
	ControlBytesSent     int64          `json:"sent"`
	ControlBytesReceived int64          `json:"received"`
	IsWatcher            bool           `json:"watching"`
	Moves                []MoveStatus   `json:"moves"`
	Settings             SettingsStatus `json:"settings"`
}

// MoveStatus is the state of a move as this node knows it. MissedDeadline tells that
// the move had not ended by its deadline; one that was rolled back doesn't count.
type MoveStatus struct {
	Name           string    `json:"name"`
	Service        string    `json:"service"`
	From           string    `json:"from"`
	To             string    `json:"to"`
	Deadline       time.Time `json:"by"`
	Phase          string    `json:"phase"`
	Share          float64   `json:"share"`
	Reason         string    `json:"reason"`
	MissedDeadline bool      `json:"late"`
	Started        time.Time `json:"started,omitzero"`
	Ended          time.Time `json:"ended,omitzero"`
}

// Propagation tells how far this node's active version has propagated: the number
// of nodes asked, and of those that have this version or a higher one.
type Propagation struct {
	Version int64                      `json:"version"`
	Asked   int                        `json:"asked"`
	Reached int                        `json:"reached"`
	Zones   map[string]ZonePropagation `json:"zones"`
}

// ZonePropagation is the propagation of a version within one zone.
type ZonePropagation struct {
	Asked   int `json:"asked"`
	Reached int `json:"reached"`
}

// adminHandler returns the handler of the admin address.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, gtwire.FromRecords(n.table.All())) })
	mux.HandleFunc("GET /accounts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.AccountStatuses()) })
	mux.HandleFunc("GET /duties", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, n.dutyStatuses(r.Context())) })
	mux.HandleFunc("GET /where", n.serveWhere)
	mux.HandleFunc("GET /spread", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, n.queryPropagation(r.Context())) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { _ = n.metrics.Write(w) })
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	self := n.table.Self()
	current := n.holder.Current()
	load := n.gate.Load("")
	sent, received := n.overlay.ControlBytes()
	return Status{
		Instance: self.Instance(), Zone: self.Zone(), Service: self.Service(), BackendVersion: self.Version(), State: self.State().String(),
		Version: current.Snapshot().Version(), Checksum: current.Config().Checksum(), ActiveSince: current.ActivatedAt(),
		Members: n.table.Len(), Links: n.overlay.CountLinks(), Busy: load.Busy(), Limit: load.Limit(),
		ControlBytesSent: sent, ControlBytesReceived: received, IsWatcher: n.configStore != nil && n.watchRank() < gtrank.ZoneWatchers, Moves: n.moveStatuses(),
		Settings: n.reload.current(),
	}
}

// Started reports whether the node has started serving. It stays true during and
// after shutdown.
func (n *Node) Started() bool { return n.running.Load() }

// joinTimeout is how long after its start a node waits for a digest exchange with
// a peer. After that it assumes that it is the first node.
const joinTimeout = 2 * time.Second

// Joined reports whether the node has a configuration and has either exchanged
// digests with a peer, and can judge keys, or waited joinTimeout for it.
func (n *Node) Joined() bool {
	if !n.Started() || n.ActiveVersion().Version() == 0 {
		return false
	}
	if n.timer.Time().Sub(n.startTime) > joinTimeout {
		return true
	}
	return n.overlay.HasSynced() && (n.isCurrent() || !n.hasAccounts())
}

// Member returns the membership record of an instance, and whether there is one.
func (n *Node) Member(instance string) (gtmember.Record, bool) { return n.table.Get(instance) }

// CountReady returns the number of instances whose record is in state ready.
func (n *Node) CountReady() int { return n.table.Count(gtmember.Ready) }

// moveStatuses returns the state of each configured move.
func (n *Node) moveStatuses() []MoveStatus {
	list := []MoveStatus{}
	now := n.timer.Time()
	for _, m := range n.holder.Current().Config().Moves() {
		v := MoveStatus{Name: m.Name(), Service: m.Service(), From: m.From(), To: m.To(), Phase: "waiting", Reason: "no backend server of the new version is ready"}
		if s, ok := n.moves.State(m.ID()); ok {
			v.Phase, v.Share, v.Reason, v.Started, v.Ended = s.Phase().String(), n.moves.Share(m), s.Reason(), s.Started(), s.Ended()
		}
		v.Deadline = m.Deadline(v.Started)
		if h, ok := n.moves.Halt(m.ID()); ok && v.Phase != "taken back" {
			v.Phase, v.Reason = "halted", "found by "+h.By()+": "+h.Reason()
		}
		v.MissedDeadline = v.Ended.IsZero() && now.After(v.Deadline) || v.Phase != "taken back" && v.Ended.After(v.Deadline)
		list = append(list, v)
	}
	return list
}

// latencyBuckets are the bucket bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// recordResponse logs a response to a caller and updates the metrics.
func (n *Node) recordResponse(c gtcall.Call, err error, d time.Duration) {
	k := gtkind.Of(err)
	now := n.timer.Time()
	n.calls.Ended(now.Add(-d), now)
	n.logResponse(c, err, d)
	n.recordAccount(c, err)
	n.scope.Tagged(map[string]string{"kind": k.String()}).Counter("answers").Inc(1)
	n.scope.Tagged(map[string]string{"kind": k.String()}).Histogram("latency", latencyBuckets).RecordDuration(d)
	n.scope.Timer("answer").Record(d)
}

// summaryCounter returns the counter of the summaries that this node has sent.
func (n *Node) summaryCounter(of string) tally.Counter {
	return n.scope.Tagged(map[string]string{"of": of}).Counter("summaries")
}

// countMovePick counts an instance picked for a service with a move.
func (n *Node) countMovePick(service, version string, reason gtroute.Reason) {
	n.scope.Tagged(map[string]string{"service": service, "version": version, "reason": reason.String()}).Counter("picks").Inc(1)
}

// updateGauges sets the gauges to the current state of the node.
func (n *Node) updateGauges() {
	s := n.Status()
	n.scope.Gauge("members").Update(float64(s.Members))
	n.scope.Gauge("links").Update(float64(s.Links))
	n.scope.Gauge("limit").Update(float64(s.Limit))
	n.scope.Gauge("busy").Update(float64(s.Busy))
	n.updatePipelineMetrics()
	n.updateLimitMetrics()
	n.scope.Gauge("refused").Update(float64(n.gate.Refused()))
	n.reportOverflows()
	n.scope.Gauge("control_sent_bytes").Update(float64(s.ControlBytesSent))
	n.scope.Gauge("control_received_bytes").Update(float64(s.ControlBytesReceived))
	n.scope.Gauge("capacity_speed").Update(n.capacity.Speed())
	n.scope.Gauge("capacity_concurrency").Update(n.capacity.Capacity())
	n.scope.Gauge("capacity_slowdown").Update(n.capacity.Slowdown())
	n.scope.Gauge("capacity_changes").Update(float64(n.capacity.Changes()))
	byLoad, byEstimate, otherZones := n.router.Choices()
	n.scope.Tagged(map[string]string{"by": "load"}).Gauge("choices").Update(float64(byLoad))
	n.scope.Tagged(map[string]string{"by": "estimate"}).Gauge("choices").Update(float64(byEstimate))
	n.scope.Gauge("choices_other_zone").Update(float64(otherZones))
	n.scope.Gauge("memory_used_bytes").Update(float64(n.budget.Used()))
	n.scope.Gauge("memory_dropped").Update(float64(n.budget.DroppedCount()))
	n.scope.Gauge("keys").Update(float64(n.dedup.Len()))
	n.scope.Gauge("crashes").Update(float64(n.crashes.Len()))
	gtmetric.RecordInFlight(n.scope, n.requests.Counts())
}

// debugLogger returns a logger for the HTTP servers that marks its lines as
// debug level, since callers can trigger their errors.
func debugLogger(l zerolog.Logger) *log.Logger {
	return log.New(l.With().Str("level", "debug").Logger(), "", 0)
}
