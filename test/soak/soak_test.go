// Package soak checks that the soak test finds violated guarantees in nodes with
// a planted fault, and none in nodes without.
package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/process/gtsoak"
	"godwittide/test/gtbuild"
)

const (
	// sites and faultTime are small to keep the runs in CI short.
	sites     = 4
	faultTime = 6 * time.Second
)

// programDir is the folder of the programs that TestMain builds.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		println(err.Error())
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := gtbuild.Programs(dir); err != nil {
		println(err.Error())
		return 1
	}
	programDir = dir
	return m.Run()
}

// runSoak runs a soak test of nodes that are started by nodeCommand, whose first
// word is the name of a program in programDir.
func runSoak(t *testing.T, seed uint64, nodeCommand ...string) gtsoak.Report {
	t.Helper()
	return runPlanned(t, &gtsoak.Soak{Seed: seed, FaultTime: faultTime, Sites: sites}, nodeCommand...)
}

// runPlanned is like runSoak for a soak test whose nodes and folder are not set yet.
func runPlanned(t *testing.T, soak *gtsoak.Soak, nodeCommand ...string) gtsoak.Report {
	t.Helper()
	nodeCommand[0] = filepath.Join(programDir, nodeCommand[0])
	soak.NodeCommand, soak.Dir = nodeCommand, t.TempDir()
	report, err := soak.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", report)
	return report
}

// TestRandomFaultsBreakNoGuarantee runs random faults with seeds that have found
// failures before.
func TestRandomFaultsBreakNoGuarantee(t *testing.T) {
	for _, seed := range []uint64{
		1, // SIGHUP ended the node
		3, // a stopping node closed a connection on which a request had arrived
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			report := runSoak(t, seed, "godwittide", "node")
			gomega.NewWithT(t).Expect(report.Violations).To(gomega.BeEmpty())
		})
	}
}

// TestPlannedStopsBreakOffNoRequest stops nodes in turn, overlapping, under requests that
// take nearly as long as their timeout: POSTs were answered 502 "silent" while they ran,
// and what a node took late in its stop was cut off.
func TestPlannedStopsBreakOffNoRequest(t *testing.T) {
	t.Parallel()
	report := runPlanned(t, &gtsoak.Soak{Seed: 1, FaultTime: 2 * faultTime, Sites: 2 * sites, Stops: true, Busy: 2}, "godwittide", "node")
	gomega.NewWithT(t).Expect(report.Violations).To(gomega.BeEmpty())
}

// TestPausesBreakOffNoRequest pauses nodes in their stops and beside them, as if they were
// short of processor time.
func TestPausesBreakOffNoRequest(t *testing.T) {
	t.Parallel()
	report := runPlanned(t, &gtsoak.Soak{Seed: 1, FaultTime: 2 * faultTime, Sites: 2 * sites, Stops: true, Pauses: true}, "godwittide", "node")
	gomega.NewWithT(t).Expect(report.Violations).To(gomega.BeEmpty())
}

// TestHolderOfADutyIsKilledAndPaused kills and pauses the holder of the duty to report usage:
// no window is reported with two counts, and those without a kill have the right ones.
func TestHolderOfADutyIsKilledAndPaused(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	report := runPlanned(t, &gtsoak.Soak{Seed: 1, FaultTime: 5 * faultTime, Sites: sites, Duties: true}, "godwittide", "node")
	g.Expect(report.Violations).To(gomega.BeEmpty())
	g.Expect(report.Windows).To(gomega.BeNumerically(">", 0))
}

// A run that met the limit of open files of its own process reported hundreds of violations
// that were its own: callers and stand-ins could open no connection.
func TestRunAtItsFileLimitFailsAndReportsNoViolations(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	soak := &gtsoak.Soak{Seed: 1, FaultTime: faultTime, Sites: sites, MaxFiles: 60, NodeCommand: []string{filepath.Join(programDir, "godwittide"), "node"}, Dir: t.TempDir()}
	report, err := soak.Run(t.Context())
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("files open")))
	g.Expect(report.Violations).To(gomega.BeEmpty())
}

// TestPlantedFaultsAreDetected checks that the soak test detects each fault that
// godwitstand plant puts into a node.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for _, fault := range []struct {
		name, finding string
		seed          uint64
	}{
		{"lie", "its response says that it did not", 33}, // backend servers truncate responses
		{"twice", "ran 2 times", 1},
		{"mix", "got a mismatched response", 1},
		{"leave", "was cut off", 20}, // nodes restart one after the other, with few other faults
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			report := runSoak(t, fault.seed, "godwitstand", "plant", fault.name)
			gomega.NewWithT(t).Expect(report.Violations).To(gomega.ContainElement(gomega.ContainSubstring(fault.finding)))
		})
	}
}
