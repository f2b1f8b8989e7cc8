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

// A pause is as long as the work before it, within limits that keep a large table in
// time.
func TestPauseIsAsLongAsTheWork(t *testing.T) {
	assert.Equal(t, pauseFor(0), minPause)
	assert.Equal(t, pauseFor(5*time.Millisecond), 5*time.Millisecond)
	assert.Equal(t, pauseFor(time.Second), maxPause)
}

// Tables arrive with calls of the store and with peer updates. In both the work on a
// table must be paused, after each unit for as long as that took.
func TestSourceWorkIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unit = 5 * time.Millisecond
		f := startFollowers(t, 8, "a")
		var mu sync.Mutex
		paused := make(map[bool][]time.Duration)
		setFaults(f.sorted(), func(n *testNode) {
			n.extraWork = func(ctx context.Context, decoding bool) {
				pause := StartPacing(ctx)
				for range 2 {
					time.Sleep(unit)
					startedAt := time.Now()
					pause()
					mu.Lock()
					paused[decoding] = append(paused[decoding], time.Since(startedAt))
					mu.Unlock()
				}
			}
		})
		f.store.publish(2)
		time.Sleep(changeBound)
		mu.Lock()
		defer mu.Unlock()
		for _, decoding := range []bool{false, true} {
			assert.Assert(t, len(paused[decoding]) > 0)
			for _, took := range paused[decoding] {
				assert.Equal(t, took, unit)
			}
		}
	})
}

// Decoding a table, pauses included, must block neither requests nor other changes: while
// a node decodes one for very long, the methods that requests call return at once, and a
// leaving is known in time.
func TestDecodingBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		_, others := f.roles()
		node, leaving := others[0], others[len(others)-1]
		decoding := false
		node.set(func(n *testNode) {
			n.extraWork = func(_ context.Context, decodes bool) {
				if decodes {
					node.set(func(*testNode) { decoding = true })
					time.Sleep(time.Minute)
				}
			}
		})
		f.store.publish(2)
		time.Sleep(100 * time.Millisecond)
		node.set(func(*testNode) { assert.Assert(t, decoding) })
		f.store.put(Upstream{ID: f.idOf(leaving), Service: "s", Address: leaving.addr, DataCentre: "b", Slots: 1, Leaving: true})
		time.Sleep(changeBound)
		began := time.Now()
		m, _ := node.follower.Member(f.idOf(leaving))
		assert.Equal(t, m.Status, membership.Leaving)
		node.follower.Limits()
		node.follower.Staleness(began)
		node.follower.Status(began)
		_, err := node.follower.PeerUpdateAfter(t.Context(), PeerRequest{Age: unknownStaleness})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(time.Minute)
	})
}
