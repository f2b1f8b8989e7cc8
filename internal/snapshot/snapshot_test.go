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
			assert.Assert(t, r.Service == s.Service(r.Route.Service))
			assert.Assert(t, len(r.Service.Upstreams) > 0)
			if r.Route.Upstream != "" {
				assert.Assert(t, r.Pinned == s.Upstream(r.Route.Upstream))
				assert.Equal(t, r.Pinned.Service, r.Service.Name)
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
			advanced := h.Advance(&Snapshot{ID: id})
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
