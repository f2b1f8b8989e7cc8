package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet models nodes that borrow the tokens of one customer. A borrow request is answered
// at once, unless a partition prevents it.
type fleet struct {
	rnd   *rand.Rand
	limit Limit
	nodes []*node
	sent  []time.Duration // times at which requests were admitted
	// equalShares and unbounded select naive policies: an equal share of the limit at
	// each node, and no limit.
	equalShares, unbounded bool
}

type node struct {
	name             string
	borrower         *Borrower
	lender           *Lender
	since            time.Time // process start
	partitionedUntil time.Time // partitioned from all other nodes until then
	pausedUntil      time.Time // process paused until then
	unreachableUntil time.Time // other nodes can't reach it until then, but it reaches them
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

// owners returns the owner of the customer and its standby among all nodes.
func (f *fleet) owners() (owner, standby *node) {
	var names []string
	for _, n := range f.nodes {
		names = append(names, n.name)
	}
	ownerName, standbyName := Owners("customer", slices.Values(names))
	for _, n := range f.nodes {
		switch n.name {
		case ownerName:
			owner = n
		case standbyName:
			standby = n
		}
	}
	return owner, standby
}

func reaches(now time.Time, a, b *node) bool {
	if a == b {
		return true
	}
	return !now.Before(a.partitionedUntil) && !now.Before(b.partitionedUntil) && !now.Before(b.pausedUntil) && !now.Before(b.unreachableUntil)
}

// confirm asks the standby for the owner what it has lent.
func (f *fleet) confirm(now time.Time) {
	owner, standby := f.owners()
	if now.Before(owner.pausedUntil) || !reaches(now, owner, standby) {
		return
	}
	for _, customer := range owner.lender.Unconfirmed(now) {
		owner.lender.Confirm(now, customer, LentAsStandby{Process: uint64(standby.since.UnixNano()), Tokens: standby.lender.LentAsStandby(customer)})
	}
}

// borrow sends a node's borrow request.
func (f *fleet) borrow(now time.Time, n *node) {
	owner, standby := f.owners()
	want := n.borrower.StartBorrowing(now, "customer")
	switch {
	case reaches(now, n, owner):
		n.borrower.ApplyGrant(now, now, "customer", want, owner.lender.Lend(now, owner.since, "customer", f.limit, true, want))
	case reaches(now, n, standby) && reaches(now, standby, owner):
		n.borrower.ApplyGrant(now, now, "customer", want, owner.lender.Lend(now, owner.since, "customer", f.limit, true, want))
	case reaches(now, n, standby):
		g := standby.lender.LendAsStandby(now, "customer", f.limit, want.Want)
		n.borrower.ApplyGrant(now, now, "customer", want, g)
	default:
		n.borrower.OwnerUnreachable(now, "customer", want)
	}
}

// resume notifies nodes whose pause is over.
func (f *fleet) resume(now time.Time) {
	for _, n := range f.nodes {
		if !n.pausedUntil.IsZero() && !now.Before(n.pausedUntil) {
			n.pausedUntil = time.Time{}
			n.lender.Paused(now)
		}
	}
}

// request sends one request to a node and reports whether it was admitted.
func (f *fleet) request(now time.Time, n *node) bool {
	if now.Before(n.pausedUntil) {
		return false
	}
	if f.unbounded {
		f.sent = append(f.sent, now.Sub(epoch))
		return true
	}
	if f.equalShares {
		n.borrower.account(now, "customer").unreachableUntil = now.Add(time.Second)
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
			f.borrow(now, n)
			return true
		case Refused:
			return false
		}
		f.borrow(now, n)
	}
	return false
}

const window = 5 * time.Second

