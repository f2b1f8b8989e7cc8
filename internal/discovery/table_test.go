package discovery

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// The routes of a table are built together, whatever their number: each alone, of 3,300,
// took 1.7 ms and 3,918 allocations, each of which the collector has to look at.
func TestLayoutTakesNoAllocationForEachRoute(t *testing.T) {
	const routes = 3000
	d := documentOf(1, routes)
	allocations := testing.AllocsPerRun(3, func() {
		l, err := snapshot.NewLayout(d.Table, d.ID, d.Raw)
		assert.NilError(t, err)
		assert.Equal(t, len(l.Routes()), routes)
	})
	assert.Assert(t, allocations < routes/3, "%v allocations", allocations)
}
