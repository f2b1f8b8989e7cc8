package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/quota"
	"github.com/walldrift/walldrift/internal/snapshot"
	"github.com/walldrift/walldrift/internal/table"
)

// headerQuota marks a request between sidecars as a borrow request.
const headerQuota = "Walldrift-Quota"

const (
	// borrowTimeout bounds a borrow request: many times the network time, and a small part
	// of the time that a caller's request has.
	borrowTimeout = 100 * time.Millisecond
	// standbyTimeout bounds a borrow request to the standby, which may have to ask the
	// owner first.
	standbyTimeout = 2*borrowTimeout + borrowTimeout/2
	// unresponsiveLifetime is how long a node that did not respond gets no borrow
	// requests. Nodes learn within seconds that a node is gone, and each borrow request to
	// it delays a caller's request by the timeout.
	unresponsiveLifetime = 500 * time.Millisecond
	// maxBorrowMessage bounds an encoded borrow request or grant, in bytes.
	maxBorrowMessage = 4 << 10
	// maxBorrows bounds the grants for which one request waits, as other requests may take
	// the granted tokens.
	maxBorrows = 4
)

// borrowRequest asks the owner of a customer's token bucket, or its standby, for tokens.
type borrowRequest struct {
	Customer string        `cbor:"1,keyasint"`
	Request  quota.Request `cbor:"2,keyasint"`
	// AsStandby says that the receiver is asked as the standby. It asks the owner in turn,
	// and grants tokens itself if the owner does not respond to it either.
	AsStandby bool `cbor:"3,keyasint,omitempty"`
}

// customerQuotas enforces the rate limits of customers together with the other sidecars.
type customerQuotas struct {
	client http.RoundTripper
	holder *snapshot.Holder
	owners *quotaOwners
	counts quotaCounters

	mu           sync.Mutex // guards the fields below
	borrower     *quota.Borrower
	lender       *quota.Lender
	pending      map[string]chan struct{}     // closed with the response, by customer
	unresponsive map[netip.AddrPort]time.Time // until when nodes that did not respond get no borrow requests
	sweptAt      time.Time
}

// pauseThreshold is the interval between two sweeps beyond which this process counts as
// having been paused: the standby may have granted tokens in its place.
const pauseThreshold = 2 * sweepInterval

// quotaCounters count requests refused over a limit, borrow requests sent, and those
// without a response.
type quotaCounters struct{ refused, sent, unanswered tally.Counter }

func newCustomerQuotas(s *Sidecar) *customerQuotas {
	scope := s.metrics.Scope
	return &customerQuotas{
		client: s.peerClient,
		holder: s.holder,
		owners: newQuotaOwners(s.follower.Members, s.cfg.Upstream.Addr(), clock.Now()),
		counts: quotaCounters{
			refused:    scope.Counter("quota_refusals"),
			sent:       scope.Counter("quota_questions"),
			unanswered: scope.Counter("quota_questions_unanswered"),
		},
		borrower:     quota.NewBorrower(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		lender:       quota.NewLender(),
		pending:      make(map[string]chan struct{}),
		unresponsive: make(map[netip.AddrPort]time.Time),
	}
}

func limitOf(c *table.Customer) quota.Limit { return quota.Limit{Rate: c.Rate, Burst: c.Burst} }

// Take implements proxy.Quota.
func (q *customerQuotas) Take(ctx context.Context, c *table.Customer) (bool, time.Duration) {
	var retryAfter time.Duration
	for range maxBorrows {
		q.mu.Lock()
		var v quota.Verdict
		v, retryAfter = q.borrower.Admit(clock.Now(), c.Name, limitOf(c), q.owners.aliveCount())
		var response chan struct{}
		if v == quota.AllowedAndBorrow || v == quota.MustBorrow {
			response = q.startBorrow(c)
		}
		q.mu.Unlock()
		switch v {
		case quota.Allowed, quota.AllowedAndBorrow:
			return true, 0
		case quota.Refused:
			q.counts.refused.Inc(1)
			return false, retryAfter
		}
		select {
		case <-response:
		case <-ctx.Done():
			return false, quota.Lease
		}
	}
	q.counts.refused.Inc(1)
	return false, max(retryAfter, retryAfterBorrows)
}

// retryAfterBorrows is the retry delay suggested to a request that found no tokens left
// after several grants.
const retryAfterBorrows = 50 * time.Millisecond

// Return implements proxy.Quota.
func (q *customerQuotas) Return(c *table.Customer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Return(clock.Now(), c.Name)
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
		q.borrower.ApplyGrant(now, now, c.Name, r, q.lender.Lend(now, owner.since, c.Name, limitOf(c), r))
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
		return q.lender.Lend(now, owner.since, request.Customer, limit, request.Request), nil
	}
	return q.lender.LendAsStandby(now, request.Customer, limit, request.Request.Want), nil
}

// limit returns the limit of a customer in the table in force.
func (q *customerQuotas) limit(customer string) (quota.Limit, bool) {
	snap := q.holder.Current()
	if snap == nil {
		return quota.Limit{}, false
	}
	c := snap.Customers().ByName(customer)
	if c == nil || c.Rate <= 0 {
		return quota.Limit{}, false
	}
	return limitOf(c), true
}

// report returns the quotas of all customers for operators.
func (q *customerQuotas) report(now time.Time) []admin.CustomerQuota {
	out := []admin.CustomerQuota{}
	snap := q.holder.Current()
	if snap == nil {
		return out
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range snap.Customers().All() {
		count := q.borrower.Count(c.Name)
		row := admin.CustomerQuota{Customer: c.Name, Keys: len(c.Keys), Rate: c.Rate, Burst: c.Burst, Admitted: count.Admitted, Refused: count.Refused}
		if c.Rate > 0 {
			owner := q.owners.ownerOf(c.Name)
			row.Owner = owner.peer.String()
			if owner.self {
				row.Tokens = q.lender.Tokens(now, c.Name)
			}
		}
		out = append(out, row)
	}
	return out
}

// paused notes that this process was paused.
func (q *customerQuotas) paused(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.Paused(now)
}

// sweep drops expired state. A late sweep shows that the process was paused.
func (q *customerQuotas) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.sweptAt.IsZero() && now.Sub(q.sweptAt) > pauseThreshold {
		q.lender.Paused(now)
	}
	q.sweptAt = now
	maps.DeleteFunc(q.unresponsive, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	q.borrower.Sweep(now)
	q.lender.Keep(func(customer string) bool {
		_, ok := q.limit(customer)
		return ok
	})
}
