package distribution_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
)

// BenchmarkHeap reports the heap of one node's table and members at several fleet sizes,
// and the bytes of a join, for docs/CAPACITY.md.
func BenchmarkHeap(b *testing.B) {
	for _, n := range []int{13, 190, 575, 1150, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			placements := standin.Synthetic(n, min(n, 190), min(n, 26), min(n, 7))
			peers := make(map[string]netip.AddrPort)
			for _, p := range placements {
				peers[p.Name] = netip.MustParseAddrPort("127.0.0.1:1")
			}
			list := standin.List(1, placements, peers)
			raw := standin.SyntheticTable(placements)
			before := heap()
			var holder snapshot.Holder
			now := time.Unix(1000, 0)
			self := membership.Instance{Name: placements[0].Name, DataCentre: "dc00", Region: "r0", Generation: 1}
			e := distribution.NewEngine(distribution.DefaultEngineConfig(), self, func(raw []byte) (distribution.Checked, error) {
				s, err := snapshot.Build(raw)
				if err != nil {
					return distribution.Checked{}, err
				}
				return distribution.Checked{ID: s.ID, Commit: func() { holder.Advance(s) }}, nil
			}, now)
			e.Publish(now, distribution.DocList, list)
			e.Publish(now, distribution.DocTable, raw)
			for _, p := range placements[1:] {
				in := membership.Instance{Name: p.Name, Service: p.Service, DataCentre: p.DataCentre, Region: p.Region, Peer: peers[p.Name], Generation: 2}
				e.Receive(now, "peer", &distribution.Message{Rumors: []membership.Rumor{{Name: p.Name, Incarnation: 2, Instance: &in}}})
			}
			members := e.View.Members(now)
			b.ReportMetric(float64(heap()-before), "heap-B")
			b.ReportMetric(float64(len(list)), "list-B")
			own := e.View.SelfRumor()
			wire, err := distribution.Encode(&distribution.Message{Rumors: []membership.Rumor{own}})
			assert.NilError(b, err)
			b.ReportMetric(float64(len(wire)), "join-B")
			runtime.KeepAlive(members)
			runtime.KeepAlive(&holder)
			runtime.KeepAlive(e)
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
