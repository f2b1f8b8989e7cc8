package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// progressKey is the context key of the function that is called on progress.
type progressKey struct{}

// WithProgress returns a context for a call of a Source. onProgress is called with the
// length of each part of the response that arrives.
func WithProgress(ctx context.Context, onProgress func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// ReportProgress reports that the given number of bytes of a response has arrived. A
// Source calls it, so that a response that takes long to transfer, such as a large table
// over a saturated link, is not mistaken for a lost one.
func ReportProgress(ctx context.Context, bytes int) {
	if onProgress, ok := ctx.Value(progressKey{}).(func(int)); ok {
		onProgress(bytes)
	}
}

// minProgressBytes is how many bytes of a response have to arrive for the call not to be
// overdue: within Config.HedgeDelay of 0.3 s that is 1.7 Mbit/s, a sixth of the slowest
// known link. If fewer counted as progress, a trickling response would keep a node from
// its next call until the timeout, and the leaving of an upstream would stay unknown for
// over 2 s.
const minProgressBytes = 64 << 10

// recordProgress records that a part of the response has arrived. It runs in the
// goroutine of the call, concurrently with everything else.
func (c *storeCall) recordProgress(bytes int) {
	c.unrecordedBytes += bytes
	if c.unrecordedBytes < minProgressBytes {
		return
	}
	c.unrecordedBytes = 0
	now := clock.Now()
	c.lastProgress.Store(&now)
}

// due returns when the response is due: at the expected time, or at the last progress if
// that is later.
func (c *storeCall) due() time.Time {
	due := c.startedAt.Add(c.expected)
	if at := c.lastProgress.Load(); at != nil {
		due = laterOf(due, *at)
	}
	return due
}
