package discovery

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Of 30 nodes per data centre two have links of 140 Mbit/s and the others of 7. Within
// seconds of the start all nodes must follow the ones with fast links, and only these
// read the store; when they are lost, others replace them.
func TestNodesWithFastLinksAreReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fast := func(addr string) bool { return strings.HasSuffix(addr, ".11:80") || strings.HasSuffix(addr, ".23:80") }
		f := startFollowersWith(t, func(c *Config) {
			c.LinkMbps = 7
			if fast(c.Self.String()) {
				c.LinkMbps = 140
			}
		}, 0, 30, "a", "b", "c")
		names := make(map[string]bool)
		for _, n := range f.sorted() {
			if fast(n.addr.String()) {
				names[f.idOf(n)] = true
			}
		}
		time.Sleep(3 * time.Second)
		readers, others := f.roles()
		assert.Equal(t, len(readers), 3)
		for _, r := range readers {
			assert.Assert(t, names[f.idOf(r)], "%s reads the store", f.idOf(r))
		}
		for _, n := range others {
			for _, source := range n.follower.Status(time.Now()).Sources {
				assert.Assert(t, names[source], "%s follows %s", f.idOf(n), source)
			}
		}
		for _, r := range readers {
			r.set(func(n *testNode) { n.cutOff, n.unresponsive = true, true })
		}
		f.store.publish(2)
		time.Sleep(changeBound)
		assert.Equal(t, f.lacking(others, 2, ""), 0)
	})
}

// All nodes must soon agree on the readers, whichever have fast links, even if they start
// before all upstreams are published and first know different nodes. For this, readers
// exchange the link rates that they have from their own followers.
func TestNodesAgreeOnReaders(t *testing.T) {
	for fast := 1; fast <= 12; fast++ {
		synctest.Test(t, func(t *testing.T) {
			f := startFollowersWith(t, func(c *Config) {
				c.LinkMbps = 7
				if c.Self.Addr().As4()[3] == byte(fast) {
					c.LinkMbps = 140
				}
			}, 25*time.Millisecond, 30, "a", "b", "c")
			time.Sleep(6 * time.Second)
			readers, _ := f.roles()
			assert.Equal(t, len(readers), 3, "nodes with fast links: %d", fast)
			for _, r := range readers {
				assert.Equal(t, r.addr.Addr().As4()[3], byte(fast))
			}
		})
	}
}

// Link rates from other nodes count only for known nodes, and nodes that agree send each
// other none.
func TestLinkRatesAreSentWhereTheyDiffer(t *testing.T) {
	peer := &directPeer{to: followerWith(t, nil, jsonTable(1, routesOf(2, 9)))}
	f := followerWith(t, peer, jsonTable(1, routesOf(2, 9)))
	for _, node := range []*Follower{f, peer.to} {
		node.cfg.Self = publishedUpstream("i-1", 1).Address
		node.mu.Lock()
		node.registry.Apply(startTime, Update{Revision: 1, Upstreams: []Upstream{publishedUpstream("i-1", 1)}})
		node.peers = peer
		node.refresh(SourceStore)
		node.mu.Unlock()
	}
	var got PeerUpdate
	peer.tamper = func(n *PeerUpdate) { got = *n }
	var state sourceState
	poll := func() {
		_, err := f.pollSource(t.Context(), 0, &state)
		assert.NilError(t, err)
	}
	peer.to.mu.Lock()
	peer.to.mergeLinks(NodeLink{Node: "i-1", Mbps: 50}, NodeLink{Node: "i-unknown", Mbps: 900})
	peer.to.mu.Unlock()
	poll()
	assert.DeepEqual(t, got.Links, []NodeLink{{Node: "i-1", Mbps: 50}})
	poll()
	assert.Equal(t, len(got.Links), 0)
	assert.Equal(t, len(peer.requests[1].Links), 0)
}
