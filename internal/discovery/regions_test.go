package discovery

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against upstreams whose region is unknown to the router although the settings
// give it, and against regions that no setting gives.
func TestMembersHaveTheRegionOfTheirDataCentre(t *testing.T) {
	f := followerOf(5)
	region := func(i int) string {
		m, ok := f.Member(upstreamAt(i, 0).ID)
		assert.Assert(t, ok)
		return m.Region
	}
	assert.Equal(t, region(1), "")
	f.cfg.Regions = map[string]string{"dc-1": "north"}
	applyLeaving(f, 1, 100, true)
	applyLeaving(f, 2, 101, true)
	assert.Equal(t, region(1), "north")
	assert.Equal(t, region(2), "")
}
