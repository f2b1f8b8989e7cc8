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

// unresponsiveOnce never answers its first request, like a process that died behind a
// network partition, and answers all later ones.
type unresponsiveOnce struct{ requests int }

func (s *unresponsiveOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests++
	if s.requests == 1 {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return respondOK(r)
}

// After a restart the upstream cannot answer requests sent to the earlier process.
// These may have run: each ends at once and only once with an unknown outcome, and a
// request that waited for a slot goes to the new process.
func TestRestartCancelsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &unresponsiveOnce{}
		b := receivingBackend(up)
		outcomes := make(chan string, 2)
		send := func() {
			_, header := forward(t.Context(), b, nil, 0, Envelope{})
			outcomes <- header.Get(HeaderOutcome)
		}
		go send()
		time.Sleep(10 * time.Millisecond)
		go send()
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, b.Load().Waiting, 1)
		start := time.Now()
		b.UpstreamRestarted()
		both := []string{<-outcomes, <-outcomes} // concurrent, in either order
		slices.Sort(both)
		assert.DeepEqual(t, both, []string{"", string(OutcomeUnknown)})
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, up.requests, 2)
		assert.Assert(t, b.Load().InUse == 0 && b.InFlight() == 0)
	})
}

// After a restart the state of the earlier process is dropped: its run times, and that
// its address answered for another instance.
func TestRestartResetsUpstreamState(t *testing.T) {
	b := receivingBackend(&unresponsiveOnce{})
	name := "i-1"
	b.deniedTarget.Store(&name)
	assert.Assert(t, !b.isTarget(name))
	for range 100 {
		b.runTimes.Observe("k", time.Second)
	}
	assert.Assert(t, b.runTimeQuantile("k", overload.SafeRunQuantile) > 0)
	b.UpstreamRestarted()
	assert.Assert(t, b.isTarget(name))
	assert.Equal(t, b.runTimeQuantile("k", overload.SafeRunQuantile), time.Duration(0))
}

// A response that is already buffered is forwarded completely although its upstream has
// restarted.
func TestRestartKeepsBufferedResponse(t *testing.T) {
	b := receivingBackend(&unresponsiveOnce{requests: 1})
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

// A node that was paused while its upstream crashed and restarted finds broken
// connections and a reachable upstream. That another process is listed shows that there
// was a crash.
func TestReplacedUpstreamHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashes []Crash
		b := receivingBackend(brokenConnections{})
		b.detector = newCrashDetector(func() bool { return false }, func(c Crash) { crashes = append(crashes, c) })
		send := func(r quarantine.Fingerprint) {
			_, header := forward(t.Context(), b, nil, 0, Envelope{Target: "i-1", Fingerprint: r})
			assert.Equal(t, header.Get(HeaderReason), reasonConnectionLost)
		}
		send(7)
		time.Sleep(lostWindow / 2)
		assert.Equal(t, len(crashes), 0, "a lost response is no crash")
		b.UpstreamReplaced("next")
		b.UpstreamReplaced("next")
		assert.Equal(t, len(crashes), 1)
		assert.Equal(t, crashes[0].Upstream, "i-1")
		assert.DeepEqual(t, crashes[0].Requests, []quarantine.Fingerprint{7})
		send(8)
		time.Sleep(2 * lostWindow)
		b.UpstreamReplaced("next")
		assert.Equal(t, len(crashes), 1, "a connection that broke long before is not part of the crash")
	})
}

// brokenConnections breaks the connection of each request.
type brokenConnections struct{}

func (brokenConnections) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	return nil, io.ErrUnexpectedEOF
}
