package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/standin"

	"github.com/uber-go/tally/v4"
)

// scripted answers each forwarded request by the next function of its script; the last
// one repeats.
type scripted struct {
	script []func(*http.Request) (*http.Response, error)

	mu   sync.Mutex
	seen []Envelope
}

func (s *scripted) TransportTo(context.Context, membership.Instance) (http.RoundTripper, error) {
	return s, nil
}

func (s *scripted) RoundTrip(r *http.Request) (*http.Response, error) {
	env, err := readEnvelope(r.Header)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	at := min(len(s.seen), len(s.script)-1)
	s.seen = append(s.seen, env)
	s.mu.Unlock()
	return s.script[at](r)
}

func failConnection(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }

func refuse(reason admission.Reason) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		return admissionProblem(admission.Verdict{Reason: reason, RetryAfter: time.Second}).response(r), nil
	}
}

func respondOK(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2, Request: r}, nil
}

// serve sends one request through a frontend with a scripted transport.
func serve(t *testing.T, s *scripted, method, path string) *httptest.ResponseRecorder {
	t.Helper()
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w
}

// newTestFrontend returns a frontend on the stand-in's table.
func newTestFrontend(t *testing.T, cfg FrontendConfig, members routing.Members, s *scripted) *Frontend {
	t.Helper()
	snap, err := snapshot.Build(standin.Kerbline().Table())
	assert.NilError(t, err)
	h := &snapshot.Holder{}
	h.Advance(snap)
	cfg.Routing, cfg.Seed = routing.DefaultConfig(), 1
	return NewFrontend(cfg, h, members, s, NewMetrics(tally.NoopScope), func() bool { return true })
}

// everyMember treats every name as a live instance.
func everyMember(name string) (membership.Member, bool) {
	return membership.Member{Instance: membership.Instance{Name: name}}, true
}

// Once a try may have run, a later refusal must not turn the outcome into "not run".
func TestNotRunIsNotReportedAfterAmbiguousTry(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){failConnection, refuse(admission.ReasonQueueFull)}}
	w := serve(t, s, http.MethodGet, "/tariff/x")
	assert.Equal(t, len(s.seen), 2)
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeUnknown))
}

func TestAmbiguousNonIdempotentIsNotRetried(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){failConnection}}
	w := serve(t, s, http.MethodPost, "/payments/x")
	assert.Equal(t, len(s.seen), 1)
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get(HeaderOutcome), string(OutcomeUnknown))
}

// A request that finds no free slot goes to another upstream, which may queue it.
func TestBusyUpstreamIsSkippedOnce(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){refuse(admission.ReasonBusy), respondOK}}
	w := serve(t, s, http.MethodPost, "/payments/x")
	assert.Equal(t, w.Body.String(), "ok")
	assert.Equal(t, len(s.seen), 2)
	assert.Assert(t, s.seen[0].NoWait && !s.seen[1].NoWait)
	assert.Assert(t, s.seen[0].Target != s.seen[1].Target)
}

// If the router chooses by expected time, a request does not try for a slot without
// waiting.
func TestChoiceByExpectedTimeQueuesAtOnce(t *testing.T) {
	s := &scripted{script: []func(*http.Request) (*http.Response, error){respondOK}}
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
	f.cfg.Routing.ByExpectedTime = true
	f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/payments/x", nil))
	assert.Equal(t, len(s.seen), 1)
	assert.Assert(t, !s.seen[0].NoWait)
}

func TestCallersCannotForgeNodeHeaders(t *testing.T) {
	h := http.Header{"Walldrift-Idempotent": {"true"}, "Walldrift-Class": {"refused"}, "X-Other": {"1"}}
	Envelope{Target: "a", Kind: "k"}.write(h)
	env, err := readEnvelope(h)
	assert.NilError(t, err)
	assert.Assert(t, !env.Idempotent)
	assert.Equal(t, h.Get("Walldrift-Class"), "")
	assert.Equal(t, h.Get("X-Other"), "1")
}

// If no upstream is available, the request is answered at once; choosing again would
// only loop until the deadline.
func TestNoUpstreamIsAnsweredAtOnce(t *testing.T) {
	asked := make(map[string]int)
	none := func(name string) (membership.Member, bool) {
		asked[name]++
		return membership.Member{}, false
	}
	policy := retry.DefaultPolicy()
	policy.FreeTries = 1
	f := newTestFrontend(t, FrontendConfig{Retry: policy}, none, &scripted{})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	for name, n := range asked {
		assert.Equal(t, n, 1, "asked for %s", name)
	}
}

// Once BufferTotal is reached, long bodies stream instead of being buffered. The
// buffered bytes are released when the request ends.
func TestBufferedBodiesAreBounded(t *testing.T) {
	const long = 40 << 10
	var f *Frontend
	var limits []int64
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		limits = append(limits, f.bufferLimit(), f.bufferedBodies.Load())
		return respondOK(r)
	}}}
	f = newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy(), BufferLimit: long, BufferTotal: long}, everyMember, s)
	for _, n := range []int{long, 100} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/payments/x", strings.NewReader(strings.Repeat("b", n))))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, f.bufferedBodies.Load(), int64(0))
	}
	assert.DeepEqual(t, limits, []int64{defaultBufferLimit, long, long, 100})
}
