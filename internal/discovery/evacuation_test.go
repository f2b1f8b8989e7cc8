package discovery

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func evacuatedCentres(r *Registry) map[string]bool {
	out := make(map[string]bool)
	for _, e := range r.Evacuated() {
		out[e.DataCentre] = true
	}
	return out
}

func evacuated(centre string, revision uint64) Evacuation {
	return Evacuation{DataCentre: centre, Revision: revision}
}

func evacuationOver(centre string, revision uint64) Evacuation {
	return Evacuation{DataCentre: centre, Revision: revision, Ended: true}
}

// The higher revision wins, in whatever order they arrive.
func TestLaterEvacuationRevisionWins(t *testing.T) {
	r := NewRegistry()
	r.Apply(startTime, Update{Revision: 9, Evacuations: []Evacuation{evacuationOver("b", 8), evacuated("a", 9)}})
	r.Apply(startTime, Update{Revision: 9, Evacuations: []Evacuation{evacuated("b", 7), evacuationOver("a", 5)}})
	assert.DeepEqual(t, evacuatedCentres(r), map[string]bool{"a": true})
}

// An evacuation outlasts an outage, the loss of its upstreams, and a listing older than
// itself; a later listing without it ends it.
func TestEvacuationEndsOnlyWhenTheStoreSaysSo(t *testing.T) {
	r := NewRegistry()
	r.Apply(startTime, Update{Revision: 5, Evacuations: []Evacuation{evacuated("a", 5)}})
	r.MarkUnreachable()
	r.Expire(startTime.Add(time.Hour))
	assert.DeepEqual(t, evacuatedCentres(r), map[string]bool{"a": true})
	r.Replace(startTime.Add(time.Hour), Update{Revision: 4, HasEvacuations: true})
	assert.DeepEqual(t, evacuatedCentres(r), map[string]bool{"a": true})
	r.Replace(startTime.Add(time.Hour), Update{Revision: 6, HasEvacuations: true})
	assert.Equal(t, len(r.Evacuated()), 0)
}

// A peer update from a node that does not report evacuations must end none.
func TestPeerUpdateOfEarlierBuildEndsNoEvacuation(t *testing.T) {
	r := NewRegistry()
	r.Apply(startTime, Update{Revision: 5, Evacuations: []Evacuation{evacuated("a", 5)}})
	r.Merge(startTime, Update{Revision: 9}, true, true)
	assert.DeepEqual(t, evacuatedCentres(r), map[string]bool{"a": true})
	r.Merge(startTime, Update{Revision: 9, HasEvacuations: true}, true, true)
	assert.Equal(t, len(r.Evacuated()), 0)
}

// TestEvacuationsAgainstOracle drives a store in which evacuations begin and end, a
// registry that reads it by changes, listings and stale listings, and one that follows
// the first by peer updates. Oracle: the evacuations in the store. Neither registry ever
// holds an evacuation that the store never had, or lacks one that it has read and that is
// in force; when both have read everything, both hold what the store holds.
func TestEvacuationsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := NewRegistry(), NewRegistry()
		now := startTime
		present := make(map[string]uint64)
		var log []Evacuation
		var past []Update // full listings of earlier revisions
		revision, cursor := uint64(0), uint64(0)
		listing := func() Update {
			u := Update{Revision: revision, HasEvacuations: true}
			for centre, rev := range present {
				u.Evacuations = append(u.Evacuations, evacuated(centre, rev))
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
		mergeUpdate := func() {
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
			"follow": func(*rapid.T) { mergeUpdate() },
			"follow anew": func(*rapid.T) {
				cursor = 0
				mergeUpdate()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
				reader.Expire(now)
				follower.Expire(now)
			},
			"restart": func(*rapid.T) { follower, cursor = NewRegistry(), 0 },
			"settle": func(t *rapid.T) {
				read()
				mergeUpdate()
				want := make(map[string]bool)
				for c := range present {
					want[c] = true
				}
				assert.Assert(t, maps.Equal(evacuatedCentres(reader), want), "reader holds %v, published is %v", evacuatedCentres(reader), want)
				assert.Assert(t, maps.Equal(evacuatedCentres(follower), want), "follower holds %v, published is %v", evacuatedCentres(follower), want)
			},
			"": func(t *rapid.T) {
				for c, rev := range present {
					assert.Assert(t, rev > reader.Revision() || evacuatedCentres(reader)[c], "the evacuation of %s is lost", c)
				}
			},
		})
	})
}
