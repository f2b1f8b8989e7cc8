package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet is a model of nodes that borrow the tokens of one customer. A question is answered
// at once, unless its way is cut.
type fleet struct {
	rnd   *rand.Rand
	limit Limit
	nodes []*node
	sent  []time.Duration // when requests were let through
	// equalShares, unbounded stand for the naive ways: an even part of the limit at each
	// node, and none.
	equalShares, unbounded bool
}

type node struct {
	name     string
	borrower *Borrower
	lender   *Lender
	since    time.Time // of its run
	cut      time.Time // from all other nodes, until then
	frozen   time.Time // until then
}

var epoch = time.Unix(1_000_000, 0)

func newFleet(seed uint64, nodes int, limit Limit) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 7)), limit: limit}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("node-%d", i)}
		f.nodes = append(f.nodes, n)
		f.restart(n, epoch)
	}
	return f
}

func (f *fleet) restart(n *node, now time.Time) {
	n.borrower, n.lender, n.since = NewBorrower(rand.New(rand.NewPCG(f.rnd.Uint64(), 1))), NewLender(), now
}

// home returns the home of the customer and its deputy, by the names of all nodes.
func (f *fleet) home() (home, deputy *node) {
	var names []string
	for _, n := range f.nodes {
		names = append(names, n.name)
	}
	h, d := Owners("customer", slices.Values(names))
	for _, n := range f.nodes {
		switch n.name {
		case h:
			home = n
		case d:
			deputy = n
		}
	}
	return home, deputy
}

func reaches(now time.Time, a, b *node) bool {
	if a == b {
		return true
	}
	return !now.Before(a.cut) && !now.Before(b.cut) && !now.Before(b.frozen)
}

// ask is what a node does to borrow.
func (f *fleet) ask(now time.Time, n *node) {
	home, deputy := f.home()
	want := n.borrower.StartBorrowing(now, "customer")
	switch {
	case reaches(now, n, home):
		n.borrower.ApplyGrant(now, now, "customer", want, home.lender.Lend(now, home.since, "customer", f.limit, want))
	case reaches(now, n, deputy) && reaches(now, deputy, home):
		n.borrower.ApplyGrant(now, now, "customer", want, home.lender.Lend(now, home.since, "customer", f.limit, want))
	case reaches(now, n, deputy):
		g := deputy.lender.LendAsStandby(now, "customer", f.limit, want.Want)
		n.borrower.ApplyGrant(now, now, "customer", want, g)
	default:
		n.borrower.OwnerUnreachable(now, "customer", want)
	}
}

// wake tells nodes that they were frozen.
func (f *fleet) wake(now time.Time) {
	for _, n := range f.nodes {
		if !n.frozen.IsZero() && !now.Before(n.frozen) {
			n.frozen = time.Time{}
			n.lender.Paused(now)
		}
	}
}

// request sends one request to a node and reports whether it was let through.
func (f *fleet) request(now time.Time, n *node) bool {
	if now.Before(n.frozen) {
		return false
	}
	if f.unbounded {
		f.sent = append(f.sent, now.Sub(epoch))
		return true
	}
	if f.equalShares {
		n.borrower.account(now, "customer").unreached = now.Add(time.Second)
	}
	for range 4 {
		v, _ := n.borrower.Admit(now, "customer", f.limit, len(f.nodes))
		if v == Allowed || v == AllowedAndBorrow {
			f.sent = append(f.sent, now.Sub(epoch))
		}
		switch v {
		case Allowed:
			return true
		case AllowedAndBorrow:
			f.ask(now, n)
			return true
		case Refused:
			return false
		}
		f.ask(now, n)
	}
	return false
}

const window = 5 * time.Second

// most returns the most requests that were let through in any window.
func (f *fleet) most() int {
	most, from := 0, 0
	for i, at := range f.sent {
		for at-f.sent[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowed is the bound of the platform on what runs in a window.
func (f *fleet) allowed() float64 {
	const over, slack = 0.25, 20
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+over) + slack
}

// play sends demand times the limit for some seconds; place chooses the node, trouble
// befalls the fleet before each step of 10 ms.
func (f *fleet) play(seconds int, demand float64, place func(at time.Duration) *node, trouble func(now time.Time)) (asked, let int) {
	const step = 10 * time.Millisecond
	due := 0.0
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := epoch.Add(at + 10*time.Second)
		trouble(now)
		f.wake(now)
		for due += f.limit.Rate * demand * step.Seconds(); due >= 1; due-- {
			asked++
			if f.request(now, place(at)) {
				let++
			}
		}
	}
	return asked, let
}

func calm(time.Time) {}

func (f *fleet) anywhere(time.Duration) *node { return f.nodes[f.rnd.IntN(len(f.nodes))] }

// A customer that sends several times its limit is held to it, whichever nodes its requests
// come at, and gets nearly all of it.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	for _, nodes := range []int{13, 81, 985} {
		for _, rate := range []float64{3, 40, 300} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, rate), func(t *testing.T) {
				limit := Limit{Rate: rate, Burst: rate}
				f := newFleet(uint64(nodes), nodes, limit)
				_, let := f.play(20, 5, f.anywhere, calm)
				assert.Assert(t, float64(f.most()) <= f.allowed(), "%d in a window, %v allowed", f.most(), f.allowed())
				assert.Assert(t, float64(let) >= 0.8*20*rate, "%d let through", let)
			})
		}
	}
}

