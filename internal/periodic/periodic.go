// Package periodic runs background work at regular times.
package periodic

import (
	"context"
	"time"
)

// Run calls work every interval, with the time, until ctx ends.
func Run(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			work(now)
		}
	}
}
