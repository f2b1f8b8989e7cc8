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

// awaitHeld waits until all sidecars hold back a number of requests.
func (f *fleet) awaitHeld(n int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		held := true
		for _, s := range f.sidecars {
			held = held && len(s.held.list(clock.Now())) == n
		}
		if held {
			return
		}
		assert.Assert(f.t, time.Now().Before(end), "not all sidecars hold back %d requests", n)
	}
}

// learnDeadly sends a deadly request until all sidecars hold it back.
func (f *fleet) learnDeadly(path string) *crashes {
	c := f.crashing(50 * time.Millisecond)
	f.repeat("GET", path, "", 50*time.Millisecond, time.Second)
	f.awaitHeld(1)
	return c
}

// What is held back is refused at once, by a status that promises that it has not run,
// with the time until it is tried again. An attempt that has run is not reported so.
func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	f := startFleet(t, 4, 0)
	c := f.learnDeadly("/read" + deadlyPath)
	before, _ := c.seen()
	for i := range f.sidecars {
		status, header, _ := f.send(f.request(i, "GET", "/read"+deadlyPath, ""))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get(proxy.HeaderOutcome), string(proxy.OutcomeNotRun))
		assert.Equal(t, header.Get(proxy.HeaderReason), "quarantined")
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 1 && after < 60, "told to come back after %v s", after)
	}
	now, _ := c.seen()
	assert.Equal(t, len(now), len(before))
}

// Processes that start know nothing, and no two of them are there at once that have not
// asked: what one knew outlives its end, and that of all of them one after the other.
func TestHeldRequestsOutliveARollingRestart(t *testing.T) {
	f := startFleet(t, 4, 0)
	c := f.learnDeadly("/read" + deadlyPath)
	before, _ := c.seen()
	for i := range f.sidecars {
		f.restart(i)
		f.awaitHeld(1)
	}
	f.repeat("GET", "/read"+deadlyPath, "", 20*time.Millisecond, 200*time.Millisecond)
	now, _ := c.seen()
	assert.Equal(t, len(now), len(before))
}

// toldOnly passes on what is told, and loses comparisons.
type toldOnly struct{ http.RoundTripper }

func (o toldOnly) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var m heldMessage
	if err := peerhttp.Read(bytes.NewReader(raw), &m, maxHeldMessage); err != nil || m.Compare {
		return nil, errors.New("lost")
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	return o.RoundTripper.RoundTrip(r)
}

// A fall is told to the nodes beside the other upstreams at once: comparisons, one a
// second, come after a whole service has fallen.
func TestFallIsToldWithoutAQuestion(t *testing.T) {
	f := startFleet(t, 4, 0)
	first := f.sidecars[0]
	teller := newHeldRequests(first)
	teller.others.client = toldOnly{first.hop}
	go teller.run(t.Context())
	for id := range uint64(2) {
		teller.fell(proxy.Crash{ID: id, Requests: []quarantine.Fingerprint{7}})
	}
	f.sidecars = f.sidecars[1:]
	f.awaitHeld(1)
	f.sidecars = append([]*Sidecar{first}, f.sidecars...)
}

// An operator who releases a request that is not held back keeps nobody from what has
// just changed.
func TestReleaseOfAnotherRequestLosesNothing(t *testing.T) {
	f := startFleet(t, 1, 0)
	h := newHeldRequests(f.sidecars[0])
	h.fell(proxy.Crash{ID: 1, Requests: []quarantine.Fingerprint{7}})
	assert.Assert(t, !h.release(t.Context(), 8))
	assert.Assert(t, h.book.Changed())
}

// silentToComparisons passes on what is told, and answers no comparison until the test ends.
type silentToComparisons struct {
	toldOnly
	asked chan struct{} // one for each comparison
	end   <-chan struct{}
}

func (s silentToComparisons) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.toldOnly.RoundTrip(r)
	if err != nil {
		s.asked <- struct{}{}
		<-s.end
	}
	return resp, err
}

// A comparison with a sidecar that is silent lasts up to a second, in which a fall that is
// not told lets a whole service fall.
func TestFallIsToldDuringAComparison(t *testing.T) {
	f := startFleet(t, 4, 0)
	first := f.sidecars[0]
	teller := newHeldRequests(first)
	asked := make(chan struct{}, 8)
	teller.others.client = silentToComparisons{toldOnly{first.hop}, asked, t.Context().Done()}
	go teller.run(t.Context())
	teller.fell(proxy.Crash{ID: 1, Requests: []quarantine.Fingerprint{7}})
	for range len(f.sidecars) { // one at the start with each of the others, then one more
		<-asked
	}
	teller.fell(proxy.Crash{ID: 2, Requests: []quarantine.Fingerprint{7}})
	f.sidecars = f.sidecars[1:]
	f.awaitHeld(1)
	f.sidecars = append([]*Sidecar{first}, f.sidecars...)
}

// A sidecar that starts knows what the others do as soon as it has asked them once.
func TestStartedSidecarAsksOthers(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.learnDeadly("/read" + deadlyPath)
	s := f.sidecars[0]
	started := newHeldRequests(s)
	started.learn(t.Context())
	assert.Equal(t, len(started.list(clock.Now())), 1)
}

// A sidecar to which a fall was not told hears of it by comparison.
func TestHeldRequestsAreCompared(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.learnDeadly("/read" + deadlyPath)
	s := f.sidecars[0]
	s.held.mu.Lock()
	s.held.book = newHeldRequests(s).book
	s.held.mu.Unlock()
	f.awaitHeld(1)
}

// Upstreams fall by themselves, two at once, under requests that run well elsewhere all
// the time: these are served by the others, and clear themselves by that.
func TestRequestsThatFallWithTheirUpstreamsAreServed(t *testing.T) {
	f := startFleet(t, 5, 0)
	c := f.crashing(100 * time.Millisecond)
	var group sync.WaitGroup
	group.Go(func() { f.repeat("GET", "/read/popular", "", 3*time.Millisecond, 2500*time.Millisecond) })
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		c.crash(f.upstreams[0])
		c.crash(f.upstreams[1])
	}
	time.Sleep(300 * time.Millisecond)
	answered, others := f.repeat("GET", "/read/popular", "", 5*time.Millisecond, 300*time.Millisecond)
	group.Wait()
	assert.Equal(t, others, 0, "%d answered", answered)
	f.awaitHeld(0)
}

// Operators see what is held back, and let it through when its cause is mended.
func TestOperatorsReleaseAHeldRequest(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.learnDeadly("/read" + deadlyPath)
	f.send(f.request(1, "GET", "/read"+deadlyPath, ""))
	var rows []admin.HeldRequest
	assert.NilError(t, json.Unmarshal(f.get(1, admin.PathQuarantine), &rows))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Target, "/read"+deadlyPath)
	assert.Equal(t, rows[0].Service, "shop")
	assert.Assert(t, rows[0].Falls >= 2 && rows[0].Refused >= 1, "%+v", rows[0])
	var nodes []struct {
		HeldBack int `json:"held_back"`
	}
	assert.NilError(t, json.Unmarshal(f.get(0, admin.PathFleet), &nodes))
	for _, n := range nodes {
		assert.Equal(t, n.HeldBack, 1)
	}
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("mended")) })
	listeners := f.sidecars[2].servers.listeners
	resp, err := http.Post("http://"+listeners[len(listeners)-1].Addr().String()+admin.PathRelease+rows[0].Fingerprint, "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for i := range f.sidecars {
		status, _, body := f.send(f.request(i, "GET", "/read"+deadlyPath, ""))
		assert.Equal(t, status, http.StatusOK, body)
	}
}
