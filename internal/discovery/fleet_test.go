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
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/walldrift/walldrift/internal/snapshot"
)

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
	// unanswered is how many of its next calls the store never answers.
	unanswered int
	trickles   int           // bytes of it that come each 50 ms all the same
	answers    time.Duration // that the store's answers take to this node
	listing    time.Duration // that a listing takes beyond that
	dropped    bool          // its next watch finds its history dropped
	work       sourceWork    // done in its calls; nil for none
}

// sourceWork is work of a Source in a call of the store or in Decode.
type sourceWork func(ctx context.Context, decoding bool)

func (n *testNode) doWork(ctx context.Context, decoding bool) {
	n.mu.Lock()
	work := n.work
	n.mu.Unlock()
	if work != nil {
		work(ctx, decoding)
	}
}

func (n *testNode) set(edit func(*testNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit(n)
}

// heal ends all that befell the node.
func (n *testNode) heal() {
	n.cut, n.silent, n.dead, n.dropped = false, false, false, false
	n.way, n.answers, n.listing, n.unanswered, n.trickles = 0, 0, 0, 0, 0
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
	n.mu.Lock()
	lost := n.cut || n.unanswered > 0
	n.unanswered = max(n.unanswered-1, 0)
	trickles := n.trickles
	n.mu.Unlock()
	for lost {
		if trickles == 0 {
			<-ctx.Done()
		}
		ReportProgress(ctx, trickles)
		wait(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	n.doWork(ctx, false)
	return nil
}

// deliver waits while an answer of the store, which is longer by extra, is on its
// way.
func (n *testNode) deliver(ctx context.Context, extra time.Duration) error {
	n.mu.Lock()
	way := n.answers + extra
	n.mu.Unlock()
	wait(ctx, way)
	return ctx.Err()
}

// forgotten reports whether the history was dropped since the last watch.
func (n *testNode) forgotten() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	dropped := n.dropped
	n.dropped = false
	return dropped
}

func (n *testNode) List(ctx context.Context) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	u, _ := n.store.after(0)
	u.Removed = nil
	n.mu.Lock()
	listing := n.listing
	n.mu.Unlock()
	return u, n.deliver(ctx, listing)
}

// ListStale returns what was published store.behind changes ago, and is counted apart.
func (n *testNode) ListStale(ctx context.Context) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	n.store.mu.Lock()
	n.store.calls--
	n.store.glanced++
	early := &testStore{log: n.store.log[:len(n.store.log)-min(n.store.behind, len(n.store.log))]}
	n.store.mu.Unlock()
	u, _ := early.after(0)
	u.Removed = nil
	return u, n.deliver(ctx, 0)
}

func (n *testNode) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	if n.forgotten() {
		return Update{}, ErrHistoryGone
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
			return u, n.deliver(ctx, 0)
		}
		select {
		case <-changed:
		case <-timer.C:
			return u, n.deliver(ctx, 0)
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

func (n *testNode) Check(ctx context.Context) error {
	if err := n.call(ctx); err != nil {
		return err
	}
	return n.deliver(ctx, 0)
}

func (n *testNode) Decode(ctx context.Context, raw []byte) (*Document, error) {
	n.doWork(ctx, true)
	return (&fakeSource{}).Decode(ctx, raw)
}

// Ask asks another node over the codec, as on the wire.
func (n *testNode) Ask(ctx context.Context, node netip.AddrPort, ask PeerRequest) (PeerUpdate, error) {
	n.store.mu.Lock()
	n.store.asked++
	n.store.mu.Unlock()
	to, ok := n.fleet.nodes[node.Addr()]
	if !ok {
		return PeerUpdate{}, errors.New("no node there")
	}
	_, silent, dead := to.state()
	if dead {
		return PeerUpdate{}, errors.New("connection refused")
	}
	if silent {
		<-ctx.Done()
		return PeerUpdate{}, ctx.Err()
	}
	news, err := to.follower.PeerUpdateAfter(ctx, ask)
	if err != nil {
		return PeerUpdate{}, err
	}
	raw, err := cbor.Marshal(news)
	if err != nil {
		return PeerUpdate{}, err
	}
	to.mu.Lock()
	way := to.way
	to.mu.Unlock()
	wait(ctx, way)
	var out PeerUpdate
	return out, cbor.Unmarshal(raw, &out)
}

// testFleet is some nodes in data centres of one region.
type testFleet struct {
	store *testStore
	nodes map[netip.Addr]*testNode
}

// startFollowers runs perCentre nodes in each data centre until the test ends,
// and waits until roles are settled.
func startFollowers(t *testing.T, perCentre int, centres ...string) *testFleet {
	return startFollowersWith(t, func(*Config) {}, 0, perCentre, centres...)
}

// startFollowersWith is startFollowers with settings changed, and with upstreams that are
// published one after the other with a pause, beside nodes that run already.
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

// put publishes entries with a pause between them.
func (f *testFleet) put(entries []Upstream, pause time.Duration) {
	for _, up := range entries {
		f.store.put(up)
		time.Sleep(pause)
	}
}

// newTestFleet returns nodes that do not run yet, with the entries beside them, and an empty
// store.
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
	u, _ := f.store.after(0)
	return u.Upstreams
}

// sorted returns the nodes in the order of their addresses.
func (f *testFleet) sorted() []*testNode {
	return slices.SortedFunc(maps.Values(f.nodes), func(a, b *testNode) int { return a.addr.Compare(b.addr) })
}

// roles returns the readers and the other nodes, in the order of their addresses.
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

// idOf returns the entry beside a node.
func (f *testFleet) idOf(n *testNode) string {
	for _, up := range f.published() {
		if up.Address == n.addr {
			return up.ID
		}
	}
	return ""
}
