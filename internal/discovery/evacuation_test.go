package discovery

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func evacuatedBy(r *Registry) map[string]bool {
	out := make(map[string]bool)
	for _, e := range r.Evacuated() {
		out[e.DataCentre] = true
	}
	return out
}

func order(centre string, revision uint64) Evacuation {
	return Evacuation{DataCentre: centre, Revision: revision}
}

func orderOver(centre string, revision uint64) Evacuation {
	return Evacuation{DataCentre: centre, Revision: revision, Ended: true}
}

// The later revision counts, whatever comes first.
func TestLaterEvacuationCounts(t *testing.T) {
	r := NewRegistry()
	r.Apply(start, Update{Revision: 9, Evacuations: []Evacuation{orderOver("b", 8), order("a", 9)}})
	r.Apply(start, Update{Revision: 9, Evacuations: []Evacuation{order("b", 7), orderOver("a", 5)}})
	assert.DeepEqual(t, evacuatedBy(r), map[string]bool{"a": true})
}

// An evacuation outlasts silence of the store and of its upstreams, and a listing older
// than itself; one that a later listing lacks is over.
func TestEvacuationEndsByWordAlone(t *testing.T) {
	r := NewRegistry()
	r.Apply(start, Update{Revision: 5, Evacuations: []Evacuation{order("a", 5)}})
	r.MarkUnreachable()
	r.Expire(start.Add(time.Hour))
	assert.DeepEqual(t, evacuatedBy(r), map[string]bool{"a": true})
	r.Replace(start.Add(time.Hour), Update{Revision: 4, HasEvacuations: true})
	assert.DeepEqual(t, evacuatedBy(r), map[string]bool{"a": true})
	r.Replace(start.Add(time.Hour), Update{Revision: 6, HasEvacuations: true})
	assert.Equal(t, len(r.Evacuated()), 0)
}

// News of a node that does not tell of evacuations end none.
func TestNewsOfAnEarlierBuildEndNoEvacuation(t *testing.T) {
	r := NewRegistry()
	r.Apply(start, Update{Revision: 5, Evacuations: []Evacuation{order("a", 5)}})
	r.Merge(start, Update{Revision: 9}, true, true)
	assert.DeepEqual(t, evacuatedBy(r), map[string]bool{"a": true})
	r.Merge(start, Update{Revision: 9, HasEvacuations: true}, true, true)
	assert.Equal(t, len(r.Evacuated()), 0)
}

// TestEvacuationsAgainstOracle drives a store in which evacuations begin and end, a
// registry that reads it by changes, listings and stale listings, and one that follows
// the first by news. Oracle: the orders in the store. Neither registry ever holds an
// order that the store did not have at some time, or lacks one that it has read and
// that stands; when both have read all, both hold what the store holds.
func TestEvacuationsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := NewRegistry(), NewRegistry()
		now := start
		present := make(map[string]uint64)
		var log []Evacuation
		var past []Update // whole listings of earlier revisions
		revision, cursor := uint64(0), uint64(0)
		listing := func() Update {
			u := Update{Revision: revision, HasEvacuations: true}
			for centre, rev := range present {
				u.Evacuations = append(u.Evacuations, order(centre, rev))
			}
			return u
		}
		write := func(o Evacuation) {
			past = append(past, listing())
			revision++
			o.Revision = revision
			log = append(log, o)
			delete(present, o.DataCentre)
			if !o.Ended {
				present[o.DataCentre] = revision
			}
		}
		read := func() {
			from := reader.Revision()
			reader.Apply(now, Update{Revision: revision, Evacuations: log[from:]})
		}
		hear := func() {
			u, whole := reader.Since(now, cursor)
			follower.Merge(now, u, whole, true)
			cursor = reader.Sequence()
		}
		centre := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) { write(Evacuation{DataCentre: centre.Draw(t, "centre")}) },
			"end":      func(t *rapid.T) { write(Evacuation{DataCentre: centre.Draw(t, "centre"), Ended: true}) },
			"read":     func(*rapid.T) { read() },
			"list":     func(*rapid.T) { reader.Replace(now, listing()) },
			"stale list": func(t *rapid.T) {
				if len(past) > 0 {
					reader.Replace(now, rapid.SampledFrom(past).Draw(t, "listing"))
				}
			},
			"outage": func(*rapid.T) { reader.MarkUnreachable() },
			"hear":   func(*rapid.T) { hear() },
			"hear anew": func(*rapid.T) {
				cursor = 0
				hear()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
				reader.Expire(now)
				follower.Expire(now)
			},
			"restart": func(*rapid.T) { follower, cursor = NewRegistry(), 0 },
			"settle": func(t *rapid.T) {
				read()
				hear()
				want := make(map[string]bool)
				for c := range present {
					want[c] = true
				}
				assert.Assert(t, maps.Equal(evacuatedBy(reader), want), "reader holds %v, published is %v", evacuatedBy(reader), want)
				assert.Assert(t, maps.Equal(evacuatedBy(follower), want), "follower holds %v, published is %v", evacuatedBy(follower), want)
			},
			"": func(t *rapid.T) {
				for c, rev := range present {
					assert.Assert(t, rev > reader.Revision() || evacuatedBy(reader)[c], "%s is forgotten", c)
				}
			},
		})
	})
}
