package discovery

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Nodes tell each other the rates of their links, so that all choose the same readers
// among those that can bear it. A node tells its own with each question; those of the
// candidates for readers travel with questions and news until both sides hold the same.

// NodeLink is the link of a node's machine.
type NodeLink struct {
	Node string `cbor:"1,keyasint"` // upstream beside it
	Mbps uint32 `cbor:"2,keyasint"`
}

// links holds the known rates of links, by node, and what is told of them.
type links struct {
	rates map[string]uint32
	told  []NodeLink // of the candidates for readers
	hash  uint64     // of told
}

// hear takes over the rate of a node's link, and reports whether it is new.
func (l *links) hear(h NodeLink) bool {
	if h.Mbps == 0 || l.rates[h.Node] == h.Mbps {
		return false
	}
	if l.rates == nil {
		l.rates = make(map[string]uint32)
	}
	l.rates[h.Node] = h.Mbps
	return true
}

// forget forgets a node that is no more.
func (l *links) forget(node string) { delete(l.rates, node) }

// tell works out what is told, given the candidates for readers.
func (l *links) tell(candidates []string) {
	l.told = make([]NodeLink, 0, len(candidates))
	sum := xxhash.New()
	for _, node := range candidates {
		rate := l.rates[node]
		if rate == 0 {
			continue
		}
		l.told = append(l.told, NodeLink{Node: node, Mbps: rate})
		_, _ = sum.WriteString(node)
		_, _ = sum.Write(binary.BigEndian.AppendUint32(nil, rate))
	}
	l.hash = sum.Sum64()
}

// hearLinks takes over what another node told of links, and chooses the readers anew if
// that changed anything. The lock is held.
func (f *Follower) hearLinks(heard ...NodeLink) {
	dir := f.dir.Load()
	if f.peers != nil && f.hearRates(dir, heard...) {
		f.chooseRole(dir)
	}
}

// ownLink is what this node tells of its own link. The lock is held.
func (f *Follower) ownLink() NodeLink {
	own, _ := f.dir.Load().At(f.cfg.Self)
	return NodeLink{Node: own.ID, Mbps: f.cfg.LinkMbps}
}

// linksPause lies between two questions of a reader of the store about links. Readers
// ask nobody else for news, so what each hears of its own followers stays with it: of
// 101 nodes that started while their upstreams were published 13 took themselves for one
// of three readers for good.
const linksPause = time.Second

// shareLinks asks some other node about links if this one is a reader.
func (f *Follower) shareLinks(ctx context.Context) {
	node, ask, ok := f.linksQuestion()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	n, err := f.peers.Ask(ctx, node, ask)
	if err != nil {
		return // it may have left; another is asked soon
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearLinks(n.Links...)
}

// linksQuestion returns a node drawn at random and what to ask it; false if this node is
// no reader or knows no other.
func (f *Follower) linksQuestion() (node netip.AddrPort, ask PeerRequest, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.ownLink()
	if !f.reader || own.Mbps == 0 {
		return node, ask, false
	}
	var others []netip.AddrPort
	for _, m := range f.dir.Load().members.All() {
		if m.Name != own.Node {
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return node, ask, false
	}
	ask = PeerRequest{Link: own, LinksHash: f.links.hash, Links: f.links.told, LinksOnly: true}
	return others[rand.IntN(len(others))], ask, true
}
