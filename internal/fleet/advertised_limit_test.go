package fleet

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/standin"
)

// An upstream that advertises a limit gets no more from all nodes together, and the other
// one serves the rest.
func TestUpstreamGetsItsAdvertisedLimit(t *testing.T) {
	const perSecond, seconds, sentPerSecond = 5, 3, 100
	f := startSmall(t, Config{})
	f.Upstreams["look-1"].SetRateLimit("5")
	send(t, f, "look-1", "GET", "/look/x", nil, nil)
	send(t, f, "look-2", "GET", "/look/x", nil, nil)
	var group sync.WaitGroup
	for i := range seconds * sentPerSecond {
		node := []string{"look-1", "look-2", "pay-1", "pay-2"}[i%4]
		group.Go(func() {
			r := send(t, f, node, "GET", "/look/x", map[string]string{standin.HeaderRequestID: newKey()}, nil)
			assert.Check(t, r.err)
			assert.Check(t, r.status == http.StatusOK, "%d %s", r.status, r.body)
		})
		time.Sleep(time.Second / sentPerSecond)
	}
	group.Wait()
	got := len(f.Upstreams["look-1"].Runs())
	assert.Assert(t, got <= perSecond*(seconds+1), "%d runs in %d s at %d a second", got, seconds, perSecond)
	assert.Assert(t, got >= perSecond*(seconds-1), "%d runs in %d s at %d a second", got, seconds, perSecond)
}
