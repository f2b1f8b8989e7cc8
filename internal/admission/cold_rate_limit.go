package admission

import "time"

// coldWindow is the window in which at most one second's worth of requests is started at
// a cold upstream. It exceeds a second because the time to reach the upstream varies
// between requests: with 1 s, an upstream with a limit of five got six requests within a
// second.
const coldWindow = 1050 * time.Millisecond

// coldRateLimit limits how many requests are started at an upstream in any second while
// it is cold.
//
// Upstreams that start under load, or restart at the same time, are slow for some
// seconds. If they get more requests than they can serve in that time they crash, restart
// cold and crash again. The limit uses a sliding window: a bucket that refills would
// admit a whole second's worth twice around its refill. Starts are recorded while the
// upstream is warm, too, as it may become cold at any moment.
type coldRateLimit struct {
	coldUntil time.Time   // the upstream is cold until then
	starts    []time.Time // ring of start times, one per request allowed in a second; empty for no limit
	oldest    int         // index in starts
}

// setRate sets the limit in requests per second; 0 means no limit. Recorded starts are
// kept.
func (l *coldRateLimit) setRate(perSecond float64) {
	most := 0
	if perSecond > 0 {
		most = max(1, int(perSecond))
	}
	if most == len(l.starts) {
		return
	}
	old, at := l.starts, l.oldest
	l.starts, l.oldest = make([]time.Time, most), 0
	for i := range old {
		l.recordStart(old[(at+i)%len(old)])
	}
}

// cold reports whether the limit applies now.
func (l *coldRateLimit) cold(now time.Time) bool { return len(l.starts) > 0 && now.Before(l.coldUntil) }

// remaining returns how long the upstream stays cold.
func (l *coldRateLimit) remaining(now time.Time) time.Duration {
	if !l.cold(now) {
		return 0
	}
	return l.coldUntil.Sub(now)
}

// recordStart records a request that was started at the given time.
func (l *coldRateLimit) recordStart(at time.Time) {
	if len(l.starts) == 0 {
		return
	}
	l.starts[l.oldest] = at
	l.oldest = (l.oldest + 1) % len(l.starts)
}

// wait returns the time until the n-th further request may be started; n counts from 1.
func (l *coldRateLimit) wait(now time.Time, n int) time.Duration {
	if !l.cold(now) || n < 1 {
		return 0
	}
	most := len(l.starts)
	before := l.starts[(l.oldest+n-1)%most]
	if before.IsZero() {
		before = now.Add(-coldWindow)
	}
	at := before.Add(coldWindow * time.Duration((n-1)/most+1))
	if at.After(l.coldUntil) {
		at = l.coldUntil
	}
	return max(0, at.Sub(now))
}

// allows reports whether a request may be started now.
func (l *coldRateLimit) allows(now time.Time) bool { return l.wait(now, 1) == 0 }
