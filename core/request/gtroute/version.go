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

// ofVersion returns the instances of a version. An empty version means all, and
// gtconfig.OtherVersions all but those of target; both leave out versions that were rolled
// back, unless the service has no other.
func (rt *Router) ofVersion(list []gtmember.Record, service, version, target string) []gtmember.Record {
	switch version {
	case "":
		return rt.withoutRolledBack(list, service, "")
	case gtconfig.OtherVersions:
		return rt.withoutRolledBack(filter(list, func(r gtmember.Record) bool { return r.Version() != target }), service, target)
	default:
		return filter(list, func(r gtmember.Record) bool { return r.Version() == version })
	}
}

// withoutRolledBack returns the instances whose versions were not rolled back, or the
// whole list if the service has none but of the version target.
func (rt *Router) withoutRolledBack(list []gtmember.Record, service, target string) []gtmember.Record {
	if rt.IsRolledBack == nil {
		return list
	}
	verdicts := map[string]bool{}
	isRolledBack := func(r gtmember.Record) bool {
		verdict, ok := verdicts[r.Version()]
		if !ok {
			verdict = rt.IsRolledBack(service, r.Version())
			verdicts[r.Version()] = verdict
		}
		return verdict
	}
	if !slices.ContainsFunc(list, isRolledBack) {
		return list
	}
	isOther := func(r gtmember.Record) bool { return r.Version() != target && !isRolledBack(r) }
	if !slices.ContainsFunc(rt.Instances(service), isOther) {
		return list
	}
	return filter(list, isOther)
}

// filter returns the records for which keep returns true.
func filter(list []gtmember.Record, keep func(r gtmember.Record) bool) []gtmember.Record {
	var out []gtmember.Record
	for _, r := range list {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}
