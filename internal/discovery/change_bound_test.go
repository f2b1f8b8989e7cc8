package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/membership"
)

// Guards against requests that reach an upstream after the change bound has passed since
// its leaving or removal was published. One did so 2,537 ms after a leaving, when the
// staleness of a node was not bounded. Faults that delay a change:
//
//   - A node noticed after 1.3 s that its update sources were unresponsive, and then lost
//     1.5 s more to one call of the store without a response.
//   - A node whose store had dropped its history requested no peer updates until it had
//     listed the whole store. Over a saturated link every listing exceeded its limit of
//     0.8 s and started again, for 23.9 s.
//   - A reader understated its staleness, since it counted from when a response was read
//     and not from when the store gave it.
//   - A node whose own calls failed mistook that for an outage, though peer updates kept
//     arriving, and kept removed upstreams for OutageGrace of 2.2 s; a request reached one
//     2,658 ms after its end.
//
// One failure of any kind on the path of a change, at any moment, must leave it within
// the bound at every node that can reach the store.
func TestChangeBoundWithOneFailure(t *testing.T) {
	loseOneCall := func(n *testNode) { n.unanswered = 1 }
	isolate := func(n *testNode) { n.cutOff, n.unresponsive = true, true }
	for name, c := range map[string]struct {
		readers, reader, node func(*testNode) // faults of all readers but one, of that one, and of one other node
		onlyNode, readerToo   bool            // which nodes are checked; otherwise all that are not readers
	}{
		"one call lost, all readers unresponsive": {readers: isolate, reader: isolate, node: loseOneCall, onlyNode: true},
		"one call lost at the only reader":        {readers: isolate, reader: loseOneCall, readerToo: true},
		"only reader over a saturated link": {readers: isolate, reader: func(n *testNode) {
			n.storeDelay, n.replyDelay = 790*time.Millisecond, time.Second
		}},
		"one check lost": {node: loseOneCall},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFollowers(t, 8, "a", "b")
				f.addRemovable()
				readers, others := f.roles()
				node, leaving := others[0], others[len(others)-1]
				for edition := uint64(2); edition < 40; edition++ {
					f.shiftPhase(edition)
					setFaults(readers[1:], c.readers)
					setFaults(readers[:1], c.reader)
					setFaults(others[:1], c.node)
					checked := slices.Clone(others)
					switch {
					case c.onlyNode:
						checked = []*testNode{node}
					case c.readerToo:
						checked = append(checked, readers[0])
					}
					f.assertChangesApplied(t, edition, checked, leaving)
					setFaults(f.sorted(), (*testNode).heal)
					time.Sleep(changeBound)
				}
			})
		})
	}
}

// Calls lost by one node are not an outage of the store: upstreams removed meanwhile must
// be dropped as soon as a call gets a response, not after OutageGrace.
func TestLostCallsAreNotAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		lose   func(readers []*testNode, node *testNode)
		ends   time.Duration // after the calls began to be lost, in the first phase
		step   time.Duration // between phases
		within time.Duration // after the end
	}{
		"many calls lost, peer updates arrive": {
			lose: func(_ []*testNode, node *testNode) {
				node.set(func(n *testNode) { n.unanswered = 4 })
				// An unreachable store makes the node call it.
				node.follower.markStoreUnreachable(context.Background(), time.Now(), errResponseOverdue)
			},
			ends: 2500 * time.Millisecond, step: 250 * time.Millisecond, within: changeBound,
		},
		"two calls lost, no peer updates": {
			lose: func(readers []*testNode, node *testNode) {
				setFaults(readers, func(n *testNode) { n.cutOff, n.unresponsive = true, true })
				time.Sleep(3 * time.Second) // it now reads the store itself
				node.set(func(n *testNode) { n.unanswered = 2 })
			},
			within: DefaultConfig().MaxStaleness(2) + ResponseAllowance,
		},
	} {
		for phase := range 8 {
			t.Run(fmt.Sprintf("%s, phase %d", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFollowers(t, 8, "a", "b")
					f.addRemovable()
					readers, others := f.roles()
					node := others[0]
					c.lose(readers, node)
					time.Sleep(c.ends + time.Duration(phase)*c.step)
					f.store.remove(removedID)
					time.Sleep(c.within)
					_, known := node.follower.Member(removedID)
					assert.Assert(t, !known)
				})
			})
		}
	}
}

// If update sources respond before the store does, they decide whether there was an
// outage.
func TestPeerUpdateReportsOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := follow(t, &fakeSource{fail: errors.New("down")})
			time.Sleep(5 * time.Second)
			assert.NilError(t, f.applyPeerUpdate(t.Context(), time.Now(), "a", PeerUpdate{Outage: outage}))
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.registry.InOutage(time.Now()), outage)
		})
	}
}

// shiftPhase waits so that the next change falls at another point between calls and peer
// requests, and writes two changes, as changes come in series.
func (f *testFleet) shiftPhase(edition uint64) {
	time.Sleep(time.Duration(edition%13) * 130 * time.Millisecond)
	for range 2 {
		f.store.write(func(*Update) {})
		time.Sleep(20 * time.Millisecond)
	}
}

