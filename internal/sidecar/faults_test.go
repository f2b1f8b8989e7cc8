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

// setHandlers makes every upstream respond by handle.
func (f *fleet) setHandlers(handle func(u *upstream, w http.ResponseWriter, r *http.Request)) {
	for _, u := range f.upstreams {
		u.mu.Lock()
		u.handle = func(w http.ResponseWriter, r *http.Request) { handle(u, w, r) }
		u.mu.Unlock()
	}
}

// runsAnywhere returns how often the request ran at all upstreams together.
func (f *fleet) runsAnywhere(req *http.Request) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.runs(req.Header.Get(testDialect.RequestID))
	}
	return n
}

// abortConnection closes the connection to the node without a response.
func abortConnection(*upstream, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A request that may have run is not retried unless it is idempotent, and gets no status
// that promises that it has not run.
func TestLostResponseOfAWrite(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.setHandlers(abortConnection)
	for range 10 {
		req := f.request(0, "POST", "/write/x", "body")
		status, header, _ := f.send(req)
		assert.Equal(t, status, http.StatusBadGateway)
		assert.Equal(t, header.Get(proxy.HeaderOutcome), string(proxy.OutcomeUnknown))
		assert.Equal(t, header.Get(testDialect.RequestID), req.Header.Get(testDialect.RequestID))
		assert.Equal(t, f.runsAnywhere(req), 1)
	}
}

// An idempotent request whose response is lost or truncated is retried, within the retries
// of its route.
func TestLostResponseOfARead(t *testing.T) {
	for name, spoil := range map[string]func(http.ResponseWriter){
		"lost": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"truncated": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		},
		"no response": func(w http.ResponseWriter) {
			nc, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(nc, "HTTP/1.1 000 Odd\r\n\r\n")
				_ = nc.Close()
			}
		},
		"not signed": func(w http.ResponseWriter) { w.Header().Del(testDialect.Signature); _, _ = io.WriteString(w, "x") },
		"of another request": func(w http.ResponseWriter) {
			w.Header().Set(testDialect.RequestID, "other")
			w.Header().Set("Connection", "close") // no further response follows
			_, _ = io.WriteString(w, "x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 3, 0)
			var first atomic.Bool
			f.setHandlers(func(u *upstream, w http.ResponseWriter, _ *http.Request) {
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
			assert.Equal(t, f.runsAnywhere(req), 2)
		})
	}
}

// Only the upstream's own header says that a request did not run.
func TestRefusalsOfAnUpstream(t *testing.T) {
	f := startFleet(t, 3, 0)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		got, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
		assert.Equal(t, got, http.StatusBadGateway, "%d without the header", status)
		assert.Equal(t, header.Get(testDialect.Signature), "", "a replaced response must have no signature")
	}
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	got, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, got, http.StatusInternalServerError, "an upstream's own failure must be forwarded")
	assert.Assert(t, header.Get(testDialect.Signature) != "")
}

// A write that an upstream says it did not run is retried at another one.
func TestRejectedWriteGoesElsewhere(t *testing.T) {
	f := startFleet(t, 3, 0)
	var first atomic.Bool
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
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

// If all upstreams reject a request, the response says so and when to retry.
func TestAllRefuse(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testDialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, header, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 1)
}

// If another process listens at an upstream's address, it does not run the request, which
// is retried elsewhere. One response of a wrong instance is enough to stop using the
// address.
func TestReusedAddress(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.upstreams[0].id = "shop-later"
	for range 20 {
		req := f.request(0, "POST", "/write/x", "b")
		status, _, body := f.send(req)
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, f.upstreams[1].runs(req.Header.Get(testDialect.RequestID)), 1)
	}
	assert.Assert(t, f.upstreams[0].wrongInstance.Load() <= 1, "received %d requests", f.upstreams[0].wrongInstance.Load())
}

// If the caller disconnects, its request is cancelled at the upstream, also if another
// node forwards it there.
func TestCallerDisconnects(t *testing.T) {
	f := startFleet(t, 2, 0)
	started, ended := make(chan struct{}), make(chan struct{})
	f.setHandlers(func(_ *upstream, _ http.ResponseWriter, r *http.Request) {
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

// A request whose upstream is unresponsive is answered when the timeout of its route ends.
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
	f.setHandlers(func(_ *upstream, _ http.ResponseWriter, r *http.Request) {
		given <- r.Header.Get(testDialect.Deadline)
		<-r.Context().Done()
	})
	status, _, _ := f.send(f.request(0, "POST", "/write/x", "b"))
	assert.Equal(t, status, http.StatusGatewayTimeout)
	ms, err := strconv.Atoi(<-given)
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 50, "the upstream is given %d ms", ms)
}

// A node that shuts down answers the requests that it has read.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	f := startFleet(t, 2, 0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
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

// Before a node knows a table it is not ready, and refuses requests instead of responding
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

// The services of a split route get their shares of the requests.
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

// A request of a route without retries is sent to one upstream only, even if it did not
// run there.
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
		"lost": abortConnection,
		"rejected": func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testDialect.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		f.setHandlers(handle)
		for range 5 {
			req := f.request(0, "GET", "/read/x", "")
			f.send(req)
			assert.Equal(t, f.runsAnywhere(req), 1, name)
		}
	}
}

// A refusal, by an upstream or by a node, does not cost a connection.
func TestRefusalsKeepConnections(t *testing.T) {
	f := startFleet(t, 2, 0)
	f.setHandlers(func(_ *upstream, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testDialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	const n = 30
	for range n {
		f.send(f.request(0, "GET", "/read/x", ""))
	}
	dialed := f.sidecars[0].peerClient.DialCount()
	for _, s := range f.sidecars {
		dialed += s.upstream.DialCount()
	}
	assert.Assert(t, dialed < n/3, "%d connections for %d requests", dialed, n)
}

// A sidecar that restarts beside its upstream gets requests again soon afterwards,
// although the store publishes no change.
func TestRestartedNodeGetsRequestsAgain(t *testing.T) {
	f := startFleet(t, 2, 0)
	leaving := f.sidecars[1]
	leaving.backend.SetLeaving(true)
	served := func() int {
		f.upstreams[1].mu.Lock()
		defer f.upstreams[1].mu.Unlock()
		return len(f.upstreams[1].ran)
	}
	for served() == 0 { // until a response announces that the node is leaving
		f.send(f.request(0, "GET", "/read/x", ""))
	}
	leaving.backend.SetLeaving(false)
	before := served()
	for end := time.Now().Add(6 * time.Second); served() == before; {
		assert.Assert(t, time.Now().Before(end), "no request in six seconds")
		f.send(f.request(0, "GET", "/read/x", ""))
	}
}
