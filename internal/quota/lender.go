package quota

import (
	"time"

	"github.com/walldrift/walldrift/internal/decay"
)

// Lender lends the tokens of the customers that a node owns.
type Lender struct {
	customers map[string]*customerBucket
}

// customerBucket is an owner's or a standby's state for one customer.
type customerBucket struct {
	bucket
	borrowRequests decay.Rate
	confirmedUntil time.Time // the standby lends nothing that the owner does not know of
	// standbyTotal is what the standby had lent by its last report, reported by which
	// process.
	standbyTotal LentAsStandby
	// lentAsStandby is what this node has lent as the standby since its process started.
	lentAsStandby int
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
// earlier owner may have lent are not lent again. Unless the owner has no standby, it lends
// at unconfirmedRateFactor of the rate while Confirm has not been called for a Lease.
func (l *Lender) Lend(now, since time.Time, customer string, limit Limit, hasStandby bool, r Request) Grant {
	b := l.bucketOf(customer, limit, since)
	if hasStandby && !now.Before(b.confirmedUntil) {
		limit.Rate *= unconfirmedRateFactor
	}
	return b.lend(now, limit, r)
}

// bucketOf returns the bucket of a customer, which starts empty at since if it is new.
func (l *Lender) bucketOf(customer string, limit Limit, since time.Time) *customerBucket {
	b, ok := l.customers[customer]
	if !ok {
		b = &customerBucket{bucket: bucket{limit: limit, updatedAt: since}}
		l.customers[customer] = b
	}
	return b
}

func (b *customerBucket) lend(now time.Time, limit Limit, r Request) Grant {
	b.countBorrow(now)
	b.refill(now, limit)
	b.tokens = max(b.tokens-float64(r.Spent), -b.maxDebt())
	fair := max(int(b.tokens)/fairDivisor, 1)
	n := b.take(min(r.Want, fair))
	if n == 0 {
		return Grant{After: max(b.wait(), b.retryDelay())}
	}
	return Grant{Tokens: n}
}

// While an owner and its standby do not reach each other, both lend, and neither knows of
// the other one's loans. Together their shares stay a little above the limit: what is left of
// the quarter by which customers may exceed it covers what is lent before they notice.
const (
	// standbyRateFactor is the share of a customer's rate that a standby lends.
	standbyRateFactor = 0.6
	// unconfirmedRateFactor is the share that an owner lends without its standby's word.
	unconfirmedRateFactor = 0.5
)

// LendAsStandby is Lend for a node that can't reach the owner. Tokens spent without the
// owner are reported to the owner and not here: most of them were lent by the standby.
func (l *Lender) LendAsStandby(now time.Time, customer string, limit Limit, want int) Grant {
	limit.Rate *= standbyRateFactor
	b := l.bucketOf(customer, limit, now)
	g := b.lend(now, limit, Request{Want: want})
	b.lentAsStandby += g.Tokens
	g.FromStandby = true
	return g
}

// ConfirmInterval is how often an owner asks standbys for their word: twice in a Lease, so
// that one lost answer changes nothing.
const ConfirmInterval = Lease / 2

// LentAsStandby is the number of tokens of a customer that a process has lent as the standby
// since it started.
type LentAsStandby struct {
	Process uint64 `cbor:"1,keyasint"` // distinguishes the processes of a node
	Tokens  int    `cbor:"2,keyasint"`
}

// LentAsStandby returns how many tokens of a customer this node has lent as the standby.
func (l *Lender) LentAsStandby(customer string) int {
	if b, ok := l.customers[customer]; ok {
		return b.lentAsStandby
	}
	return 0
}

// Unconfirmed returns the customers of which this node has lent so much that it needs the
// word of their standby to lend at their full rate.
func (l *Lender) Unconfirmed(now time.Time) []string {
	var names []string
	for name, b := range l.customers {
		if now.Sub(b.updatedAt) < Lease && b.tokens < max(b.limit.Burst, 1)/2 {
			names = append(names, name)
		}
	}
	return names
}

// Confirm records that the standby of a customer has answered a request that was sent at
// the given time. What it has lent since its last answer is taken off.
func (l *Lender) Confirm(sent time.Time, customer string, total LentAsStandby) {
	b, ok := l.customers[customer]
	if !ok {
		return
	}
	before := b.standbyTotal
	if before.Process != total.Process {
		before.Tokens = 0
	}
	b.standbyTotal, b.confirmedUntil = total, sent.Add(Lease)
	// The standby forgets what it has lent when a table without the customer comes.
	lent := max(total.Tokens-before.Tokens, 0)
	b.tokens = max(b.tokens-float64(lent), -b.maxDebt())
}

// maxDebt is how many tokens below zero a bucket may get by what was lent elsewhere.
func (b *customerBucket) maxDebt() float64 { return max(b.limit.Burst, b.limit.Rate) }

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
