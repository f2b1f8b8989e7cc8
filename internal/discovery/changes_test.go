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

// silentPeers answers nothing; with it a follower chooses readers.
type silentPeers struct{}

func (silentPeers) Ask(context.Context, netip.AddrPort, PeerRequest) (PeerUpdate, error) {
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

// followerOf returns a follower that believes in so many upstreams of three services.
func followerOf(n int) *Follower {
	cfg := DefaultConfig()
	cfg.Self, cfg.DataCentre, cfg.LinkMbps = upstreamAt(0, 0).Address, "dc-0", 20
	f := NewFollower(cfg, nil, silentPeers{}, &snapshot.Holder{}, log.New(io.Discard), func(*Directory) {})
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Revision: uint64(n), Document: documentOf(1, 600)}
	for i := range n {
		u.Upstreams = append(u.Upstreams, upstreamAt(i, uint64(i+1)))
	}
	f.takeDocument(u.Document, SourceStore)
	f.registry.Apply(time.Now(), u)
	f.changed(SourceStore)
	return f
}

// takeChange makes a follower believe that an upstream leaves or is back.
func takeChange(f *Follower, i int, revision uint64, leaving bool) {
	up := upstreamAt(i, revision)
	up.Leaving = leaving
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.Apply(time.Now(), Update{Revision: revision, Upstreams: []Upstream{up}})
	f.changed(SourceStore)
}

// A release or a start of all changes each upstream within seconds, at every node. Built from
// nothing, the views took 13 ms of a core and 4.8 MB of garbage for each change at 985
// upstreams and 26 ms and 11 MB at 2,300, so 13 s of a core for a wave of 985 at each node. What a
// change leaves behind hardly grows with the fleet now.
func TestAChangeCostsWhatItTouches(t *testing.T) {
	const changes = 200
	garbage := func(n int) float64 {
		f := followerOf(n)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			takeChange(f, 1+i%50, uint64(n+i+1), i%100 < 50)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / changes
	}
	small, large := garbage(985), garbage(2300)
	t.Logf("%.0f B a change at 985 upstreams, %.0f B at 2,300", small, large)
	assert.Assert(t, large < 2*small, "%.0f B a change at 985 upstreams, %.0f B at 2,300", small, large)
	assert.Assert(t, small < 985*100, "%.0f B a change are more than 100 for each upstream", small)
}

// BenchmarkChange gives the cost of a change of one upstream at one node.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{75, 195, 985, 2300, 4600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := followerOf(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				takeChange(f, 1+i%50, uint64(n+i+1), i%100 < 50)
				i++
			}
		})
	}
}

// Views that were changed upstream by upstream are the ones built from nothing.
func TestViewsAgainstOnesBuiltAnew(t *testing.T) {
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
				if rnd.IntN(6) == 0 { // at the address of another
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
			f.changed(SourceStore)
			f.mu.Unlock()
			sameAsBuiltAnew(t, f)
		}
	}
}

func sameAsBuiltAnew(t *testing.T, f *Follower) {
	t.Helper()
	dir := f.dir.Load()
	anew := f.everything(&Directory{}).apply(&Directory{})
	members := maps.Collect(dir.members.All())
	want := maps.Collect(anew.members.All())
	assert.Equal(t, len(members), len(want))
	for id, m := range want {
		m.ColdRate = members[id].ColdRate // goes by the number of upstreams when it was built
		assert.Equal(t, members[id], m)
	}
	assert.DeepEqual(t, addresses(dir), addresses(anew))
	assert.DeepEqual(t, dir.evacuated, anew.evacuated)
	snap := f.holder.Current()
	there := 0
	for name := range f.services {
		for _, u := range snap.Service(name).Upstreams {
			there++
			assert.Equal(t, want[u.Name].Service, name)
		}
	}
	assert.Equal(t, there, len(want))
	sources := fmt.Sprint(f.sources, f.reader)
	f.views.roster = nil
	f.renew()
	f.enroll(dir, f.everything(dir))
	f.chooseRole(dir)
	assert.Equal(t, fmt.Sprint(f.sources, f.reader), sources)
	f.regroup(&Directory{}, f.everything(dir))
}

func addresses(d *Directory) map[netip.AddrPort]string {
	out := make(map[netip.AddrPort]string)
	for a, k := range d.byAddress.All() {
		out[a] = k.ID
	}
	return out
}
