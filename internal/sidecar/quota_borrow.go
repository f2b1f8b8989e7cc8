package sidecar

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/quota"
	"github.com/walldrift/walldrift/internal/table"
)

// borrowRequest asks the owner of a customer's token bucket, or its standby, for tokens.
type borrowRequest struct {
	Customer string        `cbor:"1,keyasint"`
	Request  quota.Request `cbor:"2,keyasint"`
	// AsStandby says that the receiver is asked as the standby. It asks the owner in turn,
	// and grants tokens itself if the owner does not respond to it either.
	AsStandby bool `cbor:"3,keyasint,omitempty"`
	// Confirm asks the receiver, instead, how much it has lent of these customers as the
	// standby of the sender. The response is a list of quota.LentAsStandby.
	Confirm []string `cbor:"4,keyasint,omitempty"`
}

// startBorrow borrows tokens of a customer, with one borrow request per customer in
// flight. It returns a channel that is closed when the response is there. The caller holds
// the lock.
func (q *customerQuotas) startBorrow(c *table.Customer) chan struct{} {
	if response, ok := q.pending[c.Name]; ok {
		return response
	}
	response := make(chan struct{})
	now := clock.Now()
	r := q.borrower.StartBorrowing(now, c.Name)
	if owner := q.owners.ownerOf(c.Name); owner.self {
		q.borrower.ApplyGrant(now, now, c.Name, r, q.lender.Lend(now, owner.since, c.Name, limitOf(c), owner.standby.IsValid(), r))
		close(response)
		return response
	}
	q.pending[c.Name] = response
	go q.borrow(c.Name, r, response)
	return response
}

// borrow asks the owner of a customer's bucket for tokens, and the standby if the owner
// does not respond.
func (q *customerQuotas) borrow(customer string, r quota.Request, response chan struct{}) {
	sent := clock.Now()
	owner := q.owners.ownerOf(customer)
	g, err := q.sendBorrow(owner.peer, borrowTimeout, borrowRequest{Customer: customer, Request: r})
	if err != nil {
		sent = clock.Now()
		g, err = q.sendBorrow(owner.standby, standbyTimeout, borrowRequest{Customer: customer, Request: r, AsStandby: true})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.counts.unanswered.Inc(1)
		q.borrower.OwnerUnreachable(clock.Now(), customer, r)
	} else {
		q.borrower.ApplyGrant(clock.Now(), sent, customer, r, g)
	}
	delete(q.pending, customer)
	close(response)
}

var (
	// errNoOwner reports that no node is known that could grant tokens.
	errNoOwner = errors.New("no owner is known")
	// errUnresponsive reports a node that did not respond a short while ago.
	errUnresponsive = errors.New("did not respond recently")
)

// sendBorrow sends a borrow request and returns the grant.
func (q *customerQuotas) sendBorrow(to netip.AddrPort, timeout time.Duration, request borrowRequest) (g quota.Grant, err error) {
	switch {
	case !to.IsValid():
		return g, errNoOwner
	case q.isUnresponsive(to):
		return g, errUnresponsive
	}
	q.counts.sent.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err = peerhttp.Call(ctx, q.client, to, headerQuota, request, &g, maxBorrowMessage); err != nil {
		q.markUnresponsive(to)
	}
	return g, err
}

func (q *customerQuotas) isUnresponsive(node netip.AddrPort) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return clock.Now().Before(q.unresponsive[node])
}

func (q *customerQuotas) markUnresponsive(node netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unresponsive[node] = clock.Now().Add(unresponsiveLifetime)
}

// serve handles the borrow requests of other sidecars.
func (q *customerQuotas) serve(w http.ResponseWriter, r *http.Request) {
	var request borrowRequest
	if err := peerhttp.Decode(r.Body, &request, maxBorrowMessage); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(request.Confirm) > 0 {
		_ = peerhttp.Respond(w, q.lentAsStandby(request.Confirm)) // without a response the owner asks again
		return
	}
	g, err := q.lend(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_ = peerhttp.Respond(w, g) // without a response the borrower asks the standby or uses its local reserve
}

// errUnknownCustomer reports a customer that is not in the table in force on this node.
var errUnknownCustomer = errors.New("customer is not in the table")

// lend grants tokens of a customer to another sidecar.
func (q *customerQuotas) lend(request borrowRequest) (quota.Grant, error) {
	limit, ok := q.limit(request.Customer)
	if !ok {
		return quota.Grant{}, errUnknownCustomer
	}
	owner := q.owners.ownerOf(request.Customer)
	if request.AsStandby && !owner.self {
		if g, err := q.sendBorrow(owner.peer, borrowTimeout, borrowRequest{Customer: request.Customer, Request: request.Request}); err == nil {
			return g, nil
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	if owner.self {
		return q.lender.Lend(now, owner.since, request.Customer, limit, owner.standby.IsValid(), request.Request), nil
	}
	return q.lender.LendAsStandby(now, request.Customer, limit, request.Request.Want), nil
}
