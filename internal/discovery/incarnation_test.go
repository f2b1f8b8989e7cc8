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

func life(id string, born, revision uint64) Upstream {
	return Upstream{ID: id, StartedAtMs: born, Revision: revision}
}

func bornOf(r *Registry) map[string]uint64 {
	out := make(map[string]uint64)
	for _, k := range r.Upstreams() {
		out[k.ID] = k.StartedAtMs
	}
	return out
}

// A process that started again under its ID is the one that lives, whatever comes
// late of the life before: news, listings, its own last word, its end.
func TestLaterLifeCounts(t *testing.T) {
	leaving := life("a", 100, 3)
	leaving.Leaving = true
	for name, late := range map[string]func(*Registry){
		"news":            func(r *Registry) { r.Merge(start, listed(9, life("a", 100, 4)), false, true) },
		"all news":        func(r *Registry) { r.Merge(start, listed(9, life("a", 100, 4)), true, true) },
		"a stale listing": func(r *Registry) { r.Replace(start, listed(4, life("a", 100, 4))) },
		"a later listing": func(r *Registry) { r.Replace(start, listed(9, life("a", 100, 9))) },
		"its last word":   func(r *Registry) { r.Apply(start, listed(9, leaving)) },
		"an earlier end":  func(r *Registry) { r.Apply(start, Update{Revision: 9, Removed: []Removal{{ID: "a", Revision: 4}}}) },
		"the end by news": func(r *Registry) { r.Merge(start, Update{Removed: []Removal{{ID: "a", Revision: 4}}}, false, true) },
		"the same once more": func(r *Registry) {
			assert.Assert(t, !r.Apply(start, listed(9, life("a", 200, 5))), "the same changes nothing")
		},
	} {
		r := NewRegistry()
		r.Apply(start, listed(3, leaving))
		assert.Assert(t, r.Apply(start, listed(5, life("a", 200, 5))))
		late(r)
		assert.DeepEqual(t, bornOf(r), map[string]uint64{"a": 200})
		assert.Assert(t, !r.Upstreams()[0].Leaving, name)
	}
}

// The later life is taken though another revision of the earlier one came first,
// and stays ended when it has ended.
func TestLaterLifeComesLate(t *testing.T) {
	r := NewRegistry()
	r.Apply(start, listed(7, life("a", 100, 7)))
	assert.Assert(t, r.Merge(start, listed(7, life("a", 200, 6)), false, true))
	assert.DeepEqual(t, bornOf(r), map[string]uint64{"a": 200})
	r.Apply(start, Update{Revision: 8, Removed: []Removal{{ID: "a", Revision: 8}}})
	r.Apply(start, listed(9, life("a", 100, 9)))
	assert.Equal(t, len(ids(r)), 0, "a late word of the life before")
	r.Apply(start, listed(10, life("a", 300, 10)))
	assert.DeepEqual(t, bornOf(r), map[string]uint64{"a": 300})
}

// An entry that does not tell its start is of the life known last: then revisions
// alone decide.
func TestEntryWithoutAStart(t *testing.T) {
	r := NewRegistry()
	r.Apply(start, listed(1, life("a", 0, 1)))
	assert.Assert(t, r.Apply(start, listed(2, life("a", 100, 2))))
	assert.Assert(t, r.Apply(start, listed(3, life("a", 0, 3))))
	assert.DeepEqual(t, bornOf(r), map[string]uint64{"a": 100})
	assert.Assert(t, !r.Apply(start, listed(4, life("a", 50, 4))))
}

// TestLivesAgainstOracle restarts processes under their IDs, with late words of
// earlier lives, and passes the store's state on in any order. Oracle: of all that
// was published, the latest life; its end is an end.
func TestLivesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newTestStore()
		nodes := []*Registry{NewRegistry(), NewRegistry()}
		cursor := uint64(0)
		name := rapid.SampledFrom([]string{"a", "b"})
		born, alive, clock := map[string]uint64{}, map[string]uint64{}, uint64(0)
		follow := func(r *Registry) {
			u, _ := store.after(r.Revision())
			r.Apply(start, u)
		}
		merge := func() {
			u, whole := nodes[0].Since(start, cursor)
			cursor = nodes[0].Sequence()
			nodes[1].Merge(start, u, whole, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := name.Draw(t, "id")
				clock++
				born[id], alive[id] = clock, clock
				store.put(Upstream{ID: id, StartedAtMs: clock})
				follow(nodes[0]) // a life that nobody saw is none
			},
			"late word": func(t *rapid.T) {
				id := name.Draw(t, "id")
				if born[id] > 1 && alive[id] != 0 {
					store.put(Upstream{ID: id, StartedAtMs: rapid.Uint64Range(1, born[id]-1).Draw(t, "born"), Leaving: true})
				}
			},
			"change": func(t *rapid.T) {
				if id := name.Draw(t, "id"); alive[id] != 0 {
					store.put(Upstream{ID: id, StartedAtMs: alive[id]})
				}
			},
			"end": func(t *rapid.T) {
				id := name.Draw(t, "id")
				store.remove(id)
				delete(alive, id)
			},
			"follow": func(*rapid.T) { follow(nodes[0]) },
			"merge":  func(*rapid.T) { merge() },
			"direct": func(*rapid.T) { follow(nodes[1]); nodes[1].ConfirmRemovals(start) },
			"": func(t *rapid.T) {
				for _, r := range nodes {
					for id, at := range bornOf(r) {
						assert.Assert(t, at <= born[id])
					}
				}
				follow(nodes[0])
				assert.Assert(t, maps.Equal(bornOf(nodes[0]), alive), "%v, alive %v", bornOf(nodes[0]), alive)
				merge()
				nodes[1].ConfirmRemovals(start)
				assert.Assert(t, maps.Equal(bornOf(nodes[1]), alive), "%v, alive %v", bornOf(nodes[1]), alive)
			},
		})
	})
}

// Routing sees a restarted process as a new one, and one that is cold as cold
// since it was first heard of, however often its entry changes.
func TestMemberOfALaterLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := published("a", 1)
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
