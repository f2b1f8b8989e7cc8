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

// Calls of the store must not grow with the number of data centres: three nodes read it
// for all, and a start costs a stale listing. With a reader in each of these ten data
// centres 50 nodes would make 90 calls in the first 3 s and 290 in the 20 s after that;
// with three readers they make 15 and 84.
func TestStoreCallsDoNotGrowWithDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 5, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		readers, others := f.roles()
		assert.Equal(t, len(readers), 3)
		assert.Assert(t, f.store.callCount() <= 3*6, "%d calls for a start", f.store.callCount())
		assert.Equal(t, f.store.staleListCount(), 50)
		readers[0].set(func(n *testNode) { n.storeDelay = 300 * time.Millisecond })
		time.Sleep(time.Second) // shifts the phase of the readers' calls against each other
		readers[0].set(func(n *testNode) { n.storeDelay = 0 })
		before, peerRequests := f.store.callCount(), f.store.peerRequestCount()
		time.Sleep(20 * time.Second)
		calls := f.store.callCount() - before
		assert.Assert(t, calls <= 3*30, "%d calls in 20 s", calls)
		// A node sends each of its two update sources one request per watch, also a
		// source that is no reader and follows two itself. More requests took 8% of the
		// processor time of 74 small machines.
		perNode := float64(f.store.peerRequestCount()-peerRequests) / float64(len(others)) / 20
		assert.Assert(t, perNode < 2.2/DefaultConfig().WatchWait.Seconds(), "%.2f peer requests per second", perNode)
		f.store.publish(2)
		f.store.remove("a-4")
		time.Sleep(time.Second)
		assert.Equal(t, f.lacking(others, 2, "a-4"), 0)
	})
}

// A stale listing may be seconds old. The node must be up to date a moment later, by a
// peer update or its own call, and must not claim to be before.
func TestStaleListingIsFollowedByFreshState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{store: newTestStore(), nodes: nil}
		f.store.publish(1)
		f.store.put(publishedUpstream("gone", 0))
		f.store.remove("gone")
		f.store.publish(2)
		f.store.staleBy = 2
		n := &testNode{store: f.store, fleet: f}
		follower, holder := followNode(t, n)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, holder.ID().Edition, uint64(1), "it can serve from a stale listing")
		_, known := follower.Member("gone")
		assert.Assert(t, known)
		update, err := follower.PeerUpdateAfter(t.Context(), PeerRequest{})
		assert.NilError(t, err)
		assert.Equal(t, update.Age, unknownStaleness)
		time.Sleep(firstUpdateWait + 100*time.Millisecond)
		assert.Equal(t, holder.ID().Edition, uint64(2))
		_, known = follower.Member("gone")
		assert.Assert(t, !known)
	})
}

// Two of the three readers become unresponsive or end, and the nodes that follow only
// these lose both sources: changes must still reach all others in time.
func TestTwoReadersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 6, "a", "b", "c", "d", "e")
		readers, others := f.roles()
		readers[0].set(func(n *testNode) { n.unresponsive, n.cutOff = true, true })
		readers[1].set(func(n *testNode) { n.dead, n.cutOff = true, true })
		for edition := uint64(2); edition < 12; edition++ {
			f.store.publish(edition)
			time.Sleep(changeBound)
			assert.Equal(t, f.lacking(others, edition, ""), 0)
			time.Sleep(330 * time.Millisecond) // shifts the phase of the peer requests
		}
	})
}

// followNode runs one node with peers, none of which responds.
func followNode(t *testing.T, n *testNode) (*Follower, *snapshot.Holder) {
	n.holder = &snapshot.Holder{}
	n.follower = NewFollower(DefaultConfig(), n, n, n.holder, log.New(io.Discard), func(*Directory) {})
	n.follower.follow(t)
	return n.follower, n.holder
}

// A peer whose state is older by most of a watch gets a response at once even if there is
// no change. Otherwise a node that started at the same time as its source would wait so
// long that it calls the store itself: 5 to 41 calls more in a start of 50 nodes.
func TestStalePeerIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 2, "a", "b", "c")
		source := f.sorted()[0].follower
		source.mu.Lock()
		req := PeerRequest{After: Cursor{Epoch: source.runID, Sequence: source.registry.Sequence()}, Table: source.tableVersionLocked(), Age: unknownStaleness}
		source.mu.Unlock()
		began := time.Now()
		update, err := source.PeerUpdateAfter(t.Context(), req)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) == 0 && update.Age < DefaultConfig().PeerMaxStaleness)
		req.Age = update.Age
		_, err = source.PeerUpdateAfter(t.Context(), req)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) > 0, "without a change the request must be held open")
	})
}
