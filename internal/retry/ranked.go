package retry

import "time"

// RankedBudget is the Budget of one service. While the upstreams of the service reject many
// requests, tries are kept in it for the requests whose failure costs most: if half of the
// requests are rejected, the budget is too small for all further tries, and without ranks
// it is used up by whichever requests come first.
//
// The sum of the further tries is bounded as by Budget. While the service is not
// rejecting, decisions are those of Budget. It is not safe for concurrent use.
type RankedBudget struct {
	budget Budget
	recent recent
}

// NewRankedBudget returns a full budget.
func NewRankedBudget(p Policy) *RankedBudget { return &RankedBudget{budget: *NewBudget(p)} }

// Deposit adds Policy.Ratio for a first try.
func (b *RankedBudget) Deposit(now time.Time) {
	b.recent.advance(now)
	b.recent.first++
	b.budget.Deposit()
}

// Observe counts a try that may have reached an upstream, by how it ended.
func (b *RankedBudget) Observe(now time.Time, c Class) {
	b.recent.advance(now)
	b.recent.arrivals++
	if c == Rejected {
		b.recent.rejected++
	}
}

// Request holds the properties of a request that a decision by rank depends on.
type Request struct {
	Rank Rank
	// Left is the time until the deadline of the request, TypicalRun the median run time
	// of its kind; 0 if unknown.
	Left, TypicalRun time.Duration
}

// Decision is a decision on a further try with its inputs, which are observations of this
// node that lose weight over recentTime.
type Decision struct {
	Reason Reason
	// Ranked reports whether the service was rejecting, so that the rank counted.
	Ranked bool
	// RejectedShare is the share of the recent arrivals at the service that were
	// rejected.
	RejectedShare float64
	// Tokens is the number of retries that were in the budget, Held how many of them were
	// kept for the ranks above.
	Tokens, Held float64
}

// Decide is like Budget.Decide for the try of a request.
func (b *RankedBudget) Decide(now time.Time, req Request, t Try) Decision {
	b.recent.advance(now)
	share := b.recent.rejectedShare()
	r := Decision{Ranked: share > rejectingShare, RejectedShare: share, Tokens: b.budget.tokens}
	var free bool
	r.Reason, free = b.budget.check(t)
	if r.Reason == Allowed && r.Ranked && req.Left < req.TypicalRun {
		r.Reason = ReasonRunTime
	}
	if r.Reason != Allowed || free {
		return r
	}
	r.Reason = b.withdraw(&r, req.Rank, t.Class)
	return r
}

// withdraw takes a retry from the budget for a request of the rank whose try ended with
// the class, and records in r what was held for the ranks above.
func (b *RankedBudget) withdraw(r *Decision, rank Rank, c Class) Reason {
	if c == Rejected {
		b.recent.askedByRank[rank]++
	}
	if asked := b.recent.askedAbove(rank); r.Ranked && asked >= minAsked {
		r.Held = b.held(asked)
		if r.Tokens >= 1 && (r.Tokens < 1+r.Held || b.shareUsed(rank, asked)) {
			return ReasonHeld
		}
	}
	if !b.budget.Withdraw() {
		return ReasonBudget
	}
	b.recent.grantedByRank[rank]++
	return Allowed
}

// minAsked is the number of retries recently asked for by the ranks above from which some
// are held for them: that is left of a single one after three times recentTime.
const minAsked = 0.05

// held returns how many retries are kept for the ranks above: as many as they have
// recently asked for, but not so many that a full budget would have none for the rank.
func (b *RankedBudget) held(askedAbove float64) float64 {
	return max(min(askedAbove, b.budget.policy.Reserve-1), 0)
}

// shareUsed reports whether the rank has recently used what the ranks above it leave of the
// retries earned. This orders the lower ranks where those above ask for more than a full
// budget, so that held is the same for all of them.
func (b *RankedBudget) shareUsed(rank Rank, askedAbove float64) bool {
	earned := b.budget.policy.Ratio * b.recent.first
	return askedAbove+b.recent.grantedByRank[rank] >= earned
}
