package routing

import (
	"time"

	"github.com/walldrift/walldrift/internal/membership"
)

// announcedLeaving is an instance that has said that it leaves. The member list may show
// that later or never.
type announcedLeaving struct {
	generation uint64
	lastListed time.Time // when the member list last had the instance
}

// leavingMemory is how long such an instance is remembered after the member list lacks it.
// Entries that vanish during an outage of the store come back within seconds.
const leavingMemory = time.Minute

// RecordLeaving records that an instance has said that it leaves. It gets no further
// requests; a later generation of it may.
func (r *Router) RecordLeaving(now time.Time, in membership.Instance) {
	if known, ok := r.leaving[in.Name]; !ok || in.Generation > known.generation {
		r.leaving[in.Name] = announcedLeaving{generation: in.Generation, lastListed: now}
	}
}

func (r *Router) hasAnnouncedLeaving(in membership.Instance) bool {
	known, ok := r.leaving[in.Name]
	return ok && known.generation >= in.Generation
}

// pruneLeaving forgets the instances that have gone.
func (r *Router) pruneLeaving(now time.Time, listed func(name string) bool) {
	for name, known := range r.leaving {
		switch {
		case listed(name):
			known.lastListed = now
			r.leaving[name] = known
		case now.Sub(known.lastListed) > leavingMemory:
			delete(r.leaving, name)
		}
	}
}
