package sidecar

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/routing"
)

// moveUpstream publishes that an upstream is in a data centre.
func (f *fleet) moveUpstream(i int, centre string) {
	f.store.change(func(u *discovery.Update) {
		u.Upstreams[i].DataCentre, u.Upstreams[i].Revision = centre, u.Revision
	})
}

// evacuate publishes the evacuation of a data centre, or that it has ended.
func (f *fleet) evacuate(centre string, ended bool) {
	f.store.change(func(u *discovery.Update) {
		u.HasEvacuations = true
		u.Evacuations = []discovery.Evacuation{{DataCentre: centre, Revision: u.Revision, Ended: ended}}
	})
}

// awaitEvacuated waits until all sidecars know of n evacuated data centres.
func (f *fleet) awaitEvacuated(n int) {
	for _, s := range f.sidecars {
		for len(s.follower.Status(time.Now()).Evacuated) != n {
			time.Sleep(time.Millisecond)
		}
	}
}

// Upstreams of an evacuated data centre get no requests from any node, including their
// own, which still serves its callers. They get requests again when the evacuation has
// ended.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.moveUpstream(0, "b")
	f.evacuate("b", false)
	f.awaitEvacuated(1)
	for i := range 60 {
		req := f.request(i%3, "GET", "/read/x", "")
		status, _, _ := f.send(req)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, f.upstreams[0].runs(req.Header.Get(testDialect.RequestID)), 0)
	}
	f.evacuate("b", true)
	f.awaitEvacuated(0)
	for served := 0; served == 0; {
		req := f.request(1, "GET", "/read/x", "")
		f.send(req)
		served = f.upstreams[0].runs(req.Header.Get(testDialect.RequestID))
	}
}

// If all data centres are evacuated, requests are refused at once and have not run.
func TestAllEvacuatedRefusesAtOnce(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.evacuate("a", false)
	f.awaitEvacuated(1)
	began := time.Now()
	status, header, _ := f.send(f.request(0, "POST", "/write/x", "body"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, proxy.Outcome(header.Get(proxy.HeaderOutcome)), proxy.OutcomeNotRun)
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "the refusal took %v", time.Since(began))
}

// Requests that wait for a slot of an upstream whose data centre is evacuated are refused
// at once, in time for another upstream to answer them. Otherwise they would reach the
// upstream after the evacuation.
func TestEvacuationRefusesWaitingRequests(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.publishTimeouts(2*time.Second, 2*time.Second)
	f.moveUpstream(1, "b")
	f.evacuate("b", false)
	f.awaitEvacuated(1)
	release := make(chan struct{})
	f.setHandlers(func(u *upstream, w http.ResponseWriter, _ *http.Request) {
		if u == f.upstreams[0] {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	const n = 20
	results := f.sendReads(0, n)
	backend := f.sidecars[0].backend
	for load := backend.Load(); load.InUse+load.Waiting < n; load = backend.Load() {
		time.Sleep(time.Millisecond)
	}
	f.evacuate("b", true)
	f.awaitEvacuated(0)
	assert.Assert(t, backend.Load().Waiting > 0)
	f.evacuate("a", false)
	assert.Equal(t, <-results, readResult{status: http.StatusOK}, "expected a response of the upstream that is not evacuated, as the other one blocks")
	assert.Equal(t, backend.Load().Waiting, 0)
	close(release)
}

// Any sidecar shows operators an evacuation in the status, and in the explanation why an
// upstream is left out.
func TestOperatorsSeeAnEvacuation(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.evacuate("a", false)
	f.awaitEvacuated(1)
	status := string(f.get(0, admin.PathFleet))
	assert.Assert(t, cmp.Contains(status, `"upstream":"evacuated"`))
	assert.Assert(t, cmp.Contains(status, `"evacuated":[{"dc":"a"`))
	assert.Assert(t, cmp.Contains(string(f.get(0, admin.PathExplain+"shop")), string(routing.Evacuated)))
}
