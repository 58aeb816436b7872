package gtnode

import (
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
)

const (
	// reportRetention is how long the last report of an instance is kept.
	reportRetention = 10 * time.Minute
	// maxReports bounds the number of instances whose last report is kept.
	maxReports = 16 << 10
)

// judges holds the judges of the active moves: pooled ones, fed by the reports of
// all instances, for the moves that this node may drive, and local ones, fed by
// the outcomes that this node observes itself.
type judges struct {
	now func() time.Time
	// raised receives a value when a report makes a pooled judge raise its alarm. It
	// holds one value.
	raised chan struct{}
	// batches receives a value when the local backend server has given a batch of
	// responses. It holds one value.
	batches chan struct{}
	// reportsBatches is true while the local backend server runs the new version of an
	// active move.
	reportsBatches atomic.Bool

	mu     sync.Mutex
	pooled map[string]*pooledJudge
	local  map[string]*gtcanary.Judge
	latest map[string]timedReport
}

// pooledJudge is the judge of one move that this node may drive. Its seq is the
// sequence number of the move's state at the last evaluation, changeDueSince the time
// since which a change of the state is due, or zero, and writing is true during a write.
// It is complete once it has had the reports of all instances of the new version. The old
// version last had a ready instance at oldReadyAt.
type pooledJudge struct {
	judge          *gtcanary.Judge
	seq            int64
	changeDueSince time.Time
	alarmLogged    bool
	complete       bool
	doubt          string
	oldReadyAt     time.Time
	writing        atomic.Bool
}

// timedReport is the last report of an instance and its time of arrival. A new
// judge starts with the last reports of all instances.
type timedReport struct {
	report gtcanary.Report
	at     time.Time
}

// addReport adds a report from an instance of the service to all pooled judges,
// and keeps it for judges that are created later. A report of a process that started
// before the last known one is ignored, unless that has fallen silent: the instance's clock
// has then been set back between the two starts.
func (j *judges) addReport(r gtcanary.Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.latest == nil {
		j.latest = map[string]timedReport{}
	}
	last, known := j.latest[r.Instance()]
	setBack := known && last.report.StartMillis() > r.StartMillis()
	if setBack && j.now().Sub(last.at) <= maxReportAge {
		return // late, of an earlier process
	}
	if known || len(j.latest) < maxReports {
		j.latest[r.Instance()] = timedReport{r, j.now()}
	}
	for _, p := range j.pooled {
		if setBack {
			p.judge.Forget(r.Instance())
		}
		_, before := p.judge.Alarm()
		p.judge.AddReport(r)
		if _, after := p.judge.Alarm(); after && !before {
			signal(j.raised)
		}
	}
}

// requestReport asks for a report of the local backend server's outcomes, if it runs the
// new version of an active move.
func (j *judges) requestReport() {
	if j.reportsBatches.Load() {
		signal(j.batches)
	}
}

// signal sends a value to a channel unless that is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// reportAges returns the number of instances with a report, and the age of the oldest
// report, among the given instances.
func (j *judges) reportAges(instances []string) (reported int, oldest time.Duration) {
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, instance := range instances {
		if last, ok := j.latest[instance]; ok {
			reported++
			oldest = max(oldest, now.Sub(last.at))
		}
	}
	return reported, oldest
}

// silent returns the first of the instances without a report of the version that is at
// most maxReportAge old, or "".
func (j *judges) silent(instances []string, version string) string {
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, instance := range instances {
		last, ok := j.latest[instance]
		if !ok || last.report.Version() != version || now.Sub(last.at) > maxReportAge {
			return instance
		}
	}
	return ""
}

// pooledJudge returns the pooled judge of a move, and creates it if necessary.
func (j *judges) pooledJudge(m gtconfig.Move) *pooledJudge {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pooled == nil {
		j.pooled = map[string]*pooledJudge{}
	}
	p := j.pooled[m.ID()]
	if p == nil {
		p = &pooledJudge{judge: &gtcanary.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtcanary.PooledThreshold}}
		for _, last := range j.latest {
			p.judge.AddReport(last.report)
		}
		j.pooled[m.ID()] = p
	}
	return p
}

// localJudge returns the local judge of a move, and creates it if necessary.
func (j *judges) localJudge(m gtconfig.Move) *gtcanary.Judge {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.local == nil {
		j.local = map[string]*gtcanary.Judge{}
	}
	judge := j.local[m.ID()]
	if judge == nil {
		judge = &gtcanary.Judge{Now: j.now, From: m.From(), To: m.To(), Threshold: gtcanary.LocalThreshold}
		j.local[m.ID()] = judge
	}
	return judge
}

// prune deletes the judges of moves whose IDs are not in active, and reports older
// than reportRetention.
func (j *judges) prune(active map[string]bool) {
	now := j.now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.pooled {
		if !active[id] {
			delete(j.pooled, id)
		}
	}
	for id := range j.local {
		if !active[id] {
			delete(j.local, id)
		}
	}
	for instance, last := range j.latest {
		if now.Sub(last.at) > reportRetention {
			delete(j.latest, instance)
		}
	}
}
