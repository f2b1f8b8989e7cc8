package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/walldrift/walldrift/internal/decay"
)

// Borrower spends the tokens that owners lend to one node.
type Borrower struct {
	rnd       *rand.Rand
	customers map[string]*account
}

// NewBorrower returns a borrower without tokens.
func NewBorrower(rnd *rand.Rand) *Borrower {
	return &Borrower{rnd: rnd, customers: make(map[string]*account)}
}

// account is a node's state for one customer.
type account struct {
	leased     int
	leaseUntil time.Time  // expiry of the leased tokens
	demand     decay.Rate // requests
	usedAt     time.Time  // last request, or creation
	waiting    int        // requests waiting for a grant
	borrowing  bool
	emptyUntil time.Time // the owner has no tokens to lend until then
	// The local reserve is used until unreachableUntil, as the owner doesn't respond.
	unreachableUntil time.Time
	reserve          bucket
	unreported       int // spent without the owner and not reported to it yet
	count            Count
}

// Count is the number of a customer's requests that a node admitted and refused.
type Count struct{ Admitted, Refused int64 }

// Count returns the counts of a customer since its account was created; an account is
// removed when idle.
func (b *Borrower) Count(customer string) Count {
	if a, ok := b.customers[customer]; ok {
		return a.count
	}
	return Count{}
}

// demandDecay is the time after which a request's weight in the demand has fallen to a
// third.
const demandDecay = 2 * time.Second

func (b *Borrower) account(now time.Time, customer string) *account {
	a, ok := b.customers[customer]
	if !ok {
		a = &account{usedAt: now}
		b.customers[customer] = a
	}
	return a
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// Allowed means that a token was taken for the request.
	Allowed Verdict = iota
	// AllowedAndBorrow is Allowed, and the caller should borrow tokens for further
	// requests.
	AllowedAndBorrow
	// MustBorrow means that the request waits for a grant and is passed to Admit again
	// then.
	MustBorrow
	// Refused means that the request exceeds the limit.
	Refused
)

// refillDivisor gives the share of a batch at which the next one is requested, as a
// divisor: at a constant demand a quarter of a lease is left for the response.
const refillDivisor = 2

// Admit applies the limit of a customer to a request, at one of the given number of
// nodes. For Refused, after is the time until a request may be admitted.
func (b *Borrower) Admit(now time.Time, customer string, limit Limit, nodes int) (v Verdict, after time.Duration) {
	a := b.account(now, customer)
	a.countRequest(now)
	v, after = b.verdict(now, a, limit, nodes)
	switch v {
	case Allowed, AllowedAndBorrow:
		a.count.Admitted++
	case Refused:
		a.count.Refused++
	}
	return v, after
}

func (b *Borrower) verdict(now time.Time, a *account, limit Limit, nodes int) (v Verdict, after time.Duration) {
	switch {
	case a.leased > 0 && now.Before(a.leaseUntil):
		a.leased--
		if !a.borrowing && a.leased < a.tokensWanted()/refillDivisor && !now.Before(a.emptyUntil) {
			return AllowedAndBorrow, 0
		}
		return Allowed, 0
	case now.Before(a.unreachableUntil):
		return b.spendReserve(now, a, limit, nodes)
	case now.Before(a.emptyUntil):
		return Refused, a.emptyUntil.Sub(now)
	}
	a.leased = 0
	a.waiting++
	return MustBorrow, 0
}

// spendReserve applies the node's share of the limit to a request, as the owner is
// unreachable. The initial burst is rounded up or down at random, because with many nodes
// the share of each is less than one token.
func (b *Borrower) spendReserve(now time.Time, a *account, limit Limit, nodes int) (Verdict, time.Duration) {
	n := float64(max(nodes, 1))
	part := Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
	if a.reserve.updatedAt.IsZero() {
		a.reserve = bucket{limit: part, updatedAt: now, tokens: math.Floor(part.Burst + b.rnd.Float64())}
	}
	a.reserve.refill(now, part)
	if a.reserve.take(1) == 1 {
		a.unreported++
		return Allowed, 0
	}
	return Refused, a.reserve.wait()
}

// countRequest adds a request to the demand.
func (a *account) countRequest(now time.Time) {
	a.demand.Count(now, demandDecay)
	a.usedAt = now
}

// leaseDivisor gives the share of a lease for which tokens are borrowed, as a divisor:
// tokens that expire unspent are lost to the customer.
const leaseDivisor = 2

// tokensWanted returns how many tokens the node expects to spend before they expire.
func (a *account) tokensWanted() int {
	return max(int(a.demand.PerSecond()*Lease.Seconds()/leaseDivisor), a.waiting, 1)
}

// StartBorrowing records that a borrow request is sent to the owner, and returns the
// request.
func (b *Borrower) StartBorrowing(now time.Time, customer string) Request {
	a := b.account(now, customer)
	r := Request{Want: a.tokensWanted(), Spent: a.unreported}
	a.borrowing, a.waiting, a.unreported = true, 0, 0
	return r
}

// ApplyGrant applies the grant for a borrow request that was sent at the given time. The
// lease counts from then, as the tokens may have been lent that early.
func (b *Borrower) ApplyGrant(now, sent time.Time, customer string, r Request, g Grant) {
	a := b.account(now, customer)
	a.borrowing, a.unreachableUntil = false, time.Time{}
	if g.FromStandby {
		a.unreported += r.Spent + g.Tokens
	}
	if g.Tokens == 0 {
		a.emptyUntil = now.Add(min(max(g.After, minEmptyTime), Lease))
		return
	}
	if !now.Before(a.leaseUntil) {
		a.leased = 0
	}
	a.leased += g.Tokens
	a.leaseUntil = sent.Add(Lease)
}

// minEmptyTime is the minimum time for which a node assumes that an owner has no tokens
// to lend.
const minEmptyTime = 20 * time.Millisecond

// unreachableTTL is how long after a borrow request without a response the node uses its
// local reserve without sending another one. Each costs a request the time of a timeout.
const unreachableTTL = 300 * time.Millisecond

// OwnerUnreachable records that neither the owner nor the standby responded to a borrow
// request.
func (b *Borrower) OwnerUnreachable(now time.Time, customer string, r Request) {
	a := b.account(now, customer)
	a.borrowing, a.unreachableUntil = false, now.Add(unreachableTTL)
	a.unreported += r.Spent
}

// Return returns the token of a request that did not run, if its lease has not expired.
func (b *Borrower) Return(now time.Time, customer string) {
	if a, ok := b.customers[customer]; ok && now.Before(a.leaseUntil) {
		a.leased++
	}
}

// accountIdleTimeout is the time after which an account without requests is removed. The
// reserve of any limit is full again long before.
const accountIdleTimeout = time.Minute

// Sweep removes idle accounts.
func (b *Borrower) Sweep(now time.Time) {
	for name, a := range b.customers {
		if !a.borrowing && now.Sub(a.usedAt) > accountIdleTimeout {
			delete(b.customers, name)
		}
	}
}
