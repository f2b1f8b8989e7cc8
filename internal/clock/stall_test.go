package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallIsDetected(t *testing.T) {
	var s stallDetector
	at := time.Unix(100, 0)
	for range 3 {
		assert.Equal(t, s.check(at), time.Duration(0))
		at = at.Add(checkInterval + minStall/2) // late, as on a busy machine
	}
	at = at.Add(time.Second)
	assert.Equal(t, s.check(at), time.Second+minStall/2)
	assert.Equal(t, s.check(at.Add(checkInterval)), time.Duration(0))
}
