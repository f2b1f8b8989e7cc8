package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Run calls work once per interval and returns once its context has ended.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		start, calls := time.Now(), 0
		Run(ctx, time.Second, func(now time.Time) {
			calls++
			assert.Equal(t, now.Sub(start), time.Duration(calls)*time.Second)
			if calls == 3 {
				stop()
			}
		})
		assert.Equal(t, calls, 3)
	})
}
