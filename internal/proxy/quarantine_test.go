package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/quarantine"
)

// lateWord holds all requests back, but says so only when one is about to start.
type lateWord struct {
	noQuarantine
	refused int
}

func (q *lateWord) Start(quarantine.Fingerprint, string) quarantine.Verdict {
	return quarantine.Verdict{Held: true, After: time.Minute}
}

func (q *lateWord) Refused(quarantine.Fingerprint, string, quarantine.Verdict, quarantine.RequestInfo) {
	q.refused++
}

// A request that waits for a slot when the word of a fall comes is held back when it gets
// one, which goes to the next.
func TestWaitingRequestIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &silentOnce{}
		b := receivingBackend(up)
		first := make(chan string, 1)
		go func() {
			_, header := handOver(t.Context(), b, nil, 0, Envelope{})
			first <- header.Get(HeaderOutcome)
		}()
		synctest.Wait()
		second := make(chan http.Header, 1)
		go func() {
			_, header := handOver(t.Context(), b, nil, 0, Envelope{})
			second <- header
		}()
		synctest.Wait()
		assert.Equal(t, b.Load().Waiting, 1)
		word := &lateWord{}
		b.cfg.Quarantine = word
		b.UpstreamRestarted()
		assert.Equal(t, <-first, string(OutcomeUnknown))
		header := <-second
		assert.Equal(t, header.Get(HeaderReason), reasonQuarantined)
		assert.Equal(t, header.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, up.requests, 1)
		assert.Equal(t, word.refused, 1)
		assert.Assert(t, b.Load().InUse == 0 && b.InFlight() == 0)
	})
}
