package clock

import "time"

// minStall is how late a check of Watch must be to count as a stall of this process. On a
// busy machine checks are late by some tens of milliseconds.
const minStall = 200 * time.Millisecond

// stallDetector detects stalls of this process by checks that are made each checkInterval.
type stallDetector struct {
	lastCheck time.Time // zero before the first
}

// check returns how late it is if the process has stalled, and 0 otherwise.
func (s *stallDetector) check(now time.Time) time.Duration {
	last := s.lastCheck
	s.lastCheck = now
	late := now.Sub(last) - checkInterval
	if last.IsZero() || late < minStall {
		return 0
	}
	return late
}
