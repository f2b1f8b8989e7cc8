package discovery

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// invalidated is the change by which an entry no longer describes an upstream.
func invalidated(id string, revision uint64) Update {
	return Update{Revision: revision, Removed: []Removal{{ID: id, Revision: revision, InvalidReason: "Info: missing"}}}
}

// An upstream whose entry is overwritten with something else must get no requests from
// then on, whoever reports that and whether or not there was an outage; it is back as
// soon as its entry is.
func TestInvalidatedEntryIsRemoved(t *testing.T) {
	for name, update := range map[string]func(*Registry) bool{
		"by watch": func(r *Registry) bool { return r.Apply(startTime, invalidated("a", 5)) },
		"by listing": func(r *Registry) bool {
			u := invalidated("a", 5)
			u.Upstreams = []Upstream{upstreamWith("b", 2)}
			return r.Replace(startTime, u)
		},
		"by peer update": func(r *Registry) bool {
			other := NewRegistry()
			other.Apply(startTime, invalidated("a", 5))
			u, whole := other.Since(startTime, 0)
			u.Upstreams = []Upstream{upstreamWith("b", 2)}
			return r.Merge(startTime, u, whole, true)
		},
	} {
		for _, outage := range []bool{false, true} {
			r := NewRegistry()
			r.Replace(startTime, listing(2, upstreamWith("a", 1), upstreamWith("b", 2)))
			if outage {
				r.MarkUnreachable()
			}
			assert.Assert(t, update(r), name)
			assert.DeepEqual(t, upstreamIDs(r), []string{"b"})
			assert.DeepEqual(t, r.Unusable(), []Removal{{ID: "a", Revision: 5, InvalidReason: "Info: missing"}})
			assert.Assert(t, !r.Merge(startTime, listing(4, upstreamWith("a", 4)), false, true), "an old peer update does not restore it")
			assert.Assert(t, r.Apply(startTime, listing(6, upstreamWith("a", 6))))
			assert.DeepEqual(t, upstreamIDs(r), []string{"a", "b"})
			assert.Equal(t, len(r.Unusable()), 0)
		}
	}
}

// The defect of an entry is remembered until the entry is removed, and the number of
// remembered defects is bounded.
func TestInvalidEntriesAreRemembered(t *testing.T) {
	r := NewRegistry()
	r.Replace(startTime, invalidated("x", 1))
	later := startTime.Add(2 * tombstoneTTL)
	r.Expire(later)
	assert.Equal(t, len(r.Unusable()), 1)
	r.Replace(later, listing(3))
	assert.Equal(t, len(r.Unusable()), 0)
	for i := range uint64(3 * maxInvalidTombstones) {
		r.Apply(later, invalidated(strings.Repeat("x", int(i%100)+1)+string(rune('a'+i%26))+time.Duration(i).String(), 4+i))
	}
	r.Expire(later.Add(2 * tombstoneTTL))
	assert.Assert(t, len(r.tombstones) <= maxInvalidTombstones, "%d", len(r.tombstones))
}

// An entry of a service that the table does not name must not hide an upstream at the
// same address, is no upstream itself, and does not count as a reader of the store.
func TestEntryOfAnUnknownService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := publishedUpstream("x", 9)
		other.Service = "unlisted"
		s := &fakeSource{state: Update{Revision: 9, Document: testDocument(1), Upstreams: []Upstream{publishedUpstream("a", 2), other}}}
		f, holder := follow(t, s)
		time.Sleep(time.Second)
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 1)
		assert.Equal(t, len(f.Members()), 1)
		own, ok := f.dir.Load().At(netip.MustParseAddrPort("10.0.0.1:80"))
		assert.Assert(t, ok && own.ID == "a")
		// Once a table names the service, the entry is an upstream, and the later one at
		// the address.
		both := testDocument(2)
		both.Table.Services = append(both.Table.Services, table.Service{Name: "unlisted"})
		s.set(func(s *fakeSource) { s.state = Update{Revision: 10, Document: both} })
		time.Sleep(time.Second)
		own, _ = f.dir.Load().At(netip.MustParseAddrPort("10.0.0.1:80"))
		assert.Equal(t, own.ID, "x")
	})
}

// A table that cannot be put in force leaves the previous one in force, which follows
// changes of the upstreams; each defect is logged once, however often it is read.
func TestInvalidTableKeepsPreviousInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := testDocument(2)
		broken.Table.Routes[0].Service = "unlisted"
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}}
		var logged bytes.Buffer
		holder := &snapshot.Holder{}
		f := NewFollower(DefaultConfig(), s, nil, holder, log.New(&logged), func(*Directory) {})
		f.follow(t)
		time.Sleep(time.Second)
		finding := Finding{Entry: "servers/x", Revision: 2, Err: errResponseOverdue}
		for revision := uint64(2); revision < 6; revision++ {
			s.set(func(s *fakeSource) {
				s.state = Update{Revision: revision, Document: broken, Findings: []Finding{finding}}
			})
			time.Sleep(time.Second)
		}
		s.set(func(s *fakeSource) {
			s.state = Update{Revision: 7, Document: broken, Upstreams: []Upstream{publishedUpstream("a", 7)}}
		})
		time.Sleep(time.Second)
		assert.Equal(t, holder.ID().Edition, uint64(1))
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, strings.Count(logged.String(), "servers/x"), 1)
		assert.Equal(t, strings.Count(logged.String(), "entry left out"), 2)
	})
}
