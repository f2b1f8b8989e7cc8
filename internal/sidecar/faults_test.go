package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// misbehave makes every upstream answer by handle.
func (f *fleet) misbehave(handle func(u *upstream, w http.ResponseWriter, r *http.Request)) {
	for _, u := range f.upstreams {
		u.mu.Lock()
		u.handle = func(w http.ResponseWriter, r *http.Request) { handle(u, w, r) }
		u.mu.Unlock()
	}
}

// ran returns how often the request ran at all upstreams.
func (f *fleet) ran(req *http.Request) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.runs(req.Header.Get(testDialect.RequestID))
	}
	return n
}

// abort breaks the connection to the node without an answer.
func abort(*upstream, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// What may have run is never tried again if it is not idempotent, and never
// answered with a status that promises that it has not run.
func TestLostAnswerOfAWrite(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.misbehave(abort)
	for range 10 {
		req := f.request(0, "POST", "/write/x", "body")
		status, header, _ := f.send(req)
		assert.Equal(t, status, http.StatusBadGateway)
		assert.Equal(t, header.Get(proxy.HeaderOutcome), string(proxy.OutcomeUnknown))
		assert.Equal(t, header.Get(testDialect.RequestID), req.Header.Get(testDialect.RequestID))
		assert.Equal(t, f.ran(req), 1)
	}
}

// A lost or cut answer of a read is got again, within the tries of its route.
func TestLostAnswerOfARead(t *testing.T) {
	for name, spoil := range map[string]func(http.ResponseWriter){
		"lost": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"cut": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		},
		"not signed": func(w http.ResponseWriter) { w.Header().Del(testDialect.Signature); _, _ = io.WriteString(w, "x") },
		"someone else's": func(w http.ResponseWriter) {
			w.Header().Set(testDialect.RequestID, "other")
			w.Header().Set("Connection", "close") // no further answer comes
			_, _ = io.WriteString(w, "x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 3, 0)
			var first atomic.Bool
			f.misbehave(func(u *upstream, w http.ResponseWriter, _ *http.Request) {
				if !first.Swap(true) {
					spoil(w)
					return
				}
				_, _ = io.WriteString(w, "whole")
			})
			req := f.request(0, "GET", "/read/x", "")
			status, header, body := f.send(req)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "whole")
			assert.Assert(t, header.Get(testDialect.Signature) != "")
			assert.Equal(t, f.ran(req), 2)
		})
	}
}

// Only the upstream's own word says that a request did not run.
func TestRefusalsOfAnUpstream(t *testing.T) {
	f := startFleet(t, 3, 0)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		got, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
		assert.Equal(t, got, http.StatusBadGateway, "%d without the word", status)
		assert.Equal(t, header.Get(testDialect.Signature), "", "a changed failure bears no signature")
	}
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	got, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, got, http.StatusInternalServerError, "an upstream's own failure is passed on")
	assert.Assert(t, header.Get(testDialect.Signature) != "")
}

// A write that an upstream says it did not run goes to another one.
func TestRejectedWriteGoesElsewhere(t *testing.T) {
	f := startFleet(t, 3, 0)
	var first atomic.Bool
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		if !first.Swap(true) {
			w.Header().Set(testDialect.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	status, _, body := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok")
}

// When all refuse, the answer says so and when to come back.
func TestAllRefuse(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testDialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 1)
}

// Another process at an upstream's address does not run the request, which goes
// elsewhere. One answer for another instance is enough to leave the address out.
func TestReusedAddress(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.upstreams[0].id = "shop-later"
	for range 20 {
		req := f.request(0, "POST", "/write/x", "b")
		status, _, body := f.send(req)
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, f.upstreams[1].runs(req.Header.Get(testDialect.RequestID)), 1)
	}
	assert.Assert(t, f.upstreams[0].denied.Load() <= 1, "asked %d times", f.upstreams[0].denied.Load())
}

// A caller that leaves ends the work at the upstream, here and on other nodes.
func TestCallerLeaves(t *testing.T) {
	f := startFleet(t, 2, 0)
	started, ended := make(chan struct{}), make(chan struct{})
	f.misbehave(func(_ *upstream, _ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	for range 4 {
		ctx, leave := context.WithCancel(t.Context())
		req := f.request(0, "GET", "/read/x", "").WithContext(ctx)
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		<-started
		leave()
		<-ended
	}
}

// A route's timeout answers a request whose upstream is silent.
func TestRouteTimeout(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) {
		d := document(2)
		for i := range d.Table.Routes {
			d.Table.Routes[i].Timeout = 50 * time.Millisecond
		}
		u.Document = d
	})
	for f.sidecars[0].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	given := make(chan string, 1)
	f.misbehave(func(_ *upstream, _ http.ResponseWriter, r *http.Request) {
		given <- r.Header.Get(testDialect.Deadline)
		<-r.Context().Done()
	})
	status, _, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, status, http.StatusGatewayTimeout)
	ms, err := strconv.Atoi(<-given)
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 50, "the upstream is given %d ms", ms)
}

