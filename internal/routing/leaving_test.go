package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
)

// An instance that has said that it leaves gets no requests, however long it stays listed
// and though its entry vanishes for a while. A later process under its name may get them.
func TestLeavingInstanceGetsNoRequests(t *testing.T) {
	b := newTestbed(2)
	m := b.members["u0"]
	m.Generation = 5
	b.members["u0"] = m
	b.pick()
	b.router.RecordLeaving(b.now, m.Instance)
	listed := func(name string) bool { _, ok := b.members[name]; return ok }
	assert.Equal(t, b.pickCounts(50)["u0"], 0)

	b.now = b.now.Add(10 * time.Minute)
	b.router.Prune(b.now, listed)
	assert.Equal(t, b.pickCounts(50)["u0"], 0, "it is still listed")

	delete(b.members, "u0")
	b.now = b.now.Add(leavingMemory)
	b.router.Prune(b.now, listed)
	b.members["u0"] = m
	assert.Equal(t, b.pickCounts(50)["u0"], 0, "its entry was away for a while")

	earlier := membership.Instance{Name: "u0", Generation: 4}
	b.router.RecordLeaving(b.now, earlier)
	m.Generation = 6
	b.members["u0"] = m
	assert.Assert(t, b.pickCounts(50)["u0"] > 0, "a later process has not said anything")

	delete(b.members, "u0")
	b.now = b.now.Add(leavingMemory + time.Second)
	b.router.Prune(b.now, listed)
	assert.Equal(t, len(b.router.leaving), 0)
}
