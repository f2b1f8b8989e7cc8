package routing

import (
	"time"

	"github.com/walldrift/walldrift/internal/admission"
)

// setSecond sets the cost and the report age of the second choice: the best candidate
// other than c, which was chosen. The cost is scaled to the weight of c, so that the two
// compare as in a choice, and raised by costNoise, as choices treat costs that differ by
// less as equal. It is at least the cost of c: one that was chosen as a trial may cost more
// than others.
func (c *Candidate) setSecond(cs []Candidate) {
	at, least := -1, 0.0
	for i := range cs {
		if cs[i].Upstream == c.Upstream {
			continue
		}
		if cost := cs[i].Cost / cs[i].Weight; at < 0 || cost < least {
			at, least = i, cost
		}
	}
	if at >= 0 {
		c.SecondCost, c.SecondAge = max(least*c.Weight*(1+costNoise), c.Cost), cs[at].Report.Age
	}
}

const (
	// minMoveTime is the least time that moving a request takes: on a fast network the
	// nodes' own work on a refusal and on a further request decides.
	minMoveTime = time.Millisecond
	// maxWorthwhileWait bounds the worthwhile wait where the second choice is much worse.
	// No caller waits that long.
	maxWorthwhileWait = time.Minute
)

// WorthwhileWait returns how long a request should wait for a slot at a candidate that
// Pick has chosen: the expected time at the second choice, less that at the chosen
// upstream without the wait, plus the round trip that moving the request costs. Without a
// second choice the wait has no bound.
func WorthwhileWait(c Candidate) admission.WaitBound {
	if c.SecondCost == 0 {
		return admission.WaitBound{}
	}
	roundTrip := max(c.RoundTrip, minMoveTime)
	gain := min(max(c.SecondCost-(c.Cost-c.QueuedCost), 0)/c.WaitCost, maxWorthwhileWait.Seconds())
	return admission.WaitBound{Worthwhile: time.Duration(gain*float64(time.Second)) + roundTrip, RoundTrip: roundTrip}
}
