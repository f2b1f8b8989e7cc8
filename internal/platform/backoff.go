package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with full jitter: the bound doubles with each
// failure, and the delay is uniform between zero and the bound, so that many nodes that
// fail together don't retry together. The zero Backoff is not usable.
type Backoff struct {
	Base     time.Duration // upper bound of the delay after the first failure
	Max      time.Duration // upper bound of the delay after any number of failures
	failures int
}

// maxDoublings keeps the shift in Next in range.
const maxDoublings = 30

// Next records a failure and returns the delay before the next attempt.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	bound := b.Base << min(b.failures, maxDoublings)
	if bound > b.Max || bound <= 0 {
		bound = b.Max
	}
	b.failures++
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Reset records a success: the next delay has the bound Base again.
func (b *Backoff) Reset() { b.failures = 0 }
