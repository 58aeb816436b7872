package gtnode

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/version/gtfolder"
)

// newVersionNode returns a node beside a backend server of the given version, with a
// configuration that has the text of a move.
func newVersionNode(g *gomega.WithT, version, move string) *Node {
	now := time.Now
	n := &Node{table: &gtmember.Table{Now: now}, holder: &gtdelta.Holder{Now: now}, moves: &gtmove.Table{Now: now}}
	n.table.SetSelf(gtmember.NewRecord("i", "z", "", "").WithBackend("s", version, 1))
	files := map[string]string{"10.toml": "[service.s]\nversion = \"1\"\n" + move}
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	g.Expect(problems).To(gomega.BeEmpty())
	n.holder.Offer(gtdelta.NewSnapshot(1, 1, files), cfg)
	return n
}

const (
	moveForth = "[move.m]\nservice = \"s\"\nfrom = \"1\"\nto = \"2\"\nwithin = \"20s\"\n"
	moveBack  = "[move.m]\nservice = \"s\"\nfrom = \"2\"\nto = \"1\"\nwithin = \"20s\"\n"
	idForth   = "m.s.1.2"
)

func moveState(phase gtmove.Phase, share float64) gtmove.State {
	return gtmove.NewState(idForth, 3, phase, share, "", time.Time{}, time.Time{}, time.Time{})
}

// A node that knows that the version beside it is halted or rolled back must not run
// what other nodes still send to it, and must run everything else.
func TestWithdrawnVersionRunsNothing(t *testing.T) {
	running, rolledBack, done := moveState(gtmove.Running, 0.1), moveState(gtmove.RolledBack, 0), moveState(gtmove.Done, 1)
	halt := gtmove.NewHalt(idForth, "j", "faults")
	for name, test := range map[string]struct {
		version, move string
		state         *gtmove.State
		halted        bool
		want          gtkind.Kind
	}{
		"on trial":                          {"2", moveForth, &running, false, gtkind.None},
		"rolled back":                       {"2", moveForth, &rolledBack, false, gtkind.Leaving},
		"halted":                            {"2", moveForth, &running, true, gtkind.Leaving},
		"halted, state not heard yet":       {"2", moveForth, nil, true, gtkind.Leaving},
		"the old version of a halted move":  {"1", moveForth, &running, true, gtkind.None},
		"state not heard yet":               {"2", moveForth, nil, false, gtkind.None},
		"done, with a halt that was late":   {"2", moveForth, &done, true, gtkind.None},
		"move removed after its rollback":   {"2", "", &rolledBack, true, gtkind.None},
		"move reversed after its rollback":  {"2", moveBack, &rolledBack, true, gtkind.None},
		"new version of the reversed move":  {"1", moveBack, &rolledBack, true, gtkind.None},
		"third version beside a rolled one": {"3", moveForth, &rolledBack, true, gtkind.None},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newVersionNode(g, test.version, test.move)
			if test.halted {
				n.moves.AddHalt(halt)
			}
			if test.state != nil {
				n.moves.Merge(*test.state)
			}
			g.Expect(gtkind.Of(n.checkVersion(gtcall.New("c", "GET", "/")))).To(gomega.Equal(test.want))
		})
	}
}

// A request that was drawn for the old version must not run on a backend server that has
// the new version since, and one that may run on either must.
func TestRequestForOldVersionDoesNotRunOnNewOne(t *testing.T) {
	running, all := moveState(gtmove.Running, 0.1), moveState(gtmove.Watching, 1)
	for name, test := range map[string]struct {
		version, picked, move string
		state                 gtmove.State
		want                  gtkind.Kind
	}{
		"meant for the old version":       {"2", "1", moveForth, running, gtkind.Refused},
		"meant for the new version":       {"2", "2", moveForth, running, gtkind.None},
		"from a peer that tells nothing":  {"2", "", moveForth, running, gtkind.None},
		"the new version has all":         {"2", "1", moveForth, all, gtkind.None},
		"old server, meant for a new one": {"1", "2", moveForth, running, gtkind.None},
		"no move":                         {"2", "1", "", running, gtkind.None},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newVersionNode(g, test.version, test.move)
			n.moves.Merge(test.state)
			g.Expect(gtkind.Of(n.checkVersion(gtcall.New("c", "GET", "/").WithVersion(test.picked)))).To(gomega.Equal(test.want))
		})
	}
}
