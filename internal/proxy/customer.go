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

// Quota bounds the requests of customers over all nodes.
type Quota interface {
	// Take takes a request into the limit of its customer; false with the time until
	// there may be room if it does not fit.
	Take(ctx context.Context, c *table.Customer) (ok bool, after time.Duration)
	// Return gives back what a request took that did not run.
	Return(c *table.Customer)
}

// noQuota bounds nothing.
type noQuota struct{}

func (noQuota) Take(context.Context, *table.Customer) (bool, time.Duration) { return true, 0 }
func (noQuota) Return(*table.Customer)                                      {}

// customerOf returns the customer of a request by its key; nil if its route needs none. One
// table decides on route and key. A route that is not public takes no request without a key
// that works.
func (d Dialect) customerOf(snap *snapshot.Snapshot, route *snapshot.Route, h http.Header) (*table.Customer, *Problem) {
	customers := snap.Customers()
	if d.CustomerKey == "" || route.Public || !customers.Exist() {
		return nil, nil
	}
	c := customers.ByKey(h.Get(d.CustomerKey))
	if c == nil {
		return nil, notRun(http.StatusUnauthorized, retry.Refused, reasonUnknownKey, 0)
	}
	return c, nil
}

// tenant is the name of the customer of a request: that of its key, or the one that the
// caller names where customers have no keys.
func (d Dialect) tenant(c *table.Customer, h http.Header) string {
	switch {
	case c != nil:
		return c.Name
	case d.CustomerKey != "":
		return ""
	}
	return h.Get(HeaderTenant)
}

// nameCustomer tells the customer, whatever the caller sent in its place.
func (d Dialect) nameCustomer(h http.Header, customer string) {
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

// rank is how requests of a customer are ranked on a route: the class in which they queue
// and are measured, and their priority.
func rank(route *snapshot.Route, c *table.Customer) (kind string, priority int) {
	if c == nil || c.Priority == nil || *c.Priority == route.Priority {
		return route.Kind, route.Priority
	}
	return route.Kind + "/priority-" + strconv.Itoa(*c.Priority), *c.Priority
}

// takeQuota counts the request against the limit of its customer, and says why it does not
// fit; nil if it does. A request that is known to be over the limit takes neither a slot
// nor the memory of its body.
func (x *exchange) takeQuota(ctx context.Context) *Problem {
	if x.customer == nil || x.customer.Rate <= 0 {
		return nil
	}
	ok, after := x.f.cfg.Quota.Take(ctx, x.customer)
	if !ok {
		return notRun(http.StatusTooManyRequests, retry.Refused, reasonQuota, after)
	}
	x.counted = true
	return nil
}

// returnQuota gives back what the request took from the limit, if it did not run.
func (x *exchange) returnQuota(outcome string) {
	if x.counted && Outcome(outcome) == OutcomeNotRun {
		x.f.cfg.Quota.Return(x.customer)
	}
}
