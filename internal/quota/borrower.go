package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// Borrower spends the tokens lent to one node.
type Borrower struct {
	rnd       *rand.Rand
	customers map[string]*account
}

// NewBorrower returns a borrower to which nothing is lent.
func NewBorrower(rnd *rand.Rand) *Borrower {
	return &Borrower{rnd: rnd, customers: make(map[string]*account)}
}

// account is what a node holds of one customer.
type account struct {
	lent    int
	until   time.Time // when what is lent lapses
	demand  float64   // smoothed requests per second
	at      time.Time // of demand
	waiting int       // requests that wait for an answer
	asking  bool
	quiet   time.Time // until then the home has nothing to lend
	// reserve is spent until unreached, as the home does not answer.
	unreached time.Time
	reserve   bucket
	spent     int // beside the home, not told to it yet
	count     Count
}

// Count is what became of requests of a customer at a node.
type Count struct{ Admitted, Refused int64 }

// Count returns what became of the requests of a customer, since it was last forgotten.
func (b *Borrower) Count(customer string) Count {
	if a, ok := b.customers[customer]; ok {
		return a.count
	}
	return Count{}
}

// demandMemory is the time after which a request counts for a third in the demand.
const demandMemory = 2 * time.Second

func (b *Borrower) account(now time.Time, customer string) *account {
	a, ok := b.customers[customer]
	if !ok {
		a = &account{at: now}
		b.customers[customer] = a
	}
	return a
}

// Verdict says what is to be done with a request.
type Verdict int

// The verdicts.
const (
	// Allowed requests have taken a token.
	Allowed Verdict = iota
	// AllowedAndBorrow is Allowed, and tokens for the next ones should be asked for.
	AllowedAndBorrow
	// MustBorrow requests wait for the answer of the home, and are taken again then.
	MustBorrow
	// Refused requests are over the limit.
	Refused
)

// refillShare is the part of a batch at which the next one is asked for, as a divisor: at a
// steady demand a quarter of a lease is left for the answer.
const refillShare = 2

// Admit takes a request of a customer into its limit, at one of so many nodes. With Refused,
// after is the time until there may be room.
func (b *Borrower) Admit(now time.Time, customer string, limit Limit, nodes int) (v Verdict, after time.Duration) {
	a := b.account(now, customer)
	a.note(now)
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
	case a.lent > 0 && now.Before(a.until):
		a.lent--
		if !a.asking && a.lent < a.want()/refillShare && !now.Before(a.quiet) {
			return AllowedAndBorrow, 0
		}
		return Allowed, 0
	case now.Before(a.unreached):
		return b.takeReserve(now, a, limit, nodes)
	case now.Before(a.quiet):
		return Refused, a.quiet.Sub(now)
	}
	a.lent = 0
	a.waiting++
	return MustBorrow, 0
}

// takeReserve takes a request into the node's part of the limit, as the home is not
// reached. The first tokens are drawn by chance, as with many nodes a part is less than one.
func (b *Borrower) takeReserve(now time.Time, a *account, limit Limit, nodes int) (Verdict, time.Duration) {
	n := float64(max(nodes, 1))
	part := Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
	if a.reserve.at.IsZero() {
		a.reserve = bucket{limit: part, at: now, tokens: math.Floor(part.Burst + b.rnd.Float64())}
	}
	a.reserve.refill(now, part)
	if a.reserve.take(1) == 1 {
		a.spent++
		return Allowed, 0
	}
	return Refused, a.reserve.wait()
}

// note counts a request in the demand.
func (a *account) note(now time.Time) {
	fade := math.Exp(-max(now.Sub(a.at).Seconds(), 0) / demandMemory.Seconds())
	a.demand = a.demand*fade + 1/demandMemory.Seconds()
	a.at = now
}

// leaseShare is the part of a lease for which tokens are borrowed, as a divisor: what lapses
// unspent is lost to the customer.
const leaseShare = 2

// want is how many tokens the node expects to spend in time.
func (a *account) want() int {
	return max(int(a.demand*Lease.Seconds()/leaseShare), a.waiting, 1)
}

// StartBorrowing notes that the home is asked, and returns for what.
func (b *Borrower) StartBorrowing(now time.Time, customer string) Request {
	a := b.account(now, customer)
	r := Request{Want: a.want(), Spent: a.spent}
	a.asking, a.waiting, a.spent = true, 0, 0
	return r
}

// ApplyGrant takes over what was lent on a request sent at a time: the lease counts from
// then, as it may have been lent that early.
func (b *Borrower) ApplyGrant(now, sent time.Time, customer string, r Request, g Grant) {
	a := b.account(now, customer)
	a.asking, a.unreached = false, time.Time{}
	if g.FromStandby {
		a.spent += r.Spent + g.Tokens
	}
	if g.Tokens == 0 {
		a.quiet = now.Add(min(max(g.After, leastQuiet), Lease))
		return
	}
	if !now.Before(a.until) {
		a.lent = 0
	}
	a.lent += g.Tokens
	a.until = sent.Add(Lease)
}

// leastQuiet is the least time for which a node takes it that a home has nothing to lend.
const leastQuiet = 20 * time.Millisecond

// unreachedMemory is the time after a question without an answer in which requests go by
// the reserve, without a further question: each costs the time of one.
const unreachedMemory = 300 * time.Millisecond

// OwnerUnreachable notes that neither the home nor its deputy answered a request.
func (b *Borrower) OwnerUnreachable(now time.Time, customer string, r Request) {
	a := b.account(now, customer)
	a.asking, a.unreached = false, now.Add(unreachedMemory)
	a.spent += r.Spent
}

// Return gives back the token of a request that did not run, if its lease goes on.
func (b *Borrower) Return(now time.Time, customer string) {
	if a, ok := b.customers[customer]; ok && now.Before(a.until) {
		a.lent++
	}
}

// idleAccount is the time after which an account without requests is forgotten: the reserve
// of a limit is full again long before.
const idleAccount = time.Minute

// Sweep forgets what is of no use any more.
func (b *Borrower) Sweep(now time.Time) {
	for name, a := range b.customers {
		if !a.asking && now.Sub(a.at) > idleAccount {
			delete(b.customers, name)
		}
	}
}
