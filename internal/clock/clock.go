// Package clock provides a time that never goes back and that includes the time for which
// the machine was suspended.
//
// Go's clocks offer only one of the two: the monotonic clock (CLOCK_MONOTONIC) stands still
// while the machine is suspended, and the wall clock can be stepped. By the monotonic clock
// alone, a node that was suspended underestimates the staleness of its state by the length
// of the suspension, reports the wrong value to its peers, and runs requests whose callers
// have disconnected. Ages, deadlines and windows that may span a suspension are therefore
// computed with the times of this package. Timers, contexts and connection deadlines follow
// the monotonic clock; Until and ToMonotonic convert to it.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/periodic"
)

// suspended and advanced are the parts of the time that the monotonic clock has not counted,
// in nanoseconds: as reported by the system, and added by SimulateSuspension.
var suspended, advanced atomic.Int64

// suspendedTime returns the time that the monotonic clock has not counted since the process
// started.
func suspendedTime() time.Duration { return time.Duration(suspended.Load() + advanced.Load()) }

// Now returns the current time. The difference of two times includes the suspensions that
// Watch detected between them.
func Now() time.Time { return time.Now().Add(suspendedTime()) }

// Since returns the time elapsed since t, which must come from this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, which must come from this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToMonotonic converts t, which must come from this package, to the time of the monotonic clock at
// which t is reached if the machine is not suspended again. The zero time stays zero.
func ToMonotonic(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-suspendedTime())
}

// WithDeadline is context.WithDeadline for a deadline that comes from this package. A later
// suspension does not bring the end of the context forward.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, ToMonotonic(at))
}

// SimulateSuspension simulates a suspension of length d, for tests. A negative d takes one back.
func SimulateSuspension(d time.Duration) { advanced.Add(int64(d)) }

const (
	// checkInterval is the interval at which Watch checks for suspensions and stalls. For up
	// to this long after a suspension, Now does not include it yet.
	checkInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. It is longer than two
	// readings of the clocks take, so that a delay between them is not mistaken for one.
	minSuspension = 10 * time.Millisecond
)

// suspendedAtStart is the time for which the machine had been suspended when the process
// started; supported says whether the system reports it.
var suspendedAtStart, supported = suspendedSinceBoot()

// Events holds the callbacks of Watch. Each gets the length of what was detected.
type Events struct {
	OnSuspension func(time.Duration) // of the machine, on systems that report them
	OnStall      func(time.Duration) // of this process: it got no processor time
}

// Watch detects suspensions of the machine and stalls of this process until ctx ends.
func Watch(ctx context.Context, events Events) {
	last := suspendedAtStart
	var stalls stallDetector
	periodic.Run(ctx, checkInterval, func(time.Time) {
		if stalled := stalls.check(time.Now()); stalled > 0 {
			events.OnStall(stalled)
		}
		if !supported {
			return
		}
		total, ok := suspendedSinceBoot()
		if gap := total - last; ok && gap >= minSuspension {
			last = total
			suspended.Store(int64(total - suspendedAtStart))
			events.OnSuspension(gap)
		}
	})
}
