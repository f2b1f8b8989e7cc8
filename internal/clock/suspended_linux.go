package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedSinceBoot returns the time for which the machine has been suspended since it was
// booted: the difference between CLOCK_BOOTTIME, which counts suspensions, and
// CLOCK_MONOTONIC, which does not. It returns false if the system does not provide them. The
// monotonic clock is read last, so that the result is never too large.
func suspendedSinceBoot() (time.Duration, bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
