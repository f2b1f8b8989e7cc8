package discovery

import (
	"context"
	"time"
)

// arrivalKey marks the function of a context that is told of arrivals.
type arrivalKey struct{}

// WithArrivals returns a context for a call of a Source, with a function that is
// called whenever a part of the answer comes.
func WithArrivals(ctx context.Context, arrived func()) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arrived)
}

// Arrived tells that a part of the answer to the call of a Source with this context
// has come. A Source calls it, so that an answer which takes long to come, as a
// large table behind a full link does, is not taken for one that is lost.
func Arrived(ctx context.Context) {
	if arrived, ok := ctx.Value(arrivalKey{}).(func()); ok {
		arrived()
	}
}

// arrived notes that a part of the answer has come. It may run beside all else.
func (c *storeCall) arrived() {
	now := time.Now()
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
