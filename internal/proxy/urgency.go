package proxy

import (
	"math"
	"time"

	"github.com/walldrift/walldrift/internal/snapshot"
)

const (
	// patienceShare is the part of its latency objective that a request may
	// spend waiting for a slot. What is refused within it can still come back
	// and be answered in time; what waits longer is late in any case.
	patienceShare = 0.25
	// priorityStep is the ratio of the weights of two neighbouring priorities:
	// near enough to strict order, without starving the lower one.
	priorityStep = 4
	// usualObjective is the objective at which the weight is that of the table.
	usualObjective = time.Second
)

// patience is until when a request may wait for a slot; zero if its route has
// no objective.
func patience(start time.Time, route *snapshot.Route) time.Time {
	if route.Objective == 0 {
		return time.Time{}
	}
	return start.Add(time.Duration(patienceShare * float64(route.Objective)))
}

// urgency is the factor on the weight of a kind in the queue: more for a better
// priority and, with the square, for a shorter objective. Calls that a running
// request makes have the shortest ones and go before new work, as the slot of
// their parent hangs on them.
func urgency(route *snapshot.Route) float64 {
	factor := math.Pow(priorityStep, -float64(route.Priority))
	if route.Objective > 0 {
		factor *= math.Pow(usualObjective.Seconds()/route.Objective.Seconds(), 2)
	}
	return factor
}