// A node that leaves answers what it has read.
func TestLeavingNodeCutsNothing(t *testing.T) {
	f := startFleet(t, 2, 0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "late")
	})
	got := make(chan int, 8)
	for range 8 {
		req := f.request(0, "POST", "/write/x", "b")
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				got <- 0
				return
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			if err != nil {
				got <- -1
				return
			}
			got <- resp.StatusCode
		}()
	}
	for range 8 {
		<-started
	}
	for _, stop := range f.stops {
		stop()
	}
	for f.sidecars[0].Ready() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // far past the announcement of 1 ms
	close(release)
	for range 8 {
		assert.Equal(t, <-got, http.StatusOK)
	}
	for _, done := range f.done {
		assert.NilError(t, <-done)
	}
}

// Before a table is known a node is not ready, and refuses in place of saying
// that there is no such route.
func TestNoTableYet(t *testing.T) {
	f := startFleet(t, 1, 0)
	f.store = newMemoryStore(nil)
	f.addUpstream("127.0.0.1", 1, 0)
	f.addSidecar("127.0.0.1", 1, freePort(t))
	assert.Assert(t, !f.sidecars[1].Ready())
	status, header, _ := f.send(f.request(1, "GET", "/read/x", ""))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

// The parts of a split get their shares.
func TestSplit(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.store.change(func(u *discovery.Update) {
		d := document(2)
		d.Table.Services = append(d.Table.Services, table.Service{Name: "new"})
		d.Table.Routes[0].Split = []table.Share{{Service: "shop", Weight: 80}, {Service: "new", Weight: 20}}
		d.ID = version.Of(2, nil)
		u.Document = d
		u.Upstreams[1].Service, u.Upstreams[1].Revision = "new", u.Revision
	})
	for f.sidecars[0].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	const n = 400
	for range n {
		status, _, body := f.send(f.request(0, "GET", "/read/x", ""))
		assert.Equal(t, status, http.StatusOK, body)
	}
	share := 0
	f.upstreams[1].mu.Lock()
	share = len(f.upstreams[1].ran)
	f.upstreams[1].mu.Unlock()
	assert.Assert(t, share > n/10 && share < n*3/10, "%d of %d", share, n)
}

// A route that allows one upstream a request is never sent to a second one, also
// where nothing ran.
func TestRouteWithoutRetries(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.store.change(func(u *discovery.Update) {
		d := document(2)
		for i := range d.Table.Routes {
			d.Table.Routes[i].Retries = 0
		}
		u.Document = d
	})
	for f.sidecars[0].holder.ID().Edition < 2 {
		time.Sleep(time.Millisecond)
	}
	for name, handle := range map[string]func(*upstream, http.ResponseWriter, *http.Request){
		"lost": abort,
		"rejected": func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testDialect.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		f.misbehave(handle)
		for range 5 {
			req := f.request(0, "GET", "/read/x", "")
			f.send(req)
			assert.Equal(t, f.ran(req), 1, name)
		}
	}
}

// A refusal, by an upstream or by a node, does not cost a connection.
func TestRefusalsKeepConnections(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.misbehave(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testDialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	const n = 30
	for range n {
		f.send(f.request(0, "GET", "/read/x", ""))
	}
	dialed := f.sidecars[0].hop.DialCount()
	for _, s := range f.sidecars {
		dialed += s.upstream.DialCount()
	}
	assert.Assert(t, dialed < n/3, "%d connections for %d requests", dialed, n)
}

// A process that restarts beside its upstream gets work again soon after it is
// back, although the store says nothing of it.
func TestRestartedNodeGetsWorkAgain(t *testing.T) {
	f := startFleet(t, 2, 0)
	gone := f.sidecars[1]
	gone.backend.SetLeaving(true)
	served := func() int {
		f.upstreams[1].mu.Lock()
		defer f.upstreams[1].mu.Unlock()
		return len(f.upstreams[1].ran)
	}
	for served() == 0 { // its answer tells that it leaves
		f.send(f.request(0, "GET", "/read/x", ""))
	}
	gone.backend.SetLeaving(false)
	before := served()
	for end := time.Now().Add(6 * time.Second); served() == before; {
		assert.Assert(t, time.Now().Before(end), "no request in six seconds")
		f.send(f.request(0, "GET", "/read/x", ""))
	}
}
