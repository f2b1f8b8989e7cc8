// Package decay has values that lose weight exponentially with time. It is pure: time is
// passed in.
package decay

import (
	"math"
	"time"
)

// Factor returns the share of a value that is left after a time: a third after the time
// constant. A negative time counts as 0.
func Factor(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(elapsed.Seconds(), 0) / constant.Seconds())
}

// Rate is a smoothed number of events per second. The zero value has counted none.
type Rate struct {
	perSecond float64
	at        time.Time // of the last event
}

// Count adds an event, whose weight decays with the time constant, which must be the same
// in each call.
func (r *Rate) Count(now time.Time, constant time.Duration) {
	r.perSecond = r.perSecond*Factor(now.Sub(r.at), constant) + 1/constant.Seconds()
	r.at = now
}

// PerSecond returns the rate as of the last event.
func (r *Rate) PerSecond() float64 { return r.perSecond }

// LastAt returns the time of the last event; zero if there was none.
func (r *Rate) LastAt() time.Time { return r.at }
