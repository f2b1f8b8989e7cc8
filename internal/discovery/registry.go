package discovery

import (
	"net/netip"
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
