package discovery

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drainBound is the time in which the platform wants changes in force.
const drainBound = 2 * time.Second

// A quiet fleet costs the calls of its readers alone, and changes of the table
// and of upstreams reach all nodes.
func TestNewsReachAllWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 10, "a", "b", "c")
		readers, others := f.roles()
		assert.Equal(t, len(readers), 3)
		before := f.store.count()
		time.Sleep(20 * time.Second)
		calls := f.store.count() - before
		assert.Assert(t, calls <= 3*30, "%d calls of three readers in 20 s", calls)
		f.store.publish(2)
		f.store.remove("a-9")
		time.Sleep(time.Second)
		assert.Equal(t, f.lacking(others, 2, "a-9"), 0)
		assert.Equal(t, f.lacking(readers, 2, "a-9"), 0)
	})
}

// A reader that is cut off from the store, or falls silent, or dies keeps nobody
// from changes, not even if that happens to all readers at once.
func TestLostReadersKeepNobodyFromChanges(t *testing.T) {
	for name, lose := range map[string]func(*testNode){
		"cut off": func(n *testNode) { n.cut = true },
		"silent":  func(n *testNode) { n.silent, n.cut = true, true },
		"dead":    func(n *testNode) { n.dead, n.cut = true, true },
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s all %v", name, all), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFollowers(t, 8, "a", "b")
					readers, others := f.roles()
					for _, r := range readers {
						r.set(lose)
						if !all {
							break
						}
					}
					f.store.publish(2)
					f.store.remove("b-7")
					time.Sleep(drainBound)
					assert.Equal(t, f.lacking(others, 2, "b-7"), 0)
					time.Sleep(20 * time.Second)
					f.store.publish(3)
					time.Sleep(drainBound)
					assert.Equal(t, f.lacking(others, 3, "b-7"), 0)
				})
			})
		}
	}
}

// News that take long on the way, as over a full link or while the asking node
// stands still, are not taken for fresh.
func TestNewsOverASlowWayAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		readers, others := f.roles()
		for _, r := range readers {
			r.set(func(n *testNode) { n.way = 1200 * time.Millisecond }) // a question may still be answered in time
		}
		time.Sleep(10 * time.Second)
		for edition := uint64(2); edition < 40; edition++ {
			f.store.publish(edition)
			time.Sleep(drainBound)
			assert.Equal(t, f.lacking(others, edition, ""), 0)
			time.Sleep(130 * time.Millisecond) // meets the questions in other places
		}
	})
}

// While the store is away nothing is forgotten, calls are few, and a change is
// in force soon after its return.
func TestNewsOverAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 10, "a", "b")
		for _, n := range f.nodes {
			n.set(func(n *testNode) { n.cut = true })
		}
		time.Sleep(10 * time.Second)
		before := f.store.count()
		time.Sleep(10 * time.Second)
		calls := f.store.count() - before
		assert.Assert(t, calls <= 20*10, "%d calls of 20 nodes in 10 s", calls)
		f.store.publish(2)
		f.store.remove("a-1")
		for _, n := range f.nodes {
			n.set(func(n *testNode) { n.cut = false })
		}
		time.Sleep(drainBound)
		readers, others := f.roles()
		assert.Equal(t, f.lacking(others, 2, ""), 0)
		assert.Equal(t, f.lacking(readers, 2, ""), 0)
		time.Sleep(OutageGrace + drainBound)
		assert.Equal(t, f.lacking(others, 2, "a-1"), 0)
		assert.Equal(t, f.lacking(readers, 2, "a-1"), 0)
		before = f.store.count()
		time.Sleep(20 * time.Second)
		assert.Assert(t, f.store.count()-before <= 2*30, "only readers call after the return")
	})
}

// Nodes that are cut off from the store together go on using each other's
// upstreams, whose entries lapse, while the others give them up; after the cut
// heals, what does not come back is given up by all.
func TestNodesCutOffTogetherKeepTheirUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		readers, others := f.roles()
		cut := []*testNode{readers[0], others[0], others[1]}
		in := append(readers[1:], others[2:]...)
		for _, n := range cut {
			n.set(func(n *testNode) { n.cut = true })
		}
		lapsed := f.idOf(others[0])
		time.Sleep(3 * time.Second)
		f.store.remove(lapsed)
		f.store.publish(2)
		time.Sleep(drainBound)
		assert.Equal(t, f.lacking(in, 2, lapsed), 0, "nodes in touch give it up")
		assert.Equal(t, f.lacking(cut, 2, ""), 0, "news reach those cut off")
		time.Sleep(10 * time.Second)
		for _, n := range cut {
			_, knows := n.follower.Member(lapsed)
			assert.Assert(t, knows, "%v is cut off and keeps it", n.addr)
			n.set(func(n *testNode) { n.cut = false })
		}
		time.Sleep(OutageGrace + 2*drainBound)
		assert.Equal(t, f.lacking(cut, 2, lapsed), 0)
	})
}

