package gtcanary

// standbyInterval is the number of reports to the first-ranked driver per report to
// the others.
const standbyInterval = 4

// ReportSchedule decides in each round which drivers of a move get a report. The
// first-ranked one is sent every change of the counts, the others, which act only
// after a delay, one in standbyInterval rounds. Each driver gets the last counts.
type ReportSchedule struct {
	round int
	sent  map[string]Report
}

// Due returns those of the drivers, which are ordered by rank, that are to be sent
// the report in this round.
func (s *ReportSchedule) Due(drivers []string, r Report) []string {
	s.round++
	if s.round%standbyInterval != 0 {
		drivers = drivers[:min(1, len(drivers))]
	}
	var due []string
	for _, d := range drivers {
		if s.IsNew(d, r) {
			due = append(due, d)
		}
	}
	return due
}

// IsNew reports whether the report has counts that the driver has not been sent.
func (s *ReportSchedule) IsNew(driver string, r Report) bool {
	last, ok := s.sent[driver]
	return r.Total() > 0 && (!ok || r.isNewerThan(last))
}

// Sent records that a driver was sent the report. Without it the driver is due
// again in its next round.
func (s *ReportSchedule) Sent(driver string, r Report) {
	if s.sent == nil {
		s.sent = map[string]Report{}
	}
	s.sent[driver] = r
}

// Keep forgets all drivers but the given ones.
func (s *ReportSchedule) Keep(drivers []string) {
	kept := make(map[string]Report, len(drivers))
	for _, d := range drivers {
		if r, ok := s.sent[d]; ok {
			kept[d] = r
		}
	}
	s.sent = kept
}
