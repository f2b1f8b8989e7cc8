// Package retry classifies how a try ended and decides whether another one may follow. A
// try is a node's request to one upstream; a caller's attempt may take several.
//
// The classes group failures by whether the upstream may have run the request, as
// proposed in "What Changes in Client Retry Logic When the API Holds State". For
// NeverDispatched, Refused, Limited and Rejected it is known that the request did not
// run; only Ambiguous leaves it open. The package is pure.
package retry

import "time"

// Class is how one try ended.
type Class uint8

// The classes.
const (
	// Answered means that the upstream responded, whatever the status.
	Answered Class = iota
	// NeverDispatched means that no byte of the request reached the upstream.
	NeverDispatched
	// Refused means that the upstream's node reported that the request was not run.
	Refused
	// Limited is Refused because of overload or a limit.
	Limited
	// Rejected means that the upstream itself received the request and reported that it
	// was not run.
	Rejected
	// Ambiguous means that the request may have run.
	Ambiguous
)

var classNames = [...]string{"answered", "never-dispatched", "refused", "limited", "rejected", "ambiguous"}

// String returns the name of the class, as used in headers and metrics.
func (c Class) String() string { return classNames[min(c, Ambiguous)] }

// ParseClass returns the class of a name, and Answered for any other text.
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

// MayHaveReachedUpstream reports whether the request may have reached an upstream. With
// Policy.FreeTries only such tries count as retries, and the budget is charged only after
// one of them.
func (c Class) MayHaveReachedUpstream() bool { return c == Answered || c == Rejected || c == Ambiguous }

// Policy holds the parameters of the decision.
type Policy struct {
	// Ratio is the number of retries that each first try adds to the budget. A higher
	// ratio masks more failures, a lower one adds less load during an overload. Default
	// 0.1.
	Ratio float64
	// Reserve is the maximum number of retries in the budget. Default 10.
	Reserve float64
	// MinRemaining is the minimum time until the deadline for another try. Default 5 ms.
	MinRemaining time.Duration
	// FreeTries is the number of additional tries that may end at a node before they
	// reach an upstream. The budget isn't charged until one of the tries may have reached
	// an upstream, as the others add no load to the upstreams. A higher number finds free
	// capacity at more upstreams, a lower one forwards a request fewer times. Default 0:
	// every try counts.
	FreeTries int
}

// DefaultPolicy returns the default values documented at the fields.
func DefaultPolicy() Policy {
	return Policy{Ratio: 0.1, Reserve: 10, MinRemaining: 5 * time.Millisecond}
}

// Budget limits the retries of one node to a share of its first tries, so that retries
// can't amplify an overload. It is not safe for concurrent use.
type Budget struct {
	policy Policy
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(p Policy) *Budget { return &Budget{policy: p, tokens: p.Reserve} }

// Deposit adds Policy.Ratio for a first try.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Reserve) }

// Try is a failed try and the state of its request, for which Decide decides on another
// try.
type Try struct {
	Class      Class
	Idempotent bool
	// Arrived is the number of tries that may have reached an upstream. While it is 0,
	// another try adds no load to the upstreams.
	Arrived int
	// Number is the number of tries made, including this one; Retries is the maximum
	// number of further ones.
	Number  int
	Retries int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Replayable reports whether the request body can be sent again.
	Replayable bool
	// RefusedEverywhere reports whether every upstream would refuse the request for the
	// same reason.
	RefusedEverywhere bool
}

// Reason is the reason why no further try is made; empty if one may be.
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
	// ReasonHeld means that the budget is kept for requests whose failure costs more.
	ReasonHeld Reason = "budget-held"
	// ReasonRunTime means that the time left is less than such a request usually runs.
	ReasonRunTime Reason = "no-time-to-run"
	// ReasonEverywhere means that every upstream would refuse the request.
	ReasonEverywhere Reason = "refused-everywhere"
	// ReasonNoUpstream is used by callers of Decide when no untried upstream is left.
	ReasonNoUpstream Reason = "no-upstream"
)

// Decide returns Allowed if another try may follow, and then withdraws it from the budget
// unless it is free.
func (b *Budget) Decide(t Try) Reason {
	reason, free := b.check(t)
	if reason == Allowed && !free && !b.Withdraw() {
		return ReasonBudget
	}
	return reason
}

// check returns Allowed if another try may follow as far as the budget permits, and
// whether it is free.
func (b *Budget) check(t Try) (reason Reason, free bool) {
	switch {
	case t.Class == Answered:
		return ReasonDone, false
	case !t.Class.NotRun() && !t.Idempotent:
		return ReasonMayRun, false
	case t.RefusedEverywhere:
		return ReasonEverywhere, false
	case b.exhausted(t):
		return ReasonTries, false
	case t.Remaining < b.policy.MinRemaining:
		return ReasonTime, false
	case !t.Replayable:
		return ReasonBody, false
	}
	return Allowed, b.policy.FreeTries > 0 && t.Arrived == 0
}

// exhausted reports whether the maximum number of tries has been made.
func (b *Budget) exhausted(t Try) bool {
	if b.policy.FreeTries == 0 {
		return t.Number > t.Retries
	}
	return t.Arrived > t.Retries || t.Number > t.Retries+b.policy.FreeTries
}

// Return refunds a retry that was withdrawn but not made.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.policy.Reserve) }

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
