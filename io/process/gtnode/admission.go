package gtnode

import (
	"godwittide/core/request/gtadmission"
	"godwittide/core/version/gtconfig"
)

// admissionReport remembers what was reported last of the admission gate and the throttle.
type admissionReport struct{ overflows, throttled uint64 }

// reportAdmission sets the gauges of the admission gate and of the throttle, and logs when the
// backend server was full or requests were not sent since the last report. Numbers that
// have always been 0 have no gauge.
func (n *Node) reportAdmission() {
	counts := n.gate.Counts()
	throttled := uint64(0)
	for class := range gtconfig.Class(gtconfig.ClassCount) {
		set := func(name string, v uint64, reason string) {
			if v == 0 {
				return
			}
			tags := map[string]string{"class": class.String()}
			if reason != "" {
				tags["reason"] = reason
			}
			n.scope.Tagged(tags).Gauge(name).Update(float64(v))
		}
		n.scope.Tagged(map[string]string{"class": class.String()}).Gauge("admission_waiting").Update(float64(counts.Waiting(class)))
		for r := range gtadmission.ReasonCount {
			set("admission_refused", counts.Refused(r, class), r.String())
			set("admission_dropped", counts.Dropped(r, class), r.String())
		}
		set("throttled", n.throttle.Throttled(class), "")
		throttled += n.throttle.Throttled(class)
	}
	n.scope.Gauge("overflows").Update(float64(counts.Overflows()))
	now := admissionReport{counts.Overflows(), throttled}
	if d := now.overflows - n.admission.overflows; d > 0 {
		n.Log.Warn().Uint64("requests", d).Int("limit", n.gate.Load("").Limit()).Msg("backend: full; requests were reset or got no response")
	}
	if d := now.throttled - n.admission.throttled; d > 0 {
		n.Log.Info().Uint64("requests", d).Msg("request: not sent, as servers refuse such requests")
	}
	n.admission = now
}
