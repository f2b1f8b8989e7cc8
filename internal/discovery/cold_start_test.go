package discovery

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After a power failure all upstreams start again while the entries of the ended processes
// are still published. Guards against nodes that count both, and so use half of the rate
// that the cold upstreams can take.
func TestColdRateIsSharedByNodes(t *testing.T) {
	const upstreams = 6
	f := followerOf(upstreams)
	document := documentOf(2, 600)
	document.ColdStarts = map[string]ColdStart{"s-1": {Duration: 3 * time.Second, Rate: 12}}
	restarted := Update{Revision: 100, Document: document}
	for i := range upstreams {
		u := upstreamAt(i, uint64(100+i))
		u.ID = fmt.Sprintf("i-new-%d", i)
		restarted.Upstreams = append(restarted.Upstreams, u)
	}
	f.mu.Lock()
	f.setDocument(document, SourceStore)
	f.registry.Apply(time.Now(), restarted)
	f.refresh(SourceStore)
	f.mu.Unlock()
	m, ok := f.Member("i-new-1")
	assert.Assert(t, ok)
	assert.Assert(t, math.Abs(m.ColdRate-coldRateShare*12/upstreams) < 1e-9, "%g", m.ColdRate)
}
