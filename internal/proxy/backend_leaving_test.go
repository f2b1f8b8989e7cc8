package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
)

// Nodes left with requests of other nodes unanswered, 12 or more in half a busy
// minute in which 52 processes ended, three of them not idempotent: their callers were told that
// they may have run. They had been taken during the announcement though what waited
// and ran before them took longer than was left. Such a request is refused as not
// run, so that it goes to another upstream while there is time.
func TestLeavingNodeRefusesHandOversThatOutliveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = time.Second
		ran := 0
		b := receivingBackend(tripFunc(func(r *http.Request) (*http.Response, error) {
			ran++
			time.Sleep(takes)
			return answer(r)
		}))
		send := func() (int, string, time.Duration) {
			began := time.Now()
			status, header := handOver(t.Context(), b, nil, 0, Envelope{})
			return status, header.Get(HeaderReason), time.Since(began)
		}
		for range 10 {
			send()
		}
		b.SetShutdownDeadline(time.Now().Add(takes / 2))
		before := ran
		status, reason, took := send()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, reason, string(admission.ReasonDraining))
		assert.Assert(t, took == 0 && ran == before)
		b.SetShutdownDeadline(time.Now().Add(2 * takes))
		status, _, _ = send()
		assert.Equal(t, status, http.StatusOK)
		// One more waits for the slot of the first, and would end too late.
		b.SetShutdownDeadline(time.Now().Add(3 * takes / 2))
		go send()
		synctest.Wait()
		status, _, took = send()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, took, time.Duration(0))
		time.Sleep(2 * takes)
	})
}
