package discovery

import (
	"maps"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var startTime = time.Unix(1000, 0)

func upstreamWith(id string, revision uint64) Upstream { return Upstream{ID: id, Revision: revision} }

func upstreamIDs(r *Registry) []string {
	var out []string
	for _, k := range r.Upstreams() {
		out = append(out, k.ID)
	}
	return out
}

func listing(revision uint64, ups ...Upstream) Update {
	return Update{Revision: revision, Upstreams: ups}
}

// Without an outage, a removed upstream is dropped at once.
func TestRemovedUpstreamIsGoneAtOnce(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(2, upstreamWith("a", 1), upstreamWith("b", 2)))
	assert.Assert(t, r.Apply(startTime, Update{Revision: 3, Removed: []Removal{{ID: "a", Revision: 3}}}))
	assert.DeepEqual(t, upstreamIDs(r), []string{"b"})
}

// An entry that was published before its upstream was removed does not restore it when it
// is received late; one that was published afterwards does.
func TestOldEntryDoesNotRestoreRemovedUpstream(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(9, upstreamWith("a", 3)))
	r.Apply(startTime, Update{Revision: 12, Removed: []Removal{{ID: "a", Revision: 12}}})
	assert.Assert(t, !r.Apply(startTime, listing(13, upstreamWith("a", 11))))
	assert.DeepEqual(t, upstreamIDs(r), []string(nil))
	assert.Assert(t, r.Apply(startTime, listing(14, upstreamWith("a", 14))))
	assert.DeepEqual(t, upstreamIDs(r), []string{"a"})
}

// Entries that expired during an outage of the store are kept for OutageGrace after its
// recovery; those that have reappeared by then stay, the others are dropped.
func TestMissingEntriesAreKeptForOutageGrace(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(3, upstreamWith("a", 1), upstreamWith("b", 2), upstreamWith("c", 3)))
	r.MarkUnreachable()
	back := startTime.Add(time.Minute)
	r.Replace(back, listing(9, upstreamWith("c", 3)))
	assert.DeepEqual(t, upstreamIDs(r), []string{"a", "b", "c"})
	at, ok := r.NextExpiry()
	assert.Assert(t, ok && at.Equal(back.Add(OutageGrace)))
	r.Apply(back.Add(time.Second), listing(10, upstreamWith("a", 10)))
	assert.Assert(t, !r.Expire(back.Add(OutageGrace-time.Millisecond)))
	assert.Assert(t, r.Expire(back.Add(OutageGrace)))
	assert.DeepEqual(t, upstreamIDs(r), []string{"a", "c"})
}

// An entry that was leaving when the outage began is not kept.
func TestLeavingEntryGetsNoGrace(t *testing.T) {
	r := NewRegistry()
	leaving := upstreamWith("a", 1)
	leaving.Leaving = true
	r.Replace(startTime, listing(1, leaving))
	r.MarkUnreachable()
	r.Replace(startTime.Add(time.Minute), listing(2))
	assert.Equal(t, len(upstreamIDs(r)), 0)
}

// A second outage within the grace period restarts it.
func TestSecondOutageRestartsGrace(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(1, upstreamWith("a", 1)))
	r.MarkUnreachable()
	r.Replace(startTime.Add(time.Second), listing(2))
	r.MarkUnreachable()
	assert.Assert(t, !r.Expire(startTime.Add(time.Hour)), "nothing expires while the store is unreachable")
	back := startTime.Add(time.Hour)
	r.Replace(back, listing(3))
	assert.Assert(t, !r.Expire(back))
	assert.DeepEqual(t, upstreamIDs(r), []string{"a"})
	assert.Assert(t, r.Expire(back.Add(OutageGrace)))
	assert.Equal(t, len(upstreamIDs(r)), 0)
}

// A process that started at the address of one that ended without leaving replaces it
// before the old entry expires.
func TestLaterEntryTakesTheAddress(t *testing.T) {
	at := func(id string, revision uint64, address string) Upstream {
		u := upstreamWith(id, revision)
		u.Address = netip.MustParseAddrPort(address)
		return u
	}
	r := NewRegistry()
	r.Replace(startTime, listing(2, at("old", 1, "10.0.0.1:80"), at("other", 2, "10.0.0.2:80")))
	r.Apply(startTime, listing(3, at("new", 3, "10.0.0.1:80")))
	assert.DeepEqual(t, upstreamIDs(r), []string{"new", "other"})
	r.Apply(startTime, Update{Revision: 4, Removed: []Removal{{ID: "old", Revision: 4}}})
	assert.DeepEqual(t, upstreamIDs(r), []string{"new", "other"})
}

func TestStaleListingChangesNothing(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, listing(5, upstreamWith("a", 5)))
	assert.Assert(t, !r.Replace(startTime, listing(4, upstreamWith("b", 4))))
	assert.DeepEqual(t, upstreamIDs(r), []string{"a"})
}

// TestRegistryAgainstOracle drives a store and a registry that follows it at random, with
// outages. Oracle: the store's present entries. When the store has been reachable for
// OutageGrace and all changes were followed, both hold the same; at any time the registry
// holds every entry that is present and was seen.
func TestRegistryAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		now := startTime
		present := make(map[string]uint64)
		seen := make(map[string]bool)
		var log []Update
		revision, followed := uint64(0), 0
		write := func(u Update) {
			u.Revision = revision
			log = append(log, u)
		}
		follow := func() {
			for ; followed < len(log); followed++ {
				r.Apply(now, log[followed])
				for _, u := range log[followed].Upstreams {
					seen[u.ID] = true
				}
				for _, gone := range log[followed].Removed {
					delete(seen, gone.ID)
				}
			}
		}
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := name.Draw(t, "id")
				revision++
				present[id] = revision
				write(Update{Upstreams: []Upstream{upstreamWith(id, revision)}})
			},
			"remove": func(t *rapid.T) {
				id := name.Draw(t, "id")
				revision++
				delete(present, id)
				delete(seen, id)
				write(Update{Removed: []Removal{{ID: id, Revision: revision}}})
			},
			"follow": func(*rapid.T) { follow() },
			"outage": func(*rapid.T) { r.MarkUnreachable() },
			"list": func(*rapid.T) {
				var u Update
				for id, rev := range present {
					u.Upstreams = append(u.Upstreams, upstreamWith(id, rev))
					seen[id] = true
				}
				u.Revision = revision
				r.Replace(now, u)
				followed = len(log)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				r.Expire(now)
			},
			"settle": func(t *rapid.T) {
				follow()
				r.Apply(now, Update{Revision: revision})
				now = now.Add(OutageGrace)
				r.Apply(now, Update{Revision: revision})
				r.Expire(now)
				held := make(map[string]uint64)
				for _, k := range r.Upstreams() {
					held[k.ID] = k.Revision
				}
				assert.Assert(t, maps.Equal(held, present), "holds %v, published is %v", held, present)
			},
			"": func(t *rapid.T) {
				held := make(map[string]bool)
				for _, k := range r.Upstreams() {
					held[k.ID] = true
				}
				for id := range present {
					assert.Assert(t, !seen[id] || held[id], "%s is published, was seen and is not held", id)
				}
			},
		})
	})
}
