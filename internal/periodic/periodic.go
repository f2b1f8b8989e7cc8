// Package periodic runs background work at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls work with the current time every interval until ctx ends. The first call is one
// interval after the start. Intervals that pass during a slow call are not made up for.
func Run(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work(now)
		}
	}
}
