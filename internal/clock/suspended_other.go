//go:build !linux

package clock

import "time"

// suspendedSinceBoot returns false: this system does not report suspensions.
func suspendedSinceBoot() (time.Duration, bool) { return 0, false }
