package discovery

import (
	"cmp"
	"slices"
	"time"
)

// LapseGrace is how long an upstream that vanished while the store was away is
// still believed after the store's return: entries of live ones are back within
// two seconds, and the rest is for the way of the news.
const LapseGrace = 2200 * time.Millisecond

// Registry holds what is believed about the upstreams. Not safe for concurrent
// use.
type Registry struct {
	revision uint64
	known    map[string]entry
	away     bool      // the last call failed
	returned time.Time // when a call succeeded after a failure
}

type entry struct {
	Upstream
	seen time.Time // when this version of the entry came
	// lapsed is when the entry vanished with the store's return; zero if it is
	// published.
	lapsed time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{known: make(map[string]entry)} }

// Revision returns the store's revision of the last update.
func (r *Registry) Revision() uint64 { return r.revision }

// Lost notes that the store did not answer.
func (r *Registry) Lost() { r.away = true }

// Replace takes over a whole listing and reports whether anything changed.
func (r *Registry) Replace(now time.Time, u Update) bool {
	r.reached(now)
	if u.Revision < r.revision {
		return false // a stale answer
	}
	changed := r.take(now, u)
	listed := make(map[string]bool, len(u.Upstreams))
	for _, up := range u.Upstreams {
		listed[up.ID] = true
	}
	for id := range r.known {
		if !listed[id] {
			changed = r.vanish(now, id) || changed
		}
	}
	return changed
}

// Apply takes over changes and reports whether anything changed.
func (r *Registry) Apply(now time.Time, u Update) bool {
	r.reached(now)
	changed := r.take(now, u)
	for _, gone := range u.Removed {
		if e, ok := r.known[gone.ID]; ok && gone.Revision > e.Revision {
			changed = r.vanish(now, gone.ID) || changed
		}
	}
	return changed
}

func (r *Registry) reached(now time.Time) {
	if r.away {
		r.away, r.returned = false, now
	}
}

func (r *Registry) take(now time.Time, u Update) bool {
	changed := false
	for _, up := range u.Upstreams {
		old, ok := r.known[up.ID]
		if ok && old.Revision >= up.Revision && old.lapsed.IsZero() {
			continue
		}
		r.known[up.ID] = entry{Upstream: up, seen: now}
		changed = true
	}
	r.revision = max(r.revision, u.Revision)
	return changed
}

// vanish takes an upstream out, at once if it was leaving or the store was
// there all the time, otherwise after LapseGrace.
func (r *Registry) vanish(now time.Time, id string) bool {
	e := r.known[id]
	if !e.Leaving && !r.returned.IsZero() && now.Before(r.returned.Add(LapseGrace)) {
		if e.lapsed.IsZero() {
			e.lapsed = now
			r.known[id] = e
		}
		return false
	}
	delete(r.known, id)
	return true
}

// Expire takes out the upstreams that did not appear again in time, and reports
// whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	if r.returned.IsZero() || r.away || now.Before(r.returned.Add(LapseGrace)) {
		return false
	}
	changed := false
	for id, e := range r.known {
		if !e.lapsed.IsZero() {
			delete(r.known, id)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire has to be called; false if it need not.
func (r *Registry) NextExpiry() (time.Time, bool) {
	for _, e := range r.known {
		if !e.lapsed.IsZero() {
			return r.returned.Add(LapseGrace), true
		}
	}
	return time.Time{}, false
}

// Known is an upstream with the time when its entry came.
type Known struct {
	Upstream
	Seen time.Time
}

// Upstreams returns the believed upstreams, sorted by ID.
func (r *Registry) Upstreams() []Known {
	out := make([]Known, 0, len(r.known))
	for _, e := range r.known {
		out = append(out, Known{Upstream: e.Upstream, Seen: e.seen})
	}
	slices.SortFunc(out, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
