package discovery

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
)

// A pause is as long as the work before it, within bounds that keep a large table in
// time.
func TestPauseIsAsLongAsTheWork(t *testing.T) {
	assert.Equal(t, pauseAfter(0), shortestPause)
	assert.Equal(t, pauseAfter(5*time.Millisecond), 5*time.Millisecond)
	assert.Equal(t, pauseAfter(time.Second), longestPause)
}

// Tables come with calls of the store and with news of other nodes. In both the work
// on one is paused, after each unit for as long as that took.
func TestAllWorkOfASourceIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unit = 5 * time.Millisecond
		f := startFollowers(t, 8, "a")
		var mu sync.Mutex
		paused := make(map[bool][]time.Duration)
		setAll(f.sorted(), func(n *testNode) {
			n.work = func(ctx context.Context, decoding bool) {
				done := StartPacing(ctx)
				for range 2 {
					time.Sleep(unit)
					began := time.Now()
					done()
					mu.Lock()
					paused[decoding] = append(paused[decoding], time.Since(began))
					mu.Unlock()
				}
			}
		})
		f.store.publish(2)
		time.Sleep(drainBound)
		mu.Lock()
		defer mu.Unlock()
		for _, decoding := range []bool{false, true} {
			assert.Assert(t, len(paused[decoding]) > 0)
			for _, pause := range paused[decoding] {
				assert.Equal(t, pause, unit)
			}
		}
	})
}

// The work on a table, pauses included, keeps neither requests waiting nor other
// changes: while one node decodes a table for very long, what requests ask is
// answered at once, and a leaving is known in time.
func TestDecodingHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		_, others := f.roles()
		node, leaves := others[0], others[len(others)-1]
		decoding := false
		node.set(func(n *testNode) {
			n.work = func(_ context.Context, decodes bool) {
				if decodes {
					node.set(func(*testNode) { decoding = true })
					time.Sleep(time.Minute)
				}
			}
		})
		f.store.publish(2)
		time.Sleep(100 * time.Millisecond)
		node.set(func(*testNode) { assert.Assert(t, decoding) })
		f.store.put(Upstream{ID: f.idOf(leaves), Service: "s", Address: leaves.addr, DataCentre: "b", Slots: 1, Leaving: true})
		time.Sleep(drainBound)
		began := time.Now()
		m, _ := node.follower.Member(f.idOf(leaves))
		assert.Equal(t, m.Status, membership.Leaving)
		node.follower.Limits()
		node.follower.Staleness(began)
		node.follower.Status(began)
		_, err := node.follower.PeerUpdateAfter(t.Context(), PeerRequest{Age: unknownAge})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(time.Minute)
	})
}
