package clock

import (
	"sync/atomic"
	"time"
)

// minStall is how late a check of Watch must be to count as a stall of this process. On a
// busy machine checks are late by some tens of milliseconds.
const minStall = 200 * time.Millisecond

// processStart is the origin of the times of stalls.
var processStart = time.Now()

// stalls is the detector that Watch drives.
var stalls stallDetector

// SinceStall returns how long ago this process resumed after it had got no processor time;
// false if it has not stalled since it started, or if Watch does not run.
func SinceStall() (time.Duration, bool) { return stalls.since(time.Since(processStart)) }

// stallDetector detects stalls by checks that are made at regular intervals. Its times count
// from the start of the process.
type stallDetector struct {
	lastCheck atomic.Int64 // nanoseconds; 0 before the first
	resumed   atomic.Int64 // nanoseconds; 0 if there was no stall
}

// check is called each checkInterval. It returns how late it is if the process has stalled,
// and 0 otherwise.
func (s *stallDetector) check(now time.Duration) time.Duration {
	last := time.Duration(s.lastCheck.Swap(int64(now)))
	late := now - last - checkInterval
	if last == 0 || late < minStall {
		return 0
	}
	s.resumed.Store(int64(now))
	return late
}

// since returns the time since the last stall. A check that is overdue shows a stall that
// has just ended, as the goroutine that checks may not have run yet.
func (s *stallDetector) since(now time.Duration) (time.Duration, bool) {
	last := time.Duration(s.lastCheck.Load())
	if last != 0 && now-last-checkInterval >= minStall {
		return 0, true
	}
	resumed := time.Duration(s.resumed.Load())
	return now - resumed, resumed != 0
}
