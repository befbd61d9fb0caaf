// Package boottime reads the clock that includes the time for which the process or its
// host was suspended. Go's monotonic clock stops meanwhile, and the wall clock may be
// set.
package boottime

import (
	"golang.org/x/sys/unix"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Now returns the time since the host was started. It panics if the clock cannot be
// read: any other clock would make a lapsed lease or an old configuration valid.
func Now() fleet.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return fleet.Instant(ts.Nano())
}
