package sidecar

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits of the log lines of one kind. One second's worth is what an on-call engineer can
// use, and costs under a hundredth of a small machine's core.
const (
	logLinesPerSecond = 20
	logLineBurst      = 100
)

// logLimiter is a rate limiter of the log lines of one kind. Suppressed lines are counted,
// and the next line states their number.
type logLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func newLogLimiter() *logLimiter {
	return &logLimiter{limiter: rate.NewLimiter(logLinesPerSecond, logLineBurst)}
}

// allow reports whether a line may be written, and how many lines were suppressed before
// it.
func (l *logLimiter) allow() (count int64, ok bool) {
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return 0, false
	}
	return l.suppressed.Swap(0), true
}
