package admission

import "time"

// paceWindow is the time in which so many requests are started at a cold upstream as it
// bears in a second. The rest is for the way there, which differs between requests: with
// a second, six of five arrived in one.
const paceWindow = 1050 * time.Millisecond

// pace bounds how many requests an upstream gets in any second while it is cold.
//
// The load pattern: upstreams that start under load, or come back together, are slow
// for some seconds, and fall over if they get more than they can take then; they come
// back cold and fall again. The window slides: a bucket that refills would let a whole
// second's worth through twice around its refill. Starts are kept while the upstream is
// warm as well, as it may turn cold at any moment.
type pace struct {
	until  time.Time   // the upstream is cold until then
	starts []time.Time // of as many requests as a second may have, a ring; empty for no bound
	oldest int         // place in starts
}

// setRate bounds the requests a second; 0 sets no bound. What was started counts on.
func (p *pace) setRate(perSecond float64) {
	most := 0
	if perSecond > 0 {
		most = max(1, int(perSecond))
	}
	if most == len(p.starts) {
		return
	}
	old, at := p.starts, p.oldest
	p.starts, p.oldest = make([]time.Time, most), 0
	for i := range old {
		p.started(old[(at+i)%len(old)])
	}
}

// cold reports whether the bound holds now.
func (p *pace) cold(now time.Time) bool { return len(p.starts) > 0 && now.Before(p.until) }

// left is how long the upstream stays cold.
func (p *pace) left(now time.Time) time.Duration {
	if !p.cold(now) {
		return 0
	}
	return p.until.Sub(now)
}

// started counts a request that was started at a time.
func (p *pace) started(at time.Time) {
	if len(p.starts) == 0 {
		return
	}
	p.starts[p.oldest] = at
	p.oldest = (p.oldest + 1) % len(p.starts)
}

// wait is the time until the n-th further request may start, from 1.
func (p *pace) wait(now time.Time, n int) time.Duration {
	if !p.cold(now) || n < 1 {
		return 0
	}
	most := len(p.starts)
	before := p.starts[(p.oldest+n-1)%most]
	if before.IsZero() {
		before = now.Add(-paceWindow)
	}
	at := before.Add(paceWindow * time.Duration((n-1)/most+1))
	if at.After(p.until) {
		at = p.until
	}
	return max(0, at.Sub(now))
}

// open reports whether a request may start now.
func (p *pace) open(now time.Time) bool { return p.wait(now, 1) == 0 }
