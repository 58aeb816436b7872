package gtroute

import (
	"slices"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
)

// DrawVersion returns a copy of a query for all attempts of one request: they share
// the draw between the versions of a move.
func (rt *Router) DrawVersion(cfg *gtconfig.Config, q Query) Query {
	if m, ok := cfg.Move(q.service); ok {
		q.draw, q.drawn = rt.versionDraw(m, q.key), true
	}
	return q
}

// versions returns the versions to try, in order of preference. During a move, the
// share is the most that the new version gets: a request that is drawn for the old
// version goes to no other, and one that is drawn for the new version tries it once.
func (rt *Router) versions(cfg *gtconfig.Config, s gtconfig.Service, q Query) []string {
	m, ok := cfg.Move(s.Name())
	if !ok {
		return []string{s.Version()}
	}
	share := rt.MoveShare(m)
	if share >= 1 || rt.isForNewVersion(m, share, q) {
		return []string{m.To(), m.From()}
	}
	return []string{m.From()}
}

// isForNewVersion reports whether a request is drawn for the new version of a move
// and has not been tried there yet.
func (rt *Router) isForNewVersion(m gtconfig.Move, share float64, q Query) bool {
	if share <= 0 {
		return false
	}
	if !q.drawn {
		q.draw = rt.versionDraw(m, q.key)
	}
	return q.draw < share && !rt.hasTried(m.To(), q)
}

// hasTried reports whether a request has been tried on an instance of a version.
func (rt *Router) hasTried(version string, q Query) bool {
	if len(q.tried) == 0 {
		return false
	}
	for _, r := range rt.Instances(q.service) {
		if r.Version() == version && contains(q.tried, r.Instance()) {
			return true
		}
	}
	return false
}

// versionDraw returns a number in [0,1) that decides between the versions of a
// move. It is random for requests without a key. With one it is a hash of the key,
// so that resends go to the same version as long as the share is unchanged.
func (rt *Router) versionDraw(m gtconfig.Move, key string) float64 {
	if key == "" {
		return rt.Rand()
	}
	return float64(gtshard.Hash("version", m.ID(), key)>>11) / (1 << 53)
}

// moveTarget returns the version that the service is moving to, or "" if there is
// no move.
func moveTarget(cfg *gtconfig.Config, s gtconfig.Service) string {
	m, _ := cfg.Move(s.Name())
	return m.To()
}

// ofVersion returns the eligible instances of a version. An empty version means all, and
// gtconfig.OtherVersions all but those of target; both leave out versions that were rolled
// back, unless the service has no other.
func (rt *Router) ofVersion(buf *buffers, service, version, target string) refs {
	switch version {
	case "":
		return rt.withoutRolledBack(buf, buf.eligible, service, "")
	case gtconfig.OtherVersions:
		buf.version = buf.version[:0]
		for _, r := range buf.eligible {
			if r.Version() != target {
				buf.version = append(buf.version, r)
			}
		}
		return rt.withoutRolledBack(buf, buf.version, service, target)
	default:
		buf.version = buf.version[:0]
		for _, r := range buf.eligible {
			if r.Version() == version {
				buf.version = append(buf.version, r)
			}
		}
		return buf.version
	}
}

// withoutRolledBack returns the instances whose versions were not rolled back, or the
// whole list if the service has none but of the version target.
func (rt *Router) withoutRolledBack(buf *buffers, list refs, service, target string) refs {
	if rt.IsRolledBack == nil {
		return list
	}
	verdicts := verdicts{isRolledBack: rt.IsRolledBack, service: service}
	if !slices.ContainsFunc(list, func(r *gtmember.Record) bool { return verdicts.of(r.Version()) }) {
		return list
	}
	isOther := func(version string) bool { return version != target && !verdicts.of(version) }
	instances := rt.Instances(service)
	if !slices.ContainsFunc(instances, func(r gtmember.Record) bool { return isOther(r.Version()) }) {
		return list
	}
	kept := buf.version[:0] // each is written at or before the place it was read from
	for _, r := range list {
		if isOther(r.Version()) {
			kept = append(kept, r)
		}
	}
	buf.version = kept
	return kept
}

// verdicts tells which versions of a service were rolled back. It remembers the last
// version asked for, since most instances have the same.
type verdicts struct {
	isRolledBack  func(service, version string) bool
	service, last string
	known, result bool
}

func (v *verdicts) of(version string) bool {
	if !v.known || v.last != version {
		v.last, v.known, v.result = version, true, v.isRolledBack(v.service, version)
	}
	return v.result
}
