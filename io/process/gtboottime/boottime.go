// Package gtboottime reads the clock of the machine that counts its suspension.
package gtboottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine has started, including the time for which it
// was suspended (CLOCK_BOOTTIME). Steps of the time of day don't change it. It panics if
// the kernel has no such clock: a clock that stands still while the machine is
// suspended would let revoked keys pass.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
