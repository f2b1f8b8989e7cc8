package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/clock"
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

// customerQuotas enforces the rate limits of customers together with the other sidecars.
type customerQuotas struct {
	client http.RoundTripper
	holder *snapshot.Holder
	owners *quotaOwners
	counts quotaCounters
	// process distinguishes this process from others at its address.
	process uint64

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

// quotaCounters count requests refused over a limit, borrow requests sent, those without a
// response, and requests to standbys for confirmation without one.
type quotaCounters struct{ refused, sent, unanswered, unconfirmed tally.Counter }

func newCustomerQuotas(s *Sidecar) *customerQuotas {
	scope := s.metrics.Scope
	return &customerQuotas{
		client: s.peerClient,
		holder: s.holder,
		owners: newQuotaOwners(s.follower.Members, s.cfg.Upstream.Addr(), clock.Now()),
		counts: quotaCounters{
			refused:     scope.Counter("quota_refusals"),
			sent:        scope.Counter("quota_questions"),
			unanswered:  scope.Counter("quota_questions_unanswered"),
			unconfirmed: scope.Counter("quota_confirmations_unanswered"),
		},
		process:      rand.Uint64(),
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
