package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against store calls that grow with the fleet when all nodes start before the
// first upstream is published. Each node then knew of no other, considered itself a
// reader and made three watches: 2,950 calls at 985 nodes. Nodes now request stale
// listings, at a tenth of a call each, and follow the first node that they see.
func TestStartWithEmptyStoreCostsFewCalls(t *testing.T) {
	for _, perCentre := range []int{10, 40} {
		synctest.Test(t, func(t *testing.T) {
			f, entries := newTestFleet(func(*Config) {}, perCentre, "a", "b", "c")
			f.run(t)
			time.Sleep(2 * time.Second)
			f.store.publish(1)
			f.put(entries, 8*time.Millisecond)
			time.Sleep(time.Second)
			synctest.Wait()
			f.store.mu.Lock()
			calls := float64(f.store.calls) + float64(f.store.staleLists)/10
			f.store.mu.Unlock()
			nodes := float64(len(f.nodes))
			const byReaders = 20 // in four seconds
			assert.Assert(t, calls < 1.2*nodes+byReaders, "%v calls of %v nodes", calls, nodes)
			assert.Equal(t, f.lacking(f.sorted(), 1, ""), 0)
		})
	}
}
