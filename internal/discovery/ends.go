package discovery

import (
	"cmp"
	"slices"
	"time"
)

// How upstreams end: at once, with a grace after an outage, or since something else
// is published in their place; and how their ends are remembered.

// OutageGrace is how long an upstream that vanished while the store was away is
// still believed after the store's return: entries of live ones are back within
// two seconds, and the rest is for the way of the news.
const OutageGrace = 2200 * time.Millisecond

// maxUnusable is the number of ends beyond which those of entries that cannot be
// used are forgotten like all others; up to it they are kept, so that operators
// see them. About 200 KB.
const maxUnusable = 1000

// tombstoneLife is how long the end of an upstream is remembered, so that a
// node which lags behind cannot bring it back: far beyond the age of any news
// that is still passed on.
const tombstoneLife = time.Minute

// tombstone remembers the end of an upstream.
type tombstone struct {
	revision uint64
	born     uint64 // Upstream.Born of what ended; 0 if it was never known
	at       time.Time
	sequence uint64
	unusable string // Removal.Unusable
}

// ends reports whether a removal ends an entry that is known. One that came and
// went unseen here is remembered, as another node may tell of it late.
func (r *Registry) ends(now time.Time, gone Removal) bool {
	e, ok := r.known[gone.ID]
	if !ok && gone.Revision > r.gone[gone.ID].revision {
		r.remove(now, gone)
	}
	return ok && gone.Revision > e.Revision
}

// vanish takes an upstream out, at once if it was leaving, if something else is
// published in its place or if the store was there all the time, otherwise after
// LapseGrace.
func (r *Registry) vanish(now time.Time, gone Removal) bool {
	e := r.known[gone.ID]
	if !e.Leaving && gone.InvalidReason == "" && r.InOutage(now) {
		if e.lapsed == 0 {
			r.lapse(e, gone.Revision, r.returned.Add(OutageGrace))
		}
		return false
	}
	r.remove(now, gone)
	return true
}

// lapse notes that an entry has vanished and is believed on.
func (r *Registry) lapse(e entry, revision uint64, expires time.Time) {
	r.sequence++
	e.lapsed, e.expires, e.sequence = max(revision, 1), expires, r.sequence
	r.set(e)
}

// remove takes an upstream out and remembers its end.
func (r *Registry) remove(now time.Time, gone Removal) {
	r.sequence++
	r.gone[gone.ID] = tombstone{
		revision: gone.Revision,
		born:     max(r.known[gone.ID].StartedAtMs, r.gone[gone.ID].born),
		at:       now,
		sequence: r.sequence,
		unusable: gone.InvalidReason,
	}
	r.drop(gone.ID)
}

// Unusable returns the entries that name no upstream that can be used, as far as
// they are remembered, sorted by ID.
func (r *Registry) Unusable() []Removal {
	var out []Removal
	for id, t := range r.gone {
		if t.unusable != "" {
			out = append(out, Removal{ID: id, Revision: t.revision, InvalidReason: t.unusable})
		}
	}
	slices.SortFunc(out, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// keepUnusable forgets what was wrong with entries that a whole listing lacks.
func (r *Registry) keepUnusable(u Update) {
	listed := make(map[string]bool, len(u.Removed))
	for _, gone := range u.Removed {
		listed[gone.ID] = true
	}
	for id, t := range r.gone {
		if t.unusable != "" && !listed[id] && t.revision <= u.Revision {
			t.unusable = ""
			r.gone[id] = t
		}
	}
}

// unlisted returns the known upstreams that a whole listing lacks. Those that
// were published after it are no matter of the listing.
func (r *Registry) unlisted(u Update) []string {
	listed := make(map[string]bool, len(u.Upstreams))
	for _, up := range u.Upstreams {
		listed[up.ID] = true
	}
	var out []string
	for id, e := range r.known {
		if !listed[id] && e.Revision <= u.Revision {
			out = append(out, id)
		}
	}
	return out
}

// Expire takes out the upstreams that did not appear again in time and forgets
// old tombstones. It reports whether belief has changed.
func (r *Registry) Expire(now time.Time) bool {
	for id, t := range r.gone {
		if now.Sub(t.at) > tombstoneLife && (t.unusable == "" || len(r.gone) > maxUnusable) {
			r.forgotten = max(r.forgotten, t.sequence)
			r.remembered = max(r.remembered, t.revision)
			delete(r.gone, id)
		}
	}
	r.forgetEvacuations(now)
	if r.away {
		return false
	}
	changed := false
	for id, e := range r.known {
		if e.lapsed != 0 && !e.unconfirmed() && !now.Before(e.expires) {
			r.remove(now, Removal{ID: id, Revision: e.lapsed})
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire has to be called; false if it need not.
func (r *Registry) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, e := range r.known {
		if e.lapsed != 0 && !e.unconfirmed() && (next.IsZero() || e.expires.Before(next)) {
			next = e.expires
		}
	}
	return next, !next.IsZero()
}
