package gtnode

import (
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtera"
)

// mergeFiles merges the files of a version into a configuration, and returns the
// problems found. The configuration is valid only if there are none.
func (n *Node) mergeFiles(files map[string]string) (*gtconfig.Config, []gtconfig.Problem) {
	if n.ParseFiles != nil {
		return n.ParseFiles(files)
	}
	return n.parser.Merge(files)
}

// ActiveVersion returns the active version with its files.
func (n *Node) ActiveVersion() gtdelta.Snapshot { return n.holder.Current().Snapshot() }

// ActiveConfig returns the configuration of the active version.
func (n *Node) ActiveConfig() *gtconfig.Config { return n.holder.Current().Config() }

// Install activates a version that was just read from the store, if it is higher than the
// active one. It returns an error if the version's files have problems.
func (n *Node) Install(snapshot gtdelta.Snapshot) error {
	now := n.timer.Time()
	return n.installVersion(snapshot, gtdelta.NewArrival(gtdelta.FromStore, now, now))
}

// installVersion merges the files of a version, activates it and announces it to
// the peers, if it is higher than the active version.
func (n *Node) installVersion(snapshot gtdelta.Snapshot, a gtdelta.Arrival) error {
	n.installMu.Lock()
	defer n.installMu.Unlock()
	previous := n.holder.Current()
	if snapshot.Version() <= previous.Snapshot().Version() {
		return nil
	}
	cfg, problems := n.mergeFiles(snapshot.Files())
	if len(problems) > 0 {
		return errorx.IllegalFormat.New("activate version %d: problem in its files: %s", snapshot.Version(), problems[0])
	}
	if !n.holder.Offer(snapshot, cfg) {
		return nil
	}
	n.StoreEra.See(gtera.Era(snapshot.Version()))
	zone := n.Settings.Node.Zone
	n.applyConfig(previous.Config().IsZoneDrained(zone), cfg.IsZoneDrained(zone))
	n.scope.Gauge("version").Update(float64(snapshot.Version()))
	n.recordArrival(snapshot, cfg, a)
	n.overlay.AnnounceVersion()
	return nil
}

// RemovedFiles returns the names of the files that recent versions have removed.
func (n *Node) RemovedFiles() []string { return n.holder.RemovedFiles() }

// recordArrival logs a version that has become active, and how it reached this node.
func (n *Node) recordArrival(snapshot gtdelta.Snapshot, cfg *gtconfig.Config, a gtdelta.Arrival) {
	merge := n.timer.Time().Sub(a.Loaded())
	for part, d := range map[string]time.Duration{"fetch": a.FetchTime(), "merge": merge} {
		n.scope.Tagged(map[string]string{"part": part}).Histogram("version_delay", latencyBuckets).RecordDuration(d)
	}
	n.Log.Info().Int64("version", snapshot.Version()).Str("sum", cfg.Checksum()).Str("from", a.From()).
		Int64("fetch", a.FetchTime().Milliseconds()).Int64("merge", merge.Milliseconds()).Msg("config: version in force")
}
