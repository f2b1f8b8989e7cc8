package overload

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against long responses that are planned for with their mean size: of those that
// just fit, half would be late.
func TestMostResponsesAreShorterThanLong(t *testing.T) {
	for name, spread := range map[string]float64{"equal sizes": 0, "similar sizes": 0.3, "sizes that differ much": 0.6} {
		rnd := rand.New(rand.NewPCG(1, 2))
		sizes := NewResponseSizes()
		shorter := 0
		const samples = 5000
		for range samples {
			size := int64(90_000 * math.Exp(spread*rnd.NormFloat64()))
			if float64(size) <= sizes.Long("k")+1 {
				shorter++
			}
			sizes.Observe("k", size)
		}
		assert.Assert(t, shorter > samples*8/10, "%s: %d of %d are shorter", name, shorter, samples)
		assert.Assert(t, sizes.Long("k") < 2.5*sizes.Mean("k"), name)
	}
}
