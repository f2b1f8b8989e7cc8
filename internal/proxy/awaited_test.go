package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

// localDispatcher sends everything to one transport; u-local is beside the frontend.
type localDispatcher struct{ transportToAll }

func (localDispatcher) Local(in membership.Instance) bool { return in.Name == "u-local" }

// linkedFrontend has a link of the given rate and the routes /form/ and /call/ with an
// objective of 150 ms, /free/ without one, and /local/ to the upstream beside it.
func linkedFrontend(t *testing.T, mbps float64, up http.RoundTripper) (*Frontend, *[]*Record) {
	t.Helper()
	var routes []table.Route
	for _, name := range []string{"form", "call", "free", "local"} {
		r := table.Route{Name: name, Prefix: "/" + name + "/", Service: "s", Kind: name, KindWeight: 1, Timeout: time.Second, Objective: 150 * time.Millisecond, Idempotent: true, Public: true}
		switch name {
		case "free":
			r.Objective = 0
		case "local":
			r.Service = "l"
		}
		routes = append(routes, r)
	}
	snap, err := snapshot.FromTable(&table.Table{
		Services:  []table.Service{{Name: "s"}, {Name: "l"}},
		Upstreams: []table.Upstream{{Name: "u1", Service: "s", Weight: 1}, {Name: "u-local", Service: "l", Weight: 1}}, Routes: routes,
	}, version.ID{Edition: 1}, nil)
	assert.NilError(t, err)
	holder := &snapshot.Holder{}
	holder.Advance(snap)
	m := NewMetrics(tally.NoopScope)
	var mu sync.Mutex
	records := &[]*Record{}
	return NewFrontend(FrontendConfig{
		Retry: retry.DefaultPolicy(), Routing: routing.DefaultConfig(), Seed: 1, Links: NewLinks(mbps, m), ResponseBufferLimit: 4 << 10,
		Record: func(r *Record) { mu.Lock(); defer mu.Unlock(); *records = append(*records, r) },
	}, holder, everyMember, localDispatcher{transportToAll{up}}, m, func() bool { return true }), records
}

func get(f *Frontend, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// slowLongResponses answers after 10 ms, with 40 KB that arrive over 200 ms unless the
// path is that of a call.
func slowLongResponses(r *http.Request) (*http.Response, error) {
	time.Sleep(10 * time.Millisecond)
	resp, err := respondOK(r)
	if !strings.HasPrefix(r.URL.Path, "/call/") {
		resp.ContentLength = longResponseSize
		resp.Body = io.NopCloser(&slowBody{after: 100 * time.Millisecond, text: strings.Repeat("a", longResponseSize)})
	}
	return resp, err
}

// A request whose response could not arrive in time, because of those that are awaited
// already, is refused before it is sent. Calls, routes without an objective and the
// upstream of the own machine are not concerned.
func TestAwaitedResponsesRefuseFurtherOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		sent := map[string]int{}
		f, records := linkedFrontend(t, narrowMbps, roundTripper(func(r *http.Request) (*http.Response, error) {
			mu.Lock()
			sent[r.URL.Path]++
			mu.Unlock()
			return slowLongResponses(r)
		}))
		for _, path := range []string{"/form/x", "/call/x", "/free/x", "/local/x"} {
			assert.Equal(t, get(f, path).Code, http.StatusOK) // sizes are known from here on
		}
		var group sync.WaitGroup
		for range 8 { // 182 ms of the link
			group.Go(func() { get(f, "/free/x") })
		}
		synctest.Wait()
		w := get(f, "/form/refused")
		assert.Equal(t, w.Header().Get(HeaderReason), string(admission.ReasonLink))
		assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeNotRun))
		assert.Equal(t, sent["/form/refused"], 0)
		last := (*records)[len(*records)-1]
		assert.Assert(t, strings.HasPrefix(last.Link, linkCauseAwaited+":"), last.Link)
		after, err := strconv.Atoi(w.Header().Get(HeaderRetryAfterMs))
		assert.NilError(t, err)
		assert.Assert(t, after > 30 && after < 90, "%d ms", after)
		for _, path := range []string{"/call/x", "/free/x", "/local/x"} {
			assert.Equal(t, get(f, path).Code, http.StatusOK, path)
		}
		group.Wait()
		assert.Equal(t, get(f, "/form/x").Code, http.StatusOK)
		assertLinkFree(t, f.cfg.Links.receive)
	})
}

// A refused request is not sent, so it must not keep the token of the move that it could
// have made: later requests would have to queue although none has moved.
func TestRefusalForAwaitedResponsesRefundsItsMove(t *testing.T) {
	f, _ := newMovingFrontend(t, &scripted{script: script{withLoad(respondOK, idleLoad)}}, "tariff", true)
	f.cfg.Links = NewLinks(narrowMbps, f.metrics)
	f.cfg.Links.receive.link.Commit(1 << 20)
	route := f.holder.Current().Route(http.MethodGet, "/tariff/x")
	route.Objective = 150 * time.Millisecond
	f.awaited.sizes.Observe(route.Name, longResponseSize)
	for range 2 * int(movePolicy.Reserve) {
		assert.Equal(t, get(f, "/tariff/x").Header().Get(HeaderReason), string(admission.ReasonLink))
	}
	for i := range int(movePolicy.Reserve) {
		assert.Assert(t, f.withdrawMoveToken(), "%d tokens are left", i)
	}
}

// Refusals take as much of the receiving link as any short message. If they were not
// counted, responses would be admitted that arrive late behind them.
func TestRefusalsOfOtherNodesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := linkedFrontend(t, narrowMbps, roundTripper(refuse(admission.ReasonBusy)))
		const refusals = 40 // with their heads, more than the link keeps for a burst
		for range refusals {
			get(f, "/call/x")
			get(f, "/local/x")
		}
		backlog := f.cfg.Links.receive.link.Backlog(time.Now())
		assert.Assert(t, backlog > 0 && backlog < 15*time.Millisecond, "%v; those of the own machine would make it 20 ms", backlog)
	})
}

// A commitment for a response that does not arrive must not stay.
func TestAwaitedCommitmentIsReleased(t *testing.T) {
	for name, up := range map[string]func(*http.Request) (*http.Response, error){
		"connection fails":    failConnection,
		"refused":             refuse(admission.ReasonBusy),
		"short after all":     respondOK,
		"cut while buffered":  cutResponse(4 << 10),
		"cut while forwarded": cutResponse(100 << 10),
	} {
		synctest.Test(t, func(t *testing.T) {
			next := slowLongResponses
			f, _ := linkedFrontend(t, narrowMbps, roundTripper(func(r *http.Request) (*http.Response, error) { return next(r) }))
			get(f, "/form/x")
			next = up
			func() {
				defer func() { _ = recover() }() // http.ErrAbortHandler
				get(f, "/form/x")
			}()
			t.Log(name)
			assertLinkFree(t, f.cfg.Links.receive)
		})
	}
}

// On a wide link the same requests are sent as without a known rate.
func TestWideLinkAwaitsAsUnknownOne(t *testing.T) {
	for _, mbps := range []float64{0, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f, records := linkedFrontend(t, mbps, roundTripper(slowLongResponses))
			var group sync.WaitGroup
			for range 30 {
				group.Go(func() { assert.Equal(t, get(f, "/form/x").Code, http.StatusOK) })
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			for _, r := range *records {
				assert.Equal(t, r.Reason, "")
			}
		})
	}
}
