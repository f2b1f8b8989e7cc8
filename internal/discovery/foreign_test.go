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

// rewritten is the change by which an entry names no upstream any more.
func rewritten(id string, revision uint64) Update {
	return Update{Revision: revision, Removed: []Removal{{ID: id, Revision: revision, InvalidReason: "Info: missing"}}}
}

// An upstream whose entry was rewritten by something else is out of use at once,
// whoever tells of it and whether or not the store was away, and back as soon as
// its entry is.
func TestRewrittenEntryIsOutOfUse(t *testing.T) {
	for name, tell := range map[string]func(*Registry) bool{
		"watched": func(r *Registry) bool { return r.Apply(start, rewritten("a", 5)) },
		"listed": func(r *Registry) bool {
			u := rewritten("a", 5)
			u.Upstreams = []Upstream{up("b", 2)}
			return r.Replace(start, u)
		},
		"told": func(r *Registry) bool {
			other := NewRegistry()
			other.Apply(start, rewritten("a", 5))
			u, whole := other.Since(start, 0)
			u.Upstreams = []Upstream{up("b", 2)}
			return r.Merge(start, u, whole, true)
		},
	} {
		for _, away := range []bool{false, true} {
			r := NewRegistry()
			r.Replace(start, listed(2, up("a", 1), up("b", 2)))
			if away {
				r.MarkUnreachable()
			}
			assert.Assert(t, tell(r), name)
			assert.DeepEqual(t, ids(r), []string{"b"})
			assert.DeepEqual(t, r.Unusable(), []Removal{{ID: "a", Revision: 5, InvalidReason: "Info: missing"}})
			assert.Assert(t, !r.Merge(start, listed(4, up("a", 4)), false, true), "late news do not bring it back")
			assert.Assert(t, r.Apply(start, listed(6, up("a", 6))))
			assert.DeepEqual(t, ids(r), []string{"a", "b"})
			assert.Equal(t, len(r.Unusable()), 0)
		}
	}
}

// What is wrong with an entry is remembered until the entry is gone, and not
// without bound.
func TestUnusableEntriesAreRemembered(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, rewritten("x", 1))
	later := start.Add(2 * tombstoneLife)
	r.Expire(later)
	assert.Equal(t, len(r.Unusable()), 1)
	r.Replace(later, listed(3))
	assert.Equal(t, len(r.Unusable()), 0)
	for i := range uint64(3 * maxUnusable) {
		r.Apply(later, rewritten(strings.Repeat("x", int(i%100)+1)+string(rune('a'+i%26))+time.Duration(i).String(), 4+i))
	}
	r.Expire(later.Add(2 * tombstoneLife))
	assert.Assert(t, len(r.gone) <= maxUnusable, "%d", len(r.gone))
}

// An entry of a service that the table does not name takes no address from an
// upstream, is none itself and reads no store for others.
func TestEntryOfAnUnknownService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := published("x", 9)
		other.Service = "unheard of"
		s := &fakeSource{state: Update{Revision: 9, Document: testDocument(1), Upstreams: []Upstream{published("a", 2), other}}}
		f, holder := follow(t, s)
		time.Sleep(time.Second)
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 1)
		assert.Equal(t, len(f.Members()), 1)
		own, ok := f.dir.Load().At(netip.MustParseAddrPort("10.0.0.1:80"))
		assert.Assert(t, ok && own.ID == "a")
		// A table that names the service makes it an upstream, the later one there.
		both := testDocument(2)
		both.Table.Services = append(both.Table.Services, table.Service{Name: "unheard of"})
		s.set(func(s *fakeSource) { s.state = Update{Revision: 10, Document: both} })
		time.Sleep(time.Second)
		own, _ = f.dir.Load().At(netip.MustParseAddrPort("10.0.0.1:80"))
		assert.Equal(t, own.ID, "x")
	})
}

// A table that cannot be put in force leaves the one before in force, which goes
// on with the upstreams as they change; each defect has one line, however often it
// is read.
func TestUnusableTableLeavesTheOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := testDocument(2)
		broken.Table.Routes[0].Service = "unheard of"
		s := &fakeSource{state: Update{Revision: 1, Document: testDocument(1)}}
		var lines bytes.Buffer
		holder := &snapshot.Holder{}
		f := NewFollower(DefaultConfig(), s, nil, holder, log.New(&lines), func(*Directory) {})
		f.follow(t)
		time.Sleep(time.Second)
		finding := Finding{Entry: "servers/x", Revision: 2, Err: errOverdue}
		for revision := uint64(2); revision < 6; revision++ {
			s.set(func(s *fakeSource) {
				s.state = Update{Revision: revision, Document: broken, Findings: []Finding{finding}}
			})
			time.Sleep(time.Second)
		}
		s.set(func(s *fakeSource) {
			s.state = Update{Revision: 7, Document: broken, Upstreams: []Upstream{published("a", 7)}}
		})
		time.Sleep(time.Second)
		assert.Equal(t, holder.ID().Edition, uint64(1))
		assert.Equal(t, len(holder.Current().Service("s").Upstreams), 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, strings.Count(lines.String(), "servers/x"), 1)
		assert.Equal(t, strings.Count(lines.String(), "entry left out"), 2)
	})
}
