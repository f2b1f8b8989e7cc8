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

// A request reached an upstream 2,537 ms after its leaving had been published,
// over two nodes that both went by older news. Nothing bounded the age of their
// news: a node whose sources fell silent noticed it after 1.3 s, and one call of
// the store that got no answer cost it 1.5 s more before it made the next. Behind
// a full link it was worse. A node whose store had dropped its history asked
// nobody for news until it had listed all anew, each listing had 0.8 s, and each
// that was too slow was thrown away and begun again:
//
//	 8.286 store lost err="context deadline exceeded"
//	 9.136 store dropped its history, listing anew
//	32.188 store reached again away=23.9s
//
// What the reader of the store knew was told as younger than it was, besides: an
// answer counted from when it was read, not from when the store had given it.
//
// And a node that knew of an end went on believing in the upstream: its own calls
// of the store failed, so it took the store for away, and gave all that had ended
// 2.2 s to appear again, as after an outage, though its news had come all the while:
//
//	23.874 store reached again away=18.9s
//	26.036 (the request reaches the upstream, 2,658 ms after its end)
//	26.077 upstream gone news_age=169ms
//
// One failure of any kind on the way of a change, at any moment, must leave it
// within the bound at every node that can reach the store.
func TestOneFailureKeepsChangesWithinTheBound(t *testing.T) {
	unanswered := func(n *testNode) { n.unanswered = 1 }
	gone := func(n *testNode) { n.cut, n.silent = true, true }
	for name, c := range map[string]struct {
		readers, reader, node func(*testNode) // what befalls all but one reader, that one, and one other node
		onlyNode, readerToo   bool            // which are looked at; otherwise all that do not read
	}{
		"a call unanswered, all readers silent": {readers: gone, reader: gone, node: unanswered, onlyNode: true},
		"a call unanswered at the only reader":  {readers: gone, reader: unanswered, readerToo: true},
		"the only reader is behind a full link": {readers: gone, reader: func(n *testNode) {
			n.answers, n.way = 790*time.Millisecond, time.Second
		}},
		"a check unanswered": {node: unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFollowers(t, 8, "a", "b")
				f.addEnding()
				readers, others := f.roles()
				node, leaves := others[0], others[len(others)-1]
				for edition := uint64(2); edition < 40; edition++ {
					f.settle(edition)
					setAll(readers[1:], c.readers)
					setAll(readers[:1], c.reader)
					setAll(others[:1], c.node)
					looked := slices.Clone(others)
					switch {
					case c.onlyNode:
						looked = []*testNode{node}
					case c.readerToo:
						looked = append(looked, readers[0])
					}
					f.meet(t, edition, looked, leaves)
					setAll(f.sorted(), (*testNode).heal)
					time.Sleep(drainBound)
				}
			})
		})
	}
}

// Lost calls of a node are no outage of the store: what has ended meanwhile is given
// up as soon as one is answered, and not after the time that is given to live
// upstreams to appear again.
func TestLostCallsAreNoOutage(t *testing.T) {
	for name, c := range map[string]struct {
		lose   func(readers []*testNode, node *testNode)
		ends   time.Duration // after the calls began to be lost, in the first phase
		step   time.Duration // from one phase to the next
		within time.Duration // after the end
	}{
		"for long, while news come": {
			lose: func(_ []*testNode, node *testNode) {
				node.set(func(n *testNode) { n.unanswered = 4 })
				node.follower.lost(context.Background(), time.Now(), errOverdue) // so that it calls the store
			},
			ends: 2500 * time.Millisecond, step: 250 * time.Millisecond, within: drainBound,
		},
		"two, and no news": {
			lose: func(readers []*testNode, node *testNode) {
				setAll(readers, func(n *testNode) { n.cut, n.silent = true, true })
				time.Sleep(3 * time.Second) // it reads the store itself now
				node.set(func(n *testNode) { n.unanswered = 2 })
			},
			within: DefaultConfig().MaxStaleness(2) + ResponseAllowance,
		},
	} {
		for phase := range 8 {
			t.Run(fmt.Sprintf("%s, phase %d", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFollowers(t, 8, "a", "b")
					f.addEnding()
					readers, others := f.roles()
					node := others[0]
					c.lose(readers, node)
					time.Sleep(c.ends + time.Duration(phase)*c.step)
					f.store.remove(endingID)
					time.Sleep(c.within)
					_, knows := node.follower.Member(endingID)
					assert.Assert(t, !knows)
				})
			})
		}
	}
}

// Whether an outage was one is told by the sources of news, where they are the
// first to be heard again.
func TestOutageIsHeardOf(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := follow(t, &fakeSource{fail: errors.New("down")})
			time.Sleep(5 * time.Second)
			assert.NilError(t, f.takeNews(t.Context(), time.Now(), "a", PeerUpdate{Outage: outage}))
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.registry.InOutage(time.Now()), outage)
		})
	}
}

// settle waits for another place between calls and questions, and lets two
// changes pass, as changes come in series.
func (f *testFleet) settle(edition uint64) {
	time.Sleep(time.Duration(edition%13) * 130 * time.Millisecond)
	for range 2 {
		f.store.write(func(*Update) {})
		time.Sleep(20 * time.Millisecond)
	}
}

