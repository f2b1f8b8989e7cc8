package proxy

import (
	"math"
	"time"

	"github.com/walldrift/walldrift/internal/snapshot"
)

const (
	// patienceShare is the part of its latency objective that a request may
	// spend waiting for a slot. What is refused within a quarter of it, the way
	// to the caller and back included, can still come back and be in time.
	patienceShare = 0.15
	// minPatience is the least wait allowed: a slot comes free every few
	// milliseconds.
	minPatience = 60 * time.Millisecond
	// callObjective is the longest objective of a route that services call: no
	// person notices a tenth of a second. Such a request may wait its whole
	// objective, as its refusal fails the request that made it.
	callObjective = 150 * time.Millisecond
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
	if route.Objective <= callObjective {
		return start.Add(route.Objective)
	}
	return start.Add(max(time.Duration(patienceShare*float64(route.Objective)), minPatience))
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
