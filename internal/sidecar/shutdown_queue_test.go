package sidecar

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/discovery"
)

// Requests of another node that wait for a slot at the shutdown cut are refused as not
// run, and can be retried elsewhere. Otherwise they got the slots that the cut freed and
// were sent to the upstream, 15 of 60 in a test, and all lost their responses with the
// process.
func TestShutdownCutRefusesWaitingRequests(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.publishTimeouts(20*time.Second, 15*time.Second) // longer than the node runs
	release := make(chan struct{})
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { <-release })
	const n = 60 // more than the slots of both upstreams
	ids, unknown := make([]string, n), make(chan string, n)
	var group sync.WaitGroup
	for i := range n {
		req := f.request(1, http.MethodPost, "/write/x", "b")
		req.Header.Set(testDialect.Deadline, "20000")
		ids[i] = req.Header.Get(testDialect.RequestID)
		group.Go(func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusBadGateway {
				unknown <- ids[i]
			}
		})
	}
	up, gate := f.upstreams[0], f.sidecars[0].backend
	started := func() map[string]bool {
		all := make(map[string]bool)
		for _, id := range ids {
			if up.runs(id) > 0 {
				all[id] = true
			}
		}
		return all
	}
	for gate.Load().Waiting == 0 || len(started()) < gate.Load().Slots {
		time.Sleep(time.Millisecond)
	}
	running := started()
	f.stops[0]()
	assert.NilError(t, <-f.done[0])
	close(release)
	group.Wait()
	close(unknown)
	for id := range unknown {
		assert.Assert(t, running[id], "%s waited, but its response says that it may have run", id)
	}
	assert.Equal(t, len(started()), len(running), "requests started after the cut")
}

// publishTimeouts publishes a table with this timeout and objective on all routes, so that
// requests may wait longer than a change of the store takes to arrive.
func (f *fleet) publishTimeouts(timeout, objective time.Duration) {
	f.store.change(func(u *discovery.Update) {
		u.Document = document(2)
		for i := range u.Document.Table.Routes {
			u.Document.Table.Routes[i].Timeout, u.Document.Table.Routes[i].Objective = timeout, objective
		}
	})
	for _, s := range f.sidecars {
		for s.holder.ID().Edition < 2 {
			time.Sleep(time.Millisecond)
		}
	}
}

// Requests that wait for a slot of an upstream that leaves are refused at once, and can be
// retried elsewhere. Otherwise they reached the upstream after all nodes knew that it had
// left.
func TestLeavingUpstreamRefusesWaitingRequests(t *testing.T) {
	f := startFleet(t, 1, 0)
	f.publishTimeouts(2*time.Second, 2*time.Second)
	release := make(chan struct{})
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	results := f.sendReads(0, 20)
	backend := f.sidecars[0].backend
	for backend.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	f.store.change(func(u *discovery.Update) {
		u.Upstreams[0].Leaving, u.Upstreams[0].Revision = true, u.Revision
	})
	r := <-results
	assert.NilError(t, r.err)
	assert.Equal(t, r.reason, string(admission.ReasonDraining))
	close(release)
}
