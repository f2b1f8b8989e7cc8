package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		began, calls := time.Now(), 0
		Run(ctx, time.Second, func(now time.Time) {
			calls++
			assert.Equal(t, now.Sub(began), time.Duration(calls)*time.Second)
			if calls == 3 {
				stop()
			}
		})
		assert.Equal(t, calls, 3)
	})
}
