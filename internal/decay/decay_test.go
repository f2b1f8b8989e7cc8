package decay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFactor(t *testing.T) {
	assert.Equal(t, Factor(0, time.Second), 1.0)
	assert.Equal(t, Factor(-time.Hour, time.Second), 1.0)
	assert.Equal(t, Factor(2*time.Second, time.Second), math.Exp(-2))
	assert.Equal(t, Factor(time.Hour, time.Second), 0.0)
}

// Events at a steady rate are counted as that rate.
func TestRateOfSteadyEvents(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	assert.Assert(t, r.LastAt().IsZero())
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		r.Count(now, time.Second)
	}
	assert.Assert(t, math.Abs(r.PerSecond()-20) < 1, "%v a second", r.PerSecond())
	assert.Equal(t, r.LastAt(), now)
}
