package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/routing"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
	"github.com/walldrift/walldrift/internal/version"
)

var customerDialect = Dialect{CustomerKey: "X-Key", Customer: "X-Customer"}

// forwardedRequests answers forwarded requests and keeps their headers.
type forwardedRequests struct {
	scripted
	headers []http.Header
}

func (h *forwardedRequests) RoundTrip(r *http.Request) (*http.Response, error) {
	h.headers = append(h.headers, r.Header.Clone())
	return h.scripted.RoundTrip(r)
}

// transportToAll is a Dispatcher with the same transport to every instance.
type transportToAll struct{ http.RoundTripper }

func (w transportToAll) TransportTo(context.Context, membership.Instance) (http.RoundTripper, error) {
	return w.RoundTripper, nil
}

// customerTable has a public route and one that needs a customer's key.
func customerTable(t *testing.T) *snapshot.Snapshot {
	t.Helper()
	first := 0
	customers, findings := table.NewCustomers([]table.Customer{
		{Name: "hauliers", Keys: []string{"s3cret"}, Priority: &first, Rate: 10},
		{Name: "growers", Keys: []string{"gr0wth"}},
	})
	assert.Equal(t, len(findings), 0)
	rows := []table.Upstream{{Name: "u1", Service: "s", Weight: 1}, {Name: "u2", Service: "s", Weight: 1}}
	route := table.Route{Service: "s", Kind: "k", KindWeight: 1, Priority: 2, Timeout: time.Second, Retries: 1, Idempotent: true}
	open, closed := route, route
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	closed.Name, closed.Prefix = "closed", "/closed/"
	snap, err := snapshot.FromTable(&table.Table{
		Services: []table.Service{{Name: "s"}}, Upstreams: rows, Routes: []table.Route{open, closed}, Customers: customers,
	}, version.ID{Edition: 1}, nil)
	assert.NilError(t, err)
	return snap
}

func serveCustomer(t *testing.T, transport *forwardedRequests, q Quota, path string, h http.Header) *httptest.ResponseRecorder {
	t.Helper()
	holder := &snapshot.Holder{}
	holder.Advance(customerTable(t))
	cfg := FrontendConfig{Retry: retry.DefaultPolicy(), Routing: routing.DefaultConfig(), Seed: 1, Dialect: customerDialect, Quota: q}
	f := NewFrontend(cfg, holder, everyMember, transportToAll{transport}, NewMetrics(tally.NoopScope), func() bool { return true })
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header = h
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// The key alone decides who the customer is, whatever else the caller sends, and it is
// not forwarded beyond the node that received it.
func TestCustomerKeyIdentifiesCustomer(t *testing.T) {
	tests := []struct {
		name, path, key string
		status          int
		customer        string
	}{
		{"key of a customer", "/closed/x", "s3cret", http.StatusOK, "hauliers"},
		{"unknown key", "/closed/x", "s3cre", http.StatusUnauthorized, ""},
		{"no key", "/closed/x", "", http.StatusUnauthorized, ""},
		{"public route", "/open/x", "", http.StatusOK, ""},
		{"public route with a key", "/open/x", "s3cret", http.StatusOK, ""},
		{"public route with a wrong key", "/open/x", "wrong", http.StatusOK, ""},
		{"no route", "/none/x", "s3cret", http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			transport := &forwardedRequests{scripted: scripted{script: []func(*http.Request) (*http.Response, error){refuse(admission.ReasonBusy), respondOK}}}
			h := http.Header{"X-Customer": {"impostor"}, HeaderTenant: {"impostor"}, headerTenantID: {"impostor"}}
			if tt.key != "" {
				h.Set("X-Key", tt.key)
			}
			w := serveCustomer(t, transport, nil, tt.path, h)
			assert.Equal(t, w.Code, tt.status)
			assert.Assert(t, !strings.Contains(w.Body.String(), "s3cre"))
			if tt.status != http.StatusOK {
				assert.Equal(t, len(transport.seen), 0)
				return
			}
			for i, env := range transport.seen {
				assert.Equal(t, env.Tenant, tt.customer)
				assert.Equal(t, transport.headers[i].Get("X-Key"), "")
			}
		})
	}
}

// The upstream gets the name of the key's customer, but not the key.
func TestUpstreamGetsCustomerName(t *testing.T) {
	for _, customer := range []string{"hauliers", ""} {
		h := http.Header{"X-Key": {"s3cret"}, "X-Customer": {"impostor"}}
		customerDialect.setCustomer(h, customer)
		assert.Equal(t, h.Get("X-Customer"), customer)
		assert.Equal(t, h.Get("X-Key"), "")
	}
}

// A customer's priority replaces the route's, under a kind of its own, since each kind
// has one weight in the queue.
func TestCustomersHaveTheirOwnPriority(t *testing.T) {
	transport := &forwardedRequests{scripted: scripted{script: []func(*http.Request) (*http.Response, error){respondOK}}}
	serveCustomer(t, transport, nil, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	serveCustomer(t, transport, nil, "/closed/x", http.Header{"X-Key": {"gr0wth"}})
	assert.Assert(t, transport.seen[0].KindWeight > transport.seen[1].KindWeight)
	assert.Assert(t, transport.seen[0].Kind != transport.seen[1].Kind)
	assert.Equal(t, transport.seen[1].Kind, "k")
}

// countingQuota is a quota with a given number of requests left.
type countingQuota struct{ left int }

func (q *countingQuota) Take(context.Context, *table.Customer) (bool, time.Duration) {
	if q.left == 0 {
		return false, 250 * time.Millisecond
	}
	q.left--
	return true, 0
}

func (q *countingQuota) Return(*table.Customer) { q.left++ }

// A request over the limit is refused at once with the time after which to retry. A
// request that does not run for another reason is refunded.
func TestQuotaCountsOnlyRequestsThatRun(t *testing.T) {
	busy := refuse(admission.ReasonQueueFull)
	q := &countingQuota{left: 1}
	transport := &forwardedRequests{scripted: scripted{script: []func(*http.Request) (*http.Response, error){busy}}}
	w := serveCustomer(t, transport, q, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, q.left, 1)

	transport = &forwardedRequests{scripted: scripted{script: []func(*http.Request) (*http.Response, error){respondOK}}}
	assert.Equal(t, serveCustomer(t, transport, q, "/closed/x", http.Header{"X-Key": {"s3cret"}}).Code, http.StatusOK)
	assert.Equal(t, q.left, 0)
	w = serveCustomer(t, transport, q, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get(HeaderRetryAfterMs), "250")
	assert.Equal(t, len(transport.seen), 1)
	assert.Equal(t, serveCustomer(t, transport, q, "/closed/x", http.Header{"X-Key": {"gr0wth"}}).Code, http.StatusOK) // this customer has no limit
}
