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

// headerQuota marks a request between sidecars as a question for tokens of a customer.
const headerQuota = "Walldrift-Quota"

const (
	// lendTimeout bounds a question for tokens: many times the way there and back, and a
	// small part of the time that a request has.
	lendTimeout = 100 * time.Millisecond
	// deputyTimeout bounds a question to a deputy, which may have to ask the home first.
	deputyTimeout = 2*lendTimeout + lendTimeout/2
	// silentMemory is how long a node that did not answer is not asked again: nodes learn
	// within seconds that one is gone, and each question costs a request the time of one.
	silentMemory = 500 * time.Millisecond
	// maxLendMessage bounds an encoded question or answer.
	maxLendMessage = 4 << 10
	// takeTries bounds the answers for which one request waits: others may have taken what
	// was lent.
	takeTries = 4
)

// lendQuestion asks a home, or its deputy, for tokens of a customer.
type lendQuestion struct {
	Customer string        `cbor:"1,keyasint"`
	Request  quota.Request `cbor:"2,keyasint"`
	// Deputy asks a node that is not the home. It asks the home in turn, and lends itself
	// if that does not answer it either.
	Deputy bool `cbor:"3,keyasint,omitempty"`
}

// customerQuotas bounds the requests of customers, together with the other sidecars.
type customerQuotas struct {
	client http.RoundTripper
	holder *snapshot.Holder
	homes  *customerHomes
	counts quotaCounts

	mu       sync.Mutex // guards what follows
	borrower *quota.Borrower
	lender   *quota.Lender
	asking   map[string]chan struct{}     // closed with the answer, by customer
	silent   map[netip.AddrPort]time.Time // nodes that did not answer, until when they are not asked
	swept    time.Time
}

// standstill is the pause between two sweeps from which on others may have lent in place
// of this node.
const standstill = 2 * sweepInterval

// quotaCounts count requests over a limit, and questions by their end.
type quotaCounts struct{ refused, asked, unreached tally.Counter }

func newCustomerQuotas(s *Sidecar) *customerQuotas {
	scope := s.metrics.Scope
	return &customerQuotas{
		client: s.hop,
		holder: s.holder,
		homes:  newCustomerHomes(s.follower.Members, s.cfg.Upstream.Addr(), clock.Now()),
		counts: quotaCounts{
			refused:   scope.Counter("quota_refusals"),
			asked:     scope.Counter("quota_questions"),
			unreached: scope.Counter("quota_questions_unanswered"),
		},
		borrower: quota.NewBorrower(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		lender:   quota.NewLender(),
		asking:   make(map[string]chan struct{}),
		silent:   make(map[netip.AddrPort]time.Time),
	}
}

func limitOf(c *table.Customer) quota.Limit { return quota.Limit{Rate: c.Rate, Burst: c.Burst} }

// Take is described at proxy.Quota.
func (q *customerQuotas) Take(ctx context.Context, c *table.Customer) (bool, time.Duration) {
	var after time.Duration
	for range takeTries {
		q.mu.Lock()
		var v quota.Verdict
		v, after = q.borrower.Admit(clock.Now(), c.Name, limitOf(c), q.homes.count())
		var answer chan struct{}
		if v == quota.AllowedAndBorrow || v == quota.MustBorrow {
			answer = q.ask(c)
		}
		q.mu.Unlock()
		switch v {
		case quota.Allowed, quota.AllowedAndBorrow:
			return true, 0
		case quota.Refused:
			q.counts.refused.Inc(1)
			return false, after
		}
		select {
		case <-answer:
		case <-ctx.Done():
			return false, quota.Lease
		}
	}
	q.counts.refused.Inc(1)
	return false, max(after, turnAfterTries)
}

// turnAfterTries is the advice to a request that found nothing left in several answers.
const turnAfterTries = 50 * time.Millisecond

// Return is described at proxy.Quota.
func (q *customerQuotas) Return(c *table.Customer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Return(clock.Now(), c.Name)
}

// ask asks for tokens of a customer, once at a time. The channel that it returns is closed
// with the answer. The lock is held.
func (q *customerQuotas) ask(c *table.Customer) chan struct{} {
	if answer, ok := q.asking[c.Name]; ok {
		return answer
	}
	answer := make(chan struct{})
	now := clock.Now()
	r := q.borrower.StartBorrowing(now, c.Name)
	if home := q.homes.of(c.Name); home.self {
		q.borrower.ApplyGrant(now, now, c.Name, r, q.lender.Lend(now, home.since, c.Name, limitOf(c), r))
		close(answer)
		return answer
	}
	q.asking[c.Name] = answer
	go q.borrow(c.Name, r, answer)
	return answer
}

// borrow asks the home of a customer, and its deputy if that does not answer.
func (q *customerQuotas) borrow(customer string, r quota.Request, answer chan struct{}) {
	sent := clock.Now()
	home := q.homes.of(customer)
	g, err := q.question(home.peer, lendTimeout, lendQuestion{Customer: customer, Request: r})
	if err != nil {
		sent = clock.Now()
		g, err = q.question(home.deputy, deputyTimeout, lendQuestion{Customer: customer, Request: r, Deputy: true})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.counts.unreached.Inc(1)
		q.borrower.OwnerUnreachable(clock.Now(), customer, r)
	} else {
		q.borrower.ApplyGrant(clock.Now(), sent, customer, r, g)
	}
	delete(q.asking, customer)
	close(answer)
}

var (
	// errNoHome reports that no node is known that could lend.
	errNoHome = errors.New("no home is known")
	// errSilent reports a node that did not answer a short while ago.
	errSilent = errors.New("did not answer lately")
)

// question sends a question and returns the answer.
func (q *customerQuotas) question(to netip.AddrPort, timeout time.Duration, ask lendQuestion) (g quota.Grant, err error) {
	switch {
	case !to.IsValid():
		return g, errNoHome
	case q.isSilent(to):
		return g, errSilent
	}
	q.counts.asked.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err = peerhttp.Ask(ctx, q.client, to, headerQuota, ask, &g, maxLendMessage); err != nil {
		q.noteSilent(to)
	}
	return g, err
}

func (q *customerQuotas) isSilent(node netip.AddrPort) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return clock.Now().Before(q.silent[node])
}

