package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallIsDetected(t *testing.T) {
	var s stallDetector
	at := 5 * time.Second
	for range 3 {
		_, stalled := s.since(at)
		assert.Assert(t, !stalled)
		assert.Equal(t, s.check(at), time.Duration(0))
		at += checkInterval + minStall/2 // late, as on a busy machine
	}
	resumed := at + time.Second
	since, stalled := s.since(resumed)
	assert.Assert(t, stalled, "before the first check after the stall")
	assert.Equal(t, since, time.Duration(0))
	assert.Equal(t, s.check(resumed), time.Second+minStall/2)
	since, stalled = s.since(resumed + time.Millisecond)
	assert.Assert(t, stalled)
	assert.Equal(t, since, time.Millisecond)
}
