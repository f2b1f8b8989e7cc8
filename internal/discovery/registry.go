package discovery

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Registry holds what is believed about the upstreams. Not safe for concurrent
// use.
type Registry struct {
	revision uint64
	known    map[string]entry
	gone     map[string]tombstone
	// evacuations holds orders and ends of orders by data centre.
	evacuations       map[string]evacuation
	evacuationChanges uint64    // counts the changes of evacuations
	away              bool      // the last call failed
	returned          time.Time // when a call succeeded after a failure

	// ids holds the entries by address, and touched those of which the public view may
	// have changed since it was taken.
	ids     map[netip.AddrPort][]string
	touched touched

	sequence uint64 // counts the changes of belief
	// forgotten is the sequence of the newest tombstone that was forgotten.
	forgotten uint64
	// sure says that all up to revision is known: not after a listing by reads that may be
	// stale, of which one page may be older than another.
	sure bool
	// remembered is the store's revision after which the ends of all are remembered.
	remembered uint64
}

type entry struct {
	Upstream
	seen time.Time // when this life of the process was first heard of
	told time.Time // when this version of the entry was heard of
	// lapsed is the revision at which the entry vanished; zero if it is
	// published. It is believed until expires or, where that is zero, until the
	// end is confirmed.
	lapsed   uint64
	expires  time.Time
	sequence uint64 // of the last change
}

// replacedBy reports whether the word of a source that knows the store up to a
// revision replaces the entry: a later life, a later version, or the same one that
// has vanished or, by word not older than its end, is published again.
func (e entry) replacedBy(up Upstream, revision uint64) bool {
	switch {
	case e.StartedAtMs != 0 && up.StartedAtMs > e.StartedAtMs:
		return true
	case up.Revision != e.Revision:
		// A version from before the end has ended with it.
		return up.Revision > max(e.Revision, e.lapsed)
	case e.lapsed == 0:
		return up.ExpiresIn > 0
	}
	return up.ExpiresIn == 0 && revision >= e.lapsed
}

// publicly is what is published of an entry. Its cold time is counted from when it was
// heard of: that is later than it was told, and so on the safe side.
func (e entry) publicly() KnownUpstream {
	k := KnownUpstream{Upstream: e.Upstream, FirstSeen: e.seen}
	if e.ColdFor > 0 {
		k.ColdFrom, k.ColdUntil = e.told, e.told.Add(e.ColdFor)
	}
	return k
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		known:       make(map[string]entry),
		gone:        make(map[string]tombstone),
		evacuations: make(map[string]evacuation),
		ids:         make(map[netip.AddrPort][]string),
		touched:     newTouched(),
	}
}

// Revision returns the store's revision up to which all is known.
func (r *Registry) Revision() uint64 { return r.revision }

// Sequence counts the changes of belief, for Since.
func (r *Registry) Sequence() uint64 { return r.sequence }

// MarkUnreachable notes that the store did not answer.
func (r *Registry) MarkUnreachable() { r.away = true }

// InOutage reports whether the store is away, or came back less than LapseGrace ago.
func (r *Registry) InOutage(now time.Time) bool {
	return r.away || !r.returned.IsZero() && now.Before(r.returned.Add(OutageGrace))
}

// Replace takes over a whole listing of the store and reports whether anything
// changed.
func (r *Registry) Replace(now time.Time, u Update) bool {
	r.MarkReachable(now)
	if u.Revision < r.revision {
		return false // a stale answer
	}
	changed := r.take(now, u)
	changed = r.takeEvacuations(now, u.Evacuations) || changed
	changed = r.endUnlisted(now, u.Evacuations, u.Revision) || changed
	changed = r.applyRemoved(now, u.Removed) || changed
	for _, id := range r.unlisted(u) {
		changed = r.vanish(now, Removal{ID: id, Revision: u.Revision}) || changed
	}
	r.keepUnusable(u)
	r.sure = true
	return changed
}

// ReplaceStale is Replace for a listing that may be stale.
func (r *Registry) ReplaceStale(now time.Time, u Update) bool {
	changed := r.Replace(now, u)
	r.sure = false
	return changed
}

// CompleteRevision is Revision if all up to it is known for certain; 0 otherwise.
func (r *Registry) CompleteRevision() uint64 {
	if !r.sure {
		return 0
	}
	return r.revision
}

// Apply takes over changes of the store and reports whether anything changed.
func (r *Registry) Apply(now time.Time, u Update) bool {
	r.MarkReachable(now)
	changed := r.take(now, u)
	changed = r.takeEvacuations(now, u.Evacuations) || changed
	return r.applyRemoved(now, u.Removed) || changed
}

func (r *Registry) applyRemoved(now time.Time, removed []Removal) bool {
	changed := false
	for _, gone := range removed {
		if r.ends(now, gone) {
			changed = r.vanish(now, gone) || changed
		}
	}
	return changed
}

