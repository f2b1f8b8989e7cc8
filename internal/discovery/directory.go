package discovery

import (
	"net/netip"

	"github.com/walldrift/walldrift/internal/immutable"
	"github.com/walldrift/walldrift/internal/membership"
)

// Directory is one immutable state of the discovered upstreams.
type Directory struct {
	members   *immutable.Map[string, membership.Member]
	byAddress *immutable.Map[netip.AddrPort, KnownUpstream]
	evacuated map[string]bool // data centres whose upstreams get nothing
}

// At returns the upstream published at an address.
func (d *Directory) At(a netip.AddrPort) (KnownUpstream, bool) { return d.byAddress.Get(a) }

// Evacuated reports whether the upstreams of a data centre are to get nothing.
func (d *Directory) Evacuated(centre string) bool { return d.evacuated[centre] }

// directoryChange is how one directory differs from another.
type directoryChange struct {
	set       map[string]membership.Member
	gone      []string
	at        map[netip.AddrPort]KnownUpstream
	left      []netip.AddrPort
	evacuated map[string]bool
}

// apply returns the directory after the change.
func (c *directoryChange) apply(d *Directory) *Directory {
	return &Directory{members: d.members.Update(c.set, c.gone), byAddress: d.byAddress.Update(c.at, c.left), evacuated: c.evacuated}
}

// differences returns how the directory differs at what was touched. The lock is held.
func (f *Follower) differences(d *Directory, t touched) *directoryChange {
	c := &directoryChange{set: make(map[string]membership.Member, len(t.ids)), at: make(map[netip.AddrPort]KnownUpstream, len(t.addresses)), evacuated: d.evacuated}
	for address := range t.addresses {
		if k, ok := f.registry.at(f.services, address); ok {
			c.at[address] = f.mayBeCold(k)
		} else {
			c.left = append(c.left, address)
		}
	}
	for id := range t.ids {
		k, ok := f.registry.upstreamOf(f.services, id)
		if ok && (f.services == nil || f.services[k.Service]) {
			c.set[id] = f.member(f.mayBeCold(k), c.evacuated)
		} else if _, there := d.members.Get(id); there {
			c.gone = append(c.gone, id)
		}
	}
	return c
}

// everything returns how the directory differs anywhere: all that is believed, and the end
// of all else. The lock is held.
func (f *Follower) everything(d *Directory) *directoryChange {
	c := &directoryChange{set: make(map[string]membership.Member), at: make(map[netip.AddrPort]KnownUpstream), evacuated: make(map[string]bool)}
	for _, e := range f.registry.Evacuated() {
		c.evacuated[e.DataCentre] = true
	}
	for _, k := range f.registry.UpstreamsOf(f.services) {
		k = f.mayBeCold(k)
		c.at[k.Address] = k
		if f.services == nil || f.services[k.Service] {
			c.set[k.ID] = f.member(k, c.evacuated)
		}
	}
	for id := range d.members.All() {
		if _, ok := c.set[id]; !ok {
			c.gone = append(c.gone, id)
		}
	}
	for address := range d.byAddress.All() {
		if _, ok := c.at[address]; !ok {
			c.left = append(c.left, address)
		}
	}
	return c
}

// member returns what routing knows of an upstream. The lock is held.
func (f *Follower) member(k KnownUpstream, evacuated map[string]bool) membership.Member {
	m := membership.Member{Instance: membership.Instance{
		Name:       k.ID,
		Service:    k.Service,
		DataCentre: k.DataCentre,
		Peer:       netip.AddrPortFrom(k.Address.Addr(), f.cfg.PeerPort),
		State:      membership.ListedLive,
		Generation: k.StartedAtMs,
	}}
	m.ColdFrom, m.ColdUntil = k.ColdFrom, k.ColdUntil
	if k.ColdFor > 0 {
		m.ColdSince = k.FirstSeen
	}
	m.ColdRate = f.coldShare(k.Service, len(f.registry.known))
	m.Evacuated = evacuated[k.DataCentre]
	if k.Leaving {
		m.State, m.Status = membership.ListedLeaving, membership.Leaving
	}
	return m
}
