package discovery

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Registry holds the known state of the upstreams. It is not safe for concurrent use.
type Registry struct {
	revision   uint64
	entries    map[string]entry
	tombstones map[string]tombstone
	// evacuations holds evacuations and ended evacuations by data centre.
	evacuations       map[string]evacuation
	evacuationChanges uint64    // counts the changes of evacuations
	unreachable       bool      // the last call failed
	reachableSince    time.Time // when a call first succeeded after a failure

	// idsByAddress has the IDs of the entries at each address, and dirty the entries
	// whose visible state may have changed since takeDirty was last called.
	idsByAddress map[netip.AddrPort][]string
	dirty        dirtySet

	sequence uint64 // counts the changes of the known state
	// forgottenSequence is the sequence number of the newest tombstone that was
	// forgotten.
	forgottenSequence uint64
	// isComplete says that everything up to revision is known. It is false after a stale
	// listing, of which one page may be older than another.
	isComplete bool
	// tombstonesSince is the store's revision after which all removals are remembered.
	tombstonesSince uint64
}

type entry struct {
	Upstream
	firstSeen  time.Time // when this process was first seen
	receivedAt time.Time // when this version of the entry was received
	// missingSince is the revision at which the entry vanished; zero if it is published.
	// A missing entry is kept until expires or, if that is zero, until the removal is
	// confirmed.
	missingSince uint64
	expires      time.Time
	sequence     uint64 // of the last change
}

// supersededBy reports whether a version from a source that knows the store up to the
// given revision replaces the entry: a later process, a later version, or the same
// version that has gone missing or, if the source knows of the removal, is published
// again.
func (e entry) supersededBy(up Upstream, revision uint64) bool {
	switch {
	case e.StartedAtMs != 0 && up.StartedAtMs > e.StartedAtMs:
		return true
	case up.Revision != e.Revision:
		// A version from before the removal was removed with it.
		return up.Revision > max(e.Revision, e.missingSince)
	case e.missingSince == 0:
		return up.ExpiresIn > 0
	}
	return up.ExpiresIn == 0 && revision >= e.missingSince
}

// knownUpstream returns the published state of an entry. Its cold time counts from when
// the entry was received. That is later than when it was published, so it errs towards
// cold.
func (e entry) knownUpstream() KnownUpstream {
	k := KnownUpstream{Upstream: e.Upstream, FirstSeen: e.firstSeen}
	if e.ColdFor > 0 {
		k.ColdFrom, k.ColdUntil = e.receivedAt, e.receivedAt.Add(e.ColdFor)
	}
	return k
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries:      make(map[string]entry),
		tombstones:   make(map[string]tombstone),
		evacuations:  make(map[string]evacuation),
		idsByAddress: make(map[netip.AddrPort][]string),
		dirty:        newDirtySet(),
	}
}

// Revision returns the store's revision up to which the state is known.
func (r *Registry) Revision() uint64 { return r.revision }

// Sequence returns the number of changes of the known state, for Since.
func (r *Registry) Sequence() uint64 { return r.sequence }

// MarkUnreachable records that the store did not respond.
func (r *Registry) MarkUnreachable() { r.unreachable = true }

// InOutage reports whether the store is unreachable, or became reachable less than
// OutageGrace ago.
func (r *Registry) InOutage(now time.Time) bool {
	return r.unreachable || !r.reachableSince.IsZero() && now.Before(r.reachableSince.Add(OutageGrace))
}

// Replace applies a full listing of the store and reports whether anything changed.
func (r *Registry) Replace(now time.Time, u Update) bool {
	r.MarkReachable(now)
	if u.Revision < r.revision {
		return false // the response is older than the known state
	}
	changed := r.applyUpstreams(now, u)
	changed = r.applyEvacuations(now, u.Evacuations) || changed
	changed = r.endMissingEvacuations(now, u.Evacuations, u.Revision) || changed
	changed = r.applyRemoved(now, u.Removed) || changed
	for _, id := range r.missingFrom(u) {
		changed = r.removeOrKeepMissing(now, Removal{ID: id, Revision: u.Revision}) || changed
	}
	r.clearUnlistedInvalid(u)
	r.isComplete = true
	return changed
}

// ReplaceStale is Replace for a stale listing.
func (r *Registry) ReplaceStale(now time.Time, u Update) bool {
	changed := r.Replace(now, u)
	r.isComplete = false
	return changed
}

// CompleteRevision is Revision if everything up to it is known; 0 otherwise.
func (r *Registry) CompleteRevision() uint64 {
	if !r.isComplete {
		return 0
	}
	return r.revision
}

// Apply applies changes of the store and reports whether anything changed.
func (r *Registry) Apply(now time.Time, u Update) bool {
	r.MarkReachable(now)
	changed := r.applyUpstreams(now, u)
	changed = r.applyEvacuations(now, u.Evacuations) || changed
	return r.applyRemoved(now, u.Removed) || changed
}

func (r *Registry) applyRemoved(now time.Time, removed []Removal) bool {
	changed := false
	for _, removal := range removed {
		if r.removalApplies(now, removal) {
			changed = r.removeOrKeepMissing(now, removal) || changed
		}
	}
	return changed
}

// MarkReachable records that the store responds. After an outage, entries that went
// missing before it get the same grace as those that went missing during it.
func (r *Registry) MarkReachable(now time.Time) {
	if !r.unreachable {
		return
	}
	r.unreachable, r.reachableSince = false, now
	for _, e := range r.entries {
		if e.missingSince != 0 {
			e.expires = now.Add(OutageGrace)
			r.set(e)
		}
	}
}

func (r *Registry) applyUpstreams(now time.Time, u Update) bool {
	if r.revision == 0 { // removals before the first known revision were never received
		r.tombstonesSince, r.isComplete = max(r.tombstonesSince, u.Revision), true
	}
	changed := false
	for _, up := range u.Upstreams {
		existing, ok := r.entries[up.ID]
		removed := r.tombstones[up.ID]
		startedAtMs := max(existing.StartedAtMs, removed.startedAtMs)
		if up.StartedAtMs == 0 {
			up.StartedAtMs = startedAtMs // keep the last known start time
		}
		if up.StartedAtMs < startedAtMs || removed.revision >= up.Revision || ok && !existing.supersededBy(up, u.Revision) {
			continue
		}
		r.sequence++
		e := entry{Upstream: up, firstSeen: now, receivedAt: now, sequence: r.sequence}
		if ok && existing.StartedAtMs == up.StartedAtMs {
			e.firstSeen = existing.firstSeen
		}
		if up.ExpiresIn > 0 {
			e.missingSince, e.expires, e.ExpiresIn = max(u.Revision, 1), now.Add(up.ExpiresIn), 0
		}
		r.set(e)
		delete(r.tombstones, up.ID)
		changed = true
	}
	r.revision = max(r.revision, u.Revision)
	return changed
}

// KnownUpstream is an upstream with the time when its process was first seen.
type KnownUpstream struct {
	Upstream
	FirstSeen time.Time
	// ColdFrom and ColdUntil are the times between which it is published as cold; both
	// zero if it is not.
	ColdFrom, ColdUntil time.Time
}

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
