package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// moveRouter is a router for the service "s", which moves from version 1 to 2.
type moveRouter struct {
	*Router
	cfg       *gtconfig.Config
	instances []gtmember.Record
	share     float64
	picks     map[string]map[Reason]int
}

// newMoveRouter returns a router with the given numbers of ready instances of the
// versions 1 and 2.
func newMoveRouter(g *gomega.WithT, seed uint64, oldCount, newCount int) *moveRouter {
	m := &moveRouter{
		cfg: config(g, entry("move", "m", "service", "s"), entry("move", "m", "from", "1"),
			entry("move", "m", "to", "2"), entry("move", "m", "within", "20s")),
		picks: map[string]map[Reason]int{"1": {}, "2": {}},
	}
	for i := range oldCount + newCount {
		name, version := string(rune('a'+i)), "1"
		if i >= oldCount {
			version = "2"
		}
		m.instances = append(m.instances, gtmember.NewRecord(name, "z1", "", "").WithBackend("s", version, 10).WithState(gtmember.Ready))
	}
	m.Router = &Router{
		Now: func() time.Time { return time.Unix(1000, 0) }, Rand: rand.New(rand.NewPCG(seed, 8)).Float64, Zone: "z1",
		Instances: func(string) []gtmember.Record { return m.instances }, MoveShare: func(gtconfig.Move) float64 { return m.share },
		OnMovePick: func(_, version string, reason Reason) { m.picks[version][reason]++ },
	}
	return m
}

// setState sets the state of the instance with the given index.
func (m *moveRouter) setState(i int, s gtmember.State) { m.instances[i] = m.instances[i].WithState(s) }

// The counts by version and reason tell a share that is too large from requests that go
// to a version although another one was drawn for them.
func TestPicksAreCountedByReason(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 1, 1, 1)
	m.share = 0.5
	for range 400 {
		to, err := m.Pick(m.cfg, NewQuery("s"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		m.Begin(to.Instance())
		m.End(to.Instance(), "r", gtkind.None, Load{})
	}
	g.Expect(m.picks["1"][Drawn]).To(gomega.BeNumerically("~", 200, 50))
	g.Expect(m.picks["2"][Drawn]).To(gomega.Equal(400 - m.picks["1"][Drawn]))
	m.setState(1, gtmember.Leaving)
	before := m.picks["1"][Drawn]
	for range 400 {
		_, err := m.Pick(m.cfg, NewQuery("s"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(m.picks["1"][Fallback]).To(gomega.Equal(400 - (m.picks["1"][Drawn] - before)))
	m.setState(1, gtmember.Ready)
	_, err := m.Pick(m.cfg, NewQuery("s").WithTried([]string{"b"}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.picks["1"][Retry]).To(gomega.Equal(1))
}

const (
	// maxExposure and exposureSlack bound what a version on trial gets: this share of
	// the requests that reach its service, and so many more.
	maxExposure   = 0.1
	exposureSlack = 50
)

// stopOldServers simulates requests during stops of the three instances of version 1.
// Each is away for the given number of steps, and the next stop begins period steps after
// the last. It returns the numbers of requests that reached version 1 and version 2, and
// of those that were refused.
func stopOldServers(g *gomega.WithT, seed uint64, share float64, period, away int) (oldCount, newCount, refused int) {
	const steps, requestsPerStep = 100, 20
	m := newMoveRouter(g, seed, 3, 3)
	m.share = share
	for step := range steps {
		for i := range 3 {
			state := gtmember.Ready
			if (step+(3-i)*period)%(3*period) < away {
				state = gtmember.Leaving
			}
			m.setState(i, state)
		}
		for range requestsPerStep {
			to, err := m.Pick(m.cfg, NewQuery("s"))
			switch {
			case err != nil:
				refused++
			case to.Version() == "2":
				newCount++
			default:
				oldCount++
			}
		}
	}
	return oldCount, newCount, refused
}

// While servers of the old version stop in turn and there are moments without one, the
// new version must not get more than its share: it may be a bad one.
func TestStopsOfOldServersDoNotExposeNewVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, away := range []int{5, 10, 12} {
		worst, refusals := 0, 0
		for seed := range uint64(50) {
			oldCount, newCount, refused := stopOldServers(g, seed, 0.05, 5, away)
			g.Expect(float64(newCount)).To(gomega.BeNumerically("<=", maxExposure*float64(oldCount+newCount)+exposureSlack), "seed %d, away for %d steps", seed, away)
			worst, refusals = max(worst, newCount), max(refusals, refused)
		}
		t.Logf("away for %d steps: at most %d of 2000 requests reached the new version, %d were refused", away, worst, refusals)
	}
}

// A request that is drawn for the old version must not go to the new one when attempts
// fail, however many, and one that fails at the new version must not try it again.
func TestRetriesDoNotExposeNewVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 3, 2, 2)
	m.share = 0.05
	for range 2000 {
		q := m.DrawVersion(m.cfg, NewQuery("s"))
		var tried, versions []string
		for range 4 {
			to, err := m.Pick(m.cfg, q.WithTried(tried))
			if err != nil {
				break
			}
			tried, versions = append(tried, to.Instance()), append(versions, to.Version())
		}
		g.Expect(versions).To(gomega.Or(gomega.Equal([]string{"1", "1"}), gomega.Equal([]string{"2", "1", "1"})))
	}
}

// Over few requests, spread over many nodes that restart meanwhile, the new version gets
// its share and no more.
func TestShareHoldsOverFewRequestsOfManyNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	const nodes, requestsPerNode, restarts, share = 12, 30, 3, 0.05
	worst := 0
	for seed := range uint64(200) {
		exposed := 0
		for i := range uint64(nodes * restarts) {
			m := newMoveRouter(g, seed*1000+i, 2, 2)
			m.share = share
			for range requestsPerNode / restarts {
				if to, err := m.Pick(m.cfg, NewQuery("s")); err == nil && to.Version() == "2" {
					exposed++
				}
			}
		}
		worst = max(worst, exposed)
	}
	t.Logf("at most %d of %d requests", worst, nodes*requestsPerNode)
	g.Expect(worst).To(gomega.BeNumerically("<=", maxExposure*nodes*requestsPerNode+exposureSlack))
}

// An attempt must not be given up for another one if only servers of the new version are
// left for it.
func TestNoOtherInstanceIsLeftWithoutOldVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 4, 2, 2)
	q := m.DrawVersion(m.cfg, NewQuery("s"))
	m.share = q.draw
	g.Expect(m.CanPick(m.cfg, q.WithTried([]string{"a"}))).To(gomega.BeTrue())
	g.Expect(m.CanPick(m.cfg, q.WithTried([]string{"a", "b"}))).To(gomega.BeFalse())
	m.share = 1
	g.Expect(m.CanPick(m.cfg, q.WithTried([]string{"a", "b"}))).To(gomega.BeTrue())
}