// Nothing below the limit is refused, however unevenly the requests come.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	for _, nodes := range []int{13, 81, 985} {
		for _, rate := range []float64{3, 40, 300} {
			limit := Limit{Rate: rate, Burst: rate}
			f := newFleet(uint64(nodes), nodes, limit)
			ways := map[string]func(time.Duration) *node{
				"anywhere":  f.anywhere,
				"one node":  func(time.Duration) *node { return f.nodes[0] },
				"wandering": func(at time.Duration) *node { return f.nodes[int(at/time.Second)%nodes] },
			}
			for name, way := range ways {
				f.restartAll()
				asked, let := f.play(20, 0.7, way, calm)
				assert.Assert(t, float64(let) >= 0.99*float64(asked), "%d nodes, %v a second, %s: %d of %d", nodes, rate, name, let, asked)
			}
		}
	}
}

func (f *fleet) restartAll() {
	for _, n := range f.nodes {
		f.restart(n, epoch)
	}
}

// Restarts, freezes and cuts of up to a fifth of the nodes at a time, the home among them,
// let no more through than the platform allows.
func TestLimitHoldsUnderTrouble(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, 20+int(seed)%3*30, Limit{Rate: 20 + 10*float64(seed%5), Burst: 20})
		trouble := func(now time.Time) {
			if f.rnd.IntN(40) > 0 {
				return
			}
			n := f.nodes[f.rnd.IntN(len(f.nodes))]
			if home, _ := f.home(); f.rnd.IntN(4) == 0 {
				n = home
			}
			until := now.Add(time.Duration(f.rnd.IntN(3000)) * time.Millisecond)
			switch f.rnd.IntN(3) {
			case 0:
				f.restart(n, now)
			case 1:
				n.frozen = until
			case 2:
				n.cut = until
			}
		}
		f.play(20, 6, f.anywhere, trouble)
		assert.Check(t, float64(f.most()) <= f.allowed(), "seed %d: %d in a window, %v allowed", seed, f.most(), f.allowed())
	}
}

// The model tells a bound that holds from ways that have none, or refuse what is owed.
func TestNaiveWaysFail(t *testing.T) {
	f := newFleet(1, 81, Limit{Rate: 40, Burst: 40})
	f.unbounded = true
	f.play(10, 5, f.anywhere, calm)
	assert.Assert(t, float64(f.most()) > f.allowed())

	f = newFleet(1, 81, Limit{Rate: 40, Burst: 40})
	f.equalShares = true
	asked, let := f.play(20, 0.7, func(time.Duration) *node { return f.nodes[0] }, calm)
	assert.Assert(t, let < asked/10, "%d of %d", let, asked)
}

// A node that froze with tokens in hand spends none of them when it wakes.
func TestTokensLapse(t *testing.T) {
	b := NewBorrower(rand.New(rand.NewPCG(1, 1)))
	limit := Limit{Rate: 10, Burst: 10}
	b.StartBorrowing(epoch, "c")
	b.ApplyGrant(epoch, epoch, "c", Request{}, Grant{Tokens: 5})
	v, _ := b.Admit(epoch.Add(Lease-time.Millisecond), "c", limit, 10)
	assert.Equal(t, v, Allowed)
	v, _ = b.Admit(epoch.Add(Lease), "c", limit, 10)
	assert.Equal(t, v, MustBorrow)
}

// A request that did not run gives its token back, within the lease alone.
func TestReturnedTokenIsSpentAgain(t *testing.T) {
	b := NewBorrower(rand.New(rand.NewPCG(1, 1)))
	limit := Limit{Rate: 10, Burst: 10}
	b.StartBorrowing(epoch, "c")
	b.ApplyGrant(epoch, epoch, "c", Request{}, Grant{Tokens: 1})
	v, _ := b.Admit(epoch, "c", limit, 10)
	assert.Equal(t, v, Allowed)
	b.Return(epoch, "c")
	v, _ = b.Admit(epoch, "c", limit, 10)
	assert.Equal(t, v, Allowed)
	b.Return(epoch.Add(Lease), "c")
	v, _ = b.Admit(epoch.Add(Lease), "c", limit, 10)
	assert.Equal(t, v, MustBorrow)
}

// While a home stood still its deputy lent in its place, so it goes on from empty buckets,
// and keeps what it owes.
func TestHomeThatStoodStillLendsFromEmptyBuckets(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 30}
	l := NewLender()
	g := l.Lend(epoch.Add(10*time.Second), epoch, "c", limit, Request{Want: 1})
	assert.Equal(t, g.Tokens, 1)
	woken := epoch.Add(20 * time.Second)
	l.Paused(woken)
	g = l.Lend(woken, epoch, "c", limit, Request{Want: 10})
	assert.Equal(t, g.Tokens, 0)
	assert.Assert(t, g.After > 0)
	g = l.Lend(woken.Add(time.Second), epoch, "c", limit, Request{Want: 10, Spent: 12})
	assert.Equal(t, g.Tokens, 0)
	l.Paused(woken.Add(time.Second))
	assert.Assert(t, l.Tokens(woken.Add(time.Second), "c") < 0)
}
