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

// changeBound is the time within which the platform requires changes in force.
const changeBound = 2 * time.Second

// Without changes a fleet costs only the calls of its readers, and changes of the table
// and of upstreams reach all nodes.
func TestChangesReachAllWithFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 10, "a", "b", "c")
		readers, others := f.roles()
		assert.Equal(t, len(readers), 3)
		before := f.store.callCount()
		time.Sleep(20 * time.Second)
		calls := f.store.callCount() - before
		assert.Assert(t, calls <= 3*30, "%d calls of three readers in 20 s", calls)
		f.store.publish(2)
		f.store.remove("a-9")
		time.Sleep(time.Second)
		assert.Equal(t, f.lacking(others, 2, "a-9"), 0)
		assert.Equal(t, f.lacking(readers, 2, "a-9"), 0)
	})
}

// A reader that is cut off from the store, is unresponsive, or has ended must keep no
// node from changes, not even if that happens to all readers at once.
func TestChangesReachAllWithoutReaders(t *testing.T) {
	for name, lose := range map[string]func(*testNode){
		"cut off":      func(n *testNode) { n.cutOff = true },
		"unresponsive": func(n *testNode) { n.unresponsive, n.cutOff = true, true },
		"ended":        func(n *testNode) { n.dead, n.cutOff = true, true },
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
					time.Sleep(changeBound)
					assert.Equal(t, f.lacking(others, 2, "b-7"), 0)
					time.Sleep(20 * time.Second)
					f.store.publish(3)
					time.Sleep(changeBound)
					assert.Equal(t, f.lacking(others, 3, "b-7"), 0)
				})
			})
		}
	}
}

// Peer updates with a long network time, as over a saturated link or while the requesting
// node is paused, must not count as fresh.
func TestSlowPeerUpdatesAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		readers, others := f.roles()
		for _, r := range readers {
			// A request may still be answered within its timeout.
			r.set(func(n *testNode) { n.replyDelay = 1200 * time.Millisecond })
		}
		time.Sleep(10 * time.Second)
		for edition := uint64(2); edition < 40; edition++ {
			f.store.publish(edition)
			time.Sleep(changeBound)
			assert.Equal(t, f.lacking(others, edition, ""), 0)
			time.Sleep(130 * time.Millisecond) // shifts the phase of the peer requests
		}
	})
}

// During an outage of the store no state is dropped and calls are few; a change is in
// force soon after the store's recovery.
func TestChangesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 10, "a", "b")
		for _, n := range f.nodes {
			n.set(func(n *testNode) { n.cutOff = true })
		}
		time.Sleep(10 * time.Second)
		before := f.store.callCount()
		time.Sleep(10 * time.Second)
		calls := f.store.callCount() - before
		assert.Assert(t, calls <= 20*10, "%d calls of 20 nodes in 10 s", calls)
		f.store.publish(2)
		f.store.remove("a-1")
		for _, n := range f.nodes {
			n.set(func(n *testNode) { n.cutOff = false })
		}
		time.Sleep(changeBound)
		readers, others := f.roles()
		assert.Equal(t, f.lacking(others, 2, ""), 0)
		assert.Equal(t, f.lacking(readers, 2, ""), 0)
		time.Sleep(OutageGrace + changeBound)
		assert.Equal(t, f.lacking(others, 2, "a-1"), 0)
		assert.Equal(t, f.lacking(readers, 2, "a-1"), 0)
		before = f.store.callCount()
		time.Sleep(20 * time.Second)
		assert.Assert(t, f.store.callCount()-before <= 2*30, "only readers call the store after its recovery")
	})
}