// maxInWindow returns the largest number of requests admitted in any window.
func (f *fleet) maxInWindow() int {
	most, from := 0, 0
	for i, at := range f.sent {
		for at-f.sent[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// bound returns the largest number of requests that the platform accepts in a window.
func (f *fleet) bound() float64 {
	const over, slack = 0.25, 20
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+over) + slack
}

// run sends demand times the limit for some seconds. place chooses the node of each
// request; injectFaults injects faults before each step of 10 ms.
func (f *fleet) run(seconds int, demand float64, place func(at time.Duration) *node, injectFaults func(now time.Time)) (requests, admitted int) {
	const step = 10 * time.Millisecond
	due := 0.0
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := epoch.Add(at + 10*time.Second)
		injectFaults(now)
		f.resume(now)
		if at%ConfirmInterval == 0 {
			f.confirm(now)
		}
		for due += f.limit.Rate * demand * step.Seconds(); due >= 1; due-- {
			requests++
			if f.request(now, place(at)) {
				admitted++
			}
		}
	}
	return requests, admitted
}

func noFaults(time.Time) {}

func (f *fleet) randomNode(time.Duration) *node { return f.nodes[f.rnd.IntN(len(f.nodes))] }

// A customer that sends several times its limit is held to it, whichever nodes get its
// requests, and gets nearly all of the limit.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	for _, nodes := range []int{13, 81, 985} {
		for _, rate := range []float64{3, 40, 300} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, rate), func(t *testing.T) {
				limit := Limit{Rate: rate, Burst: rate}
				f := newFleet(uint64(nodes), nodes, limit)
				_, admitted := f.run(20, 5, f.randomNode, noFaults)
				assert.Assert(t, float64(f.maxInWindow()) <= f.bound(), "%d in a window, %v allowed", f.maxInWindow(), f.bound())
				assert.Assert(t, float64(admitted) >= 0.8*20*rate, "%d admitted", admitted)
			})
		}
	}
}

// Requests below the limit are not refused, however unevenly they are spread over nodes.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	for _, nodes := range []int{13, 81, 985} {
		for _, rate := range []float64{3, 40, 300} {
			limit := Limit{Rate: rate, Burst: rate}
			f := newFleet(uint64(nodes), nodes, limit)
			placements := map[string]func(time.Duration) *node{
				"random":   f.randomNode,
				"one node": func(time.Duration) *node { return f.nodes[0] },
				"moving":   func(at time.Duration) *node { return f.nodes[int(at/time.Second)%nodes] },
			}
			for name, placement := range placements {
				f.restartAll()
				requests, admitted := f.run(20, 0.7, placement, noFaults)
				assert.Assert(t, float64(admitted) >= 0.99*float64(requests), "%d nodes, %v a second, %s: %d of %d", nodes, rate, name, admitted, requests)
			}
		}
	}
}

func (f *fleet) restartAll() {
	for _, n := range f.nodes {
		f.restart(n, epoch)
	}
}

// With restarts, pauses and partitions of up to a fifth of the nodes at a time, the owner
// among them, no more requests are admitted than the platform accepts.
func TestLimitHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, 20+int(seed)%3*30, Limit{Rate: 20 + 10*float64(seed%5), Burst: 20})
		injectFaults := func(now time.Time) {
			if f.rnd.IntN(40) > 0 {
				return
			}
			n := f.nodes[f.rnd.IntN(len(f.nodes))]
			if owner, _ := f.owners(); f.rnd.IntN(4) == 0 {
				n = owner
			}
			until := now.Add(time.Duration(f.rnd.IntN(3000)) * time.Millisecond)
			switch f.rnd.IntN(3) {
			case 0:
				f.restart(n, now)
			case 1:
				n.pausedUntil = until
			case 2:
				n.partitionedUntil = until
			}
		}
		f.run(20, 6, f.randomNode, injectFaults)
		assert.Check(t, float64(f.maxInWindow()) <= f.bound(), "seed %d: %d in a window, %v allowed", seed, f.maxInWindow(), f.bound())
	}
}

