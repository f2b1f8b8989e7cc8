package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces repeated tries: the bound doubles with each failure, and the
// wait is drawn evenly from zero to the bound, so that a herd spreads out.
// The zero Backoff is not usable.
type Backoff struct {
	Base time.Duration // bound after the first failure
	Cap  time.Duration // largest bound
	fail int
}

// maxDoublings keeps the shift of Next in range.
const maxDoublings = 30

// Next returns the wait after one more failure.
func (b *Backoff) Next(rnd *rand.Rand) time.Duration {
	bound := b.Base << min(b.fail, maxDoublings)
	if bound > b.Cap || bound <= 0 {
		bound = b.Cap
	}
	b.fail++
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}

// Reset starts over after a success.
func (b *Backoff) Reset() { b.fail = 0 }
