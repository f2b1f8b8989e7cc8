package proxy

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// linkedReceiver receives four bodies at once over a link of the given rate; 0 means that
// the rate is not known.
func linkedReceiver(mbps float64) *Backend {
	m := NewMetrics(tally.NoopScope)
	return NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: 20, QueueLimit: 4, Ledger: ledger.DefaultConfig(),
		Transport: roundTripper(respondOK), Links: NewLinks(mbps, m), MaxReceives: 4, MaxReceivedBody: 1 << 20,
	}, &snapshot.Holder{}, nil, m, time.Now())
}

// A body that can't arrive in time, because of those that the backend has agreed to
// receive, is refused at once and not read. Interrupted bodies don't count any more.
func TestBodyBeyondTheLinkIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := linkedReceiver(narrowMbps)
		const size = 60_000 // 33 ms of the link
		body := func(after time.Duration, err error) io.ReadCloser {
			return &slowBody{after: after, text: strings.Repeat("x", size), err: err}
		}
		var group sync.WaitGroup
		for i := range 6 { // 200 ms; two of them wait for others
			group.Go(func() {
				err := error(nil)
				if i%2 == 0 {
					err = io.ErrUnexpectedEOF
				}
				forward(t.Context(), b, body(100*time.Millisecond, err), size, Envelope{})
			})
		}
		synctest.Wait()
		start := time.Now()
		unread := &slowBody{text: strings.Repeat("x", size)}
		status, h := forward(t.Context(), b, unread, size, Envelope{Objective: &ObjectiveState{Left: 100 * time.Millisecond}})
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, h.Get(HeaderReason), string(admission.ReasonLink))
		assert.Equal(t, h.Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, len(unread.text), size)
		assert.Assert(t, strings.HasPrefix(h.Get(headerLink), linkCauseBody+":"))
		group.Wait()
		status, _ = forward(t.Context(), b, body(0, nil), size, Envelope{Objective: &ObjectiveState{Left: 100 * time.Millisecond}})
		assert.Equal(t, status, http.StatusOK)
		assertLinkFree(t, b.cfg.Links.receive)
	})
}

// On a wide link the same bodies are received, with the same reports, as without a known
// rate.
func TestWideLinkReceivesAsUnknownOne(t *testing.T) {
	reports := func(mbps float64) (seen []string) {
		synctest.Test(t, func(t *testing.T) {
			b := linkedReceiver(mbps)
			for i := range 12 {
				go forward(t.Context(), b, slowLongBody(time.Duration(i+1)*7013*time.Microsecond), longBodySize, Envelope{Objective: &ObjectiveState{Left: 150 * time.Millisecond}})
				time.Sleep(5003 * time.Microsecond) // no two events are at the same time
				_, h := forward(t.Context(), b, slowLongBody(0), longBodySize, Envelope{NoWait: true})
				seen = append(seen, h.Get(HeaderReason)+" "+h.Get(headerLoad))
			}
			time.Sleep(time.Second)
		})
		return seen
	}
	assert.DeepEqual(t, reports(0), reports(1000))
}
