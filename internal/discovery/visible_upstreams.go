package discovery

import (
	"cmp"
	"net/netip"
	"slices"
)

// set adds or replaces an entry.
func (r *Registry) set(e entry) {
	old, ok := r.entries[e.ID]
	if ok && old.Address != e.Address {
		r.drop(e.ID)
		ok = false
	}
	if !ok {
		r.idsByAddress[e.Address] = append(r.idsByAddress[e.Address], e.ID)
	}
	r.entries[e.ID] = e
	r.markDirty(e.Address)
}

// drop deletes an entry.
func (r *Registry) drop(id string) {
	old, ok := r.entries[id]
	if !ok {
		return
	}
	r.markDirty(old.Address)
	delete(r.entries, id)
	rest := slices.DeleteFunc(r.idsByAddress[old.Address], func(other string) bool { return other == id })
	if r.idsByAddress[old.Address] = rest; len(rest) == 0 {
		delete(r.idsByAddress, old.Address)
	}
}

// nodes returns the number of nodes: one is beside each address, also while the entry of
// an ended process at that address is still published beside that of its successor.
func (r *Registry) nodes() int { return len(r.idsByAddress) }

// dirtySet has entries that may have changed, and the addresses at which another entry
// may be visible now.
type dirtySet struct {
	ids       map[string]bool
	addresses map[netip.AddrPort]bool
}

func newDirtySet() dirtySet {
	return dirtySet{ids: make(map[string]bool), addresses: make(map[netip.AddrPort]bool)}
}

// markDirty marks an address and all entries at it: a change of one decides which of them
// is visible.
func (r *Registry) markDirty(address netip.AddrPort) {
	r.dirty.addresses[address] = true
	for _, id := range r.idsByAddress[address] {
		r.dirty.ids[id] = true
	}
}

// takeDirty returns what may have changed since it was last called.
func (r *Registry) takeDirty() dirtySet {
	out := r.dirty
	r.dirty = newDirtySet()
	return out
}

// visibleAt returns the upstream of UpstreamsOf at an address; false if there is none.
func (r *Registry) visibleAt(services map[string]bool, address netip.AddrPort) (KnownUpstream, bool) {
	for _, id := range r.idsByAddress[address] {
		if k, ok := r.visibleUpstream(services, id); ok {
			return k, true
		}
	}
	return KnownUpstream{}, false
}

// Upstreams returns the known upstreams, sorted by ID. Of two at one address only the one
// published later is included: an address serves one process at a time, and the entry of
// a process that ended without leaving stays for some seconds.
func (r *Registry) Upstreams() []KnownUpstream { return r.UpstreamsOf(nil) }

// UpstreamsOf is Upstreams for the services that the table names; nil for any. An entry
// of another service does not hide an entry of these at the same address, since its
// process may not be running there.
func (r *Registry) UpstreamsOf(services map[string]bool) []KnownUpstream {
	out := make([]KnownUpstream, 0, len(r.entries))
	for id := range r.entries {
		if k, ok := r.visibleUpstream(services, id); ok {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b KnownUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// visibleUpstream returns the upstream of UpstreamsOf with the given ID; false if it is
// not included.
func (r *Registry) visibleUpstream(services map[string]bool, id string) (KnownUpstream, bool) {
	e, ok := r.entries[id]
	if !ok {
		return KnownUpstream{}, false
	}
	if e.Address.IsValid() {
		for _, other := range r.idsByAddress[e.Address] {
			if other != id && r.entries[other].winsAddress(e, services) {
				return KnownUpstream{}, false
			}
		}
	}
	return e.knownUpstream(), true
}

// winsAddress reports whether e rather than other is visible at their common address.
func (e entry) winsAddress(other entry, services map[string]bool) bool {
	named := services == nil || services[e.Service]
	otherNamed := services == nil || services[other.Service]
	if named != otherNamed {
		return named
	}
	return e.Revision > other.Revision || e.Revision == other.Revision && e.ID > other.ID
}
