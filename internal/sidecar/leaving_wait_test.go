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
	"github.com/walldrift/walldrift/internal/proxy"
)

// Requests of another node waited for a slot as a leaving node was out of time. As its
// process ended what ran, they got the free slots and were sent to the upstream, 15 of
// 60 in a trial, and all lost their answers with the process. What has not begun
// at the cut is refused as such and goes elsewhere.
func TestLeavingNodeRefusesWhatWaitsAtTheCut(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.waitLonger(20*time.Second, 15*time.Second) // than the node stays
	release := make(chan struct{})
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { <-release })
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
	began := func() map[string]bool {
		all := make(map[string]bool)
		for _, id := range ids {
			if up.runs(id) > 0 {
				all[id] = true
			}
		}
		return all
	}
	for gate.Load().Waiting == 0 || len(began()) < gate.Load().Slots {
		time.Sleep(time.Millisecond)
	}
	running := began()
	f.stops[0]()
	assert.NilError(t, <-f.done[0])
	close(release)
	group.Wait()
	close(unknown)
	for id := range unknown {
		assert.Assert(t, running[id], "%s waited, and its caller was told that it may have run", id)
	}
	assert.Equal(t, len(began()), len(running), "begun after the cut")
}

// waitLonger publishes a table with the time limit and the objective of all routes, so that
// requests may wait longer than news take.
func (f *fleet) waitLonger(timeout, objective time.Duration) {
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

// What waits for a slot of an upstream that leaves is refused at once and may go
// elsewhere: it reached the upstream later than everybody knew that it had left.
func TestWaitingRequestLeavesALeavingUpstream(t *testing.T) {
	f := startFleet(t, 1, 0)
	f.waitLonger(2*time.Second, 2*time.Second)
	release := make(chan struct{})
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	const n = 20
	reasons := make(chan string, n)
	for range n {
		req := f.request(0, "GET", "/read/x", "")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				reasons <- err.Error()
				return
			}
			_ = resp.Body.Close()
			reasons <- resp.Header.Get(proxy.HeaderReason)
		}()
	}
	backend := f.sidecars[0].backend
	for backend.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	f.store.change(func(u *discovery.Update) {
		u.Upstreams[0].Leaving, u.Upstreams[0].Revision = true, u.Revision
	})
	assert.Equal(t, <-reasons, string(admission.ReasonDraining))
	close(release)
}
