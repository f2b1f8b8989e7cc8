package proxy

import (
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// Load pattern: callers send the beginning of long bodies and then nothing. Their requests
// must not hold all slots of the upstream: others would wait until the deadlines of these.
func TestArrivingStreamsLeaveSlotsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		b := NewBackend(BackendConfig{
			Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: slots, QueueLimit: 20, Ledger: ledger.DefaultConfig(),
			Transport: &slowUpstream{},
		}, &snapshot.Holder{}, nil, NewMetrics(tally.NoopScope), time.Now())
		for range 2 * slots {
			go func() {
				defer func() { _ = recover() }() // the handler aborts responses that come too late
				forward(t.Context(), b, &slowBody{after: 4 * time.Second, text: "x"}, -1, Envelope{AwaitsAdmission: true})
			}()
		}
		synctest.Wait()
		assert.Equal(t, b.Load().InUse, streamSlots(slots))
		start := time.Now()
		status, _ := forward(t.Context(), b, nil, 0, Envelope{})
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, time.Since(start) < time.Second)
		time.Sleep(time.Minute) // all deadlines have passed
		assert.Equal(t, b.Load().InUse, 0)
		assert.Equal(t, len(b.streamLimiter.Load().slots), 0)
	})
}

func TestStreamSlots(t *testing.T) {
	for slots, want := range map[int]int{0: 1, 1: 1, 2: 2, 3: 3, 4: 3, 12: 9, 18: 14} {
		assert.Equal(t, streamSlots(slots), want, "%d slots", slots)
	}
}
