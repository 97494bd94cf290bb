// Package clock reads the clock that lease durations are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted. Unlike Go's monotonic clock, it includes the time for
// which the host was suspended: a lease that expired during a suspend must not appear valid after
// the resume.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
