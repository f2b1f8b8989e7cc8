package sidecar

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/quarantine"
)

// awaitQuarantined waits until n requests are quarantined at all sidecars.
func (f *fleet) awaitQuarantined(n int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		everywhere := true
		for _, s := range f.sidecars {
			everywhere = everywhere && len(s.quarantined.requests(clock.Now())) == n
		}
		if everywhere {
			return
		}
		assert.Assert(f.t, time.Now().Before(end), "not all sidecars quarantine %d requests", n)
	}
}

// quarantineRequest sends a request that crashes upstreams until all sidecars quarantine
// it.
func (f *fleet) quarantineRequest(path string) *crashSimulator {
	c := f.simulateCrashes(50 * time.Millisecond)
	f.repeat("GET", path, "", 50*time.Millisecond, time.Second)
	f.awaitQuarantined(1)
	return c
}

// A quarantined request is refused at once, with a status that promises that it has not
// run and with the time until the next probe. A try that has run is not reported like
// that.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	f := startFleet(t, 4, 0)
	c := f.quarantineRequest("/read" + crashPath)
	before, _ := c.seen()
	for i := range f.sidecars {
		status, header, _ := f.send(f.request(i, "GET", "/read"+crashPath, ""))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(proxy.HeaderOutcome), string(proxy.OutcomeNotRun))
		assert.Equal(t, header.Get(proxy.HeaderReason), "quarantined")
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 1 && after < 60, "Retry-After is %v s", after)
	}
	now, _ := c.seen()
	assert.Equal(t, len(now), len(before))
}

// A process starts without records. As each process syncs before another one ends, the
// records survive the restart of one process, and that of all processes one after the
// other.
func TestQuarantineSurvivesARollingRestart(t *testing.T) {
	f := startFleet(t, 4, 0)
	c := f.quarantineRequest("/read" + crashPath)
	before, _ := c.seen()
	for i := range f.sidecars {
		f.restart(i)
		f.awaitQuarantined(1)
	}
	f.repeat("GET", "/read"+crashPath, "", 20*time.Millisecond, 200*time.Millisecond)
	now, _ := c.seen()
	assert.Equal(t, len(now), len(before))
}

// pushOnly transmits pushes and drops syncs.
type pushOnly struct{ http.RoundTripper }

func (o pushOnly) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var m quarantineMessage
	if err := peerhttp.Decode(bytes.NewReader(raw), &m, maxQuarantineMessage); err != nil || m.Sync {
		return nil, errors.New("lost")
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	return o.RoundTripper.RoundTrip(r)
}

// A crash is pushed at once to the nodes beside the other upstreams. Syncs, one a second,
// come after all upstreams of a service have crashed.
func TestCrashIsPushedWithoutSync(t *testing.T) {
	f := startFleet(t, 4, 0)
	first := f.sidecars[0]
	pusher := newSharedQuarantine(first)
	pusher.peers.client = pushOnly{first.peerClient}
	go pusher.run(t.Context())
	for id := range uint64(2) {
		pusher.upstreamCrashed(proxy.Crash{ID: id, Requests: []quarantine.Fingerprint{7}})
	}
	f.sidecars = f.sidecars[1:]
	f.awaitQuarantined(1)
	f.sidecars = append([]*Sidecar{first}, f.sidecars...)
}

// The release of a request that is not quarantined does not discard the changes that are
// still to be pushed.
func TestReleaseOfAnUnknownRequestKeepsChanges(t *testing.T) {
	f := startFleet(t, 1, 0)
	q := newSharedQuarantine(f.sidecars[0])
	q.upstreamCrashed(proxy.Crash{ID: 1, Requests: []quarantine.Fingerprint{7}})
	assert.Assert(t, !q.release(t.Context(), 8))
	assert.Assert(t, q.tracker.Changed())
}

// pushWithHangingSync transmits pushes, and lets syncs hang until the test ends.
type pushWithHangingSync struct {
	pushOnly
	syncs chan struct{} // receives a value for each sync
	end   <-chan struct{}
}

func (s pushWithHangingSync) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.pushOnly.RoundTrip(r)
	if err != nil {
		s.syncs <- struct{}{}
		<-s.end
	}
	return resp, err
}

