package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkPick chooses one upstream of a service, all of them eligible and each
// with a told load that is a few milliseconds old, as a node does for each request.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{13, 108, 500, 2300} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.ByExpectedTime = true
			bed := newBedWith(cfg, n)
			told := LoadReport{InUse: 2, Slots: 4, Service: 100 * time.Millisecond}
			for _, m := range bed.members {
				bed.router.of(bed.now, m)
				bed.router.Start(bed.now, m.Instance)
				bed.router.End(bed.now, bed.rnd, m.Name, Outcome{Load: &told, Kind: "k"})
			}
			benchmarkPick(b, bed)
		})
	}
}

// BenchmarkPickAmongEvacuatedAndCold is BenchmarkPick where a third of the upstreams is
// evacuated and a third cold.
func BenchmarkPickAmongEvacuatedAndCold(b *testing.B) {
	for _, n := range []int{108, 500, 2300} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.ByExpectedTime, cfg.ColdFromMembers = true, true
			bed := newBedWith(cfg, n)
			for i := range n {
				m := bed.members[fmt.Sprintf("u%d", i)]
				m.Evacuated = i%3 == 0
				if i%3 == 1 {
					m.ColdFrom, m.ColdUntil, m.ColdRate = bed.now, bed.now.Add(time.Minute), 0.1
				}
				bed.members[m.Name] = m
			}
			benchmarkPick(b, bed)
		})
	}
}

func benchmarkPick(b *testing.B, bed *bed) {
	req := Request{Service: bed.service, Kind: "k", ObjectiveDeadline: bed.now.Add(time.Second)}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		if _, ok := bed.router.Pick(bed.now, bed.rnd, req, bed.lookup); !ok {
			b.Fatal("no upstream")
		}
	}
}

// A choice among a hundred upstreams copied all of them three times: 65 KB of
// garbage for each request, at nodes with a sixth of a core.
func TestChoiceLeavesNoGarbage(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ByExpectedTime = true
	b := newBedWith(cfg, 108)
	for range 100 { // all upstreams are met for the first time
		b.pick()
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.pick() }), 0.0)
}
