// Package clock tells a time that never goes back and counts the time for which the
// machine was suspended.
//
// Go's own clock counts neither: its steady reading (CLOCK_MONOTONIC) stands still while
// a machine is suspended, and the time of day is stepped. With the steady one alone a
// node that was suspended takes news that are older by that time for fresh and tells
// others so, and runs requests whose callers have left. Ages, deadlines and windows that
// may span a suspension are therefore reckoned in the times of this package. Timers,
// contexts and deadlines of connections follow the steady clock: Until and Steady
// convert.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/walldrift/walldrift/internal/periodic"
)

// suspended is the time that the steady clock has not counted, in nanoseconds: as the
// system tells, and added by Advance.
var suspended, added atomic.Int64

func uncountedYet() time.Duration { return time.Duration(suspended.Load() + added.Load()) }

// Now returns the time. Of two times the difference counts suspensions that were
// noticed between them.
func Now() time.Time { return time.Now().Add(uncountedYet()) }

// Since returns the time that has passed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time that is left until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Steady returns the time of the steady clock at which t, a time of this package, comes
// if no further suspension does.
func Steady(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-uncountedYet())
}

// WithDeadline is context.WithDeadline for a time of this package.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, Steady(at))
}

// Advance adds time that the steady clock has not counted, for tests without a
// suspension.
func Advance(d time.Duration) { added.Add(int64(d)) }

const (
	// watchEvery is how often a suspension is looked for. For so long after one, times
	// are still too young.
	watchEvery = 100 * time.Millisecond
	// leastSuspension is the shortest one that is noticed: longer than two looks at
	// clocks take.
	leastSuspension = 10 * time.Millisecond
)

// atStart is what the steady clock had not counted when the process started.
var atStart, known = uncounted()

// Watch notices suspensions of the machine until ctx ends, and tells of each. It does
// nothing on systems that do not tell.
func Watch(ctx context.Context, noticed func(time.Duration)) {
	if !known {
		return
	}
	last := atStart
	periodic.Run(ctx, watchEvery, func(time.Time) {
		now, ok := uncounted()
		if gap := now - last; ok && gap >= leastSuspension {
			last = now
			suspended.Store(int64(now - atStart))
			noticed(gap)
		}
	})
}
