//go:build !linux

package clock

import "time"

// uncounted is not known on this system.
func uncounted() (time.Duration, bool) { return 0, false }
