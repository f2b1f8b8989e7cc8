package discovery

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/snapshot"
)

// testFleet is a number of nodes in data centres of one region.
type testFleet struct {
	store *testStore
	nodes map[netip.Addr]*testNode
}

// startFollowers runs perCentre nodes in each data centre until the test ends, and waits
// until readers are chosen.
func startFollowers(t *testing.T, perCentre int, centres ...string) *testFleet {
	return startFollowersWith(t, func(*Config) {}, 0, perCentre, centres...)
}

// startFollowersWith is startFollowers with changed settings. With a pause, the upstreams
// are published one after another with that pause, in random order, while the nodes are
// already running.
func startFollowersWith(t *testing.T, change func(*Config), pause time.Duration, perCentre int, centres ...string) *testFleet {
	f, entries := newTestFleet(change, perCentre, centres...)
	f.store.publish(1)
	if pause == 0 {
		f.put(entries, 0)
	}
	f.run(t)
	if pause > 0 {
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		f.put(entries, pause)
	}
	time.Sleep(3 * time.Second)
	return f
}

// put publishes entries with a pause after each.
func (f *testFleet) put(entries []Upstream, pause time.Duration) {
	for _, up := range entries {
		f.store.put(up)
		time.Sleep(pause)
	}
}

// newTestFleet returns nodes that are not running yet, the entries of their upstreams,
// and an empty store.
func newTestFleet(change func(*Config), perCentre int, centres ...string) (*testFleet, []Upstream) {
	f := &testFleet{store: newTestStore(), nodes: make(map[netip.Addr]*testNode)}
	var entries []Upstream
	for c, centre := range centres {
		for i := range perCentre {
			addr := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:80", c, i+1))
			entries = append(entries, Upstream{ID: fmt.Sprintf("%s-%d", centre, i), Service: "s", Address: addr, DataCentre: centre, Slots: 1})
			n := &testNode{store: f.store, fleet: f, addr: addr, holder: &snapshot.Holder{}}
			cfg := DefaultConfig()
			cfg.Self, cfg.PeerPort, cfg.DataCentre = addr, 7000, centre
			change(&cfg)
			n.follower = NewFollower(cfg, n, n, n.holder, log.New(io.Discard), func(*Directory) {})
			f.nodes[addr.Addr()] = n
		}
	}
	return f, entries
}

// run runs the nodes until the test ends.
func (f *testFleet) run(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { stop(); group.Wait() })
	for _, n := range f.nodes {
		group.Go(func() { n.follower.Run(ctx) })
	}
}

func (f *testFleet) published() []Upstream {
	u, _ := f.store.changesAfter(0)
	return u.Upstreams
}

// sorted returns the nodes sorted by address.
func (f *testFleet) sorted() []*testNode {
	return slices.SortedFunc(maps.Values(f.nodes), func(a, b *testNode) int { return a.addr.Compare(b.addr) })
}

// roles returns the readers and the other nodes, sorted by address.
func (f *testFleet) roles() (readers, others []*testNode) {
	for _, n := range f.sorted() {
		if n.follower.Status(time.Now()).Reader {
			readers = append(readers, n)
		} else {
			others = append(others, n)
		}
	}
	return readers, others
}

// lacking counts the nodes that do not hold a table edition or still know an upstream.
func (f *testFleet) lacking(nodes []*testNode, edition uint64, without string) int {
	n := 0
	for _, node := range nodes {
		_, known := node.follower.Member(without)
		if node.holder.ID().Edition < edition || known {
			n++
		}
	}
	return n
}

// idOf returns the ID of the upstream beside a node.
func (f *testFleet) idOf(n *testNode) string {
	for _, up := range f.published() {
		if up.Address == n.addr {
			return up.ID
		}
	}
	return ""
}
