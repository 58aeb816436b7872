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
