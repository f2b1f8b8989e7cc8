package discovery

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// documentOf returns a table with the given number of routes to 60 services.
func documentOf(edition uint64, routes int) *Document {
	t := &table.Table{Edition: edition}
	for i := range 60 {
		t.Services = append(t.Services, table.Service{Name: fmt.Sprintf("s-%d", i)})
	}
	var raw []byte
	for i := range routes {
		r := table.Route{Name: fmt.Sprintf("r-%06x", i*7919), Host: fmt.Sprintf("shop%d.example", i%40), Prefix: fmt.Sprintf("/part%d/of%d/", i, i%100), Service: fmt.Sprintf("s-%d", i%60)}
		t.Routes = append(t.Routes, r)
		raw = fmt.Appendf(raw, `{"Name":%q,"Host":%q,"Prefix":%q,"Kind":"safe","timeout":"2.5s","aim":800,"Priority":1,"Service":%q,"MaxAttempts":2},`, r.Name, r.Host, r.Prefix, r.Service)
	}
	return &Document{ID: version.Of(edition, raw), Table: t, Raw: raw}
}

// BenchmarkTable measures the steps from a document to a snapshot and to the document for
// other nodes, at several numbers of routes.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{100, 1300, 3300} {
		d := documentOf(1, n)
		b.Run(fmt.Sprintf("build/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := snapshot.NewIndexedTable(d.Table, d.ID, d.Raw)
				assert.NilError(b, err)
			}
		})
		b.Run(fmt.Sprintf("deflate/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := deflate(d.Raw)
				assert.NilError(b, err)
			}
		})
		b.Run(fmt.Sprintf("inflate/%d", n), func(b *testing.B) {
			small, err := deflate(d.Raw)
			assert.NilError(b, err)
			b.ReportAllocs()
			b.ReportMetric(float64(len(small)), "deflated-B")
			for b.Loop() {
				_, err := inflate(small)
				assert.NilError(b, err)
			}
		})
		b.Run(fmt.Sprintf("match/%d", n), func(b *testing.B) {
			s, err := snapshot.NewIndexedTable(d.Table, d.ID, d.Raw)
			assert.NilError(b, err)
			var r *snapshot.Route
			for b.Loop() {
				r = s.Match("shop7.example", "GET", "/part7/of7/x")
			}
			assert.Assert(b, r != nil)
		})
	}
}
