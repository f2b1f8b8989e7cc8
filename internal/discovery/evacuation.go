package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Evacuation is an operators' order that the upstreams of a data centre get nothing,
// or that such an order is over.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	// Revision is that of the order, or of its end.
	Revision uint64 `cbor:"2,keyasint"`
	Ended    bool   `cbor:"3,keyasint,omitempty"`
}

// evacuation is an Evacuation with what this node knows of it.
type evacuation struct {
	Evacuation
	heard    time.Time // when it was first heard of
	sequence uint64    // of the change of belief
}

// takeEvacuations takes over orders and ends of orders, of which the later revision
// counts, and reports whether anything changed. It is an order and no evidence:
// neither silence nor an outage ends one.
func (r *Registry) takeEvacuations(now time.Time, orders []Evacuation) bool {
	changed := false
	for _, o := range orders {
		if known, ok := r.evacuations[o.DataCentre]; ok && o.Revision <= known.Revision {
			continue
		}
		r.sequence++
		r.evacuationChanges++
		r.evacuations[o.DataCentre] = evacuation{Evacuation: o, heard: now, sequence: r.sequence}
		changed = true
	}
	return changed
}

// endUnlisted ends the evacuations that a whole listing of a revision lacks. Those
// ordered after it are no matter of the listing: their revision is later than that of
// such an end.
func (r *Registry) endUnlisted(now time.Time, orders []Evacuation, revision uint64) bool {
	listed := make(map[string]bool, len(orders))
	for _, o := range orders {
		listed[o.DataCentre] = true
	}
	var ends []Evacuation
	for centre, e := range r.evacuations {
		if !e.Ended && !listed[centre] {
			ends = append(ends, Evacuation{DataCentre: centre, Revision: revision, Ended: true})
		}
	}
	return r.takeEvacuations(now, ends)
}

// forgetEvacuations forgets ends that are as old as tombstones may get.
func (r *Registry) forgetEvacuations(now time.Time) {
	for centre, e := range r.evacuations {
		if e.Ended && now.Sub(e.heard) > tombstoneLife {
			r.forgotten = max(r.forgotten, e.sequence)
			r.remembered = max(r.remembered, e.Revision)
			r.evacuationChanges++
			delete(r.evacuations, centre)
		}
	}
}

// evacuationsIn returns the orders and ends that are told to one who is behind.
func (r *Registry) evacuationsIn(b behind) []Evacuation {
	var out []Evacuation
	for _, e := range r.evacuations {
		if b.lacks(e.sequence, e.Revision) {
			out = append(out, e.Evacuation)
		}
	}
	return out
}

// EvacuatedCentre is a data centre whose upstreams get nothing.
type EvacuatedCentre struct {
	DataCentre string
	Revision   uint64
	FirstSeen  time.Time // when this node first heard of it
}

// Evacuated returns the data centres whose upstreams get nothing, by name.
func (r *Registry) Evacuated() []EvacuatedCentre {
	var out []EvacuatedCentre
	for _, e := range r.evacuations {
		if !e.Ended {
			out = append(out, EvacuatedCentre{DataCentre: e.DataCentre, Revision: e.Revision, FirstSeen: e.heard})
		}
	}
	slices.SortFunc(out, func(a, b EvacuatedCentre) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// reopened returns when this node heard that the evacuation of a data centre is over;
// zero if it knows of none that ended a short while ago.
func (r *Registry) reopened(centre string) time.Time {
	if e, ok := r.evacuations[centre]; ok && e.Ended {
		return e.heard
	}
	return time.Time{}
}
