package discovery

import (
	"context"
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// arrivalKey marks the function of a context that is told of arrivals.
type arrivalKey struct{}

// WithProgress returns a context for a call of a Source, with a function that is
// called with the length of each part of the answer that comes.
func WithProgress(ctx context.Context, arrived func(bytes int)) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arrived)
}

// ReportProgress tells that so many bytes of the answer to the call of a Source with this
// context have come. A Source calls it, so that an answer which takes long to come, as a
// large table behind a full link does, is not taken for one that is lost.
func ReportProgress(ctx context.Context, bytes int) {
	if arrived, ok := ctx.Value(arrivalKey{}).(func(int)); ok {
		arrived(bytes)
	}
}

// leastPart is how much of an answer has to come, in bytes, for the call not to be
// overdue: in Config.CallOverdue of 0.3 s it is 1.7 Mbit/s, a sixth of the slowest link
// known. Any less, an answer that trickles kept a node from its next call until it was
// given up, and a leaving unknown for over 2 s.
const leastPart = 64 << 10

// arrived notes that a part of the answer has come. It runs in the goroutine of the
// call, beside all else.
func (c *storeCall) arrived(bytes int) {
	c.unnoted += bytes
	if c.unnoted < leastPart {
		return
	}
	c.unnoted = 0
	now := clock.Now()
	c.heard.Store(&now)
}

// due returns when the answer is due: when it is expected, or now, in effect, while
// it comes.
func (c *storeCall) due() time.Time {
	due := c.began.Add(c.expected)
	if at := c.heard.Load(); at != nil {
		due = later(due, *at)
	}
	return due
}
