package discovery

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Of 30 nodes a data centre two have links of 140 Mbit/s and the others of 7: within
// seconds of the start all nodes follow the strong ones, and only these read the store;
// when they are lost, others take their place.
func TestNodesWithGreatLinksRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		strong := func(addr string) bool { return strings.HasSuffix(addr, ".11:80") || strings.HasSuffix(addr, ".23:80") }
		f := startFollowersWith(t, func(c *Config) {
			c.LinkMbps = 7
			if strong(c.Self.String()) {
				c.LinkMbps = 140
			}
		}, 0, 30, "a", "b", "c")
		names := make(map[string]bool)
		for _, n := range f.sorted() {
			if strong(n.addr.String()) {
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
			r.set(func(n *testNode) { n.cut, n.silent = true, true })
		}
		f.store.publish(2)
		time.Sleep(drainBound)
		assert.Equal(t, f.lacking(others, 2, ""), 0)
	})
}

// Whichever nodes are strong, all agree on the readers soon, though they start before all
// upstreams are published, so that each first knows others: the readers of the start tell
// each other what each heard of its own followers.
func TestNodesAgreeOnTheReaders(t *testing.T) {
	for strong := 1; strong <= 12; strong++ {
		synctest.Test(t, func(t *testing.T) {
			f := startFollowersWith(t, func(c *Config) {
				c.LinkMbps = 7
				if c.Self.Addr().As4()[3] == byte(strong) {
					c.LinkMbps = 140
				}
			}, 25*time.Millisecond, 30, "a", "b", "c")
			time.Sleep(6 * time.Second)
			readers, _ := f.roles()
			assert.Equal(t, len(readers), 3, "strong: %d", strong)
			for _, r := range readers {
				assert.Equal(t, r.addr.Addr().As4()[3], byte(strong))
			}
		})
	}
}

// What other nodes tell of links counts for nodes that are known, and agreeing nodes tell
// each other nothing.
func TestLinksAreToldWhereTheyDiffer(t *testing.T) {
	way := &link{to: holding(t, nil, writtenTable(1, routesOf(2, 9)))}
	f := holding(t, way, writtenTable(1, routesOf(2, 9)))
	for _, node := range []*Follower{f, way.to} {
		node.cfg.Self = published("i-1", 1).Address
		node.mu.Lock()
		node.registry.Apply(start, Update{Revision: 1, Upstreams: []Upstream{published("i-1", 1)}})
		node.peers = way
		node.changed(SourceStore)
		node.mu.Unlock()
	}
	var got PeerUpdate
	way.spoil = func(n *PeerUpdate) { got = *n }
	var slot peerLink
	ask := func() {
		_, err := f.askOnce(t.Context(), 0, &slot)
		assert.NilError(t, err)
	}
	way.to.mu.Lock()
	way.to.hearLinks(NodeLink{Node: "i-1", Mbps: 50}, NodeLink{Node: "i-unknown", Mbps: 900})
	way.to.mu.Unlock()
	ask()
	assert.DeepEqual(t, got.Links, []NodeLink{{Node: "i-1", Mbps: 50}})
	ask()
	assert.Equal(t, len(got.Links), 0)
	assert.Equal(t, len(way.asks[1].Links), 0)
}
