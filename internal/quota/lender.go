package quota

import (
	"math"
	"time"
)

// Lender lends the tokens of the customers whose home a node is.
type Lender struct {
	customers map[string]*loans
}

// loans are what a home knows of one customer.
type loans struct {
	bucket
	asks   float64 // smoothed questions per second
	asksAt time.Time
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender { return &Lender{customers: make(map[string]*loans)} }

// Grant is what a home lends.
type Grant struct {
	Tokens int           `cbor:"1,keyasint"`
	After  time.Duration `cbor:"2,keyasint"` // until there may be more, if it lent none
	// FromStandby says that the deputy lent them, as it did not reach the home either. Whoever
	// spends them tells the home of it.
	FromStandby bool `cbor:"3,keyasint,omitempty"`
}

// fairShare is the part of what is left that one request for tokens may take, as a divisor:
// the node that asks first leaves something to the others.
const fairShare = 4

// Request asks for tokens of a customer.
type Request struct {
	Want int `cbor:"1,keyasint"`
	// Spent is what the asking node spent of its reserve and of the deputy's tokens, since
	// it last told the home.
	Spent int `cbor:"2,keyasint,omitempty"`
}

// Lend lends up to as many tokens of a customer as are asked for. since is when this node
// became its home, if it was not before: what an earlier home may have lent is not lent
// again.
func (l *Lender) Lend(now, since time.Time, customer string, limit Limit, r Request) Grant {
	b, ok := l.customers[customer]
	if !ok {
		b = &loans{bucket: bucket{limit: limit, at: since}}
		l.customers[customer] = b
	}
	b.noteAsk(now)
	b.refill(now, limit)
	b.tokens = max(b.tokens-float64(r.Spent), -max(limit.Burst, limit.Rate))
	fair := max(int(b.tokens)/fairShare, 1)
	n := b.take(min(r.Want, fair))
	if n == 0 {
		return Grant{After: max(b.wait(), b.turn())}
	}
	return Grant{Tokens: n}
}

// deputyShare is the part of a customer's rate that a deputy lends: the home may lend too, to
// those who reach it, and a node that ends tells nobody what it spent.
const deputyShare = 0.75

// LendAsStandby is Lend for a node that does not reach the home. What was spent beside the
// home is for the home to be told: most of it was lent by the deputy.
func (l *Lender) LendAsStandby(now time.Time, customer string, limit Limit, want int) Grant {
	limit.Rate *= deputyShare
	g := l.Lend(now, now, customer, limit, Request{Want: want})
	g.FromStandby = true
	return g
}

// askMemory is the time after which a question counts for a third in their rate.
const askMemory = time.Second

func (l *loans) noteAsk(now time.Time) {
	fade := math.Exp(-max(now.Sub(l.asksAt).Seconds(), 0) / askMemory.Seconds())
	l.asks = l.asks*fade + 1/askMemory.Seconds()
	l.asksAt = now
}

// turnTime is how long a node waits for its turn where as many questions come as tokens.
const turnTime = 100 * time.Millisecond

// turn is when a node that gets nothing may ask again. Nodes that all have too much of a
// customer would each ask as soon as a token may have come; the more questions there are for
// each token, the longer they wait.
func (l *loans) turn() time.Duration {
	return time.Duration(min(l.asks/l.limit.Rate*turnTime.Seconds(), Lease.Seconds()) * float64(time.Second))
}

// Paused notes that this node stood still: others may have lent meanwhile what its
// buckets would have gained.
func (l *Lender) Paused(now time.Time) {
	for _, b := range l.customers {
		b.tokens, b.at = min(b.tokens, 0), now
	}
}

// Tokens returns what is left of a customer; 0 if nothing was lent of it here.
func (l *Lender) Tokens(now time.Time, customer string) float64 {
	b, ok := l.customers[customer]
	if !ok {
		return 0
	}
	b.refill(now, b.limit)
	return b.tokens
}

// Keep forgets the customers that are not to be kept.
func (l *Lender) Keep(keep func(customer string) bool) {
	for name := range l.customers {
		if !keep(name) {
			delete(l.customers, name)
		}
	}
}
