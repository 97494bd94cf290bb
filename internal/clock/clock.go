// Package clock reads the clock that leases are counted on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start. Unlike Go's monotonic clock it
// also counts time for which the host was suspended: a lease that ran out
// meanwhile must not look valid at the wake-up.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
