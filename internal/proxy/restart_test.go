package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/overload"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// silentOnce never answers its first request, as a process does that died behind a
// cut, and answers the others.
type silentOnce struct{ requests int }

func (s *silentOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests++
	if s.requests == 1 {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return answer(r)
}

// An upstream that started again under its name has no answer for what was sent to
// it before. That may have run: it ends at once as such, once, and what waited for
// its slot goes to the new process.
func TestRestartEndsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &silentOnce{}
		b := receivingBackend(up)
		ends := make(chan string, 2)
		send := func() {
			_, header := handOver(t.Context(), b, nil, 0, Envelope{})
			ends <- header.Get(HeaderOutcome)
		}
		go send()
		time.Sleep(10 * time.Millisecond)
		go send()
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, b.Load().Waiting, 1)
		began := time.Now()
		b.UpstreamRestarted()
		both := []string{<-ends, <-ends} // at the same time, in either order
		slices.Sort(both)
		assert.DeepEqual(t, both, []string{"", string(OutcomeUnknown)})
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, up.requests, 2)
		assert.Assert(t, b.Load().InUse == 0 && b.InFlight() == 0)
	})
}

// What was learnt of the earlier life is forgotten: how long its requests ran, and
// that its address answered for another instance.
func TestRestartForgets(t *testing.T) {
	b := receivingBackend(&silentOnce{})
	name := "i-1"
	b.denied.Store(&name)
	assert.Assert(t, !b.standsFor(name))
	for range 100 {
		b.runs.Observe("k", time.Second)
	}
	assert.Assert(t, b.runTime("k", overload.SafeRunQuantile) > 0)
	b.UpstreamRestarted()
	assert.Assert(t, b.standsFor(name))
	assert.Equal(t, b.runTime("k", overload.SafeRunQuantile), time.Duration(0))
}

// An answer that is here is passed on whole, though its upstream is no more.
func TestRestartCutsNoAnswerThatIsHere(t *testing.T) {
	b := receivingBackend(&silentOnce{requests: 1})
	b.cfg.ResponseBufferLimit = 100
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	Envelope{Kind: "k", KindWeight: 1, Timeout: time.Second}.write(r.Header)
	resp, err := b.RoundTrip(r)
	assert.NilError(t, err)
	b.UpstreamRestarted()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "ok")
}

// A node that stood still while its upstream fell and came back finds connections broken
// and the upstream there. That another process is published tells of the fall.
func TestReplacedUpstreamHasFallen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var falls []Crash
		b := receivingBackend(brokenConnections{})
		b.falls = newFallWatch(func() bool { return false }, func(f Crash) { falls = append(falls, f) })
		send := func(r quarantine.Fingerprint) {
			_, header := handOver(t.Context(), b, nil, 0, Envelope{Target: "i-1", Fingerprint: r})
			assert.Equal(t, header.Get(HeaderReason), reasonLost)
		}
		send(7)
		time.Sleep(lostMemory / 2)
		assert.Equal(t, len(falls), 0, "an answer that is lost is no fall")
		b.UpstreamReplaced()
		b.UpstreamReplaced()
		assert.Equal(t, len(falls), 1)
		assert.Equal(t, falls[0].Upstream, "i-1")
		assert.DeepEqual(t, falls[0].Requests, []quarantine.Fingerprint{7})
		send(8)
		time.Sleep(2 * lostMemory)
		b.UpstreamReplaced()
		assert.Equal(t, len(falls), 1, "a connection that broke long before is no part of it")
	})
}

// brokenConnections loses the connection of each request.
type brokenConnections struct{}

func (brokenConnections) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	return nil, io.ErrUnexpectedEOF
}
