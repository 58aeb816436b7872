package gtnode

import (
	"context"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwittide/io/process/gtsettings"
)

// reloadPeriod is the period at which the time and the size of the settings file are
// checked.
const reloadPeriod = 2 * time.Second

// SettingsSource is the file that a node reads its settings from again while it runs.
// Its exported fields are set before Run.
type SettingsSource struct {
	// Path is the path of the file; empty means that the settings don't change.
	Path string
	// Load reads and validates the file.
	Load func(path string) (gtsettings.Settings, error)
	// Pending returns the keys that are no part of Settings and that differ in the file that
	// Load read last from the one of the start; nil means that there are none.
	Pending func() []string
	// Hangups receives a signal when the file shall be read at once; nil means never.
	Hangups <-chan os.Signal
	// SetLogLevel sets the minimum level of the log; nil means that it doesn't change.
	SetLogLevel func(zerolog.Level)
}

// SettingsStatus tells whether the settings file is in force. Error is the reason why the
// file was refused, and empty for a valid file. Pending are the keys whose change takes
// effect at the next start.
type SettingsStatus struct {
	Error   string   `json:"error"`
	Pending []string `json:"pending"`
}

// fileStamp is the time and the size of a file, or the error of reading them.
type fileStamp struct {
	modified time.Time
	size     int64
	err      string
}

// reloader holds the settings that are in force.
type reloader struct {
	active  atomic.Pointer[gtsettings.Settings]
	started gtsettings.Settings // as read at the start
	read    gtsettings.Settings // as read from the last valid file
	stamp   fileStamp           // of the file when it was last read

	mu     sync.Mutex
	status SettingsStatus
}

// init sets the settings that the node starts with.
func (r *reloader) init(cfg gtsettings.Settings) {
	r.started, r.read = cfg, cfg
	r.active.Store(&cfg)
	r.status.Pending = []string{}
}

// current returns the state of the settings.
func (r *reloader) current() SettingsStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return SettingsStatus{Error: r.status.Error, Pending: slices.Clone(r.status.Pending)}
}

func (n *Node) maxBodyBytes() int { return n.reload.active.Load().Limit.MaxBodyBytes }
func (n *Node) maxCallerConns() int64 {
	return int64(n.reload.active.Load().Limit.MaxCallerConnections)
}
func (n *Node) dutyRate() float64   { return n.reload.active.Load().Duty.Rate }
func (n *Node) traceRatio() float64 { return n.reload.active.Load().Trace.Ratio }

// readStamp returns the time and the size of a file.
func readStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{err: err.Error()}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// watchSettings reads the settings file again when it changes and on each hangup, until
// ctx ends. The first check always reads it, as it may have changed since the start.
func (n *Node) watchSettings(ctx context.Context) {
	ticker := n.timer.Every(reloadPeriod, 0)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.SettingsSource.Hangups:
			n.Log.Info().Msg("settings: SIGHUP received; the file is read again")
			n.reloadSettings(readStamp(n.SettingsSource.Path))
		case <-ticker.C():
			if s := readStamp(n.SettingsSource.Path); s != n.reload.stamp {
				n.reloadSettings(s)
			}
		}
	}
}

// reloadSettings reads the settings file and applies what can change without a restart.
// An invalid file changes nothing. The stamp is read before the file, so that a change
// during the reading is found by the next check.
func (n *Node) reloadSettings(s fileStamp) {
	r := &n.reload
	r.stamp = s
	next, err := n.SettingsSource.Load(n.SettingsSource.Path)
	if err != nil {
		n.Log.Error().Err(err).Msg("settings: file refused; the active settings stay in force")
		r.mu.Lock()
		r.status.Error = err.Error()
		r.mu.Unlock()
		return
	}
	change := gtsettings.Compare(r.read, next)
	r.read = next
	active := r.active.Load().WithRuntime(next)
	r.active.Store(&active)
	pending := append([]string{}, gtsettings.Compare(r.started, next).Restart()...)
	if n.SettingsSource.Pending != nil {
		pending = append(pending, n.SettingsSource.Pending()...)
	}
	r.mu.Lock()
	r.status = SettingsStatus{Pending: pending}
	r.mu.Unlock()
	n.applyLogLevel(change, next)
	for _, key := range change.Runtime() {
		n.Log.Info().Str("key", key).Msg("settings: changed")
	}
	for _, key := range change.Restart() {
		n.Log.Warn().Str("key", key).Msg("settings: changed; takes effect at the next start")
	}
}

func (n *Node) applyLogLevel(c gtsettings.Change, next gtsettings.Settings) {
	if n.SettingsSource.SetLogLevel == nil || !slices.Contains(c.Runtime(), "log.level") {
		return
	}
	if level, err := zerolog.ParseLevel(next.Log.Level); err == nil {
		n.SettingsSource.SetLogLevel(level)
	}
}
