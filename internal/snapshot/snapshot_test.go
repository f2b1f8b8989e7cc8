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

// drawTable draws a table that often has dangling references.
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
		fmt.Fprintf(&b, "upstream,u%d,%s,,%d,,,,,,,,,\n", i, name.Draw(t, "of"), rapid.IntRange(0, 2).Draw(t, "weight"))
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		pin := rapid.SampledFrom([]string{"", "", "u0", "u1", "u9"}).Draw(t, "pin")
		fmt.Fprintf(&b, "route,r%d,%s,%s,,,,/%d,,k,1,100,0,yes\n", i, name.Draw(t, "to"), pin, i)
	}
	return []byte(b.String())
}

// An accepted table is closed: each route leads to a service and an upstream
// of the same snapshot.
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

// Holder against the simplest oracle: the largest ID offered so far.
func TestHolderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		var want version.ID
		for _, e := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 20).Draw(t, "editions") {
			id := version.Of(e, []byte{rapid.ByteRange(0, 3).Draw(t, "content")})
			advanced := h.Advance(&Snapshot{Layout: &Layout{ID: id}})
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

// A changed service has what was set and not what is gone; the one before stays as it was.
func TestChangedService(t *testing.T) {
	up := func(name string, slots int) *Upstream {
		return &Upstream{Upstream: table.Upstream{Name: name, Concurrency: slots}, DataCentre: "dc" + name[:1]}
	}
	s := NewService(table.Service{}, up("b", 1), up("d", 1), up("a", 1))
	next := s.Change([]*Upstream{up("c", 2), up("b", 2)}, []string{"d", "x"})
	var names []string
	for _, u := range next.Upstreams {
		names = append(names, u.Name)
	}
	assert.DeepEqual(t, names, []string{"a", "b", "c"})
	assert.Equal(t, next.Upstream("b").Concurrency, 2)
	assert.Equal(t, s.Upstream("b").Concurrency, 1)
	assert.Equal(t, len(s.Upstreams), 3)
	moved := up("b", 2)
	moved.DataCentre = "dcc"
	last := next.Change([]*Upstream{moved}, nil)
	assert.Equal(t, len(last.In("dcb")), 0)
	assert.Equal(t, len(last.In("dcc")), 2)
	assert.Equal(t, len(next.In("dcb")), 1)
	assert.Equal(t, len(next.In("dcd")), 0)
}
