package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/ledger"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
)

// abandon fails as http1.Client does for a request that nobody waits for.
func abandon(*http.Request) (*http.Response, error) {
	return nil, errors.Mark(errors.Mark(context.Canceled, http1.ErrAbandoned), http1.ErrNotSent)
}

// roundTripperFunc is a transport made of a function.
type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Callers that leave before their requests are sent say nothing about the upstreams, which
// must not get fewer requests for it.
func TestAbandonedTryBlamesNoUpstream(t *testing.T) {
	const upstream = "tariff-1"
	abandoned := 0
	s := &scripted{script: []func(*http.Request) (*http.Response, error){func(r *http.Request) (*http.Response, error) {
		if r.Header.Get(headerTarget) != upstream {
			return respondOK(r)
		}
		abandoned++
		return abandon(r)
	}}}
	f := newTestFrontend(t, FrontendConfig{Retry: retry.DefaultPolicy()}, everyMember, s)
	for range 300 {
		f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/tariff/x", nil))
	}
	assert.Assert(t, abandoned > 20, "%d", abandoned)
	candidates, ok := f.Explain("tariff")
	assert.Assert(t, ok)
	for _, c := range candidates {
		assert.Equal(t, string(c.Excluded), "", c.Upstream.Name)
	}
}

// The same for the upstream beside the node, which counted as crashed if the request was
// given up before the dial.
func TestAbandonedCallIsNoCrash(t *testing.T) {
	refused := false
	b := NewBackend(BackendConfig{
		Upstream: &url.URL{Scheme: "http", Host: "upstream"}, Slots: 1, QueueLimit: 1, Ledger: ledger.DefaultConfig(),
		Transport: roundTripperFunc(abandon),
		OnConnect: func(ok bool) { refused = refused || !ok },
	}, &snapshot.Holder{}, nil, NewMetrics(tally.NoopScope), time.Now())
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	Envelope{Kind: "safe", KindWeight: 1, Timeout: time.Second, Idempotent: true}.write(r.Header)
	resp := b.admit(r, true)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Assert(t, !refused)
}
