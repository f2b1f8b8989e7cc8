package admission

import (
	"math"
	"time"
)

// Time in which a limit's requests may be started at once.
const (
	// coldSpan is that of a cold upstream, which crashes if it gets more than its rate in
	// any second.
	coldSpan = time.Second
	// coldMargin lengthens that time, because the time to reach the upstream varies between
	// requests: without it, an upstream with a limit of five got six requests within a
	// second.
	coldMargin = 1.05
	// advertisedSpan is that of an advertised limit. It is shorter than what callers
	// usually wait, so that under load a request waits for the next start rather than
	// being refused until the next burst.
	advertisedSpan = 250 * time.Millisecond
)

// maxWindowStarts bounds the starts that are remembered. At rates that would need more the
// window is shorter.
const maxWindowStarts = 256

// startLimit limits how many requests are started at an upstream that can take only so
// many a second: while it is cold, and as long as it advertises a limit.
//
// Upstreams that start under load, or restart at the same time, are slow for some
// seconds. If they get more requests than they can serve in that time they crash, restart
// cold and crash again. The limits use sliding windows: a bucket that refills would admit
// a whole second's worth twice around its refill. Starts are recorded while no limit
// applies, too, as one may apply at any moment.
type startLimit struct {
	cold       startWindow
	coldUntil  time.Time // the cold limit applies until then
	advertised startWindow

	starts   []time.Time // ring of the latest start times, nil before the first
	next     int         // index in starts of the next one
	recorded int         // number of starts in the ring
	// since is when recording began; zero if every start was recorded. Before that an
	// earlier process may have started as many requests as a limit allows.
	since time.Time
}

// startWindow allows a number of starts in any window; the zero value allows any number.
type startWindow struct {
	starts int
	length time.Duration
}

// newStartWindow returns the window of a positive rate, of about the given span. It holds a
// whole number of starts, so that fractional rates are met on average.
func newStartWindow(perSecond float64, span time.Duration) startWindow {
	starts := min(math.Ceil(perSecond*span.Seconds()), maxWindowStarts)
	return startWindow{starts: int(starts), length: time.Duration(math.Round(starts / perSecond * float64(time.Second)))}
}

// setColdRate sets the limit that applies while the upstream is cold, in requests per
// second; 0 means none. A fraction above one is dropped: a cold upstream must not get
// more than its rate in any second.
func (l *startLimit) setColdRate(perSecond float64) {
	l.cold = startWindow{}
	if perSecond > 1 {
		perSecond = math.Floor(perSecond)
	}
	if perSecond > 0 {
		l.cold = newStartWindow(perSecond, coldSpan)
		l.cold.length = time.Duration(float64(l.cold.length) * coldMargin)
	}
}

// setAdvertised sets the limit that the upstream advertises. An upstream that takes less
// than minAdvertisedRate is sent that much: only a response can say that the limit has
// changed.
func (l *startLimit) setAdvertised(a AdvertisedLimit) {
	l.advertised = startWindow{}
	if a.InForce {
		l.advertised = newStartWindow(max(a.PerSecond, minAdvertisedRate), advertisedSpan)
	}
}

// isCold reports whether the cold limit applies now.
func (l *startLimit) isCold(now time.Time) bool {
	return l.cold.starts > 0 && now.Before(l.coldUntil)
}

// coldRemaining returns how long the upstream stays cold.
func (l *startLimit) coldRemaining(now time.Time) time.Duration {
	if !l.isCold(now) {
		return 0
	}
	return l.coldUntil.Sub(now)
}

// recordStart records a request that was started at the given time.
func (l *startLimit) recordStart(at time.Time) {
	if l.starts == nil {
		l.starts = make([]time.Time, maxWindowStarts)
	}
	l.starts[l.next] = at
	l.next = (l.next + 1) % len(l.starts)
	l.recorded = min(l.recorded+1, len(l.starts))
}

// wait returns the time until the n-th further request may be started; n counts from 1.
func (l *startLimit) wait(now time.Time, n int) time.Duration {
	if n < 1 {
		return 0
	}
	wait := l.windowWait(l.advertised, now, n)
	if l.isCold(now) {
		wait = max(wait, min(l.windowWait(l.cold, now, n), l.coldUntil.Sub(now)))
	}
	return wait
}

// windowWait returns the time until the n-th further request fits into a window.
func (l *startLimit) windowWait(w startWindow, now time.Time, n int) time.Duration {
	if w.starts == 0 {
		return 0
	}
	windows := time.Duration((n-1)/w.starts + 1)
	at := l.latestStart(w, now, w.starts-(n-1)%w.starts).Add(windows * w.length)
	return max(0, at.Sub(now))
}

// latestStart returns the time of the k-th latest start; k counts from 1. The starts
// before the recorded ones are taken to be evenly spread over the window.
func (l *startLimit) latestStart(w startWindow, now time.Time, k int) time.Time {
	if k <= l.recorded {
		return l.starts[(l.next-k+len(l.starts))%len(l.starts)]
	}
	if l.since.IsZero() {
		return now.Add(-w.length)
	}
	return l.since.Add(-w.length * time.Duration(k-l.recorded) / time.Duration(w.starts))
}

// allows reports whether a request may be started now.
func (l *startLimit) allows(now time.Time) bool { return l.wait(now, 1) == 0 }

// reason returns which limit a request waits for; ReasonNone if it may be started now.
func (l *startLimit) reason(now time.Time) Reason {
	switch {
	case l.allows(now):
		return ReasonNone
	case l.windowWait(l.advertised, now, 1) > 0:
		return ReasonAdvertisedLimit
	}
	return ReasonCold
}