// While the servers of the new version are full or unreachable, requests that are drawn
// for it must go to the old one.
func TestUnreachableNewVersionTurnsNoRequestAway(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 5, 1, 1)
	m.share = 0.5
	m.Begin("b")
	m.End("b", "r", gtkind.Unresponsive, Load{})
	m.Begin("b")
	for range 200 {
		to, err := m.Pick(m.cfg, NewQuery("s"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(to.Instance()).To(gomega.Equal("a"))
	}
}

// A version that was rolled back must get nothing from a service that names no version, or
// as one of the others of a move, unless it is the only one.
func TestRolledBackVersionIsNoneOfTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 6, 2, 2)
	m.IsRolledBack = func(service, version string) bool { return service == "s" && version == "2" }
	noMove := config(g)
	toThird := config(g, entry("move", "m", "service", "s"), entry("move", "m", "from", gtconfig.OtherVersions),
		entry("move", "m", "to", "3"), entry("move", "m", "within", "20s"))
	for _, cfg := range []*gtconfig.Config{noMove, toThird} {
		for range 100 {
			to, err := m.Pick(cfg, NewQuery("s"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(to.Version()).To(gomega.Equal("1"))
		}
		_, err := m.Pick(cfg, NewQuery("s").WithTried([]string{"a", "b"}))
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.NoBackend))
	}
	m.setState(0, gtmember.Leaving)
	m.setState(1, gtmember.Suspect)
	_, err := m.Pick(noMove, NewQuery("s"))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.NoBackend), "the old servers may come back")
	m.instances = m.instances[2:]
	for _, cfg := range []*gtconfig.Config{noMove, toThird} {
		to, err := m.Pick(cfg, NewQuery("s"))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "it is the only version")
		g.Expect(to.Version()).To(gomega.Equal("2"))
	}
}

// A request that falls back from the new version to the old one must get an instance of the
// old one, also if both have as many instances: the lists of one choice share their memory.
func TestFallbackGoesToTheOtherVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMoveRouter(g, 1, 3, 3)
	m.share = 1
	for i := 3; i < 6; i++ {
		m.Begin(m.instances[i].Instance())
		m.End(m.instances[i].Instance(), "r", gtkind.Refused, Load{})
		m.Begin(m.instances[i].Instance()) // probes it, so that the new version refuses others
	}
	for range 20 {
		to, err := m.Pick(m.cfg, NewQuery("s"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(to.Version()).To(gomega.Equal("1"))
	}
}
