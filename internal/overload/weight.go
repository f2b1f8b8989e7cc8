package overload

import (
	"math"
	"time"
)

const (
	// priorityStep is the ratio of the weights of two adjacent priorities: close to
	// strict priority, without starving the lower one.
	priorityStep = 4
	// referenceObjective is the objective with which a request keeps the weight of its
	// kind in the table.
	referenceObjective = time.Second
	// lateWeightFactor reduces the weight of a late request, so that it only gets what
	// others leave but doesn't starve.
	lateWeightFactor = 0.01
)

// Weight returns the factor on the weight of a kind in the queue. It is higher for a
// better priority (a lower number) and grows with the inverse square of the objective.
// Calls made by a running request have the shortest objectives, and so go before new
// requests: the slot of the request that makes them stays occupied until they end.
func Weight(priority int, objective time.Duration, late bool) float64 {
	factor := math.Pow(priorityStep, -float64(priority))
	if objective > 0 {
		factor *= math.Pow(referenceObjective.Seconds()/objective.Seconds(), 2)
	}
	if late {
		factor *= lateWeightFactor
	}
	return factor
}

// lateSuffix marks the queue of the late requests of a kind.
const lateSuffix = "/late"

// QueueKind returns the kind under which a request is queued. Late requests have a queue
// of their own, so that requests that can be in time don't wait behind them.
func QueueKind(kind string, late bool) string {
	if late {
		return kind + lateSuffix
	}
	return kind
}