// A node that has to list the whole store over a saturated link, which takes seconds,
// must keep getting changes by peer updates.
func TestPeerUpdatesContinueDuringRelist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		f.addRemovable()
		readers, others := f.roles()
		node := others[0]
		setFaults(readers, func(n *testNode) { n.unresponsive = true })
		node.set(func(n *testNode) { n.historyLost, n.listDelay = true, 20*time.Second })
		time.Sleep(3 * time.Second)
		setFaults(readers, func(n *testNode) { n.unresponsive = false })
		time.Sleep(2 * time.Second)
		for edition := uint64(2); edition < 12; edition++ {
			f.assertChangesApplied(t, edition, []*testNode{node}, others[len(others)-1])
		}
	})
}

// removedID is the upstream whose removal is tested; no node of the fleet is beside it.
const removedID = "ending"

func (f *testFleet) addRemovable() {
	f.store.put(Upstream{ID: removedID, Service: "s", Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "a", Slots: 1})
	time.Sleep(changeBound)
}

// assertChangesApplied publishes a table, a leaving, and the removal of an upstream that
// was not leaving, and fails if one of the nodes lacks one of them after the bound.
func (f *testFleet) assertChangesApplied(t *testing.T, edition uint64, nodes []*testNode, leaving *testNode) {
	t.Helper()
	id := f.idOf(leaving)
	entry := Upstream{ID: id, Service: "s", Address: leaving.addr, DataCentre: "b", Slots: 1}
	f.store.publish(edition)
	entry.Leaving = true
	f.store.put(entry)
	f.store.remove(removedID)
	time.Sleep(changeBound)
	for _, n := range nodes {
		_, known := n.follower.Member(removedID)
		assert.Assert(t, !known, "edition %d: %v still knows a removed upstream", edition, n.addr)
		m, _ := n.follower.Member(id)
		assert.Equal(t, n.holder.ID().Edition, edition, "table of %v", n.addr)
		assert.Equal(t, m.Status, membership.Leaving, "edition %d: leaving upstream at %v", edition, n.addr)
	}
	entry.Leaving = false // as if another process had started
	f.store.put(entry)
	f.addRemovable()
	time.Sleep(changeBound)
}

// setFaults edits nodes; it does nothing if edit is nil.
func setFaults(nodes []*testNode, edit func(*testNode)) {
	if edit == nil {
		return
	}
	for _, n := range nodes {
		n.set(edit)
	}
}

// A node must never report a staleness below the time since a change that it lacks was
// published, whatever the network times are. It decides by its staleness when to call the
// store, and its followers do so too.
func TestStalenessIsNeverUnderstated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 6, "a", "b")
		rnd := rand.New(rand.NewPCG(1, 2))
		published := make(map[uint64]time.Time)
		edition, next := uint64(1), time.Now()
		for range 4000 {
			if now := time.Now(); now.After(next) {
				edition++
				f.store.publish(edition)
				published[edition] = now
				next = now.Add(randomBelow(rnd, 1500*time.Millisecond))
				n := f.sorted()[rnd.IntN(len(f.nodes))]
				n.set(func(n *testNode) {
					n.storeDelay, n.replyDelay = randomBelow(rnd, time.Second), randomBelow(rnd, time.Second)
				})
			}
			time.Sleep(20 * time.Millisecond)
			now := time.Now()
			for _, n := range f.sorted() {
				if missing := n.holder.ID().Edition + 1; missing <= edition {
					since := now.Sub(published[missing])
					assert.Assert(t, n.follower.Staleness(now) >= since, "%v lacks a change published %v ago, staleness %v", n.addr, since, n.follower.Staleness(now))
				}
			}
		}
	})
}

func randomBelow(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)))
}

// Whatever fails at other nodes, one after another or together, a node that itself has
// lost at most one call has every change within the bound.
func TestChangeBoundWithFailuresElsewhere(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			f := startFollowers(t, 8, "a", "b", "c")
			f.addRemovable()
			nodes := f.sorted()
			leaving := nodes[len(nodes)-1]
			for edition := uint64(2); edition < 25; edition++ {
				rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
				readers, _ := f.roles()
				failing := slices.Concat(readers[:rnd.IntN(len(readers)+1)], nodes[:rnd.IntN(4)])
				for _, n := range failing {
					n.set(func(n *testNode) { n.injectFault(rnd) })
					time.Sleep(randomBelow(rnd, 900*time.Millisecond))
				}
				healthy := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return slices.Contains(failing, n) })
				healthy[0].set(func(n *testNode) { n.unanswered = 1 })
				f.shiftPhase(rnd.Uint64())
				f.assertChangesApplied(t, edition, healthy, leaving)
				for _, n := range failing {
					n.set((*testNode).heal)
					time.Sleep(randomBelow(rnd, 900*time.Millisecond))
				}
				time.Sleep(faultSpacing)
			}
		})
	}
}

// faultSpacing is the time after which the platform counts a machine as healthy again
// after a fault.
const faultSpacing = 3 * time.Second

// injectFault gives the node a random fault.
func (n *testNode) injectFault(rnd *rand.Rand) {
	switch rnd.IntN(6) {
	case 0:
		n.cutOff = true
	case 1:
		n.cutOff, n.unresponsive = true, true
	case 2:
		n.cutOff, n.dead = true, true
	case 3:
		n.storeDelay, n.replyDelay = randomBelow(rnd, 3*time.Second), randomBelow(rnd, 2*time.Second)
	case 4:
		n.historyLost, n.listDelay = true, randomBelow(rnd, 4*time.Second)
	case 5:
		n.unanswered = 1 + rnd.IntN(5)
	}
}
