package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// testStore is a store with a history, seen by any number of nodes.
type testStore struct {
	mu      sync.Mutex
	log     []Update // each with one change
	changed chan struct{}
	calls   int
}

func newTestStore() *testStore { return &testStore{changed: make(chan struct{})} }

// write publishes one change under the next revision.
func (s *testStore) write(edit func(u *Update)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Revision: uint64(len(s.log) + 1)}
	edit(&u)
	s.log = append(s.log, u)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) put(up Upstream) {
	s.write(func(u *Update) { up.Revision = u.Revision; u.Upstreams = []Upstream{up} })
}

func (s *testStore) remove(id string) {
	s.write(func(u *Update) { u.Removed = []Removal{{ID: id, Revision: u.Revision}} })
}

func (s *testStore) publish(edition uint64) {
	s.write(func(u *Update) { u.Document = testDocument(edition) })
}

// after joins the changes after a revision, and returns what tells the next.
func (s *testStore) after(revision uint64) (Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Revision: uint64(len(s.log))}
	last := make(map[string]int)
	for i, one := range s.log {
		for _, up := range one.Upstreams {
			last[up.ID] = i
		}
		for _, r := range one.Removed {
			last[r.ID] = i
		}
	}
	for i, one := range s.log {
		if one.Revision <= revision {
			continue
		}
		if one.Document != nil {
			u.Document = one.Document
		}
		for _, up := range one.Upstreams {
			if last[up.ID] == i {
				u.Upstreams = append(u.Upstreams, up)
			}
		}
		for _, r := range one.Removed {
			if last[r.ID] == i {
				u.Removed = append(u.Removed, r)
			}
		}
	}
	return u, s.changed
}

func (s *testStore) present() map[string]uint64 {
	u, _ := s.after(0)
	out := make(map[string]uint64)
	for _, up := range u.Upstreams {
		out[up.ID] = up.Revision
	}
	return out
}

func (s *testStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// testNode is one node with its own way to the store and to others.
type testNode struct {
	store    *testStore
	fleet    *testFleet
	addr     netip.AddrPort
	follower *Follower
	holder   *snapshot.Holder

	mu     sync.Mutex
	cut    bool          // the store does not answer this node
	silent bool          // this node answers nobody
	dead   bool          // this node refuses connections
	way    time.Duration // that its answers take
}

func (n *testNode) set(edit func(*testNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit(n)
}

func (n *testNode) state() (cut, silent, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut, n.silent, n.dead
}

func (n *testNode) call(ctx context.Context) error {
	n.store.mu.Lock()
	n.store.calls++
	n.store.mu.Unlock()
	if cut, _, _ := n.state(); cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (n *testNode) List(ctx context.Context) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	u, _ := n.store.after(0)
	u.Removed = nil
	return u, nil
}

func (n *testNode) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, changed := n.store.after(after)
		if cut, _, _ := n.state(); cut {
			<-ctx.Done()
			return Update{}, ctx.Err()
		}
		if u.Revision > after {
			return u, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return u, nil
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

func (n *testNode) Check(ctx context.Context) error { return n.call(ctx) }

func (n *testNode) Decode(raw []byte) (*Document, error) { return (&fakeSource{}).Decode(raw) }

// Ask asks another node over the codec, as on the wire.
func (n *testNode) Ask(ctx context.Context, node netip.AddrPort, ask Ask) (News, error) {
	to := n.fleet.nodes[node.Addr()]
	_, silent, dead := to.state()
	if dead {
		return News{}, errors.New("connection refused")
	}
	if silent {
		<-ctx.Done()
		return News{}, ctx.Err()
	}
	news, err := to.follower.NewsAfter(ctx, ask)
	if err != nil {
		return News{}, err
	}
	raw, err := encode("news", news)
	if err != nil {
		return News{}, err
	}
	to.mu.Lock()
	way := to.way
	to.mu.Unlock()
	wait(ctx, way)
	var out News
	return out, decode("news", bytes.NewReader(raw), &out)
}

// testFleet is some nodes in data centres of one region.
type testFleet struct {
	store *testStore
	nodes map[netip.Addr]*testNode
}

// startFollowers runs perCentre nodes in each data centre until the test ends,
// and waits until roles are settled.
func startFollowers(t *testing.T, perCentre int, centres ...string) *testFleet {
	f := &testFleet{store: newTestStore(), nodes: make(map[netip.Addr]*testNode)}
	f.store.publish(1)
	for c, centre := range centres {
		for i := range perCentre {
			addr := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:80", c, i+1))
			f.store.put(Upstream{ID: fmt.Sprintf("%s-%d", centre, i), Service: "s", Address: addr, DataCentre: centre, Slots: 1})
			f.nodes[addr.Addr()] = &testNode{store: f.store, fleet: f, addr: addr}
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { stop(); group.Wait() })
	for _, n := range f.nodes {
		cfg := DefaultConfig()
		cfg.Self, cfg.PeerPort = n.addr, 7000
		for _, up := range f.published() {
			if up.Address == n.addr {
				cfg.DataCentre = up.DataCentre
			}
		}
		n.holder = &snapshot.Holder{}
		n.follower = NewFollower(cfg, n, n, n.holder, log.New(io.Discard), func(*Directory) {})
	}
	for _, n := range f.nodes {
		group.Go(func() { n.follower.Run(ctx) })
	}
	time.Sleep(3 * time.Second)
	return f
}

func (f *testFleet) published() []Upstream {
	u, _ := f.store.after(0)
	return u.Upstreams
}

// roles returns the readers and the other nodes.
func (f *testFleet) roles() (readers, others []*testNode) {
	for _, n := range f.nodes {
		if n.follower.Status(time.Now()).Reader {
			readers = append(readers, n)
		} else {
			others = append(others, n)
		}
	}
	return readers, others
}

// lacking counts the nodes that do not hold an edition or still know an
// upstream.
func (f *testFleet) lacking(nodes []*testNode, edition uint64, without string) int {
	n := 0
	for _, node := range nodes {
		_, knows := node.follower.Member(without)
		if node.holder.ID().Edition < edition || knows {
			n++
		}
	}
	return n
}

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
		time.Sleep(LapseGrace + drainBound)
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
		time.Sleep(LapseGrace + 2*drainBound)
		assert.Equal(t, f.lacking(cut, 2, lapsed), 0)
	})
}

// idOf returns the entry beside a node.
func (f *testFleet) idOf(n *testNode) string {
	for _, up := range f.published() {
		if up.Address == n.addr {
			return up.ID
		}
	}
	return ""
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
			"direct": func(*rapid.T) { follow(merged); merged.Confirm(now) },
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
				merged.Confirm(now)
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

// An entry that lapsed at a reader is told with the time it is still believed,
// so that one who turns to the store later does not believe it for ever.
func TestLapsedEntryIsToldWithItsTime(t *testing.T) {
	reader, follower := NewRegistry(), NewRegistry()
	reader.Replace(start, listed(2, up("a", 1), up("b", 2)))
	reader.Lost()
	reader.Replace(start, listed(9, up("b", 2)))
	u, whole := reader.Since(start, 0)
	follower.Replace(start, listed(2, up("a", 1), up("b", 2)))
	follower.Merge(start, u, whole, true)
	assert.DeepEqual(t, ids(follower), []string{"a", "b"})
	assert.Equal(t, follower.Revision(), uint64(9))
	at, ok := follower.NextExpiry()
	assert.Assert(t, ok && at.Equal(start.Add(LapseGrace)))
	assert.Assert(t, follower.Expire(at))
	assert.DeepEqual(t, ids(follower), []string{"b"})
}
