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

// testNode is a node with its own network conditions to the store and to other nodes.
type testNode struct {
	store    *testStore
	fleet    *testFleet
	addr     netip.AddrPort
	follower *Follower
	holder   *snapshot.Holder

	mu           sync.Mutex
	cutOff       bool          // the store does not respond to this node
	unresponsive bool          // this node responds to nobody
	dead         bool          // this node refuses connections
	replyDelay   time.Duration // network time of its peer updates
	// unanswered is how many of its next calls get no response.
	unanswered   int
	trickleBytes int           // bytes of a missing response that arrive every 50 ms all the same
	storeDelay   time.Duration // network time of the store's responses to this node
	listDelay    time.Duration // additional time of a listing
	historyLost  bool          // its next watch gets ErrHistoryGone
	extraWork    sourceWork    // done in its calls; nil for none
}

// sourceWork is CPU-bound work of a Source in a call of the store or in Decode.
type sourceWork func(ctx context.Context, decoding bool)

func (n *testNode) doWork(ctx context.Context, decoding bool) {
	n.mu.Lock()
	extraWork := n.extraWork
	n.mu.Unlock()
	if extraWork != nil {
		extraWork(ctx, decoding)
	}
}

func (n *testNode) set(edit func(*testNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit(n)
}

// heal ends all faults of the node.
func (n *testNode) heal() {
	n.cutOff, n.unresponsive, n.dead, n.historyLost = false, false, false, false
	n.replyDelay, n.storeDelay, n.listDelay, n.unanswered, n.trickleBytes = 0, 0, 0, 0, 0
}

func (n *testNode) faults() (cutOff, unresponsive, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff, n.unresponsive, n.dead
}

func (n *testNode) call(ctx context.Context) error {
	n.store.mu.Lock()
	n.store.calls++
	n.store.mu.Unlock()
	n.mu.Lock()
	noResponse := n.cutOff || n.unanswered > 0
	n.unanswered = max(n.unanswered-1, 0)
	trickleBytes := n.trickleBytes
	n.mu.Unlock()
	for noResponse {
		if trickleBytes == 0 {
			<-ctx.Done()
		}
		ReportProgress(ctx, trickleBytes)
		sleepContext(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	n.doWork(ctx, false)
	return nil
}

// deliver waits for the network time of a response of the store, plus extra.
func (n *testNode) deliver(ctx context.Context, extra time.Duration) error {
	n.mu.Lock()
	delay := n.storeDelay + extra
	n.mu.Unlock()
	sleepContext(ctx, delay)
	return ctx.Err()
}

// takeHistoryLost reports whether the history was dropped since the last watch.
func (n *testNode) takeHistoryLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	historyLost := n.historyLost
	n.historyLost = false
	return historyLost
}

func (n *testNode) List(ctx context.Context) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	u, _ := n.store.changesAfter(0)
	u.Removed = nil
	n.mu.Lock()
	listDelay := n.listDelay
	n.mu.Unlock()
	return u, n.deliver(ctx, listDelay)
}

// ListStale returns the state of the store staleBy changes ago; it is counted separately.
func (n *testNode) ListStale(ctx context.Context) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	n.store.mu.Lock()
	n.store.calls--
	n.store.staleLists++
	older := &testStore{log: n.store.log[:len(n.store.log)-min(n.store.staleBy, len(n.store.log))]}
	n.store.mu.Unlock()
	u, _ := older.changesAfter(0)
	u.Removed = nil
	return u, n.deliver(ctx, 0)
}

func (n *testNode) Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error) {
	if err := n.call(ctx); err != nil {
		return Update{}, err
	}
	if n.takeHistoryLost() {
		return Update{}, ErrHistoryGone
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, changed := n.store.changesAfter(after)
		if cutOff, _, _ := n.faults(); cutOff {
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

// Ask sends a request to another node, with the update encoded and decoded as on the
// wire.
func (n *testNode) Ask(ctx context.Context, node netip.AddrPort, req PeerRequest) (PeerUpdate, error) {
	n.store.mu.Lock()
	n.store.peerRequests++
	n.store.mu.Unlock()
	to, ok := n.fleet.nodes[node.Addr()]
	if !ok {
		return PeerUpdate{}, errors.New("no node there")
	}
	_, unresponsive, dead := to.faults()
	if dead {
		return PeerUpdate{}, errors.New("connection refused")
	}
	if unresponsive {
		<-ctx.Done()
		return PeerUpdate{}, ctx.Err()
	}
	update, err := to.follower.PeerUpdateAfter(ctx, req)
	if err != nil {
		return PeerUpdate{}, err
	}
	raw, err := cbor.Marshal(update)
	if err != nil {
		return PeerUpdate{}, err
	}
	to.mu.Lock()
	delay := to.replyDelay
	to.mu.Unlock()
	sleepContext(ctx, delay)
	var out PeerUpdate
	return out, cbor.Unmarshal(raw, &out)
}

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
