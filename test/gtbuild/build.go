// Package gtbuild builds the programs for tests that run them as processes.
//
// # Usage
//
//	dir := t.TempDir()
//	if err := gtbuild.Programs(dir); err != nil { ... }
package gtbuild

import (
	"os/exec"

	"github.com/joomcode/errorx"
)

// Programs builds godwittide and godwitstand into the folder dir. The error
// contains the output of the build.
func Programs(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir, "godwittide/cmd/godwittide", "godwittide/cmd/godwitstand").CombinedOutput()
	if err != nil {
		return errorx.Decorate(err, "build the programs: %s", out)
	}
	return nil
}
