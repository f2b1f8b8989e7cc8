package discovery

import (
	"slices"
	"time"
)

// What a registry sends to other nodes, and what it merges from them.

// Merge merges the known state of another node and reports whether anything changed. With
// full, the update lists all upstreams that the other node knows. Merge advances Revision
// only if complete says that nothing of the update is missing.
//
// An upstream that vanished without leaving is kept until ConfirmRemovals: its entry also
// expires if its machine cannot reach the store, and if this node cannot reach it either,
// the two may still serve each other. The expiry that the other node sends for an
// upstream missing since an outage is accepted only if this node knows of the outage too.
// Otherwise one reader that was cut off alone would make all its followers keep upstreams
// for 2.2 s too long.
func (r *Registry) Merge(now time.Time, u Update, full, complete bool) bool {
	before, wasComplete := r.revision, r.isComplete
	changed := false
	if !r.InOutage(now) {
		u.Upstreams, changed = r.mergeMissing(now, u)
	}
	u.Upstreams = r.withoutRemoved(u.Upstreams)
	changed = r.applyUpstreams(now, u) || changed
	changed = r.applyEvacuations(now, u.Evacuations) || changed
	if full && u.HasEvacuations {
		changed = r.endMissingEvacuations(now, u.Evacuations, u.Revision) || changed
	}
	for _, removal := range u.Removed {
		if r.removalApplies(now, removal) {
			changed = r.mergeRemoval(now, removal) || changed
		}
	}
	if full {
		for _, id := range r.missingFrom(u) {
			changed = r.mergeRemoval(now, Removal{ID: id, Revision: u.Revision}) || changed
		}
	}
	if !complete {
		r.revision, r.isComplete = before, wasComplete
	} else if full {
		r.isComplete = true
	}
	return changed
}

// withoutRemoved returns the upstreams without those that are known to have been removed.
// One that was published up to CompleteRevision and has no entry here has been removed,
// even if its tombstone is forgotten.
func (r *Registry) withoutRemoved(received []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(received), func(up Upstream) bool {
		_, known := r.entries[up.ID]
		return !known && up.Revision <= r.CompleteRevision()
	})
}

// mergeMissing treats upstreams that are missing at the other node as removed. It returns
// the other upstreams, and whether anything changed.
func (r *Registry) mergeMissing(now time.Time, u Update) (published []Upstream, changed bool) {
	for _, up := range u.Upstreams {
		if up.ExpiresIn == 0 {
			published = append(published, up)
			continue
		}
		if e, ok := r.entries[up.ID]; ok && e.Revision <= up.Revision {
			changed = r.mergeRemoval(now, Removal{ID: up.ID, Revision: u.Revision}) || changed
		}
	}
	return published, changed
}

// mergeRemoval removes an upstream that another node reports as removed: at once if it
// was leaving or its entry is invalid, otherwise when the removal is confirmed.
func (r *Registry) mergeRemoval(now time.Time, removal Removal) bool {
	e := r.entries[removal.ID]
	if e.Leaving || removal.InvalidReason != "" {
		r.remove(now, removal)
		return true
	}
	if e.missingSince == 0 {
		r.markMissing(e, removal.Revision, time.Time{})
	}
	return false
}

// HasUnconfirmedRemovals reports whether there are upstreams that other nodes report as
// removed and the store has not confirmed.
func (r *Registry) HasUnconfirmedRemovals() bool {
	for _, e := range r.entries {
		if e.unconfirmed() {
			return true
		}
	}
	return false
}

func (e entry) unconfirmed() bool { return e.missingSince != 0 && e.expires.IsZero() }

// ConfirmRemovals removes the upstreams that other nodes reported as removed. It is
// called when the store responds to this node, and reports whether there were any.
func (r *Registry) ConfirmRemovals(now time.Time) bool {
	r.MarkReachable(now)
	changed := false
	for id, e := range r.entries {
		if e.unconfirmed() {
			r.remove(now, Removal{ID: id, Revision: e.missingSince})
			changed = true
		}
	}
	return changed
}

// peerPosition is how much a peer knows: everything up to a sequence number of this
// registry, or everything that the store held at a revision. The zero value knows
// nothing.
type peerPosition struct {
	sequence uint64
	revision uint64 // used if sequence is 0
}

// isMissing reports whether the peer lacks a change with the given sequence number, made
// by an entry or removal of the given revision.
func (p peerPosition) isMissing(sequence, revision uint64) bool {
	if p.sequence > 0 {
		return sequence > p.sequence
	}
	return revision > p.revision
}

// Since returns the changes after a sequence number. With full it returns the whole known
// state, because the sequence is 0 or tombstones of later changes are forgotten.
func (r *Registry) Since(now time.Time, sequence uint64) (u Update, full bool) {
	return r.changesAfter(now, peerPosition{sequence: sequence})
}

// SinceRevision is Since for a peer that knows everything that the store held at a
// revision, from whatever source.
func (r *Registry) SinceRevision(now time.Time, revision uint64) (u Update, full bool) {
	return r.changesAfter(now, peerPosition{revision: revision})
}

func (r *Registry) changesAfter(now time.Time, pos peerPosition) (u Update, full bool) {
	u.Revision = r.revision
	if pos.sequence > 0 {
		full = pos.sequence < r.forgottenSequence
	} else {
		full = pos.revision == 0 || pos.revision < r.tombstonesSince
	}
	if full {
		pos = peerPosition{}
	}
	for _, e := range r.entries {
		if !full && !pos.isMissing(e.sequence, max(e.Revision, e.missingSince)) {
			continue
		}
		if e.unconfirmed() {
			u.Removed = append(u.Removed, Removal{ID: e.ID, Revision: e.missingSince})
			continue
		}
		up := e.Upstream
		if e.missingSince != 0 {
			up.ExpiresIn = max(e.expires.Sub(now), time.Millisecond)
		}
		u.Upstreams = append(u.Upstreams, up)
	}
	for id, t := range r.tombstones {
		if full || pos.isMissing(t.sequence, t.revision) {
			u.Removed = append(u.Removed, Removal{ID: id, Revision: t.revision, InvalidReason: t.invalidReason})
		}
	}
	u.Evacuations, u.HasEvacuations = r.evacuationsAfter(pos), true
	return u, full
}