// A node that has to list all anew behind a full link, where that takes seconds,
// goes on by the news of others.
func TestNewsComeWhileAllIsListedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, 8, "a", "b")
		f.addEnding()
		readers, others := f.roles()
		node := others[0]
		setAll(readers, func(n *testNode) { n.silent = true })
		node.set(func(n *testNode) { n.dropped, n.listing = true, 20*time.Second })
		time.Sleep(3 * time.Second)
		setAll(readers, func(n *testNode) { n.silent = false })
		time.Sleep(2 * time.Second)
		for edition := uint64(2); edition < 12; edition++ {
			f.meet(t, edition, []*testNode{node}, others[len(others)-1])
		}
	})
}

// endingID is the upstream whose end is tested, beside no node of the fleet.
const endingID = "ending"

func (f *testFleet) addEnding() {
	f.store.put(Upstream{ID: endingID, Service: "s", Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "a", Slots: 1})
	time.Sleep(drainBound)
}

// meet publishes a table, a leaving and the end of an upstream that never said that
// it leaves, and fails if one of the nodes lacks one of them after the bound.
func (f *testFleet) meet(t *testing.T, edition uint64, nodes []*testNode, leaves *testNode) {
	t.Helper()
	id := f.idOf(leaves)
	entry := Upstream{ID: id, Service: "s", Address: leaves.addr, DataCentre: "b", Slots: 1}
	f.store.publish(edition)
	entry.Leaving = true
	f.store.put(entry)
	f.store.remove(endingID)
	time.Sleep(drainBound)
	for _, n := range nodes {
		_, knows := n.follower.Member(endingID)
		assert.Assert(t, !knows, "edition %d: %v believes in an upstream that has ended", edition, n.addr)
		m, _ := n.follower.Member(id)
		assert.Equal(t, n.holder.ID().Edition, edition, "table of %v", n.addr)
		assert.Equal(t, m.Status, membership.Leaving, "edition %d: leaving upstream at %v", edition, n.addr)
	}
	entry.Leaving = false // as another process would be
	f.store.put(entry)
	f.addEnding()
	time.Sleep(drainBound)
}

// setAll edits nodes; with nil it does nothing.
func setAll(nodes []*testNode, edit func(*testNode)) {
	if edit == nil {
		return
	}
	for _, n := range nodes {
		n.set(edit)
	}
}

// The age of a node's news is never less than that of a change that it lacks,
// whatever the ways take: on it hangs when the node asks the store itself, and the
// nodes that follow it.
func TestAgeIsNeverTooLittle(t *testing.T) {
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
				next = now.Add(upTo(rnd, 1500*time.Millisecond))
				n := f.sorted()[rnd.IntN(len(f.nodes))]
				n.set(func(n *testNode) {
					n.answers, n.way = upTo(rnd, time.Second), upTo(rnd, time.Second)
				})
			}
			time.Sleep(20 * time.Millisecond)
			now := time.Now()
			for _, n := range f.sorted() {
				if lacks := n.holder.ID().Edition + 1; lacks <= edition {
					since := now.Sub(published[lacks])
					assert.Assert(t, n.follower.Staleness(now) >= since, "%v lacks what was published %v ago, age %v", n.addr, since, n.follower.Staleness(now))
				}
			}
		}
	})
}

func upTo(rnd *rand.Rand, d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }

// Whatever befalls other nodes, one after another and together, a node that itself
// has lost no more than one call has every change within the bound.
func TestSeriesOfFailuresElsewhere(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			f := startFollowers(t, 8, "a", "b", "c")
			f.addEnding()
			nodes := f.sorted()
			leaves := nodes[len(nodes)-1]
			for edition := uint64(2); edition < 25; edition++ {
				rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
				readers, _ := f.roles()
				failing := slices.Concat(readers[:rnd.IntN(len(readers)+1)], nodes[:rnd.IntN(4)])
				for _, n := range failing {
					n.set(func(n *testNode) { n.fail(rnd) })
					time.Sleep(upTo(rnd, 900*time.Millisecond))
				}
				well := slices.DeleteFunc(slices.Clone(nodes), func(n *testNode) bool { return slices.Contains(failing, n) })
				well[0].set(func(n *testNode) { n.unanswered = 1 })
				f.settle(rnd.Uint64())
				f.meet(t, edition, well, leaves)
				for _, n := range failing {
					n.set((*testNode).heal)
					time.Sleep(upTo(rnd, 900*time.Millisecond))
				}
				time.Sleep(stability)
			}
		})
	}
}

// stability is the time after which the platform counts a machine that was in
// trouble as well again.
const stability = 3 * time.Second

// fail lets something befall the node.
func (n *testNode) fail(rnd *rand.Rand) {
	switch rnd.IntN(6) {
	case 0:
		n.cut = true
	case 1:
		n.cut, n.silent = true, true
	case 2:
		n.cut, n.dead = true, true
	case 3:
		n.answers, n.way = upTo(rnd, 3*time.Second), upTo(rnd, 2*time.Second)
	case 4:
		n.dropped, n.listing = true, upTo(rnd, 4*time.Second)
	case 5:
		n.unanswered = 1 + rnd.IntN(5)
	}
}