// News that cannot be read are as good as none.
func TestUnreadableNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 4, "a", "b")
		readers, others := f.roles()
		for _, r := range readers {
			r.follower.mu.Lock()
			r.follower.document.Raw = []byte("not a test document")
			r.follower.document.ID.Edition = 2
			r.follower.deflated = nil
			r.follower.mu.Unlock()
		}
		f.store.publish(3)
		time.Sleep(drainBound)
		assert.Equal(t, f.lacking(others, 3, ""), 0)
	})
}

// TestMergeAgainstOracle drives registries that follow a store and one that
// merges their news by cursors, at random. Oracle: the store's entries. Once a
// registry has followed and its news are merged, what was merged equals the
// store; and what is known to have ended never comes back by older news.
func TestMergeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newTestStore(), start
		sources := []*Registry{NewRegistry(), NewRegistry()}
		cursors := make([]uint64, len(sources))
		merged := NewRegistry()
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		source := rapid.IntRange(0, len(sources)-1)
		held := func() map[string]uint64 {
			out := make(map[string]uint64)
			for _, k := range merged.Upstreams() {
				out[k.ID] = k.Revision
			}
			return out
		}
		follow := func(r *Registry) {
			u, _ := store.after(r.Revision())
			r.Apply(now, u)
		}
		merge := func(i int) {
			u, whole := sources[i].Since(now, cursors[i])
			if cursors[i] == 0 {
				u, whole = sources[i].SinceRevision(now, merged.Revision())
			}
			cursors[i] = sources[i].Sequence()
			merged.Merge(now, u, whole, true)
		}
		ended := func() map[string]uint64 {
			out := make(map[string]uint64)
			for id, t := range merged.gone {
				out[id] = t.revision
			}
			return out
		}
		last := ended()
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { store.put(Upstream{ID: name.Draw(t, "id")}) },
			"remove": func(t *rapid.T) { store.remove(name.Draw(t, "id")) },
			"follow": func(t *rapid.T) { follow(sources[source.Draw(t, "source")]) },
			"merge":  func(t *rapid.T) { merge(source.Draw(t, "source")) },
			"direct": func(*rapid.T) { follow(merged); merged.ConfirmRemovals(now) },
			"restart": func(t *rapid.T) {
				i := source.Draw(t, "source")
				sources[i], cursors[i] = NewRegistry(), 0
			},
			"forget": func(*rapid.T) {
				now = now.Add(tombstoneLife + time.Second)
				for _, r := range sources {
					r.Expire(now)
				}
			},
			"settle": func(t *rapid.T) {
				i := source.Draw(t, "source")
				follow(sources[i])
				merge(i)
				merged.ConfirmRemovals(now)
				assert.Assert(t, maps.Equal(held(), store.present()), "holds %v, published is %v", held(), store.present())
			},
			"": func(t *rapid.T) {
				for id, revision := range held() {
					assert.Assert(t, revision > last[id], "%s came back", id)
				}
				last = ended()
			},
		})
	})
}

// lapsedElsewhere returns the news of a reader for which the store was away and "a"
// has lapsed meanwhile, and a registry that believes in "a" and "b".
func lapsedElsewhere() (news Update, whole bool, follower *Registry) {
	reader, follower := NewRegistry(), NewRegistry()
	reader.Replace(start, listed(2, up("a", 1), up("b", 2)))
	reader.MarkUnreachable()
	reader.Replace(start, listed(9, up("b", 2)))
	news, whole = reader.Since(start, 0)
	follower.Replace(start, listed(2, up("a", 1), up("b", 2)))
	return news, whole, follower
}