// Nodes that are cut off from the store together keep using each other's upstreams, whose
// entries expire, while the other nodes drop them. After the partition heals, all drop
// what does not reappear.
func TestNodesCutOffTogetherKeepTheirUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		readers, others := f.roles()
		cutOffNodes := []*testNode{readers[0], others[0], others[1]}
		connected := append(readers[1:], others[2:]...)
		for _, n := range cutOffNodes {
			n.set(func(n *testNode) { n.cutOff = true })
		}
		removed := f.idOf(others[0])
		time.Sleep(3 * time.Second)
		f.store.remove(removed)
		f.store.publish(2)
		time.Sleep(changeBound)
		assert.Equal(t, f.lacking(connected, 2, removed), 0, "connected nodes drop it")
		assert.Equal(t, f.lacking(cutOffNodes, 2, ""), 0, "peer updates reach the nodes cut off")
		time.Sleep(10 * time.Second)
		for _, n := range cutOffNodes {
			_, known := n.follower.Member(removed)
			assert.Assert(t, known, "%v is cut off and must keep it", n.addr)
			n.set(func(n *testNode) { n.cutOff = false })
		}
		time.Sleep(OutageGrace + 2*changeBound)
		assert.Equal(t, f.lacking(cutOffNodes, 2, removed), 0)
	})
}

// Peer updates that cannot be decoded must have the same effect as missing ones.
func TestUnreadablePeerUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 4, "a", "b")
		readers, others := f.roles()
		for _, r := range readers {
			r.follower.mu.Lock()
			r.follower.document.Raw = []byte("not a test document")
			r.follower.document.ID.Edition = 2
			r.follower.deflatedDocument = nil
			r.follower.mu.Unlock()
		}
		f.store.publish(3)
		time.Sleep(changeBound)
		assert.Equal(t, f.lacking(others, 3, ""), 0)
	})
}

// TestMergeAgainstOracle drives at random registries that follow a store and one that
// merges their updates by cursors. Oracle: the store's entries. Once a registry has
// followed the store and its update is merged, the merged state equals the store, and an
// older update never restores what is known to be removed.
func TestMergeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newTestStore(), startTime
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
			u, _ := store.changesAfter(r.Revision())
			r.Apply(now, u)
		}
		merge := func(i int) {
			u, full := sources[i].Since(now, cursors[i])
			if cursors[i] == 0 {
				u, full = sources[i].SinceRevision(now, merged.Revision())
			}
			cursors[i] = sources[i].Sequence()
			merged.Merge(now, u, full, true)
		}
		removed := func() map[string]uint64 {
			out := make(map[string]uint64)
			for id, t := range merged.tombstones {
				out[id] = t.revision
			}
			return out
		}
		last := removed()
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
				now = now.Add(tombstoneTTL + time.Second)
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
					assert.Assert(t, revision > last[id], "%s was restored", id)
				}
				last = removed()
			},
		})
	})
}

// missingElsewhere returns the update of a reader that had an outage of the store in
// which "a" went missing, and a registry that knows "a" and "b".
func missingElsewhere() (update Update, full bool, follower *Registry) {
	reader, follower := NewRegistry(), NewRegistry()
	reader.Replace(startTime, listing(2, upstreamWith("a", 1), upstreamWith("b", 2)))
	reader.MarkUnreachable()
	reader.Replace(startTime, listing(9, upstreamWith("b", 2)))
	update, full = reader.Since(startTime, 0)
	follower.Replace(startTime, listing(2, upstreamWith("a", 1), upstreamWith("b", 2)))
	return update, full, follower
}

// An entry that went missing at a reader counts as removed for nodes that know of no
// outage, since only the reader was cut off. It is dropped as soon as the store responds.
func TestMissingEntryWithoutAnOutage(t *testing.T) {
	u, full, follower := missingElsewhere()
	follower.Merge(startTime, u, full, true)
	assert.DeepEqual(t, upstreamIDs(follower), []string{"a", "b"})
	assert.Assert(t, follower.HasUnconfirmedRemovals())
	assert.Assert(t, follower.ConfirmRemovals(startTime))
	assert.DeepEqual(t, upstreamIDs(follower), []string{"b"})
}

