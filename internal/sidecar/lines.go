package sidecar

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Bounds of the lines of one kind. A second's worth is what an on-call engineer can use
// and costs under a hundredth of a small machine's core.
const (
	linesPerSecond = 20
	lineBurst      = 100
)

// lineBudget bounds the lines of one kind; what is left out is counted and said with the
// next line.
type lineBudget struct {
	limiter *rate.Limiter
	missed  atomic.Int64
}

func newLineBudget() *lineBudget {
	return &lineBudget{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// take reports whether a line may be written, and how many were left out before it.
func (b *lineBudget) take() (leftOut int64, ok bool) {
	if !b.limiter.Allow() {
		b.missed.Add(1)
		return 0, false
	}
	return b.missed.Swap(0), true
}
