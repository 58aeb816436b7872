package gtwire

import (
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtusage"
)

// maxUsageWindows bounds the number of windows in one message.
const maxUsageWindows = 1000

// Usage is the message of counts of accounts, or asks for what the receiver knows. It
// doesn't name its sender, whom the link knows.
type Usage struct {
	// Start is the start time of the process that counted, in milliseconds since 1970.
	Start int64  `json:"t0,omitempty"`
	Seq   uint64 `json:"q,omitempty"`
	// Base is the number of names that the receiver is taken to know.
	Base    int           `json:"b,omitempty"`
	Names   []string      `json:"n,omitempty"`
	Windows []UsageWindow `json:"w,omitempty"`
	// All asks for all counts, and, if Of is set, only for those of window Of of the processes
	// that haven't declared it complete. Status asks for the state of the duty.
	All    bool  `json:"a,omitempty"`
	Of     int64 `json:"k,omitempty"`
	Status bool  `json:"s,omitempty"`
}

// UsageWindow holds the counts of a window, as pairs of an account's number and its
// count.
type UsageWindow struct {
	Window int64 `json:"w"`
	Pairs  []int `json:"c,omitempty"`
	Final  bool  `json:"f,omitempty"`
}

// UsageSource holds all counts of one process.
type UsageSource struct {
	Instance string `json:"i"`
	Usage
}

// UsageResponse is the response to a Usage message.
type UsageResponse struct {
	// Epoch identifies what the receiver has kept of the sender, 0 if it lacks names.
	Epoch int64 `json:"e,omitempty"`
	// Holder is the holder of the duty, if it isn't among the first two candidates.
	Holder string `json:"h,omitempty"`
	// Since is the time from which the sender of the response has got all counts, in
	// milliseconds since 1970, and Sources what it knows. They are set if All is.
	Since   int64         `json:"t1,omitempty"`
	Sources []UsageSource `json:"p,omitempty"`
	// Duty is set if Status is.
	Duty *DutyStatus `json:"d,omitempty"`
}

// DutyStatus is the state of a duty, as returned by GET /duties of the admin address.
// Token, LastWindow and LagSeconds are those of the holder, and 0 if it can't be asked.
type DutyStatus struct {
	Name       string   `json:"name"`
	Holder     string   `json:"holder"`
	Token      int64    `json:"token"`
	Candidates []string `json:"candidates"`
	// LastWindow is the last window up to which all were acknowledged or given up, and
	// LagSeconds the time since its end.
	LastWindow int64   `json:"lastWindow"`
	LagSeconds float64 `json:"lagSeconds"`
	Reported   uint64  `json:"reported"`
	Lost       uint64  `json:"lost"`
}

// FromBatch returns the message of a batch of a process.
func FromBatch(start int64, b gtusage.Batch) Usage {
	m := Usage{Start: start, Seq: b.Seq(), Base: b.Base(), Names: b.Names()}
	for _, w := range b.Windows() {
		m.Windows = append(m.Windows, UsageWindow{w.Window(), w.Pairs(), w.Final()})
	}
	return m
}

// Decode returns the batch. Its numbers are checked where it is added.
func (m Usage) Decode() (gtusage.Batch, error) {
	if len(m.Windows) > maxUsageWindows || len(m.Names) > gtusage.MaxAccounts {
		return gtusage.Batch{}, errorx.IllegalFormat.New("usage message has %d windows and %d names", len(m.Windows), len(m.Names))
	}
	for _, name := range m.Names {
		if len(name) == 0 || len(name) > MaxNameBytes {
			return gtusage.Batch{}, errorx.IllegalFormat.New("usage message has the empty or overlong name %.40q", name)
		}
	}
	windows := make([]gtusage.BatchWindow, len(m.Windows))
	for i, w := range m.Windows {
		windows[i] = gtusage.NewBatchWindow(w.Window, w.Pairs, w.Final)
	}
	return gtusage.NewBatch(m.Seq, m.Base, m.Names, windows), nil
}

// FromSnapshots returns the messages of all that is known of several processes.
func FromSnapshots(list []gtusage.Snapshot) []UsageSource {
	out := make([]UsageSource, len(list))
	for i, s := range list {
		out[i] = UsageSource{s.Instance(), FromBatch(s.Start(), s.Batch())}
	}
	return out
}

// Decode returns the snapshot.
func (m UsageSource) Decode() (gtusage.Snapshot, error) {
	if len(m.Instance) == 0 || len(m.Instance) > MaxNameBytes {
		return gtusage.Snapshot{}, errorx.IllegalFormat.New("usage message of instance %.40q", m.Instance)
	}
	b, err := m.Usage.Decode()
	return gtusage.NewSnapshot(m.Instance, m.Start, b), err
}

// SinceTime returns the time of Since.
func (m UsageResponse) SinceTime() time.Time { return time.UnixMilli(m.Since) }
