package discovery

import (
	"context"
	"net/netip"
	"sync"
	"time"

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
