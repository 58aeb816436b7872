package gtthrottle

import (
	"math"
	"slices"
	"strconv"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// senderMemory is the time constant of what each sender offers.
	senderMemory = 10 * time.Second
	// levelPeriod is the time between two computations of the fair level.
	levelPeriod = 200 * time.Millisecond
	// maxSenders is the number of senders that are counted by themselves. Further ones share
	// sharedSenders counts by the hash of their name.
	maxSenders    = 256
	sharedSenders = 64
	// minSenderShare is the part of the share of all requests that each sender keeps.
	minSenderShare = 0.25
	// maxCredit bounds what a sender saves up, in requests.
	maxCredit = 2
	// forgetBelow is the decayed number of requests below which a sender is forgotten.
	forgetBelow = 0.01
)

// sender is what a client account, or calling service, offers to one flow.
type sender struct {
	offered float64 // decaying
	credit  float64
}

// senders divides the requests that a node sends among their senders, so that one that
// offers more than its part has its own requests throttled, not those of others.
type senders struct {
	byName    map[string]*sender
	level     float64 // the offered requests up to which a sender is not throttled
	share     float64 // of all requests
	decayedAt time.Time
}

// admits counts a request of a sender and reports whether it is sent, where a share of all
// requests is.
func (s *senders) admits(name string, share float64, now time.Time) bool {
	if s.byName == nil {
		s.byName, s.decayedAt = map[string]*sender{}, now
	}
	if now.Sub(s.decayedAt) >= levelPeriod || (share < 1) != (s.share < 1) {
		s.update(share, now)
	}
	from := s.sender(name)
	from.offered++
	part := 1.0
	if share < 1 && from.offered > 0 {
		part = min(1, max(s.level/from.offered, minSenderShare*share))
	}
	if from.credit = min(maxCredit, from.credit+part); from.credit < 1 {
		return false
	}
	from.credit--
	return true
}

func (s *senders) sender(name string) *sender {
	if s.byName[name] == nil && len(s.byName) >= maxSenders {
		name = "# " + strconv.FormatUint(gtshard.Hash("sender", name)%sharedSenders, 10)
	}
	from := s.byName[name]
	if from == nil {
		from = &sender{credit: 1}
		s.byName[name] = from
	}
	return from
}

// update decays what was offered and computes the level: up to it, the senders' requests
// make up the share.
func (s *senders) update(share float64, now time.Time) {
	decay := math.Exp(-now.Sub(s.decayedAt).Seconds() / senderMemory.Seconds())
	s.decayedAt, s.share = now, share
	total := 0.0
	offered := make([]float64, 0, len(s.byName))
	for name, from := range s.byName {
		if from.offered *= decay; from.offered < forgetBelow {
			delete(s.byName, name)
			continue
		}
		total += from.offered
		offered = append(offered, from.offered)
	}
	if share >= 1 {
		return
	}
	slices.Sort(offered)
	rest := share * total
	for i, o := range offered {
		s.level = rest / float64(len(offered)-i)
		if o > s.level {
			return
		}
		rest -= o
	}
}
