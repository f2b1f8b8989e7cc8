package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/quarantine"
)

// lateQuarantine quarantines every request, but only when it is about to start.
type lateQuarantine struct {
	noQuarantine
	refused int
}

func (q *lateQuarantine) Start(quarantine.Fingerprint, string) quarantine.Verdict {
	return quarantine.Verdict{Quarantined: true, After: time.Minute}
}

func (q *lateQuarantine) Refused(quarantine.Fingerprint, string, quarantine.Verdict, quarantine.RequestInfo) {
	q.refused++
}

// A request that waits for a slot when a crash is reported is refused when it gets the
// slot, and the slot is released.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &unresponsiveOnce{}
		b := receivingBackend(up)
		first := make(chan string, 1)
		go func() {
			_, header := forward(t.Context(), b, nil, 0, Envelope{})
			first <- header.Get(HeaderOutcome)
		}()
		synctest.Wait()
		second := make(chan http.Header, 1)
		go func() {
			_, header := forward(t.Context(), b, nil, 0, Envelope{})
			second <- header
		}()
		synctest.Wait()
		assert.Equal(t, b.Load().Waiting, 1)
		late := &lateQuarantine{}
		b.cfg.Quarantine = late
		b.UpstreamRestarted()
		assert.Equal(t, <-first, string(OutcomeUnknown))
		header := <-second
		assert.Equal(t, header.Get(HeaderReason), reasonQuarantined)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, up.requests, 1)
		assert.Equal(t, late.refused, 1)
		assert.Assert(t, b.Load().InUse == 0 && b.InFlight() == 0)
	})
}
