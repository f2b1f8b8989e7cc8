package discovery

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// Guards against an allocation per route when a layout is built: with 3,300 routes that
// took 1.7 ms and 3,918 allocations, each of which the garbage collector has to scan.
func TestLayoutAllocationsDoNotGrowWithRoutes(t *testing.T) {
	const routes = 3000
	d := documentOf(1, routes)
	allocations := testing.AllocsPerRun(3, func() {
		l, err := snapshot.NewIndexedTable(d.Table, d.ID, d.Raw)
		assert.NilError(t, err)
		assert.Equal(t, len(l.Routes()), routes)
	})
	assert.Assert(t, allocations < routes/3, "%v allocations", allocations)
}
