package discovery

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// failingPeers fails every request; a follower with peers chooses readers.
type failingPeers struct{}

func (failingPeers) Ask(context.Context, netip.AddrPort, PeerRequest) (PeerUpdate, error) {
	return PeerUpdate{}, io.EOF
}

func upstreamAt(i int, revision uint64) Upstream {
	return Upstream{
		ID:         fmt.Sprintf("i-%08x", i),
		Service:    fmt.Sprintf("s-%d", i%3),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		DataCentre: fmt.Sprintf("dc-%d", i%5),
		Slots:      8,
		Revision:   revision,
	}
}

// followerOf returns a follower that knows n upstreams of three services.
func followerOf(n int) *Follower {
	cfg := DefaultConfig()
	cfg.Self, cfg.DataCentre, cfg.LinkMbps = upstreamAt(0, 0).Address, "dc-0", 20
	f := NewFollower(cfg, nil, failingPeers{}, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Revision: uint64(n), Document: documentOf(1, 600)}
	for i := range n {
		u.Upstreams = append(u.Upstreams, upstreamAt(i, uint64(i+1)))
	}
	f.setDocument(u.Document, SourceStore)
	f.registry.Apply(time.Now(), u)
	f.refresh(SourceStore)
	return f
}

// applyLeaving sets whether an upstream is leaving.
func applyLeaving(f *Follower, i int, revision uint64, leaving bool) {
	up := upstreamAt(i, revision)
	up.Leaving = leaving
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.Apply(time.Now(), Update{Revision: revision, Upstreams: []Upstream{up}})
	f.refresh(SourceStore)
}

// Guards against rebuilding all views for each change. A release or a start of the fleet
// changes every upstream within seconds, at every node. With a rebuild each change took
// 13 ms of a core and allocated 4.8 MB at 985 upstreams, 26 ms and 11 MB at 2,300, so a
// wave of 985 changes took 13 s of a core at each node. The allocations of a change must
// hardly grow with the fleet.
func TestChangeCostIsIncremental(t *testing.T) {
	const changes = 200
	allocated := func(n int) float64 {
		f := followerOf(n)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			applyLeaving(f, 1+i%50, uint64(n+i+1), i%100 < 50)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / changes
	}
	small, large := allocated(985), allocated(2300)
	t.Logf("%.0f B per change at 985 upstreams, %.0f B at 2,300", small, large)
	assert.Assert(t, large < 2*small, "%.0f B per change at 985 upstreams, %.0f B at 2,300", small, large)
	assert.Assert(t, small < 985*100, "%.0f B per change are more than 100 per upstream", small)
}

// BenchmarkChange measures a change of one upstream at one node.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{75, 195, 985, 2300, 4600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := followerOf(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				applyLeaving(f, 1+i%50, uint64(n+i+1), i%100 < 50)
				i++
			}
		})
	}
}

// Incrementally updated views must equal rebuilt ones.
func TestIncrementalViewsMatchFullRebuild(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		f := followerOf(40)
		now, revision := time.Now(), uint64(1000)
		for range 150 {
			revision++
			var u Update
			u.Revision = revision
			for range 1 + rnd.IntN(3) {
				i := rnd.IntN(60)
				up := upstreamAt(i, revision)
				up.Leaving, up.StartedAtMs = rnd.IntN(4) == 0, uint64(rnd.IntN(3))
				if rnd.IntN(6) == 0 { // at the address of another upstream
					up.Address = upstreamAt(rnd.IntN(60), 0).Address
				}
				if rnd.IntN(10) == 0 {
					up.Service = "unknown"
				}
				if rnd.IntN(3) == 0 {
					u.Removed = append(u.Removed, Removal{ID: up.ID, Revision: revision})
					continue
				}
				u.Upstreams = append(u.Upstreams, up)
			}
			if rnd.IntN(20) == 0 {
				u.Evacuations = []Evacuation{{DataCentre: fmt.Sprintf("dc-%d", rnd.IntN(5)), Revision: revision, Ended: rnd.IntN(2) == 0}}
			}
			f.mu.Lock()
			f.registry.Apply(now, u)
			f.refresh(SourceStore)
			f.mu.Unlock()
			assertMatchesFullRebuild(t, f)
		}
	}
}

func assertMatchesFullRebuild(t *testing.T, f *Follower) {
	t.Helper()
	dir := f.dir.Load()
	rebuilt := f.fullChange(&Directory{}).apply(&Directory{})
	members := maps.Collect(dir.members.All())
	want := maps.Collect(rebuilt.members.All())
	assert.Equal(t, len(members), len(want))
	for id, m := range want {
		m.ColdRate = members[id].ColdRate // depends on the number of upstreams at the last rebuild
		assert.Equal(t, members[id], m)
	}
	assert.DeepEqual(t, addresses(dir), addresses(rebuilt))
	assert.DeepEqual(t, dir.evacuated, rebuilt.evacuated)
	snap := f.holder.Current()
	total := 0
	for name := range f.services {
		for _, u := range snap.Service(name).Upstreams {
			total++
			assert.Equal(t, want[u.Name].Service, name)
		}
	}
	assert.Equal(t, total, len(want))
	sources := fmt.Sprint(f.sources, f.reader)
	f.views.roster = nil
	f.resetViews()
	f.updateRoster(dir, f.fullChange(dir))
	f.chooseRole(dir)
	assert.Equal(t, fmt.Sprint(f.sources, f.reader), sources)
	f.updateGroups(&Directory{}, f.fullChange(dir))
}

func addresses(d *Directory) map[netip.AddrPort]string {
	out := make(map[netip.AddrPort]string)
	for a, k := range d.byAddress.All() {
		out[a] = k.ID
	}
	return out
}
