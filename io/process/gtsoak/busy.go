package gtsoak

import (
	"os/exec"

	"github.com/joomcode/errorx"
)

// startBusy starts n processes that only compute, so that the nodes are short of processor
// time. The returned function ends them.
func startBusy(n int) (func(), error) {
	var started []*exec.Cmd
	stop := func() {
		for _, cmd := range started {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for range n {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		if err := cmd.Start(); err != nil {
			stop()
			return nil, errorx.Decorate(err, "start a process that only computes")
		}
		started = append(started, cmd)
	}
	return stop, nil
}