// While the owner and the other nodes do not reach each other, or only the owner reaches
// them, both sides together admit no more than the platform accepts, though each is sent
// more than the limit. Owner and standby lent 1.75 times the rate.
func TestLimitHoldsOverBothSidesOfACut(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		for _, nodes := range []int{4, 30} {
			t.Run(fmt.Sprintf("one way %v, %d nodes", oneWay, nodes), func(t *testing.T) {
				f := newFleet(1, nodes, Limit{Rate: 40, Burst: 20})
				owner, _ := f.owners()
				cut := func(now time.Time) {
					since, until := epoch.Add(18*time.Second), epoch.Add(30*time.Second)
					switch {
					case now.Before(since):
					case oneWay:
						owner.unreachableUntil = until
					default:
						owner.partitionedUntil = until
					}
				}
				n := 0
				_, admitted := f.run(30, 3, func(time.Duration) *node {
					if n++; n%2 == 0 {
						return owner
					}
					return f.nodes[f.rnd.IntN(nodes)]
				}, cut)
				assert.Assert(t, float64(f.maxInWindow()) <= f.bound(), "%d in a window, %v allowed", f.maxInWindow(), f.bound())
				assert.Assert(t, float64(admitted) >= 0.8*30*40, "%d admitted", admitted)
			})
		}
	}
}

// What a side of a cut gets if only it has requests.
func TestShareOfOneSideOfACut(t *testing.T) {
	for side, share := range map[string]float64{"owner": unconfirmedRateFactor, "others": standbyRateFactor} {
		t.Run(side, func(t *testing.T) {
			f := newFleet(1, 30, Limit{Rate: 40, Burst: 20})
			owner, _ := f.owners()
			owner.partitionedUntil = epoch.Add(time.Hour)
			_, admitted := f.run(20, 3, func(time.Duration) *node {
				if side == "owner" {
					return owner
				}
				for {
					if n := f.nodes[f.rnd.IntN(len(f.nodes))]; n != owner {
						return n
					}
				}
			}, noFaults)
			assert.Assert(t, float64(admitted) >= 0.9*share*20*40, "%d admitted", admitted)
		})
	}
}

// The model must tell a working limit from naive policies, which exceed the limit or
// refuse requests within it.
func TestNaivePoliciesFail(t *testing.T) {
	f := newFleet(1, 81, Limit{Rate: 40, Burst: 40})
	f.unbounded = true
	f.run(10, 5, f.randomNode, noFaults)
	assert.Assert(t, float64(f.maxInWindow()) > f.bound())

	f = newFleet(1, 81, Limit{Rate: 40, Burst: 40})
	f.equalShares = true
	requests, admitted := f.run(20, 0.7, func(time.Duration) *node { return f.nodes[0] }, noFaults)
	assert.Assert(t, admitted < requests/10, "%d of %d", admitted, requests)
}

// A node that was paused with leased tokens must not spend them after their lease.
func TestTokensExpire(t *testing.T) {
	b := NewBorrower(rand.New(rand.NewPCG(1, 1)))
	limit := Limit{Rate: 10, Burst: 10}
	b.StartBorrowing(epoch, "c")
	b.ApplyGrant(epoch, epoch, "c", Request{}, Grant{Tokens: 5})
	v, _ := b.Admit(epoch.Add(Lease-time.Millisecond), "c", limit, 10)
	assert.Equal(t, v, Allowed)
	v, _ = b.Admit(epoch.Add(Lease), "c", limit, 10)
	assert.Equal(t, v, MustBorrow)
}

// The token of a request that did not run may be spent again, but only within its lease.
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

// While an owner is paused its standby lends tokens, so the owner continues with empty
// buckets and keeps their debt.
func TestPausedOwnerLendsFromEmptyBuckets(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 30}
	l := NewLender()
	g := l.Lend(epoch.Add(10*time.Second), epoch, "c", limit, false, Request{Want: 1})
	assert.Equal(t, g.Tokens, 1)
	resumed := epoch.Add(20 * time.Second)
	l.Paused(resumed)
	g = l.Lend(resumed, epoch, "c", limit, false, Request{Want: 10})
	assert.Equal(t, g.Tokens, 0)
	assert.Assert(t, g.After > 0)
	g = l.Lend(resumed.Add(time.Second), epoch, "c", limit, false, Request{Want: 10, Spent: 12})
	assert.Equal(t, g.Tokens, 0)
	l.Paused(resumed.Add(time.Second))
	assert.Assert(t, l.Tokens(resumed.Add(time.Second), "c") < 0)
}
