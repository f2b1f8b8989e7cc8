package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// uncounted returns by how much the clock that counts suspensions is ahead of the steady
// one; false if the system does not tell. It is never too much, as the steady clock is
// read last.
func uncounted() (time.Duration, bool) {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