// MarkReachable notes that the store answers. After an outage, what lapsed before it
// is given the same time as what lapsed in it.
func (r *Registry) MarkReachable(now time.Time) {
	if !r.away {
		return
	}
	r.away, r.returned = false, now
	for _, e := range r.known {
		if e.lapsed != 0 {
			e.expires = now.Add(OutageGrace)
			r.set(e)
		}
	}
}

func (r *Registry) take(now time.Time, u Update) bool {
	if r.revision == 0 { // ends before the first that is known were never heard of
		r.remembered, r.sure = max(r.remembered, u.Revision), true
	}
	changed := false
	for _, up := range u.Upstreams {
		old, ok := r.known[up.ID]
		ended := r.gone[up.ID]
		born := max(old.StartedAtMs, ended.born)
		if up.StartedAtMs == 0 {
			up.StartedAtMs = born // the life known last
		}
		if up.StartedAtMs < born || ended.revision >= up.Revision || ok && !old.replacedBy(up, u.Revision) {
			continue
		}
		r.sequence++
		e := entry{Upstream: up, seen: now, told: now, sequence: r.sequence}
		if ok && old.StartedAtMs == up.StartedAtMs {
			e.seen = old.seen
		}
		if up.ExpiresIn > 0 {
			e.lapsed, e.expires, e.ExpiresIn = max(u.Revision, 1), now.Add(up.ExpiresIn), 0
		}
		r.set(e)
		delete(r.gone, up.ID)
		changed = true
	}
	r.revision = max(r.revision, u.Revision)
	return changed
}

// KnownUpstream is an upstream with the time when this life of it was first heard of.
type KnownUpstream struct {
	Upstream
	FirstSeen time.Time
	// ColdFrom and ColdUntil are the times between which it is cold, as far as that is
	// published; both zero if it is not.
	ColdFrom, ColdUntil time.Time
}

// set takes an entry over.
func (r *Registry) set(e entry) {
	old, ok := r.known[e.ID]
	if ok && old.Address != e.Address {
		r.drop(e.ID)
		ok = false
	}
	if !ok {
		r.ids[e.Address] = append(r.ids[e.Address], e.ID)
	}
	r.known[e.ID] = e
	r.touch(e.Address)
}

// drop takes an entry out.
func (r *Registry) drop(id string) {
	old, ok := r.known[id]
	if !ok {
		return
	}
	r.touch(old.Address)
	delete(r.known, id)
	rest := slices.DeleteFunc(r.ids[old.Address], func(other string) bool { return other == id })
	if r.ids[old.Address] = rest; len(rest) == 0 {
		delete(r.ids, old.Address)
	}
}

// touched are entries, and the addresses at which others may be now.
type touched struct {
	ids       map[string]bool
	addresses map[netip.AddrPort]bool
}

func newTouched() touched {
	return touched{ids: make(map[string]bool), addresses: make(map[netip.AddrPort]bool)}
}

// touch marks an address with all its entries: a change of one decides which of them is
// there.
func (r *Registry) touch(address netip.AddrPort) {
	r.touched.addresses[address] = true
	for _, id := range r.ids[address] {
		r.touched.ids[id] = true
	}
}

// takeTouched returns what may have changed since it was called last.
func (r *Registry) takeTouched() touched {
	out := r.touched
	r.touched = newTouched()
	return out
}

// at returns the entry of UpstreamsOf at an address; false if there is none.
func (r *Registry) at(services map[string]bool, address netip.AddrPort) (KnownUpstream, bool) {
	for _, id := range r.ids[address] {
		if k, ok := r.upstreamOf(services, id); ok {
			return k, true
		}
	}
	return KnownUpstream{}, false
}

// Upstreams returns the believed upstreams, sorted by ID. Of two at one address
// only the one published later is among them: an address serves one process at a
// time, and the entry of one that ended without a word stays for some seconds.
func (r *Registry) Upstreams() []KnownUpstream { return r.UpstreamsOf(nil) }

// UpstreamsOf is Upstreams with the services that the table names; nil for any. An
// entry of another service takes no address from one of these, as whoever wrote it
// may not be there.
func (r *Registry) UpstreamsOf(services map[string]bool) []KnownUpstream {
	out := make([]KnownUpstream, 0, len(r.known))
	for id := range r.known {
		if k, ok := r.upstreamOf(services, id); ok {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b KnownUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// upstreamOf returns one of UpstreamsOf; false if it is not among them.
func (r *Registry) upstreamOf(services map[string]bool, id string) (KnownUpstream, bool) {
	e, ok := r.known[id]
	if !ok {
		return KnownUpstream{}, false
	}
	if e.Address.IsValid() {
		for _, other := range r.ids[e.Address] {
			if other != id && r.known[other].displaces(e, services) {
				return KnownUpstream{}, false
			}
		}
	}
	return e.publicly(), true
}

// displaces reports whether an entry is the one that is at the address of both.
func (e entry) displaces(other entry, services map[string]bool) bool {
	named := services == nil || services[e.Service]
	otherNamed := services == nil || services[other.Service]
	if named != otherNamed {
		return named
	}
	return e.Revision > other.Revision || e.Revision == other.Revision && e.ID > other.ID
}
