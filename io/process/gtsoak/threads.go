package gtsoak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// threads is what the kernel counts for the threads of a process: those that run or wait for
// a processor, those that sleep, and the time that all of them have run and waited for one.
type threads struct {
	runnable, sleeping int
	ran, waited        time.Duration
}

// threadsOf returns the counts of a process; what can't be read is left out.
func threadsOf(pid int) threads {
	var t threads
	dirs, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	for _, dir := range dirs {
		t.addState(dir)
		t.addTimes(dir)
	}
	return t
}

// addState adds the state of a thread, which follows its name in parentheses.
func (t *threads) addState(dir string) {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return
	}
	if _, state, ok := strings.Cut(string(stat), ") "); ok && strings.HasPrefix(state, "R") {
		t.runnable++
	} else {
		t.sleeping++
	}
}

// addTimes adds the times of a thread, in nanoseconds.
func (t *threads) addTimes(dir string) {
	stat, err := os.ReadFile(filepath.Join(dir, "schedstat"))
	if err != nil {
		return
	}
	if fields := strings.Fields(string(stat)); len(fields) >= 2 {
		ran, _ := strconv.ParseInt(fields[0], 10, 64)
		waited, _ := strconv.ParseInt(fields[1], 10, 64)
		t.ran, t.waited = t.ran+time.Duration(ran), t.waited+time.Duration(waited)
	}
}

// since describes the counts, with the times since earlier ones. Those of threads that have
// ended meanwhile are gone, as in a process that exits.
func (t threads) since(earlier threads) string {
	if t.waited < earlier.waited {
		return fmt.Sprintf("it exits, with %d threads left", t.runnable+t.sleeping)
	}
	return fmt.Sprintf("%d threads runnable, %d asleep, ran %s and waited %s for a processor meanwhile",
		t.runnable, t.sleeping, (t.ran - earlier.ran).Round(time.Millisecond), (t.waited - earlier.waited).Round(time.Millisecond))
}
