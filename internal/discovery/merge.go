package discovery

import (
	"slices"
	"time"
)

// What a registry tells other nodes, and what it takes over from them.

// Merge takes over what another node believes and reports whether anything
// changed. With whole the update lists all that it believes. It advances
// Revision only if complete says that nothing of the update is missing.
//
// An upstream that vanished without leaving is believed until Confirm: its entry
// also ends if its machine cannot reach the store, and where this node cannot
// either, the two may still serve each other. The time that the other node gives
// one which vanished with an outage is given here only if this node knows of the
// outage too: a reader that alone was cut off made all who followed it believe in
// upstreams for 2.2 s more.
func (r *Registry) Merge(now time.Time, u Update, whole, complete bool) bool {
	before, sure := r.revision, r.sure
	changed := false
	if !r.InOutage(now) {
		u.Upstreams, changed = r.hearLapsed(now, u)
	}
	u.Upstreams = r.notEnded(u.Upstreams)
	changed = r.take(now, u) || changed
	changed = r.takeEvacuations(now, u.Evacuations) || changed
	if whole && u.HasEvacuations {
		changed = r.endUnlisted(now, u.Evacuations, u.Revision) || changed
	}
	for _, gone := range u.Removed {
		if r.ends(now, gone) {
			changed = r.hearEnd(now, gone) || changed
		}
	}
	if whole {
		for _, id := range r.unlisted(u) {
			changed = r.hearEnd(now, Removal{ID: id, Revision: u.Revision}) || changed
		}
	}
	if !complete {
		r.revision, r.sure = before, sure
	} else if whole {
		r.sure = true
	}
	return changed
}

// notEnded returns the upstreams but for those that have ended by what is known here: they
// were published when all was known, and are not known, though their end may be forgotten.
func (r *Registry) notEnded(told []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(told), func(up Upstream) bool {
		_, known := r.known[up.ID]
		return !known && up.Revision <= r.CompleteRevision()
	})
}

// hearLapsed takes those that vanished elsewhere for ended. It returns the others,
// and whether anything changed.
func (r *Registry) hearLapsed(now time.Time, u Update) (published []Upstream, changed bool) {
	for _, up := range u.Upstreams {
		if up.ExpiresIn == 0 {
			published = append(published, up)
			continue
		}
		if e, ok := r.known[up.ID]; ok && e.Revision <= up.Revision {
			changed = r.hearEnd(now, Removal{ID: up.ID, Revision: u.Revision}) || changed
		}
	}
	return published, changed
}

// hearEnd takes an upstream out on another node's word, at once if it was leaving
// or something else is published in its place, otherwise when the end is
// confirmed.
func (r *Registry) hearEnd(now time.Time, gone Removal) bool {
	e := r.known[gone.ID]
	if e.Leaving || gone.InvalidReason != "" {
		r.remove(now, gone)
		return true
	}
	if e.lapsed == 0 {
		r.lapse(e, gone.Revision, time.Time{})
	}
	return false
}

// HasUnconfirmedRemovals reports whether upstreams are believed that vanished by the word
// of other nodes.
func (r *Registry) HasUnconfirmedRemovals() bool {
	for _, e := range r.known {
		if e.unconfirmed() {
			return true
		}
	}
	return false
}

func (e entry) unconfirmed() bool { return e.lapsed != 0 && e.expires.IsZero() }

// ConfirmRemovals takes out the upstreams that vanished by the word of other nodes, as
// the store answers this one. It reports whether there were any.
func (r *Registry) ConfirmRemovals(now time.Time) bool {
	r.MarkReachable(now)
	changed := false
	for id, e := range r.known {
		if e.unconfirmed() {
			r.remove(now, Removal{ID: id, Revision: e.lapsed})
			changed = true
		}
	}
	return changed
}

// behind is what one knows to whom changes are told: all up to a sequence of this registry,
// or all that the store held at a revision. The zero value knows nothing.
type behind struct {
	sequence uint64
	revision uint64 // counts where sequence is 0
}

// lacks reports whether a change of a sequence, made by an entry or an end of a revision, is
// not known.
func (b behind) lacks(sequence, revision uint64) bool {
	if b.sequence > 0 {
		return sequence > b.sequence
	}
	return revision > b.revision
}

// Since returns what has changed after a sequence. With whole it returns all
// that is believed, since the sequence is 0 or the changes are not remembered.
func (r *Registry) Since(now time.Time, sequence uint64) (u Update, whole bool) {
	return r.changesFor(now, behind{sequence: sequence})
}

// SinceRevision is Since for one who knows all that the store held at a revision, from
// whomever.
func (r *Registry) SinceRevision(now time.Time, revision uint64) (u Update, whole bool) {
	return r.changesFor(now, behind{revision: revision})
}

func (r *Registry) changesFor(now time.Time, b behind) (u Update, whole bool) {
	u.Revision = r.revision
	if b.sequence > 0 {
		whole = b.sequence < r.forgotten
	} else {
		whole = b.revision == 0 || b.revision < r.remembered
	}
	if whole {
		b = behind{}
	}
	for _, e := range r.known {
		if !whole && !b.lacks(e.sequence, max(e.Revision, e.lapsed)) {
			continue
		}
		if e.unconfirmed() {
			u.Removed = append(u.Removed, Removal{ID: e.ID, Revision: e.lapsed})
			continue
		}
		up := e.Upstream
		if e.lapsed != 0 {
			up.ExpiresIn = max(e.expires.Sub(now), time.Millisecond)
		}
		u.Upstreams = append(u.Upstreams, up)
	}
	for id, t := range r.gone {
		if whole || b.lacks(t.sequence, t.revision) {
			u.Removed = append(u.Removed, Removal{ID: id, Revision: t.revision, InvalidReason: t.unusable})
		}
	}
	u.Evacuations, u.HasEvacuations = r.evacuationsIn(b), true
	return u, whole
}
