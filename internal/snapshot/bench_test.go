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

// BenchmarkScale gives the cost of taking a version at several table sizes,
// for docs/CAPACITY.md. Bytes are those of the raw and the compressed table,
// and of the splices of one changed cell.
func BenchmarkScale(b *testing.B) {
	enc, err := zstd.NewWriter(nil)
	assert.NilError(b, err)
	for _, n := range []int{13, 190, 575, 1150, 2300} {
		raw := standin.SyntheticTable(standin.Synthetic(n, min(n, 190), min(n, 26), min(n, 7)))
		next, err := table.Set(raw, table.Edit{Row: table.RowUpstream, Name: "s000-0000", Column: table.ColWeight, Value: "3"})
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("build/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := snapshot.Build(next)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(raw)), "table-B")
			b.ReportMetric(float64(len(enc.EncodeAll(raw, nil))), "zstd-B")
		})
		b.Run(fmt.Sprintf("splice/%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				splices := table.Between(raw, next)
				_, err := table.Apply(raw, splices)
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
