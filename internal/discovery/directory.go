package discovery

import (
	"net/netip"

	"github.com/walldrift/walldrift/internal/immutable"
	"github.com/walldrift/walldrift/internal/membership"
)

// Directory is an immutable state of the discovered upstreams.
type Directory struct {
	members   *immutable.Map[string, membership.Member]
	byAddress *immutable.Map[netip.AddrPort, KnownUpstream]
	evacuated map[string]bool // data centres whose upstreams get no requests
}

// At returns the upstream published at an address.
func (d *Directory) At(a netip.AddrPort) (KnownUpstream, bool) { return d.byAddress.Get(a) }

// Evacuated reports whether a data centre is evacuated.
func (d *Directory) Evacuated(centre string) bool { return d.evacuated[centre] }

// directoryChange is the difference between two directories.
type directoryChange struct {
	set              map[string]membership.Member
	removed          []string
	setByAddress     map[netip.AddrPort]KnownUpstream
	removedAddresses []netip.AddrPort
	evacuated        map[string]bool
}

// apply returns the directory with the change applied.
func (c *directoryChange) apply(d *Directory) *Directory {
	return &Directory{members: d.members.Update(c.set, c.removed), byAddress: d.byAddress.Update(c.setByAddress, c.removedAddresses), evacuated: c.evacuated}
}

// incrementalChange returns how the directory differs at the dirty entries and addresses.
// The lock is held.
func (f *Follower) incrementalChange(d *Directory, dirty dirtySet) *directoryChange {
	c := &directoryChange{set: make(map[string]membership.Member, len(dirty.ids)), setByAddress: make(map[netip.AddrPort]KnownUpstream, len(dirty.addresses)), evacuated: d.evacuated}
	for address := range dirty.addresses {
		if k, ok := f.registry.visibleAt(f.services, address); ok {
			c.setByAddress[address] = f.coldAfterEvacuation(k)
		} else {
			c.removedAddresses = append(c.removedAddresses, address)
		}
	}
	for id := range dirty.ids {
		k, ok := f.registry.visibleUpstream(f.services, id)
		if ok && (f.services == nil || f.services[k.Service]) {
			c.set[id] = f.member(f.coldAfterEvacuation(k), c.evacuated)
		} else if _, there := d.members.Get(id); there {
			c.removed = append(c.removed, id)
		}
	}
	return c
}

// fullChange returns the difference between the directory and the whole known state. The
// lock is held.
func (f *Follower) fullChange(d *Directory) *directoryChange {
	c := &directoryChange{set: make(map[string]membership.Member), setByAddress: make(map[netip.AddrPort]KnownUpstream), evacuated: make(map[string]bool)}
	for _, e := range f.registry.Evacuated() {
		c.evacuated[e.DataCentre] = true
	}
	for _, k := range f.registry.UpstreamsOf(f.services) {
		k = f.coldAfterEvacuation(k)
		c.setByAddress[k.Address] = k
		if f.services == nil || f.services[k.Service] {
			c.set[k.ID] = f.member(k, c.evacuated)
		}
	}
	for id := range d.members.All() {
		if _, ok := c.set[id]; !ok {
			c.removed = append(c.removed, id)
		}
	}
	for address := range d.byAddress.All() {
		if _, ok := c.setByAddress[address]; !ok {
			c.removedAddresses = append(c.removedAddresses, address)
		}
	}
	return c
}

// member returns an upstream in the form that routing reads. The lock is held.
func (f *Follower) member(k KnownUpstream, evacuated map[string]bool) membership.Member {
	m := membership.Member{Instance: membership.Instance{
		Name:       k.ID,
		Service:    k.Service,
		DataCentre: k.DataCentre,
		Region:     f.cfg.Regions[k.DataCentre],
		Peer:       netip.AddrPortFrom(k.Address.Addr(), f.cfg.PeerPort),
		State:      membership.ListedLive,
		Generation: k.StartedAtMs,
	}}
	m.ColdFrom, m.ColdUntil = k.ColdFrom, k.ColdUntil
	if k.ColdFor > 0 {
		m.ColdSince = k.FirstSeen
	}
	m.ColdRate = f.coldRatePerNode(k.Service, f.registry.nodes())
	m.Evacuated = evacuated[k.DataCentre]
	if k.Leaving {
		m.State, m.Status = membership.ListedLeaving, membership.Leaving
	}
	return m
}
