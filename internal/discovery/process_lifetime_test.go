package discovery

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/membership"
)

func processOf(id string, born, revision uint64) Upstream {
	return Upstream{ID: id, StartedAtMs: born, Revision: revision}
}

func startTimes(r *Registry) map[string]uint64 {
	out := make(map[string]uint64)
	for _, k := range r.Upstreams() {
		out[k.ID] = k.StartedAtMs
	}
	return out
}

// Of processes under one ID the latest start wins, whatever arrives late from an earlier
// process: peer updates, listings, its last entry, its removal.
func TestLaterProcessWins(t *testing.T) {
	leaving := processOf("a", 100, 3)
	leaving.Leaving = true
	for name, lateEvent := range map[string]func(*Registry){
		"peer update":            func(r *Registry) { r.Merge(startTime, listing(9, processOf("a", 100, 4)), false, true) },
		"full peer update":       func(r *Registry) { r.Merge(startTime, listing(9, processOf("a", 100, 4)), true, true) },
		"stale listing":          func(r *Registry) { r.Replace(startTime, listing(4, processOf("a", 100, 4))) },
		"later listing":          func(r *Registry) { r.Replace(startTime, listing(9, processOf("a", 100, 9))) },
		"leaving entry":          func(r *Registry) { r.Apply(startTime, listing(9, leaving)) },
		"earlier removal":        func(r *Registry) { r.Apply(startTime, Update{Revision: 9, Removed: []Removal{{ID: "a", Revision: 4}}}) },
		"removal by peer update": func(r *Registry) { r.Merge(startTime, Update{Removed: []Removal{{ID: "a", Revision: 4}}}, false, true) },
		"same entry again": func(r *Registry) {
			assert.Assert(t, !r.Apply(startTime, listing(9, processOf("a", 200, 5))), "the same entry changes nothing")
		},
	} {
		r := NewRegistry()
		r.Apply(startTime, listing(3, leaving))
		assert.Assert(t, r.Apply(startTime, listing(5, processOf("a", 200, 5))))
		lateEvent(r)
		assert.DeepEqual(t, startTimes(r), map[string]uint64{"a": 200})
		assert.Assert(t, !r.Upstreams()[0].Leaving, name)
	}
}

// The later process is taken even if a higher revision of the earlier one arrived first,
// and stays removed once it is removed.
func TestLaterProcessIsSeenLate(t *testing.T) {
	r := NewRegistry()
	r.Apply(startTime, listing(7, processOf("a", 100, 7)))
	assert.Assert(t, r.Merge(startTime, listing(7, processOf("a", 200, 6)), false, true))
	assert.DeepEqual(t, startTimes(r), map[string]uint64{"a": 200})
	r.Apply(startTime, Update{Revision: 8, Removed: []Removal{{ID: "a", Revision: 8}}})
	r.Apply(startTime, listing(9, processOf("a", 100, 9)))
	assert.Equal(t, len(upstreamIDs(r)), 0, "a late entry of the earlier process")
	r.Apply(startTime, listing(10, processOf("a", 300, 10)))
	assert.DeepEqual(t, startTimes(r), map[string]uint64{"a": 300})
}

// An entry without a start time belongs to the last known process; then only revisions
// decide.
func TestEntryWithoutStartTime(t *testing.T) {
	r := NewRegistry()
	r.Apply(startTime, listing(1, processOf("a", 0, 1)))
	assert.Assert(t, r.Apply(startTime, listing(2, processOf("a", 100, 2))))
	assert.Assert(t, r.Apply(startTime, listing(3, processOf("a", 0, 3))))
	assert.DeepEqual(t, startTimes(r), map[string]uint64{"a": 100})
	assert.Assert(t, !r.Apply(startTime, listing(4, processOf("a", 50, 4))))
}

// TestProcessLifetimesAgainstOracle restarts processes under their IDs, with late entries
// of earlier processes, and passes the store's state on in any order. Oracle: the latest
// process of all published; its removal is final.
func TestProcessLifetimesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newTestStore()
		nodes := []*Registry{NewRegistry(), NewRegistry()}
		cursor := uint64(0)
		name := rapid.SampledFrom([]string{"a", "b"})
		lastStart, running, clock := map[string]uint64{}, map[string]uint64{}, uint64(0)
		follow := func(r *Registry) {
			u, _ := store.changesAfter(r.Revision())
			r.Apply(startTime, u)
		}
		merge := func() {
			u, whole := nodes[0].Since(startTime, cursor)
			cursor = nodes[0].Sequence()
			nodes[1].Merge(startTime, u, whole, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := name.Draw(t, "id")
				clock++
				lastStart[id], running[id] = clock, clock
				store.put(Upstream{ID: id, StartedAtMs: clock})
				follow(nodes[0]) // a process that no node saw does not count
			},
			"late entry": func(t *rapid.T) {
				id := name.Draw(t, "id")
				if lastStart[id] > 1 && running[id] != 0 {
					store.put(Upstream{ID: id, StartedAtMs: rapid.Uint64Range(1, lastStart[id]-1).Draw(t, "born"), Leaving: true})
				}
			},
			"change": func(t *rapid.T) {
				if id := name.Draw(t, "id"); running[id] != 0 {
					store.put(Upstream{ID: id, StartedAtMs: running[id]})
				}
			},
			"end": func(t *rapid.T) {
				id := name.Draw(t, "id")
				store.remove(id)
				delete(running, id)
			},
			"follow": func(*rapid.T) { follow(nodes[0]) },
			"merge":  func(*rapid.T) { merge() },
			"direct": func(*rapid.T) { follow(nodes[1]); nodes[1].ConfirmRemovals(startTime) },
			"": func(t *rapid.T) {
				for _, r := range nodes {
					for id, at := range startTimes(r) {
						assert.Assert(t, at <= lastStart[id])
					}
				}
				follow(nodes[0])
				assert.Assert(t, maps.Equal(startTimes(nodes[0]), running), "holds %v, running are %v", startTimes(nodes[0]), running)
				merge()
				nodes[1].ConfirmRemovals(startTime)
				assert.Assert(t, maps.Equal(startTimes(nodes[1]), running), "holds %v, running are %v", startTimes(nodes[1]), running)
			},
		})
	})
}

// Routing sees a restarted process as a new one, and a cold one as cold since it was
// first seen, however often its entry changes.
func TestMemberOfLaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := publishedUpstream("a", 1)
		cold.StartedAtMs, cold.ColdFor = 100, 3*time.Second
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1), Upstreams: []Upstream{cold}}}
		f, _ := follow(t, s)
		member := func(up Upstream) membership.Member {
			s.set(func(s *fakeSource) { s.state = Update{Revision: up.Revision, Upstreams: []Upstream{up}} })
			time.Sleep(time.Second)
			m, ok := f.Member("a")
			assert.Assert(t, ok)
			return m
		}
		time.Sleep(time.Second)
		first, _ := f.Member("a")
		assert.Equal(t, first.Generation, uint64(100))
		assert.Assert(t, !first.ColdSince.IsZero())
		cold.Revision, cold.ColdFor = 2, 2*time.Second
		assert.Equal(t, member(cold).ColdSince, first.ColdSince)
		again := cold
		again.Revision, again.StartedAtMs = 3, 200
		m := member(again)
		assert.Equal(t, m.Generation, uint64(200))
		assert.Assert(t, m.ColdSince.After(first.ColdSince))
		again.Revision, again.ColdFor = 4, 0
		assert.Assert(t, member(again).ColdSince.IsZero())
	})
}
