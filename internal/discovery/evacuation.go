package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Evacuation is an operators' order that the upstreams of a data centre get no requests,
// or the end of such an order.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	// Revision is the revision of the order, or of its end.
	Revision uint64 `cbor:"2,keyasint"`
	Ended    bool   `cbor:"3,keyasint,omitempty"`
}

// evacuation is an Evacuation with what this node knows of it.
type evacuation struct {
	Evacuation
	receivedAt time.Time // when this node first learned of it
	sequence   uint64    // sequence number of the change
}

// applyEvacuations applies evacuations and ends of evacuations and reports whether
// anything changed; per data centre the highest revision wins. An evacuation is an
// explicit order, so neither missing data nor an outage ends it.
func (r *Registry) applyEvacuations(now time.Time, changes []Evacuation) bool {
	changed := false
	for _, o := range changes {
		if known, ok := r.evacuations[o.DataCentre]; ok && o.Revision <= known.Revision {
			continue
		}
		r.sequence++
		r.evacuationChanges++
		r.evacuations[o.DataCentre] = evacuation{Evacuation: o, receivedAt: now, sequence: r.sequence}
		changed = true
	}
	return changed
}

// endMissingEvacuations ends the evacuations that a full listing of a revision lacks. One
// ordered after the listing has a higher revision than such an end, so it stays.
func (r *Registry) endMissingEvacuations(now time.Time, current []Evacuation, revision uint64) bool {
	listed := make(map[string]bool, len(current))
	for _, o := range current {
		listed[o.DataCentre] = true
	}
	var ended []Evacuation
	for centre, e := range r.evacuations {
		if !e.Ended && !listed[centre] {
			ended = append(ended, Evacuation{DataCentre: centre, Revision: revision, Ended: true})
		}
	}
	return r.applyEvacuations(now, ended)
}

// expireEvacuations forgets ended evacuations that are older than tombstoneTTL.
func (r *Registry) expireEvacuations(now time.Time) {
	for centre, e := range r.evacuations {
		if e.Ended && now.Sub(e.receivedAt) > tombstoneTTL {
			r.forgottenSequence = max(r.forgottenSequence, e.sequence)
			r.tombstonesSince = max(r.tombstonesSince, e.Revision)
			r.evacuationChanges++
			delete(r.evacuations, centre)
		}
	}
}

// evacuationsAfter returns the evacuations and ends that a peer at the given position
// lacks.
func (r *Registry) evacuationsAfter(pos peerPosition) []Evacuation {
	var out []Evacuation
	for _, e := range r.evacuations {
		if pos.isMissing(e.sequence, e.Revision) {
			out = append(out, e.Evacuation)
		}
	}
	return out
}

// EvacuatedCentre is a data centre whose upstreams get no requests.
type EvacuatedCentre struct {
	DataCentre string
	Revision   uint64
	FirstSeen  time.Time // when this node first learned of it
}

// Evacuated returns the evacuated data centres, sorted by name.
func (r *Registry) Evacuated() []EvacuatedCentre {
	var out []EvacuatedCentre
	for _, e := range r.evacuations {
		if !e.Ended {
			out = append(out, EvacuatedCentre{DataCentre: e.DataCentre, Revision: e.Revision, FirstSeen: e.receivedAt})
		}
	}
	slices.SortFunc(out, func(a, b EvacuatedCentre) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// evacuationEndedAt returns when this node learned that the evacuation of a data centre
// has ended; zero if it knows of none that ended recently.
func (r *Registry) evacuationEndedAt(centre string) time.Time {
	if e, ok := r.evacuations[centre]; ok && e.Ended {
		return e.receivedAt
	}
	return time.Time{}
}