func (q *customerQuotas) noteSilent(node netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[node] = clock.Now().Add(silentMemory)
}

// answer serves the questions of other sidecars.
func (q *customerQuotas) answer(w http.ResponseWriter, r *http.Request) {
	var ask lendQuestion
	if err := peerhttp.Read(r.Body, &ask, maxLendMessage); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, err := q.lend(ask)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_ = peerhttp.Answer(w, g) // the asking node is told, and goes by its reserve
}

// errUnknownCustomer reports a customer that is not in the table in force here.
var errUnknownCustomer = errors.New("customer is not in the table")

// lend lends tokens of a customer to another sidecar.
func (q *customerQuotas) lend(ask lendQuestion) (quota.Grant, error) {
	limit, ok := q.limit(ask.Customer)
	if !ok {
		return quota.Grant{}, errUnknownCustomer
	}
	home := q.homes.of(ask.Customer)
	if ask.Deputy && !home.self {
		if g, err := q.question(home.peer, lendTimeout, lendQuestion{Customer: ask.Customer, Request: ask.Request}); err == nil {
			return g, nil
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	if home.self {
		return q.lender.Lend(now, home.since, ask.Customer, limit, ask.Request), nil
	}
	return q.lender.LendAsStandby(now, ask.Customer, limit, ask.Request.Want), nil
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

// list returns what operators see of the customers.
func (q *customerQuotas) list(now time.Time) []admin.CustomerQuota {
	out := []admin.CustomerQuota{}
	snap := q.holder.Current()
	if snap == nil {
		return out
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range snap.Customers().All() {
		count := q.borrower.Count(c.Name)
		row := admin.CustomerQuota{Customer: c.Name, Keys: len(c.Keys), Rate: c.Rate, Burst: c.Burst, Taken: count.Admitted, Refused: count.Refused}
		if c.Rate > 0 {
			home := q.homes.of(c.Name)
			row.Home = home.peer.String()
			if home.self {
				row.Tokens = q.lender.Tokens(now, c.Name)
			}
		}
		out = append(out, row)
	}
	return out
}

// interrupted notes that this process stood still.
func (q *customerQuotas) interrupted(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.Paused(now)
}

// sweep forgets what is of no use any more. One that comes late says that the process stood
// still.
func (q *customerQuotas) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.swept.IsZero() && now.Sub(q.swept) > standstill {
		q.lender.Paused(now)
	}
	q.swept = now
	maps.DeleteFunc(q.silent, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	q.borrower.Sweep(now)
	q.lender.Keep(func(customer string) bool {
		_, ok := q.limit(customer)
		return ok
	})
}
