package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// suspend stands in for a suspension of the machine, until the test ends.
func suspend(t *testing.T, d time.Duration) {
	Advance(d)
	t.Cleanup(func() { Advance(-d) })
}

func TestSuspensionIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := Now()
		expires := began.Add(5 * time.Second)
		time.Sleep(time.Second)
		suspend(t, 3*time.Second)
		assert.Equal(t, Since(began), 4*time.Second)
		assert.Equal(t, Until(expires), time.Second)
		steady := time.Now()
		ctx, cancel := WithDeadline(t.Context(), expires)
		defer cancel()
		<-ctx.Done()
		assert.Equal(t, time.Since(steady), time.Second)
		assert.Equal(t, Steady(expires), time.Now())
		assert.Assert(t, Steady(time.Time{}).IsZero())
	})
}

// A machine that is not suspended is not taken for one, however busy it is.
func TestNoSuspension(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 5*watchEvery)
	defer stop()
	Watch(ctx, func(d time.Duration) { t.Errorf("suspended for %v", d) })
}
