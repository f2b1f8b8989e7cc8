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

var keyed = Dialect{CustomerKey: "X-Key", Customer: "X-Customer"}

// handOvers keeps the headers of all requests that are handed over, and answers them.
type handOvers struct {
	scripted
	headers []http.Header
}

func (h *handOvers) RoundTrip(r *http.Request) (*http.Response, error) {
	h.headers = append(h.headers, r.Header.Clone())
	return h.scripted.RoundTrip(r)
}

// wayTo is the way to every instance.
type wayTo struct{ http.RoundTripper }

func (w wayTo) TransportTo(context.Context, membership.Instance) (http.RoundTripper, error) {
	return w.RoundTripper, nil
}

// customerTable has a public route, and one that asks for the key of a customer.
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

func serveKeyed(t *testing.T, way *handOvers, q Quota, path string, h http.Header) *httptest.ResponseRecorder {
	t.Helper()
	holder := &snapshot.Holder{}
	holder.Advance(customerTable(t))
	cfg := FrontendConfig{Retry: retry.DefaultPolicy(), Routing: routing.DefaultConfig(), Seed: 1, Dialect: keyed, Quota: q}
	f := NewFrontend(cfg, holder, everyMember, wayTo{way}, NewMetrics(tally.NoopScope), func() bool { return true })
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header = h
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// A key decides who the customer is, and goes no further than the node where it came,
// whatever else the caller says.
func TestKeyNamesTheCustomer(t *testing.T) {
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
			way := &handOvers{scripted: scripted{script: []func(*http.Request) (*http.Response, error){refuse(admission.ReasonBusy), answer}}}
			h := http.Header{"X-Customer": {"impostor"}, HeaderTenant: {"impostor"}, headerTenantID: {"impostor"}}
			if tt.key != "" {
				h.Set("X-Key", tt.key)
			}
			w := serveKeyed(t, way, nil, tt.path, h)
			assert.Equal(t, w.Code, tt.status)
			assert.Assert(t, !strings.Contains(w.Body.String(), "s3cre"))
			if tt.status != http.StatusOK {
				assert.Equal(t, len(way.seen), 0)
				return
			}
			for i, env := range way.seen {
				assert.Equal(t, env.Tenant, tt.customer)
				assert.Equal(t, way.headers[i].Get("X-Key"), "")
			}
		})
	}
}

// What reaches the upstream names the customer of the key, and bears no key.
func TestUpstreamIsToldTheCustomer(t *testing.T) {
	for _, customer := range []string{"hauliers", ""} {
		h := http.Header{"X-Key": {"s3cret"}, "X-Customer": {"impostor"}}
		keyed.nameCustomer(h, customer)
		assert.Equal(t, h.Get("X-Customer"), customer)
		assert.Equal(t, h.Get("X-Key"), "")
	}
}

// The priority of a customer takes the place of the route's, in a class of its own: a
// class has one weight in the queue.
func TestCustomersHaveTheirOwnPriority(t *testing.T) {
	way := &handOvers{scripted: scripted{script: []func(*http.Request) (*http.Response, error){answer}}}
	serveKeyed(t, way, nil, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	serveKeyed(t, way, nil, "/closed/x", http.Header{"X-Key": {"gr0wth"}})
	assert.Assert(t, way.seen[0].KindWeight > way.seen[1].KindWeight)
	assert.Assert(t, way.seen[0].Kind != way.seen[1].Kind)
	assert.Equal(t, way.seen[1].Kind, "k")
}

// fewTokens is a quota with so many requests left.
type fewTokens struct{ left int }

func (q *fewTokens) Take(context.Context, *table.Customer) (bool, time.Duration) {
	if q.left == 0 {
		return false, 250 * time.Millisecond
	}
	q.left--
	return true, 0
}

func (q *fewTokens) Return(*table.Customer) { q.left++ }

// A request over the limit is refused at once with the time to come back, and one that
// did not run for another reason gives back what it took.
func TestQuotaCountsWhatRuns(t *testing.T) {
	busy := refuse(admission.ReasonQueueFull)
	q := &fewTokens{left: 1}
	way := &handOvers{scripted: scripted{script: []func(*http.Request) (*http.Response, error){busy}}}
	w := serveKeyed(t, way, q, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, q.left, 1)

	way = &handOvers{scripted: scripted{script: []func(*http.Request) (*http.Response, error){answer}}}
	assert.Equal(t, serveKeyed(t, way, q, "/closed/x", http.Header{"X-Key": {"s3cret"}}).Code, http.StatusOK)
	assert.Equal(t, q.left, 0)
	w = serveKeyed(t, way, q, "/closed/x", http.Header{"X-Key": {"s3cret"}})
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get(HeaderRetryAfterMs), "250")
	assert.Equal(t, len(way.seen), 1)
	assert.Equal(t, serveKeyed(t, way, q, "/closed/x", http.Header{"X-Key": {"gr0wth"}}).Code, http.StatusOK) // no limit
}
