package quota

import (
	"time"

	"github.com/walldrift/walldrift/internal/decay"
)

// Lender lends the tokens of the customers that a node owns.
type Lender struct {
	customers map[string]*customerBucket
}

// customerBucket is an owner's state for one customer.
type customerBucket struct {
	bucket
	borrowRequests decay.Rate
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender { return &Lender{customers: make(map[string]*customerBucket)} }

// Grant is the response to a borrow request.
type Grant struct {
	Tokens int           `cbor:"1,keyasint"`
	After  time.Duration `cbor:"2,keyasint"` // until a token may be available, if none was lent
	// FromStandby reports whether the standby lent the tokens because it couldn't reach
	// the owner either. The borrower reports them in its next request that reaches the
	// owner.
	FromStandby bool `cbor:"3,keyasint,omitempty"`
}

// fairDivisor gives the share of the remaining tokens that one borrow request may take,
// as a divisor, so that the first node to ask leaves tokens for the others.
const fairDivisor = 4

// Request is a borrow request for tokens of a customer.
type Request struct {
	Want int `cbor:"1,keyasint"`
	// Spent is the number of tokens that the borrower has spent from its local reserve or
	// got from the standby since it last reported them to the owner.
	Spent int `cbor:"2,keyasint,omitempty"`
}

// Lend lends up to the requested number of tokens of a customer. since is when this node
// became the owner. A new bucket starts empty at that time, so that tokens that an
// earlier owner may have lent are not lent again.
func (l *Lender) Lend(now, since time.Time, customer string, limit Limit, r Request) Grant {
	b, ok := l.customers[customer]
	if !ok {
		b = &customerBucket{bucket: bucket{limit: limit, updatedAt: since}}
		l.customers[customer] = b
	}
	b.countBorrow(now)
	b.refill(now, limit)
	b.tokens = max(b.tokens-float64(r.Spent), -max(limit.Burst, limit.Rate))
	fair := max(int(b.tokens)/fairDivisor, 1)
	n := b.take(min(r.Want, fair))
	if n == 0 {
		return Grant{After: max(b.wait(), b.retryDelay())}
	}
	return Grant{Tokens: n}
}

// standbyRateFactor is the share of a customer's rate that a standby lends: the owner may
// be lending to nodes that can reach it, and a node whose process ends doesn't report
// what it has spent.
const standbyRateFactor = 0.75

// LendAsStandby is Lend for a node that can't reach the owner. Tokens spent without the
// owner are reported to the owner and not here: most of them were lent by the standby.
func (l *Lender) LendAsStandby(now time.Time, customer string, limit Limit, want int) Grant {
	limit.Rate *= standbyRateFactor
	g := l.Lend(now, now, customer, limit, Request{Want: want})
	g.FromStandby = true
	return g
}

// borrowRateDecay is the time after which a borrow request's weight in the rate has
// fallen to a third.
const borrowRateDecay = time.Second

func (l *customerBucket) countBorrow(now time.Time) { l.borrowRequests.Count(now, borrowRateDecay) }

// retryDelayUnit is the delay after an empty grant when as many borrow requests arrive as
// there are tokens.
const retryDelayUnit = 100 * time.Millisecond

// retryDelay returns when a node that got no tokens may ask again. If many nodes have too
// many requests of a customer, each would ask as soon as a token may be available. The
// more borrow requests there are per token, the longer the nodes wait.
func (l *customerBucket) retryDelay() time.Duration {
	return time.Duration(min(l.borrowRequests.PerSecond()/l.limit.Rate*retryDelayUnit.Seconds(), Lease.Seconds()) * float64(time.Second))
}

// Paused records that this process was paused: other nodes may have lent in the meantime
// what its buckets would have gained.
func (l *Lender) Paused(now time.Time) {
	for _, b := range l.customers {
		b.tokens, b.updatedAt = min(b.tokens, 0), now
	}
}

// Tokens returns the remaining tokens of a customer; 0 if none were lent here.
func (l *Lender) Tokens(now time.Time, customer string) float64 {
	b, ok := l.customers[customer]
	if !ok {
		return 0
	}
	b.refill(now, b.limit)
	return b.tokens
}

// Keep removes the customers for which keep returns false.
func (l *Lender) Keep(keep func(customer string) bool) {
	for name := range l.customers {
		if !keep(name) {
			delete(l.customers, name)
		}
	}
}