// An entry that lapsed at a reader has ended for those who know of no outage: the
// reader alone was cut off. It goes as soon as the store answers.
func TestLapsedEntryWithoutAnOutage(t *testing.T) {
	u, whole, follower := lapsedElsewhere()
	follower.Merge(start, u, whole, true)
	assert.DeepEqual(t, ids(follower), []string{"a", "b"})
	assert.Assert(t, follower.HasUnconfirmedRemovals())
	assert.Assert(t, follower.ConfirmRemovals(start))
	assert.DeepEqual(t, ids(follower), []string{"b"})
}

// An entry that lapsed at a reader is told with the time it is still believed,
// so that one who turns to the store later does not believe it for ever.
func TestLapsedEntryIsToldWithItsTime(t *testing.T) {
	u, whole, follower := lapsedElsewhere()
	follower.MarkUnreachable()
	follower.MarkReachable(start)
	follower.Merge(start, u, whole, true)
	assert.DeepEqual(t, ids(follower), []string{"a", "b"})
	assert.Equal(t, follower.Revision(), uint64(9))
	at, ok := follower.NextExpiry()
	assert.Assert(t, ok && at.Equal(start.Add(OutageGrace)))
	assert.Assert(t, follower.Expire(at))
	assert.DeepEqual(t, ids(follower), []string{"b"})
}

// A node that follows another source than before is told what came since the revision that
// it knows, not all that is believed: with 985 nodes a changed reader had each of those
// who follow it sent 118 KB. One that does not remember the ends since then tells all.
func TestANewSourceTellsWhatCameSince(t *testing.T) {
	source, asking := NewRegistry(), NewRegistry()
	var all []Upstream
	for i := range 500 {
		all = append(all, up(fmt.Sprintf("u%03d", i), uint64(i+1)))
	}
	listing := listed(500, all...)
	source.Replace(start, listing)
	asking.Replace(start, listing)
	source.Apply(start, Update{Revision: 502, Upstreams: []Upstream{up("new", 501)}, Removed: []Removal{{ID: "u007", Revision: 502}}})
	u, whole := source.SinceRevision(start, asking.CompleteRevision())
	assert.Assert(t, !whole)
	assert.Equal(t, len(u.Upstreams), 1)
	assert.Equal(t, len(u.Removed), 1)
	asking.Merge(start, u, whole, true)
	asking.ConfirmRemovals(start)
	assert.DeepEqual(t, ids(asking), ids(source))

	_, whole = source.SinceRevision(start, 499)
	assert.Assert(t, whole, "ends before its first listing are not known to it")
	source.Expire(start.Add(tombstoneLife + time.Second))
	_, whole = source.SinceRevision(start, 501)
	assert.Assert(t, whole, "an end since then is forgotten")
}

// A listing by stale reads may lack what one of its pages was too old for, so it is no
// ground for taking what others tell for ended, nor for being told only what came after.
func TestStaleListingIsNotSure(t *testing.T) {
	source, asking := NewRegistry(), NewRegistry()
	source.Replace(start, listed(9, up("a", 3), up("b", 8)))
	asking.ReplaceStale(start, listed(9, up("a", 3)))
	assert.Equal(t, asking.CompleteRevision(), uint64(0))
	u, whole := source.SinceRevision(start, asking.CompleteRevision())
	assert.Assert(t, whole)
	asking.Merge(start, u, whole, true)
	assert.DeepEqual(t, ids(asking), []string{"a", "b"})
	assert.Equal(t, asking.CompleteRevision(), uint64(9))
}

// A node that knows all up to a revision and does not know an upstream published before it
// has not heard of its end, or has forgotten it: news of a node that lags bring it back no
// more. Nor does an older version undo the end of one.
func TestWhatHasEndedIsNotBroughtBackByOldNews(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, listed(9, up("a", 3)))
	r.Merge(start, Update{Revision: 7, Upstreams: []Upstream{up("a", 3), up("b", 6)}}, true, true)
	assert.DeepEqual(t, ids(r), []string{"a"})
	r.Merge(start, Update{Revision: 12, Removed: []Removal{{ID: "a", Revision: 12}}}, false, true)
	r.Merge(start, Update{Revision: 11, Upstreams: []Upstream{up("a", 11)}}, false, true)
	assert.Assert(t, r.ConfirmRemovals(start))
	assert.DeepEqual(t, ids(r), []string(nil))
	r.Merge(start, Update{Revision: 13, Upstreams: []Upstream{up("b", 13)}}, false, true)
	assert.DeepEqual(t, ids(r), []string{"b"})
}
