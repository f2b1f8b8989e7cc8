package discovery

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// Calls of the store do not grow with the data centres: three nodes read it for
// all, and a start costs a glance. With a reader in each of these ten data centres
// 50 nodes made 90 calls in the first 3 s and 290 in the 20 s after that, now 15 and
// 84.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 5, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		readers, others := f.roles()
		assert.Equal(t, len(readers), 3)
		assert.Assert(t, f.store.count() <= 3*6, "%d calls of a start", f.store.count())
		assert.Equal(t, f.store.glances(), 50)
		readers[0].set(func(n *testNode) { n.answers = 300 * time.Millisecond })
		time.Sleep(time.Second) // from now on the readers call at different times
		readers[0].set(func(n *testNode) { n.answers = 0 })
		before, asked := f.store.count(), f.store.questions()
		time.Sleep(20 * time.Second)
		calls := f.store.count() - before
		assert.Assert(t, calls <= 3*30, "%d calls in 20 s", calls)
		// A node asks each of its two sources once a watch, also one that hears from
		// two itself: more took 8% of the processor time of 74 small machines.
		perNode := float64(f.store.questions()-asked) / float64(len(others)) / 20
		assert.Assert(t, perNode < 2.2/DefaultConfig().WatchWait.Seconds(), "%.2f questions a second", perNode)
		f.store.publish(2)
		f.store.remove("a-4")
		time.Sleep(time.Second)
		assert.Equal(t, f.lacking(others, 2, "a-4"), 0)
	})
}

// What a node saw at a glance may be seconds old: it is up to date a moment later,
// by news or by itself, and tells nobody before that it is.
func TestGlanceIsFollowedByNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{store: newTestStore(), nodes: nil}
		f.store.publish(1)
		f.store.put(published("gone", 0))
		f.store.remove("gone")
		f.store.publish(2)
		f.store.behind = 2
		n := &testNode{store: f.store, fleet: f}
		follower, holder := followNode(t, n)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, holder.ID().Edition, uint64(1), "it can serve")
		_, knows := follower.Member("gone")
		assert.Assert(t, knows)
		news, err := follower.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		assert.Equal(t, news.Age, unknownAge)
		time.Sleep(firstNewsWait + 100*time.Millisecond)
		assert.Equal(t, holder.ID().Edition, uint64(2))
		_, knows = follower.Member("gone")
		assert.Assert(t, !knows)
	})
}

// Two of the three readers fall silent, or are lost, with all who know what they
// know: changes reach all the others in time.
func TestTwoStoreReadersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 6, "a", "b", "c", "d", "e")
		readers, others := f.roles()
		readers[0].set(func(n *testNode) { n.silent, n.cut = true, true })
		readers[1].set(func(n *testNode) { n.dead, n.cut = true, true })
		for edition := uint64(2); edition < 12; edition++ {
			f.store.publish(edition)
			time.Sleep(drainBound)
			assert.Equal(t, f.lacking(others, edition, ""), 0)
			time.Sleep(330 * time.Millisecond) // meets the questions in other places
		}
	})
}

// followNode runs one node that has peers, none of which answers.
func followNode(t *testing.T, n *testNode) (*Follower, *snapshot.Holder) {
	n.holder = &snapshot.Holder{}
	n.follower = NewFollower(DefaultConfig(), n, n, n.holder, log.New(io.Discard), func(*Directory) {})
	n.follower.follow(t)
	return n.follower, n.holder
}

// Whoever knows less by most of a watch is told at once that there is nothing new,
// also if it has all changes: one that started beside its source waited for it so
// long that it read the store, 5 to 41 calls more in a start of 50 nodes.
func TestOldKnowledgeIsRenewedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 2, "a", "b", "c")
		source := f.sorted()[0].follower
		source.mu.Lock()
		ask := PeerRequest{After: Cursor{Epoch: source.epoch, Sequence: source.registry.Sequence()}, Table: source.holdsLocked(), Age: unknownAge}
		source.mu.Unlock()
		began := time.Now()
		n, err := source.PeerUpdateAfter(t.Context(), ask)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) == 0 && n.Age < DefaultConfig().PeerMaxStaleness)
		ask.Age = n.Age
		_, err = source.PeerUpdateAfter(t.Context(), ask)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) > 0, "there is nothing to tell")
	})
}
