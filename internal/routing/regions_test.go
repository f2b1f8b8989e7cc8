package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRegionTestbed returns a router that chooses by expected time, with two upstreams in
// its own data centre and four in another one of the given region. All are known to be
// idle, at half a millisecond from each other.
func newRegionTestbed(region string) *testbed {
	cfg := DefaultConfig()
	cfg.ByExpectedTime, cfg.LoadReportLifetime = true, time.Hour
	b := newTestbedWith(cfg, 6)
	for _, name := range []string{"u2", "u3", "u4", "u5"} {
		m := b.members[name]
		m.DataCentre, m.Region = "dc1", region
		b.members[name] = m
	}
	for name := range b.members {
		b.reportLoad(name, LoadReport{Slots: 4, Service: 20 * time.Millisecond})
	}
	return b
}

func (b *testbed) reportLoad(name string, load LoadReport) {
	b.router.stateOf(b.now, b.members[name])
	b.router.Start(b.now, b.members[name].Instance)
	b.router.End(b.now, b.rnd, name, Outcome{Load: &load, Kind: "k", NetworkTime: time.Millisecond})
}

// setBusy reports that the slots of the own data centre are in use and requests wait.
func (b *testbed) setBusy() {
	for _, name := range []string{"u0", "u1"} {
		b.reportLoad(name, LoadReport{Slots: 4, InUse: 4, Waiting: 4, Service: 20 * time.Millisecond, Wait: 20 * time.Millisecond})
	}
}

// Guards against a change of decisions where no region is configured: data centres
// without a region are chosen exactly as those of another region.
func TestDataCentreWithoutRegionCountsAsAnotherRegion(t *testing.T) {
	for _, busy := range []bool{false, true} {
		unknown, other := newRegionTestbed(""), newRegionTestbed("r1")
		if busy {
			unknown.setBusy()
			other.setBusy()
		}
		for range 2000 {
			got, ok := unknown.pick()
			want, _ := other.pick()
			assert.Assert(t, ok)
			assert.Equal(t, got.Upstream.Name, want.Upstream.Name)
			assert.Equal(t, got.Weight, want.Weight)
		}
	}
}

// Guards against traffic between data centres while the own one has room, against queues
// in the own one while another one of the region is idle, and against a single upstream
// that gets all the traffic that spills over.
func TestRequestsSpillOverWithinTheRegion(t *testing.T) {
	const choices = 4000
	b := newRegionTestbed("r0")
	idle := b.pickCounts(choices)
	assert.Equal(t, idle["u0"]+idle["u1"], choices)
	b.setBusy()
	got := b.pickCounts(choices)
	for _, name := range []string{"u2", "u3", "u4", "u5"} {
		assert.Assert(t, got[name] > choices/8, "%s got %d of %d", name, got[name], choices)
	}
	isolated := newRegionTestbed("")
	isolated.setBusy()
	got = isolated.pickCounts(choices)
	assert.Equal(t, got["u0"]+got["u1"], choices)
}
