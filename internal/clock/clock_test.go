package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// suspend simulates a suspension of the machine and takes it back when the test ends.
func suspend(t *testing.T, d time.Duration) {
	SimulateSuspension(d)
	t.Cleanup(func() { SimulateSuspension(-d) })
}

func TestSuspensionIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := Now()
		expires := start.Add(5 * time.Second)
		time.Sleep(time.Second)
		suspend(t, 3*time.Second)
		assert.Equal(t, Since(start), 4*time.Second)
		assert.Equal(t, Until(expires), time.Second)
		monotonicStart := time.Now()
		ctx, cancel := WithDeadline(t.Context(), expires)
		defer cancel()
		<-ctx.Done()
		assert.Equal(t, time.Since(monotonicStart), time.Second)
		assert.Equal(t, ToMonotonic(expires), time.Now())
		assert.Assert(t, ToMonotonic(time.Time{}).IsZero())
	})
}

// Watch does not mistake a delay on a busy machine for a suspension.
func TestNoSuspensionDetected(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 5*checkInterval)
	defer stop()
	Watch(ctx, Events{OnSuspension: func(d time.Duration) { t.Errorf("suspended for %v", d) }, OnStall: func(time.Duration) {}})
}
