package snapshot

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// drawTable draws a raw table that often names services or upstreams that do not exist.
func drawTable(t *rapid.T) []byte {
	var b strings.Builder
	header := make([]string, len(table.Header))
	for i, c := range table.Header {
		header[i] = string(c)
	}
	b.WriteString(strings.Join(header, ",") + "\n")
	fmt.Fprintf(&b, "table,%d,,,,,,,,,,,,\n", rapid.IntRange(1, 5).Draw(t, "edition"))
	name := rapid.SampledFrom([]string{"a", "b"})
	for i := range rapid.IntRange(1, 2).Draw(t, "services") {
		fmt.Fprintf(&b, "service,%c,,,,,,,,,,,,\n", 'a'+rune(i))
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		fmt.Fprintf(&b, "upstream,u%d,%s,,%d,,,,,,,,,\n", i, name.Draw(t, "service of upstream"), rapid.IntRange(0, 2).Draw(t, "weight"))
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		pin := rapid.SampledFrom([]string{"", "", "u0", "u1", "u9"}).Draw(t, "pin")
		fmt.Fprintf(&b, "route,r%d,%s,%s,,,,/%d,,k,1,100,0,yes\n", i, name.Draw(t, "service of route"), pin, i)
	}
	return []byte(b.String())
}

// In an accepted table, each route leads to a service with upstreams and, if it is
// pinned, to an upstream of that service, all in the same snapshot.
func TestAcceptedTablesAreClosed(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s, err := Build(drawTable(t))
		if err != nil {
			assert.Assert(t, s == nil)
			return
		}
		accepted++
		for _, r := range s.Routes() {
			svc := s.Service(r.Service)
			assert.Assert(t, svc != nil && len(svc.Upstreams) > 0)
			if r.Upstream != "" {
				pinned := svc.Upstream(r.Upstream)
				assert.Assert(t, pinned != nil && pinned == s.Upstream(r.Upstream))
				assert.Equal(t, pinned.Service, svc.Name)
			}
		}
	})
	assert.Assert(t, accepted > 0, "no drawn table was accepted")
}

// The version in force is always the highest one passed to Advance so far.
func TestHolderNeverRevertsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		var want version.ID
		for _, e := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 20).Draw(t, "editions") {
			id := version.Of(e, []byte{rapid.ByteRange(0, 3).Draw(t, "content")})
			advanced := h.Advance(&Snapshot{IndexedTable: &IndexedTable{ID: id}})
			assert.Equal(t, advanced, id.Newer(want))
			if advanced {
				want = id
			}
			assert.Equal(t, h.ID(), want)
		}
	})
}

func TestRouteMatchesLongestPrefixAndMethod(t *testing.T) {
	raw := `row,name,service,upstream,weight,rate,concurrency,prefix,methods,kind,kind_weight,timeout_ms,retries,idempotent
table,1,,,,,,,,,,,,
service,a,,,,,,,,,,,,
upstream,u,a,,1,,,,,,,,,
route,all,a,,,,,/,,k,1,,,yes
route,sub,a,,,,,/p/q,,k,1,,,yes
route,post,a,,,,,/p,POST,k,1,,,no
route,any,a,,,,,/p,,k,1,,,yes
`
	s, err := Build([]byte(raw))
	assert.NilError(t, err)
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/", "all"},
		{"GET", "/p", "any"},
		{"POST", "/p/x", "post"},
		{"POST", "/p/q/x", "sub"},
		{"GET", "/px", "all"},
	} {
		assert.Equal(t, s.Route(c.method, c.path).Name, c.want, "%s %s", c.method, c.path)
	}
}

// WithChanges sets and removes upstreams, also in the index by data centre, and leaves
// the original service unmodified.
func TestServiceChange(t *testing.T) {
	newUpstream := func(name string, slots int) *Upstream {
		return &Upstream{Upstream: table.Upstream{Name: name, Concurrency: slots}, DataCentre: "dc" + name[:1]}
	}
	s := NewService(table.Service{}, newUpstream("b", 1), newUpstream("d", 1), newUpstream("a", 1))
	next := s.WithChanges([]*Upstream{newUpstream("c", 2), newUpstream("b", 2)}, []string{"d", "x"})
	var names []string
	for _, u := range next.Upstreams {
		names = append(names, u.Name)
	}
	assert.DeepEqual(t, names, []string{"a", "b", "c"})
	assert.Equal(t, next.Upstream("b").Concurrency, 2)
	assert.Equal(t, s.Upstream("b").Concurrency, 1)
	assert.Equal(t, len(s.Upstreams), 3)
	moved := newUpstream("b", 2)
	moved.DataCentre = "dcc"
	afterMove := next.WithChanges([]*Upstream{moved}, nil)
	assert.Equal(t, len(afterMove.InDataCentre("dcb")), 0)
	assert.Equal(t, len(afterMove.InDataCentre("dcc")), 2)
	assert.Equal(t, len(next.InDataCentre("dcb")), 1)
	assert.Equal(t, len(next.InDataCentre("dcd")), 0)
}