// An entry that went missing at a reader is sent with its expiry, so that a node which
// calls the store later does not keep it for ever.
func TestMissingEntryIsSentWithItsExpiry(t *testing.T) {
	u, full, follower := missingElsewhere()
	follower.MarkUnreachable()
	follower.MarkReachable(startTime)
	follower.Merge(startTime, u, full, true)
	assert.DeepEqual(t, upstreamIDs(follower), []string{"a", "b"})
	assert.Equal(t, follower.Revision(), uint64(9))
	at, ok := follower.NextExpiry()
	assert.Assert(t, ok && at.Equal(startTime.Add(OutageGrace)))
	assert.Assert(t, follower.Expire(at))
	assert.DeepEqual(t, upstreamIDs(follower), []string{"b"})
}

// A node that changes its update source gets the changes since the revision that it
// knows, not the full state: at 985 nodes, followers of a new reader got 118 KB each. A
// source that no longer remembers all removals since then sends the full state.
func TestNewSourceSendsOnlyLaterChanges(t *testing.T) {
	source, peer := NewRegistry(), NewRegistry()
	var all []Upstream
	for i := range 500 {
		all = append(all, upstreamWith(fmt.Sprintf("u%03d", i), uint64(i+1)))
	}
	initial := listing(500, all...)
	source.Replace(startTime, initial)
	peer.Replace(startTime, initial)
	source.Apply(startTime, Update{Revision: 502, Upstreams: []Upstream{upstreamWith("new", 501)}, Removed: []Removal{{ID: "u007", Revision: 502}}})
	u, full := source.SinceRevision(startTime, peer.CompleteRevision())
	assert.Assert(t, !full)
	assert.Equal(t, len(u.Upstreams), 1)
	assert.Equal(t, len(u.Removed), 1)
	peer.Merge(startTime, u, full, true)
	peer.ConfirmRemovals(startTime)
	assert.DeepEqual(t, upstreamIDs(peer), upstreamIDs(source))

	_, full = source.SinceRevision(startTime, 499)
	assert.Assert(t, full, "it does not know removals before its first listing")
	source.Expire(startTime.Add(tombstoneTTL + time.Second))
	_, full = source.SinceRevision(startTime, 501)
	assert.Assert(t, full, "a removal since then is forgotten")
}

// A stale listing may lack entries, because one of its pages may be older than another.
// It must not make a node treat entries from others as removed, nor request only later
// changes.
func TestStaleListingIsNotComplete(t *testing.T) {
	source, peer := NewRegistry(), NewRegistry()
	source.Replace(startTime, listing(9, upstreamWith("a", 3), upstreamWith("b", 8)))
	peer.ReplaceStale(startTime, listing(9, upstreamWith("a", 3)))
	assert.Equal(t, peer.CompleteRevision(), uint64(0))
	u, full := source.SinceRevision(startTime, peer.CompleteRevision())
	assert.Assert(t, full)
	peer.Merge(startTime, u, full, true)
	assert.DeepEqual(t, upstreamIDs(peer), []string{"a", "b"})
	assert.Equal(t, peer.CompleteRevision(), uint64(9))
}

// A node that knows everything up to a revision, but not an upstream published before it,
// has learned of its removal or forgotten it. Updates of a lagging node must not restore
// the upstream, nor may an older version undo a removal.
func TestOldPeerUpdateDoesNotRestoreRemoved(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(9, upstreamWith("a", 3)))
	r.Merge(startTime, Update{Revision: 7, Upstreams: []Upstream{upstreamWith("a", 3), upstreamWith("b", 6)}}, true, true)
	assert.DeepEqual(t, upstreamIDs(r), []string{"a"})
	r.Merge(startTime, Update{Revision: 12, Removed: []Removal{{ID: "a", Revision: 12}}}, false, true)
	r.Merge(startTime, Update{Revision: 11, Upstreams: []Upstream{upstreamWith("a", 11)}}, false, true)
	assert.Assert(t, r.ConfirmRemovals(startTime))
	assert.DeepEqual(t, upstreamIDs(r), []string(nil))
	r.Merge(startTime, Update{Revision: 13, Upstreams: []Upstream{upstreamWith("b", 13)}}, false, true)
	assert.DeepEqual(t, upstreamIDs(r), []string{"b"})
}
