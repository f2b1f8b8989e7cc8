package discovery

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Nodes exchange their link rates, so that all choose the same readers among those with
// enough bandwidth. A node sends its own rate with each peer request. The rates of the
// reader candidates travel with peer requests and peer updates until both sides hold the
// same.

// NodeLink is the link rate of a node's machine.
type NodeLink struct {
	Node string `cbor:"1,keyasint"` // upstream beside the node
	Mbps uint32 `cbor:"2,keyasint"`
}

// links holds the known link rates by node, and those that are sent to other nodes.
type links struct {
	rates  map[string]uint32
	shared []NodeLink // rates of the reader candidates
	hash   uint64     // of shared
}

// set records the link rate of a node and reports whether it is new.
func (l *links) set(link NodeLink) bool {
	if link.Mbps == 0 || l.rates[link.Node] == link.Mbps {
		return false
	}
	if l.rates == nil {
		l.rates = make(map[string]uint32)
	}
	l.rates[link.Node] = link.Mbps
	return true
}

// forget removes a node that has ended.
func (l *links) forget(node string) { delete(l.rates, node) }

// updateShared computes what is sent to other nodes, given the reader candidates.
func (l *links) updateShared(candidates []string) {
	l.shared = make([]NodeLink, 0, len(candidates))
	sum := xxhash.New()
	for _, node := range candidates {
		rate := l.rates[node]
		if rate == 0 {
			continue
		}
		l.shared = append(l.shared, NodeLink{Node: node, Mbps: rate})
		_, _ = sum.WriteString(node)
		_, _ = sum.Write(binary.BigEndian.AppendUint32(nil, rate))
	}
	l.hash = sum.Sum64()
}

// mergeLinks applies link rates received from another node, and chooses the readers again
// if that changed anything. The lock is held.
func (f *Follower) mergeLinks(received ...NodeLink) {
	dir := f.dir.Load()
	if f.peers != nil && f.mergeLinkRates(dir, received...) {
		f.chooseRole(dir)
	}
}

// ownLink returns the link rate of this node. The lock is held.
func (f *Follower) ownLink() NodeLink {
	own, _ := f.dir.Load().At(f.cfg.Self)
	return NodeLink{Node: own.ID, Mbps: f.cfg.LinkMbps}
}

// linkGossipInterval is the pause between two link requests of a reader. Readers request
// no peer updates, so without these requests the rates that a reader receives from its
// followers would stay with it: of 101 nodes that started while their upstreams were
// published, 13 permanently considered themselves one of three readers.
const linkGossipInterval = time.Second

// gossipLinks exchanges link rates with one other node if this node is a reader.
func (f *Follower) gossipLinks(ctx context.Context) {
	node, req, ok := f.linkGossipRequest()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	update, err := f.peers.Ask(ctx, node, req)
	if err != nil {
		return // the node may have left; another one is asked soon
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergeLinks(update.Links...)
}

// linkGossipRequest returns a randomly chosen node and the request to send it; false if
// this node is not a reader or knows no other node.
func (f *Follower) linkGossipRequest() (node netip.AddrPort, req PeerRequest, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.ownLink()
	if !f.reader || own.Mbps == 0 {
		return node, req, false
	}
	var others []netip.AddrPort
	for _, m := range f.dir.Load().members.All() {
		if m.Name != own.Node {
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return node, req, false
	}
	req = PeerRequest{Link: own, LinksHash: f.links.hash, Links: f.links.shared, LinksOnly: true}
	return others[rand.IntN(len(others))], req, true
}
