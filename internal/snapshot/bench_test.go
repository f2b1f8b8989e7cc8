package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
)

// BenchmarkScale measures what a new version of the table costs at several numbers of
// upstreams: building the snapshot, and computing and applying the splices for one changed
// cell. It reports the size of the raw and of the compressed table and of the splices, in
// bytes. The results go into docs/CAPACITY.md.
func BenchmarkScale(b *testing.B) {
	encoder, err := zstd.NewWriter(nil)
	assert.NilError(b, err)
	for _, upstreams := range []int{13, 190, 575, 1150, 2300} {
		raw := standin.SyntheticTable(standin.Synthetic(upstreams, min(upstreams, 190), min(upstreams, 26), min(upstreams, 7)))
		next, err := table.ApplyEdits(raw, table.Edit{Row: table.RowUpstream, Name: "s000-0000", Column: table.ColWeight, Value: "3"})
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("build/%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := snapshot.Build(next)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(raw)), "table-B")
			b.ReportMetric(float64(len(encoder.EncodeAll(raw, nil))), "zstd-B")
		})
		b.Run(fmt.Sprintf("splice/%d", upstreams), func(b *testing.B) {
			size := 0
			for b.Loop() {
				splices := table.ComputeSplices(raw, next)
				_, err := table.ApplySplices(raw, splices)
				assert.NilError(b, err)
				size = 0
				for _, s := range splices {
					size += len(s.Insert)
				}
			}
			b.ReportMetric(float64(size), "splice-B")
		})
	}
}
