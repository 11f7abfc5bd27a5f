// Package monotonic provides a monotonic clock: the time since the machine booted. Changes of
// the wall clock do not affect it, and it continues while the machine is suspended.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a monotonic time. Only the difference between two readings is meaningful.
type Clock func() time.Duration

// Now is the Clock of the machine: it returns the time since boot.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call cannot fail: every kernel that Go supports has this clock.
		panic("monotonic: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
