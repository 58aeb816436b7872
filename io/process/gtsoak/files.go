package gtsoak

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gttimer"
)

const (
	// fileCheckPeriod is the period at which the open files of this process are counted.
	fileCheckPeriod = 250 * time.Millisecond
	// maxFileShare is the share of the limit from which a run ends: callers and stand-ins
	// without a file descriptor would fail in ways that look like faults of the nodes.
	maxFileShare = 0.9
)

// fileGuard watches the number of open files of this process. Its exported fields are set
// before use.
type fileGuard struct {
	// Limit is the largest number of open files.
	Limit int
	// Count returns the number of open files.
	Count func() (int, error)
	// OnLimit is called once, when the limit is nearly reached.
	OnLimit func(err error)

	mu      sync.Mutex
	peak    int
	reached bool
}

// run counts the open files until ctx ends.
func (g *fileGuard) run(ctx context.Context) {
	for {
		if n, err := g.Count(); err == nil {
			g.record(n)
		}
		if gttimer.Sleep(ctx, fileCheckPeriod) != nil {
			return
		}
	}
}

// record records a count of open files.
func (g *fileGuard) record(n int) {
	g.mu.Lock()
	g.peak = max(g.peak, n)
	g.mu.Unlock()
	if float64(n) >= maxFileShare*float64(g.Limit) {
		g.fail(n)
	}
}

// recordError records an error of a caller, which may be that no file can be opened.
func (g *fileGuard) recordError(err error) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		g.fail(g.Limit)
	}
}

// fail calls OnLimit the first time.
func (g *fileGuard) fail(n int) {
	g.mu.Lock()
	first := !g.reached
	g.reached = true
	g.mu.Unlock()
	if first {
		g.OnLimit(errorx.IllegalState.New("this process has %d of at most %d files open: the run proves nothing; use fewer sites", n, g.Limit))
	}
}

// peakFiles returns the largest number of open files that was counted.
func (g *fileGuard) peakFiles() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// fileLimit returns the largest number of files that this process may open.
func fileLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errorx.Decorate(err, "read the limit of open files")
	}
	return int(limit.Cur), nil
}

// countFiles returns the number of open files of this process.
func countFiles() (int, error) {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	return len(names), err
}
