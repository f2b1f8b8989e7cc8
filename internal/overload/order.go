package overload

import (
	"math"
	"time"
)

const (
	// priorityStep is the ratio of the weights of two neighbouring priorities:
	// near enough to strict order, without starving the lower one.
	priorityStep = 4
	// usualObjective is the objective at which the weight is that of the table.
	usualObjective = time.Second
	// lateShare is the weight of a request that can no longer be in time, as a
	// part of that of one which can: it takes what the others leave, and is not
	// starved for ever.
	lateShare = 0.01
)

// Weight is the factor on the weight of a kind in the queue: more for a better
// priority and, with the square, for a shorter objective. Calls that a running
// request makes have the shortest ones and go before new work, as the slot of
// their parent hangs on them.
func Weight(priority int, objective time.Duration, late bool) float64 {
	factor := math.Pow(priorityStep, -float64(priority))
	if objective > 0 {
		factor *= math.Pow(usualObjective.Seconds()/objective.Seconds(), 2)
	}
	if late {
		factor *= lateShare
	}
	return factor
}

// lateSuffix marks the queue of the late requests of a kind.
const lateSuffix = "/late"

// QueueKind is the kind under which a request waits: late ones have a queue of
// their own, so that nobody who can be in time stands behind them.
func QueueKind(kind string, late bool) string {
	if late {
		return kind + lateSuffix
	}
	return kind
}