// A sync with an unresponsive sidecar lasts up to a second. A crash that is not pushed
// meanwhile lets all upstreams of a service crash.
func TestCrashIsPushedDuringASync(t *testing.T) {
	f := startFleet(t, 4, 0)
	first := f.sidecars[0]
	pusher := newSharedQuarantine(first)
	syncs := make(chan struct{}, 8)
	pusher.peers.client = pushWithHangingSync{pushOnly{first.peerClient}, syncs, t.Context().Done()}
	go pusher.run(t.Context())
	pusher.upstreamCrashed(proxy.Crash{ID: 1, Requests: []quarantine.Fingerprint{7}})
	for range len(f.sidecars) { // a sync at the start with each of the others, then one more
		<-syncs
	}
	pusher.upstreamCrashed(proxy.Crash{ID: 2, Requests: []quarantine.Fingerprint{7}})
	f.sidecars = f.sidecars[1:]
	f.awaitQuarantined(1)
	f.sidecars = append([]*Sidecar{first}, f.sidecars...)
}

// A sidecar that starts has the records of its peers after one sync.
func TestStartedSidecarSyncsWithPeers(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.quarantineRequest("/read" + crashPath)
	s := f.sidecars[0]
	started := newSharedQuarantine(s)
	started.syncAtStart(t.Context())
	assert.Equal(t, len(started.requests(clock.Now())), 1)
}

// A sidecar that missed the push of a crash gets the record by a later sync.
func TestQuarantineIsSynced(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.quarantineRequest("/read" + crashPath)
	s := f.sidecars[0]
	s.quarantined.mu.Lock()
	s.quarantined.tracker = newSharedQuarantine(s).tracker
	s.quarantined.mu.Unlock()
	f.awaitQuarantined(1)
}

// A sidecar without records waited until another one chose it, which took over 20 s in one of
// a hundred histories.
func TestSidecarWithoutRecordsAsks(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.quarantineRequest("/read" + crashPath)
	empty := newSharedQuarantine(f.sidecars[0])
	assert.Assert(t, empty.tracker.Empty())
	empty.syncWithRandomPeer(t.Context())
	assert.Equal(t, len(empty.requests(clock.Now())), 1)
}

// Upstreams crash for reasons of their own, two at once, while requests are in flight that
// other upstreams answer. Such requests are served by the others, and that clears their
// records.
func TestRequestsInFlightAtOtherCrashesAreServed(t *testing.T) {
	f := startFleet(t, 5, 0)
	c := f.simulateCrashes(100 * time.Millisecond)
	var group sync.WaitGroup
	group.Go(func() { f.repeat("GET", "/read/popular", "", 3*time.Millisecond, 2500*time.Millisecond) })
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		c.crash(f.upstreams[0])
		c.crash(f.upstreams[1])
	}
	time.Sleep(300 * time.Millisecond)
	answered, failed := f.repeat("GET", "/read/popular", "", 5*time.Millisecond, 300*time.Millisecond)
	group.Wait()
	assert.Equal(t, failed, 0, "%d answered", answered)
	f.awaitQuarantined(0)
}

// Operators see the quarantined requests, and release one when its cause is fixed.
func TestOperatorsReleaseAQuarantinedRequest(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.quarantineRequest("/read" + crashPath)
	f.send(f.request(1, "GET", "/read"+crashPath, ""))
	var rows []admin.QuarantinedRequest
	assert.NilError(t, json.Unmarshal(f.get(1, admin.PathQuarantine), &rows))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Target, "/read"+crashPath)
	assert.Equal(t, rows[0].Service, "shop")
	assert.Assert(t, rows[0].Crashes >= 2 && rows[0].Refused >= 1, "%+v", rows[0])
	var nodes []struct {
		HeldBack int `json:"held_back"`
	}
	assert.NilError(t, json.Unmarshal(f.get(0, admin.PathFleet), &nodes))
	for _, n := range nodes {
		assert.Equal(t, n.HeldBack, 1)
	}
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("mended")) })
	listeners := f.sidecars[2].servers.listeners
	resp, err := http.Post("http://"+listeners[len(listeners)-1].Addr().String()+admin.PathRelease+rows[0].Fingerprint, "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for i := range f.sidecars {
		status, _, body := f.send(f.request(i, "GET", "/read"+crashPath, ""))
		assert.Equal(t, status, http.StatusOK, body)
	}
}
