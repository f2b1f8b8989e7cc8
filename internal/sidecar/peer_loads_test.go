package sidecar

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sidecars exchange the loads of upstreams that report how long work takes, and of no
// others. Callers see nothing of it.
func TestSidecarsExchangePeerLoads(t *testing.T) {
	for load, exchanged := range map[string]bool{"1,0,8,120": true, "1,0,8": false} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 2*time.Millisecond)
			var watchers []*advertiser
			for i := range f.upstreams {
				watchers = append(watchers, f.watchAdvertised(i, "Walldrift-Peer-Loads"))
				f.upstreams[i].advertise(testDialect.Load, load)
			}
			got := f.sendThrough(3*time.Second, f.allNodes(), watchers...)
			assert.Equal(t, got.refused, 0)
			accepted := 0
			for i := range f.sidecars {
				for _, line := range strings.Split(string(f.get(i, "/metrics")), "\n") {
					if strings.HasPrefix(line, "walldrift_peer_loads{") && strings.Contains(line, `"accepted"`) && !strings.HasSuffix(line, " 0") {
						accepted++
					}
				}
			}
			assert.Equal(t, accepted > 0, exchanged, "%d nodes accepted peer load reports", accepted)
			for _, w := range watchers {
				assert.Assert(t, w.firstAt.IsZero(), "a caller got peer load reports")
			}
		})
	}
}
