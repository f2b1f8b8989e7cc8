package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/walldrift/walldrift/internal/retry"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// Quota enforces customers' rate limits over all nodes.
type Quota interface {
	// Take counts a request against its customer's limit. If the limit is exceeded it
	// returns false and the time until there may be room.
	Take(ctx context.Context, c *table.Customer) (ok bool, after time.Duration)
	// Return refunds a request that did not run.
	Return(c *table.Customer)
}

// noQuota enforces no limit.
type noQuota struct{}

func (noQuota) Take(context.Context, *table.Customer) (bool, time.Duration) { return true, 0 }
func (noQuota) Return(*table.Customer)                                      {}

// customerOf returns the customer identified by the request's key; nil if the route
// needs none. Route and keys are taken from the same table version. A route that is not
// public refuses a request without a valid key.
func (d Dialect) customerOf(snap *snapshot.Snapshot, route *snapshot.Route, h http.Header) (*table.Customer, *Problem) {
	customers := snap.Customers()
	if d.CustomerKey == "" || route.Public || !customers.NotEmpty() {
		return nil, nil
	}
	c := customers.ByKey(h.Get(d.CustomerKey))
	if c == nil {
		return nil, notRun(http.StatusUnauthorized, retry.Refused, reasonUnknownKey, 0)
	}
	return c, nil
}

// tenant returns the name of the request's customer: that of its key, or the one named
// by the caller in a deployment without customer keys.
func (d Dialect) tenant(c *table.Customer, h http.Header) string {
	switch {
	case c != nil:
		return c.Name
	case d.CustomerKey != "":
		return ""
	}
	return h.Get(HeaderTenant)
}

// setCustomer sets the customer's name for the upstream and overrides what the caller
// sent.
func (d Dialect) setCustomer(h http.Header, customer string) {
	name := d.Customer
	if name == "" {
		name = HeaderTenant
	}
	if d.CustomerKey != "" {
		h.Del(d.CustomerKey)
		h.Del(name)
	}
	setIf(h, name, customer)
}

// kindAndPriority returns the kind under which a customer's requests on a route are
// queued and measured, and their priority.
func kindAndPriority(route *snapshot.Route, c *table.Customer) (kind string, priority int) {
	if c == nil || c.Priority == nil || *c.Priority == route.Priority {
		return route.Kind, route.Priority
	}
	return route.Kind + "/priority-" + strconv.Itoa(*c.Priority), *c.Priority
}

// takeQuota counts the request against its customer's limit; it returns a problem if
// the limit is exceeded. It is called first, so that a request over the limit takes
// neither a slot nor memory for its body.
func (ex *exchange) takeQuota(ctx context.Context) *Problem {
	if ex.customer == nil || ex.customer.Rate <= 0 {
		return nil
	}
	ok, after := ex.f.cfg.Quota.Take(ctx, ex.customer)
	if !ok {
		return notRun(http.StatusTooManyRequests, retry.Refused, reasonQuota, after)
	}
	ex.quotaTaken = true
	return nil
}

// returnQuota refunds the quota of a request that did not run.
func (ex *exchange) returnQuota(outcome string) {
	if ex.quotaTaken && Outcome(outcome) == OutcomeNotRun {
		ex.f.cfg.Quota.Return(ex.customer)
	}
}
