package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// pausesKey marks the function of a context that pauses work.
type pausesKey struct{}

// WithPacing returns a context for calls of a Source in which its work is paused by
// sleep, so that the rest of the process runs: a table of 3,300 routes took a node
// with 0.16 of a core for 0.9 s, in which no request and no caller's close was read.
func WithPacing(ctx context.Context, sleep func(time.Duration)) context.Context {
	return context.WithValue(ctx, pausesKey{}, sleep)
}

// StartPacing tells that a Source begins to work in a call with this context. done is to
// be called after each unit of the work, some milliseconds at the most; it returns
// when the work may go on.
func StartPacing(ctx context.Context) (done func()) {
	sleep, ok := ctx.Value(pausesKey{}).(func(time.Duration))
	if !ok {
		return func() {}
	}
	began := clock.Now()
	return func() {
		sleep(pauseAfter(clock.Since(began)))
		began = clock.Now()
	}
}

const (
	// shortestPause lets the runtime look for what came over the network.
	shortestPause = 100 * time.Microsecond
	// longestPause keeps all pauses of a table of 1 MiB, some 26 units, under 0.4 s,
	// a fifth of the time in which it must be in force.
	longestPause = 15 * time.Millisecond
)

// pauseAfter returns the pause after a unit of work: as long as that took, so that
// half of the processor is left.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(took, shortestPause), longestPause)
}
