package discovery

import (
	"cmp"
	"slices"
	"time"
)

// How upstreams are removed: at once, after a grace period following an outage, or
// because their entry became invalid; and how removals are remembered.

// OutageGrace is how long an upstream that vanished during an outage of the store is kept
// after the store is reachable again. Entries of live upstreams are back within two
// seconds; the rest is for the propagation of peer updates.
const OutageGrace = 2200 * time.Millisecond

// maxInvalidTombstones is the number of tombstones beyond which those of invalid entries
// expire like all others. Up to it they are kept, so that operators can see them. About
// 200 KB.
const maxInvalidTombstones = 1000

// tombstoneTTL is how long the removal of an upstream is remembered, so that a lagging
// node cannot restore it: far longer than the staleness of any peer update that is still
// sent.
const tombstoneTTL = time.Minute

// tombstone remembers the removal of an upstream.
type tombstone struct {
	revision      uint64
	startedAtMs   uint64 // Upstream.StartedAtMs of the removed entry; 0 if it was never known
	removedAt     time.Time
	sequence      uint64
	invalidReason string // Removal.InvalidReason
}

// removalApplies reports whether a removal removes a known entry. If the entry was never
// seen here, it stores a tombstone, because another node may still send the entry.
func (r *Registry) removalApplies(now time.Time, removal Removal) bool {
	e, ok := r.entries[removal.ID]
	if !ok && removal.Revision > r.tombstones[removal.ID].revision {
		r.remove(now, removal)
	}
	return ok && removal.Revision > e.Revision
}

// removeOrKeepMissing removes an upstream: at once if it was leaving, its entry is
// invalid or there was no outage, otherwise after OutageGrace.
func (r *Registry) removeOrKeepMissing(now time.Time, removal Removal) bool {
	e := r.entries[removal.ID]
	if !e.Leaving && removal.InvalidReason == "" && r.InOutage(now) {
		if e.missingSince == 0 {
			r.markMissing(e, removal.Revision, r.reachableSince.Add(OutageGrace))
		}
		return false
	}
	r.remove(now, removal)
	return true
}

// markMissing records that an entry has vanished and is kept until expires.
func (r *Registry) markMissing(e entry, revision uint64, expires time.Time) {
	r.sequence++
	e.missingSince, e.expires, e.sequence = max(revision, 1), expires, r.sequence
	r.set(e)
}

// remove removes an upstream and stores a tombstone.
func (r *Registry) remove(now time.Time, removal Removal) {
	r.sequence++
	r.tombstones[removal.ID] = tombstone{
		revision:      removal.Revision,
		startedAtMs:   max(r.entries[removal.ID].StartedAtMs, r.tombstones[removal.ID].startedAtMs),
		removedAt:     now,
		sequence:      r.sequence,
		invalidReason: removal.InvalidReason,
	}
	r.drop(removal.ID)
}

// Unusable returns the remembered invalid entries, sorted by ID.
func (r *Registry) Unusable() []Removal {
	var out []Removal
	for id, t := range r.tombstones {
		if t.invalidReason != "" {
			out = append(out, Removal{ID: id, Revision: t.revision, InvalidReason: t.invalidReason})
		}
	}
	slices.SortFunc(out, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// clearUnlistedInvalid forgets the defects of invalid entries that a full listing lacks.
func (r *Registry) clearUnlistedInvalid(u Update) {
	listed := make(map[string]bool, len(u.Removed))
	for _, removal := range u.Removed {
		listed[removal.ID] = true
	}
	for id, t := range r.tombstones {
		if t.invalidReason != "" && !listed[id] && t.revision <= u.Revision {
			t.invalidReason = ""
			r.tombstones[id] = t
		}
	}
}

// missingFrom returns the known upstreams that a full listing lacks, without those
// published after it.
func (r *Registry) missingFrom(u Update) []string {
	listed := make(map[string]bool, len(u.Upstreams))
	for _, up := range u.Upstreams {
		listed[up.ID] = true
	}
	var out []string
	for id, e := range r.entries {
		if !listed[id] && e.Revision <= u.Revision {
			out = append(out, id)
		}
	}
	return out
}

// Expire removes the missing upstreams that did not reappear in time and expired
// tombstones. It reports whether the known state has changed.
func (r *Registry) Expire(now time.Time) bool {
	for id, t := range r.tombstones {
		if now.Sub(t.removedAt) > tombstoneTTL && (t.invalidReason == "" || len(r.tombstones) > maxInvalidTombstones) {
			r.forgottenSequence = max(r.forgottenSequence, t.sequence)
			r.tombstonesSince = max(r.tombstonesSince, t.revision)
			delete(r.tombstones, id)
		}
	}
	r.expireEvacuations(now)
	if r.unreachable {
		return false
	}
	changed := false
	for id, e := range r.entries {
		if e.missingSince != 0 && !e.unconfirmed() && !now.Before(e.expires) {
			r.remove(now, Removal{ID: id, Revision: e.missingSince})
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire has to be called; false if there is no need.
func (r *Registry) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, e := range r.entries {
		if e.missingSince != 0 && !e.unconfirmed() && (next.IsZero() || e.expires.Before(next)) {
			next = e.expires
		}
	}
	return next, !next.IsZero()
}
