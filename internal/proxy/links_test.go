package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against responses that are admitted to a full link by their mean size: of those
// that just fit, the longer half would be late.
func TestLongResponseMustFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mean, left = 90_000, 210 * time.Millisecond // 50 ms each at 16 Mbit/s less a tenth
		links := NewLinks(16, NewMetrics(tally.NoopScope))
		for range 2 {
			c, _ := links.send.admit(exactly(mean), 0, left, true)
			assert.Assert(t, c != nil)
		}
		c, d := links.send.admit(transferSize{mean: mean, long: 2 * mean}, 0, left, true)
		assert.Assert(t, c != nil, "%+v", d)
		c, d = links.send.admit(transferSize{mean: mean, long: 2 * mean}, 0, left, true)
		assert.Assert(t, c == nil && d.RetryAfter > 0, "%+v", d)
		c, d = links.send.admit(exactly(mean), 0, left, true)
		assert.Assert(t, c != nil, "%+v", d)
	})
}
