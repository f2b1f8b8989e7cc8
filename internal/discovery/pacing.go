package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// pacingKey is the context key of the function that pauses work.
type pacingKey struct{}

// WithPacing returns a context for calls of a Source in which its work is paused by
// sleep, so that the rest of the process can run. Without pauses a table of 3,300 routes
// took a node with 0.16 of a core 0.9 s, during which it read no request and noticed no
// close of a caller's connection.
func WithPacing(ctx context.Context, sleep func(time.Duration)) context.Context {
	return context.WithValue(ctx, pacingKey{}, sleep)
}

// StartPacing marks the start of CPU-bound work in a call of a Source with this context.
// The Source calls pause after each unit of work, of some milliseconds at most; pause
// returns when the work may continue.
func StartPacing(ctx context.Context) (pause func()) {
	sleep, ok := ctx.Value(pacingKey{}).(func(time.Duration))
	if !ok {
		return func() {}
	}
	startedAt := clock.Now()
	return func() {
		sleep(pauseFor(clock.Since(startedAt)))
		startedAt = clock.Now()
	}
}

const (
	// minPause lets the runtime poll the network.
	minPause = 100 * time.Microsecond
	// maxPause keeps all pauses of a table of 1 MiB, some 26 units, under 0.4 s, a fifth
	// of the time within which it must be in force.
	maxPause = 15 * time.Millisecond
)

// pauseFor returns the pause after a unit of work: as long as the unit took, so that half
// of the processor is left.
func pauseFor(took time.Duration) time.Duration {
	return min(max(took, minPause), maxPause)
}
