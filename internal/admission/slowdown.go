package admission

import (
	"time"

	"github.com/walldrift/walldrift/internal/clock"
)

// Slowdown is how long work takes at an upstream, relative to its usual duration, as the
// upstream last reported it. The zero value was never reported and has no effect.
type Slowdown struct {
	Percent float64   // 100 is the usual duration
	At      time.Time // when the upstream reported it; zero if never
}

const (
	// usualPercent is the Slowdown.Percent of an upstream of usual speed.
	usualPercent = 100
	// slowdownLifetime is the time in which a reported slowdown loses its effect. Slow
	// periods last some hundred milliseconds, and an upstream that gets requests reports
	// many times a second.
	slowdownLifetime = time.Second
)

// Reported reports whether the upstream has ever reported a slowdown.
func (s Slowdown) Reported() bool { return !s.At.IsZero() }

// Factor returns how many times as long as usual work is expected to take. It changes
// linearly from the reported value to 1 within slowdownLifetime.
func (s Slowdown) Factor(now time.Time) float64 {
	if !s.Reported() {
		return 1
	}
	age := max(now.Sub(s.At), 0)
	rest := max(1-age.Seconds()/slowdownLifetime.Seconds(), 0)
	return 1 + (s.Percent/usualPercent-1)*rest
}

// Scale returns the present duration of work that usually takes the given time.
func (s Slowdown) Scale(now time.Time, usual time.Duration) time.Duration {
	if !s.Reported() {
		return usual
	}
	return time.Duration(float64(usual) * s.Factor(now))
}

// UsualTime returns how long a request that held a slot for the given time would have
// held it at usual speed. atStart and atEnd are the factors at either end of that time.
func UsualTime(held time.Duration, atStart, atEnd float64) time.Duration {
	if atStart == 1 && atEnd == 1 {
		return held
	}
	// Work proceeds at the reciprocal of the factor.
	return time.Duration(float64(held) * (1/atStart + 1/atEnd) / 2)
}

// SetSlowdown sets the slowdown that the upstream has reported. It returns the waiting
// requests that can no longer start in time; the caller must refuse them.
func (q *Queue) SetSlowdown(now time.Time, s Slowdown) (late []*Ticket) {
	q.slowdown = s
	if q.waiting == 0 {
		return nil
	}
	return q.removeHopeless(now)
}

// Slowdown returns the slowdown that the upstream has reported.
func (q *Queue) Slowdown() Slowdown { return q.slowdown }

// presentServiceTime returns ServiceTime at the present speed of the upstream.
func (q *Queue) presentServiceTime(now time.Time) time.Duration {
	return q.slowdown.Scale(now, q.ServiceTime())
}

// SetSlowdown sets the slowdown that the upstream has reported, and refuses the waiting
// requests that can no longer start in time.
func (g *Gate) SetSlowdown(s Slowdown) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	for _, t := range g.queue.SetSlowdown(now, s) {
		g.resolve(t, g.queue.Refusal(now, g.queue.lateReason(now)))
	}
}

// Slowdown returns the slowdown that the upstream has reported.
func (g *Gate) Slowdown() Slowdown {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Slowdown()
}
