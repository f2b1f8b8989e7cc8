// Package retry classifies how a try ended and decides whether another one
// may follow.
//
// The classes group failures by whether the upstream may have run the request,
// as proposed in "What Changes in Client Retry Logic When the API Holds State":
// never dispatched, rejected and limited are known not to have run, and only
// the rest is ambiguous. Package retry is pure.
package retry

import "time"

// Class is how one try ended.
type Class uint8

// The classes.
const (
	// Answered means that the upstream's answer is there, whatever its status.
	Answered Class = iota
	// NeverDispatched means that no byte of the request reached the upstream.
	NeverDispatched
	// Refused means that the upstream's node said that it was not run.
	Refused
	// Limited is Refused because of overload or a limit.
	Limited
	// Rejected means that the upstream itself got it and said that it was not run.
	Rejected
	// Ambiguous means that it may have run.
	Ambiguous
)

var classNames = [...]string{"answered", "never-dispatched", "refused", "limited", "rejected", "ambiguous"}

// String returns the class in the form used in headers and metrics.
func (c Class) String() string { return classNames[min(c, Ambiguous)] }

// ParseClass returns the class with the given name, and Answered for any other
// text.
func ParseClass(name string) Class {
	for i, n := range classNames {
		if n == name {
			return Class(i)
		}
	}
	return Answered
}

// NotRun reports whether the request is known not to have run.
func (c Class) NotRun() bool { return c != Answered && c != Ambiguous }

// MayHaveReachedUpstream reports whether the request may have reached an upstream, and so
// counts against the budget and the number of tries.
func (c Class) MayHaveReachedUpstream() bool { return c == Answered || c == Rejected || c == Ambiguous }

// Policy holds the numbers of the decision.
type Policy struct {
	// Ratio is the number of retries earned by each first try. More rides out
	// more faults, less adds less load in an overload. Default 0.1.
	Ratio float64
	// Reserve is the largest number of retries saved up. Default 10.
	Reserve float64
	// MinRemaining is the time that must be left for another try. Default 5 ms.
	MinRemaining time.Duration
	// FreeTries is the number of tries, beyond the allowed ones, that may end at
	// a node before they reach an upstream. They cost no budget, as they add no
	// load to the upstreams. More finds room in more places, fewer hands a
	// request around less. Default 0: every try counts alike.
	FreeTries int
}

// DefaultPolicy returns the defaults given at the fields.
func DefaultPolicy() Policy {
	return Policy{Ratio: 0.1, Reserve: 10, MinRemaining: 5 * time.Millisecond}
}

// Budget limits the retries of one node to a share of its first tries, so that
// retries cannot amplify an overload. Not safe for concurrent use.
type Budget struct {
	policy Policy
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(p Policy) *Budget { return &Budget{policy: p, tokens: p.Reserve} }

// Deposit counts a first try.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Reserve) }

// Try is a failed try that asks for another.
type Try struct {
	Class      Class
	Idempotent bool
	// Arrived counts the tries that may have reached an upstream. While it is 0
	// another try adds nothing to the load of the upstreams.
	Arrived int
	// Number counts the tries made, from 1; Retries is the most further ones.
	Number  int
	Retries int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Replayable says that the request body can be sent again.
	Replayable bool
	// RefusedEverywhere says that all upstreams would refuse the request alike.
	RefusedEverywhere bool
}

// Reason says why no further try is made.
type Reason string

// The reasons.
const (
	Allowed      Reason = ""
	ReasonDone   Reason = "answered"
	ReasonMayRun Reason = "may-have-run"
	ReasonTries  Reason = "tries-used"
	ReasonTime   Reason = "no-time"
	ReasonBody   Reason = "body-gone"
	ReasonBudget Reason = "budget"
	// ReasonEverywhere means that no upstream would take it.
	ReasonEverywhere Reason = "refused-everywhere"
	// ReasonNoUpstream is given by the caller of Again: there is no upstream
	// left to try.
	ReasonNoUpstream Reason = "no-upstream"
)

// Decide decides whether another try may follow, and takes it from the budget.
func (b *Budget) Decide(t Try) Reason {
	switch {
	case t.Class == Answered:
		return ReasonDone
	case !t.Class.NotRun() && !t.Idempotent:
		return ReasonMayRun
	case t.RefusedEverywhere:
		return ReasonEverywhere
	case b.exhausted(t):
		return ReasonTries
	case t.Remaining < b.policy.MinRemaining:
		return ReasonTime
	case !t.Replayable:
		return ReasonBody
	case b.policy.FreeTries > 0 && t.Arrived == 0:
		return Allowed
	case !b.Withdraw():
		return ReasonBudget
	}
	return Allowed
}

// exhausted reports whether no try is left by their number.
func (b *Budget) exhausted(t Try) bool {
	if b.policy.FreeTries == 0 {
		return t.Number > t.Retries
	}
	return t.Arrived > t.Retries || t.Number > t.Retries+b.policy.FreeTries
}

// Return gives back a retry that was taken and not made.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.policy.Reserve) }

// Withdraw takes one retry, and reports whether one was left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
